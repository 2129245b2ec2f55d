package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// A run shows that its task did not cause the earlier crashes if it lives clearFactor times as
	// long as the longest run that ended in one of them, plus clearMargin.
	clearFactor = 2
	clearMargin = time.Second
	// minWeakCrashes is how many weak crashes make a task a suspect.
	minWeakCrashes = 2
)

// suspicion holds the crashes counted against a task or a whole gang. A crash is strong if the task
// is a likely cause of it, and weak otherwise. A suspect is a task that has a strong crash or at
// least minWeakCrashes weak ones. It is started only as a probe: at first one per job at a time, on
// the worker where a crash would cost least, and nothing but other probes of a lasting phase is started on that
// worker until the probe has lived long enough.
type suspicion struct {
	phase   *phase
	task    *task  // task is the task, or the first one of the gang that was suspected.
	key     string // key is the failureKey of the task or gang.
	crashes []winch.Crash
	// probe is the number of the current or next probe run; zero if none is chosen.
	probe uint64
	// chosenAt is the change count of the job at which probe is recorded.
	chosenAt uint64
	// searchedSince is when a worker for the probe was first searched for.
	searchedSince time.Time
}

// suspected reports whether the next run must be a probe.
func (x *suspicion) suspected() bool {
	return x != nil && x.phase.job.planner.Policy.Isolate && (x.strongCrashes() > 0 || len(x.crashes) >= minWeakCrashes)
}

// clearanceTime returns how long a run must live to clear the task.
func (x *suspicion) clearanceTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range x.crashes {
		longest = max(longest, c.Lived)
	}
	return clearFactor*longest + clearMargin
}

// suspicion returns the suspicion of a task, or nil.
func (t *task) suspicion() *suspicion {
	if t.phase.job.suspects == nil {
		return nil
	}
	return t.phase.job.suspects[t.failureKey()]
}

// suspected reports whether any task of the phase must run as a probe.
func (s *phase) suspected() bool { return len(s.suspects()) > 0 }

// suspects returns the tasks of the phase that must run as probes in the order of their indices, of a gang one
// task.
func (s *phase) suspects() []*task {
	var out []*task
	for _, x := range s.job.suspects {
		if x.phase == s && !x.task.done && x.suspected() {
			out = append(out, x.task)
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.index, b.index) })
	return out
}

// suspect returns the suspicion of a task and creates it if there is none.
func (t *task) suspect() *suspicion {
	j := t.phase.job
	if j.suspects == nil {
		j.suspects = make(map[string]*suspicion)
	}
	key := t.failureKey()
	if j.suspects[key] == nil {
		j.suspects[key] = &suspicion{phase: t.phase, task: t, key: key}
	}
	return j.suspects[key]
}

// clearSuspicion drops a suspicion, since a run lived long enough or the task is done.
func (p *Planner) clearSuspicion(x *suspicion) {
	j := x.phase.job
	if j.suspects[x.key] != x {
		return
	}
	delete(j.suspects, x.key)
	j.cleared++
	if len(j.suspects) == 0 {
		j.suspects = nil
	}
	for w, other := range p.probes {
		if other == x {
			p.continueProbe(w, p.now())
		}
	}
	p.markChanged(j)
	j.enqueueReady()
}

// clearIfSurvived clears the task of a run that has lived long enough at the given time.
func (p *Planner) clearIfSurvived(r *run, at time.Time) {
	if r == nil || r.task == nil || !r.started {
		return
	}
	x := r.task.suspicion()
	if x == nil || at.Sub(r.since) < x.clearanceTime() || r.task.phase.spec.Gang && r.task.phase.live < len(r.task.phase.tasks) {
		return
	}
	p.clearSuspicion(x)
}

// restoreCrashes applies the recorded crashes and probes.
func (j *job) restoreCrashes(progress *winch.Progress) {
	for _, s := range j.phases {
		for _, t := range s.tasks {
			key := t.failureKey()
			crashes, probe := progress.Crashes[key], progress.Probes[key]
			if len(crashes) == 0 && probe == 0 {
				continue
			}
			x := t.suspect()
			x.crashes, x.probe = slices.Clone(crashes), probe
		}
	}
}

// recordCrashes adds the crashes and probes to a progress record for later planners.
func (j *job) recordCrashes(out *winch.Progress) {
	for _, key := range slices.Sorted(maps.Keys(j.suspects)) {
		x := j.suspects[key]
		if out.Crashes == nil {
			out.Crashes, out.Probes = make(map[string][]winch.Crash), make(map[string]uint64)
		}
		out.Crashes[key] = slices.Clone(x.crashes)
		if x.probe != 0 {
			out.Probes[key] = x.probe
		}
	}
}
