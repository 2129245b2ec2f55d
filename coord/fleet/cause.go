package fleet

import (
	"slices"
	"time"
)

const (
	// A run is a likely cause of a crash if its age is at most recentFactor times that of the
	// youngest run, plus recentMargin.
	youngFactor = 2
	youngMargin = 500 * time.Millisecond
	// maxLikelyAge is the highest age of a likely cause, maxWeakAge that of any cause if there are
	// likelier ones.
	causeTime = 4 * time.Second
	weakTime  = 10 * time.Second
	// minDrainNotice is the shortest time for which a worker drains before it leaves.
	leaveTime = 2 * time.Second
	// suddenCrashAge is how soon after a run's start a crash points at that run.
	atOnce = 100 * time.Millisecond
	// Boots that lost contact within correlationWindow of each other count as one event. If at
	// least minCorrelated others are part of it, it says little about the runs: a rack or a zone
	// may have lost its power.
	togetherTime  = time.Second
	togetherLeast = 3
	// If fewer than one in recentStartDivisor of the boots had no recent start, simultaneous
	// crashes are attributed to their runs.
	suddenPart = 5
)

// cause determines which runs of a crashed boot caused the crash.
type cause struct {
	boot   *lostBoot
	others []lostBoot
	// correlated is set if the boots were lost by an event that hit all of them, probeRan if a
	// probe had started, and otherSuspects if other runs belonged to suspect tasks.
	together, probed, doubt bool
	// youngestAge is the age of the run confirmed last, if ageKnown.
	shortest time.Duration
	known    bool
}

// causeOf collects the evidence for the cause of a boot's crash.
func (p *Planner) causeOf(b *lostBoot) cause {
	others := p.lostWith(b)
	c := cause{
		boot: b, others: others, together: b.together(others),
		probed: b.apart && slices.ContainsFunc(b.runs, func(f bootRun) bool { return f.probe != nil && f.confirmed }),
		doubt:  slices.ContainsFunc(b.runs, func(f bootRun) bool { return f.probe == nil && f.task.suspicion() != nil }),
	}
	c.shortest, c.known = youngest(b.runs)
	return c
}

// judge reports whether a run counts as a cause, and whether there are likelier ones.
func (c *cause) of(f bootRun) (weak, counts bool) {
	probe := f.probe != nil && c.boot.apart
	switch {
	case c.boot.vm.Draining: // The worker may have left as announced.
		return true, f.lived < leaveTime || f.lived <= causeTime && f.task.suspicion() != nil
	case c.probed && !probe: // The probe explains the crash.
		return true, f.task.suspicion() != nil || f.adopted || f.lived <= c.shortest+youngMargin
	case c.together && c.common(f):
		return false, true
	case c.together:
		return true, probe || f.lived <= weakTime
	case !f.confirmed, f.adopted: // Whether, or since when, it ran is not known.
		return true, probe || f.lived <= weakTime
	case probe, len(c.boot.runs) == 1 && f.lived <= causeTime:
		return false, true
	case c.known && f.lived <= min(causeTime, youngFactor*c.shortest+youngMargin):
		return false, true
	}
	return true, f.lived <= weakTime || c.shortest > weakTime
}

// commonCause reports whether the tasks of the run's phase, started at the same moment, may have
// crashed all boots that were lost together: each boot had such a task, and none started elsewhere
// has lived longer.
func (c *cause) common(f bootRun) bool {
	s := f.task.step
	if slices.ContainsFunc(c.others, func(x lostBoot) bool {
		return !slices.ContainsFunc(x.runs, func(y bootRun) bool { return y.task.step == s })
	}) {
		return false
	}
	now := s.job.planner.now()
	return !slices.ContainsFunc(s.tasks, func(t *task) bool {
		r := t.wanted()
		return t.done || r != nil && r.started && r.worker.silent.IsZero() && now.Sub(r.since) > youngFactor*f.lived+youngMargin
	})
}

// proves reports whether only this probe explains the crash: there was no other suspect run and no
// run started at about the same time, and fewer than minCorrelated other boots were lost at that
// time.
func (c *cause) proves(f bootRun) bool {
	return f.probe != nil && c.boot.apart && !c.doubt && len(c.others) < togetherLeast &&
		!slices.ContainsFunc(c.boot.runs, func(x bootRun) bool { return x.probe == nil && x.lived <= f.lived+atOnce })
}

// simultaneousLosses returns the other boots that lost contact at the same time and had no probe
// that explains it.
func (p *Planner) lostWith(b *lostBoot) []lostBoot {
	var out []lostBoot
	simultaneous := func(silent time.Time) bool { return silent.Sub(b.silent).Abs() <= togetherTime }
	for i := range p.lostBoots {
		if x := &p.lostBoots[i]; x != b && simultaneous(x.silent) && !x.apart && !x.vm.Draining {
			out = append(out, *x)
		}
	}
	for _, w := range p.byID {
		if !w.silent.IsZero() && w.vm.ID != b.vm.ID && simultaneous(w.silent) && w.probe == nil && !w.vm.Draining && len(w.runs) > 0 {
			out = append(out, w.boot(w.silent))
		}
	}
	return out
}

// correlated reports whether a boot was lost by an event that hit other boots too. If nearly all
// had a run started just before, these runs explain the crashes as well.
func (b *lostBoot) together(others []lostBoot) bool {
	recent := 0
	for _, x := range others {
		if x.sudden {
			recent++
		}
	}
	return len(others) >= togetherLeast && !(b.sudden && suddenPart*(len(others)-recent) <= len(others))
}

// youngestAge returns the age of the run that was confirmed last, and whether it is known.
func youngest(runs []bootRun) (time.Duration, bool) {
	for _, f := range runs {
		if f.confirmed && !f.adopted {
			return f.lived, true
		}
	}
	return 0, false
}
