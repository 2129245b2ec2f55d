package fleet

import (
	"time"

	"plantainwinch/proto"
)

const (
	// paceNear is the part of a target at which filling tasks beside it are slowed.
	paceNear = 0.7
	// paceBack is the part of a target below which they are given more again.
	paceBack = 0.4
	// paceStep is what they are given back at a time, in percent.
	paceStep = 20
	// paceWait is the pause between two changes up, several times the delay with
	// which a worker reports.
	paceWait = 1200 * time.Millisecond
	// paceUnknown is the pace of a run that an earlier planner started, and may have
	// slowed: whatever is decided first is told to the worker.
	paceUnknown = -1
	// paceAssumed is what is given back from then: a jump from little to all could
	// push the tasks that serve beside it over their target.
	paceAssumed = 40
)

// pace slows the tasks that fill a worker when a task that serves beside them
// nears its target, and gives the speed back step by step. The reported tail
// lags by half a second and a target may be missed for a few seconds only, so
// the way down is taken at once and the way up in steps.
func (p *Planner) pace(w *worker, now time.Time) {
	if w.serving == 0 {
		p.paceAll(w, 100, now)
		return
	}
	worst := 0.0
	for _, r := range w.runs {
		if r.task == nil || r.task.step.spec.Target == 0 || !r.started {
			continue
		}
		target := float64(r.task.step.spec.Target.Milliseconds())
		worst = max(worst, r.load/target)
	}
	switch {
	case worst >= 1:
		p.paceAll(w, 0, now)
		w.heldBack = now.Add(2 * paceWait)
	case worst >= paceNear:
		p.paceAll(w, max(0, w.paceNow()-40), now)
		w.heldBack = now.Add(paceWait)
	case worst < paceBack && now.After(w.heldBack):
		level := w.paceNow()
		if w.paceUnsure() {
			level = min(level, paceAssumed)
		}
		if level < 100 {
			p.paceAll(w, min(100, level+paceStep), now)
			w.heldBack = now.Add(paceWait)
		}
	}
}

// paceNow returns the lowest pace of the filling runs.
func (w *worker) paceNow() int {
	level := 100
	for _, r := range w.runs {
		if r.fills() && r.pace != paceUnknown {
			level = min(level, r.pace)
		}
	}
	return level
}

// paceUnsure reports whether the pace of a filling run is not known.
func (w *worker) paceUnsure() bool {
	for _, r := range w.runs {
		if r.fills() && r.pace == paceUnknown {
			return true
		}
	}
	return false
}

func (r *run) fills() bool {
	return r.task != nil && r.task.step.spec.Fills && r.started && !r.stopping
}

func (p *Planner) paceAll(w *worker, percent int, now time.Time) {
	for _, r := range w.runs {
		if !r.fills() || r.pace == percent || now.Sub(r.pacedAt) < paceWait/4 {
			continue
		}
		r.pace, r.pacedAt = percent, now
		p.orders = append(p.orders, proto.Order{
			Kind: proto.OrderPace, Worker: w.vm.ID, Task: r.key.task, Run: r.key.run, Percent: percent,
		})
	}
}
