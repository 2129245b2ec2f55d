package fleet

import (
	"slices"
	"time"
)

const (
	// A run is a likely cause of a crash if its age is at most recentFactor times that of the
	// youngest run, plus recentMargin.
	recentFactor = 2
	recentMargin = 500 * time.Millisecond
	// maxLikelyAge is the highest age of a likely cause, maxWeakAge that of any cause if there are
	// likelier ones.
	maxLikelyAge = 4 * time.Second
	maxWeakAge   = 10 * time.Second
	// minDrainNotice is the shortest time for which a worker drains before it leaves.
	minDrainNotice = 2 * time.Second
	// suddenCrashAge is how soon after a run's start a crash points at that run.
	suddenCrashAge = 100 * time.Millisecond
	// Boots that lost contact within correlationWindow of each other count as one event. If at
	// least minCorrelated others are part of it, it says little about the runs: a rack or a zone
	// may have lost its power.
	correlationWindow = time.Second
	minCorrelated     = 3
	// If at most one in recentStartDivisor of the other lost boots had no recent start, simultaneous
	// crashes are attributed to their runs.
	recentStartDivisor = 5
)

// cause determines which runs of a crashed boot caused the crash.
type cause struct {
	boot        *lostBoot
	otherLosses []lostBoot
	// correlated is set if the boots were lost by an event that hit all of them, probeRan if a
	// probe had started, and otherSuspects if other runs belonged to suspect tasks.
	correlated, probeRan, otherSuspects bool
	// youngestAge is the age of the run confirmed last, if ageKnown.
	youngestAge time.Duration
	ageKnown    bool
	phases      map[*phase]phaseEvidence // phases holds what is known of the phases of the boot's runs.
}

// phaseEvidence is what other tasks of a phase show about a crash.
type phaseEvidence struct {
	// everywhere is set if all boots that were lost together ran a task of the phase, done if a task is done.
	everywhere, done bool
	oldest           time.Duration // oldest is the age of the phase's oldest run at a responsive worker.
}

// causeOf collects the evidence for the cause of a boot's crash.
func (p *Planner) causeOf(b *lostBoot) cause {
	others := p.simultaneousLosses(b)
	c := cause{
		boot: b, otherLosses: others, correlated: b.correlated(others),
		probeRan:      b.hadProbe && slices.ContainsFunc(b.runs, func(f bootRun) bool { return f.probe != nil && f.confirmed }),
		otherSuspects: slices.ContainsFunc(b.runs, func(f bootRun) bool { return f.probe == nil && f.task.suspicion() != nil }),
	}
	c.youngestAge, c.ageKnown = youngestAge(b.runs)
	return c
}

// judge reports whether the crash counts against a run and, if so, whether only as a weak crash: one
// that has likelier causes.
func (c *cause) judge(f bootRun) (weak, counts bool) {
	probe := f.probe != nil && c.boot.hadProbe
	switch {
	case c.boot.vm.Draining: // The worker may have left as announced.
		return true, f.age < minDrainNotice || f.age <= maxLikelyAge && f.task.suspicion() != nil
	case c.probeRan && !probe: // The probe explains the crash.
		return true, f.task.suspicion() != nil || f.adopted || f.age <= c.youngestAge+recentMargin
	case c.correlated && c.commonCause(f):
		return false, true
	case c.correlated:
		return true, probe || f.age <= maxWeakAge
	case !f.confirmed, f.adopted: // Whether, or since when, it ran is not known.
		return true, probe || f.age <= maxWeakAge
	case probe, len(c.boot.runs) == 1 && f.age <= maxLikelyAge:
		return false, true
	case c.ageKnown && f.age <= min(maxLikelyAge, recentFactor*c.youngestAge+recentMargin):
		return false, true
	}
	return true, f.age <= maxWeakAge || c.youngestAge > maxWeakAge
}

// commonCause reports whether the tasks of the run's phase may have crashed all boots that were lost
// together: each boot ran such a task, and no other task of the phase shows that they do not crash
// workers, by being done or by running much longer at a responsive worker.
func (c *cause) commonCause(f bootRun) bool {
	e := c.evidence(f.task.phase)
	return e.everywhere && !e.done && e.oldest <= recentFactor*f.age+recentMargin
}

// evidence returns what other tasks of a phase show. It is collected once, as a boot may have run thousands of its tasks.
func (c *cause) evidence(s *phase) phaseEvidence {
	if e, known := c.phases[s]; known {
		return e
	}
	e := phaseEvidence{done: s.done > 0}
	e.everywhere = !slices.ContainsFunc(c.otherLosses, func(x lostBoot) bool {
		return !slices.ContainsFunc(x.runs, func(y bootRun) bool { return y.task.phase == s })
	})
	now := s.job.planner.now()
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if !r.stopping && r.started && r.worker.unresponsiveSince.IsZero() {
				e.oldest = max(e.oldest, now.Sub(r.since))
			}
		}
	}
	if c.phases == nil {
		c.phases = make(map[*phase]phaseEvidence)
	}
	c.phases[s] = e
	return e
}

// proves reports whether only this probe explains the crash: there was no other suspect run and no
// run started at about the same time, and fewer than minCorrelated other boots were lost at that
// time.
func (c *cause) proves(f bootRun) bool {
	return f.probe != nil && c.boot.hadProbe && !c.otherSuspects && len(c.otherLosses) < minCorrelated &&
		!slices.ContainsFunc(c.boot.runs, func(x bootRun) bool { return x.probe == nil && x.age <= f.age+suddenCrashAge })
}

// simultaneousLosses returns the other boots that lost contact at the same time. Boots with a probe,
// which would explain the loss, and draining workers are left out.
func (p *Planner) simultaneousLosses(b *lostBoot) []lostBoot {
	var out []lostBoot
	simultaneous := func(lostAt time.Time) bool { return lostAt.Sub(b.unresponsiveSince).Abs() <= correlationWindow }
	for i := range p.lostBoots {
		if x := &p.lostBoots[i]; x != b && simultaneous(x.unresponsiveSince) && !x.hadProbe && !x.vm.Draining {
			out = append(out, *x)
		}
	}
	for _, w := range p.byID {
		if !w.unresponsiveSince.IsZero() && w.vm.ID != b.vm.ID && simultaneous(w.unresponsiveSince) && w.probe == nil && !w.vm.Draining && len(w.runs) > 0 {
			out = append(out, w.snapshotBoot(w.unresponsiveSince))
		}
	}
	return out
}

// correlated reports whether a boot was lost by an event that hit other boots too. If nearly all
// had a run started just before, these runs explain the crashes as well.
func (b *lostBoot) correlated(others []lostBoot) bool {
	recent := 0
	for _, x := range others {
		if x.recentStart {
			recent++
		}
	}
	return len(others) >= minCorrelated && !(b.recentStart && recentStartDivisor*(len(others)-recent) <= len(others))
}

// youngestAge returns the age of the run that was confirmed last, and whether it is known.
func youngestAge(runs []bootRun) (time.Duration, bool) {
	for _, f := range runs {
		if f.confirmed && !f.adopted {
			return f.age, true
		}
	}
	return 0, false
}
