package fleet

import (
	"time"

	"plantainwinch/proto"
)

const (
	// throttleThreshold is the load, relative to a task's target, from which filling tasks beside
	// it are throttled.
	paceNear = 0.7
	// releaseThreshold is the load below which the throttle is released step by step.
	paceBack = 0.4
	// releaseStep is how much is released at a time, in percent.
	paceStep = 20
	// releaseInterval is the minimum time between a change of the throttle and its next release,
	// several times the delay with which a worker reports.
	paceWait = 1200 * time.Millisecond
	// throttleUnknown is the throttle percentage of a run that an earlier planner started and may
	// have throttled. The first decision is always sent to the worker.
	paceUnknown = -1
	// throttleAssumed is the highest percentage assumed for such runs when the throttle is
	// released: a jump from a low to the full percentage could push the serving tasks beside them
	// over their target.
	paceAssumed = 40
)

// throttle slows the filling tasks of a worker when a serving task beside them nears its target,
// and releases them step by step. The reported tail latency lags by half a second and a target may
// be missed for a few seconds only, so throttling takes effect at once and release is gradual.
func (p *Planner) pace(w *worker, now time.Time) {
	if w.serving == 0 {
		p.paceAll(w, 100, now)
		return
	}
	maxLoad := 0.0
	for _, r := range w.runs {
		if r.task == nil || r.task.phase.spec.Target == 0 || !r.started {
			continue
		}
		target := float64(r.task.phase.spec.Target.Milliseconds())
		maxLoad = max(maxLoad, r.load/target)
	}
	switch {
	case maxLoad >= 1:
		p.paceAll(w, 0, now)
		w.raiseAfter = now.Add(2 * paceWait)
	case maxLoad >= paceNear:
		p.paceAll(w, max(0, w.paceNow()-40), now)
		w.raiseAfter = now.Add(paceWait)
	case maxLoad < paceBack && now.After(w.raiseAfter):
		percent := w.paceNow()
		if w.paceUnsure() {
			percent = min(percent, paceAssumed)
		}
		if percent < 100 {
			p.paceAll(w, min(100, percent+paceStep), now)
			w.raiseAfter = now.Add(paceWait)
		}
	}
}

// throttlePercent returns the lowest throttle percentage of the filling runs; 100 is full speed.
func (w *worker) paceNow() int {
	percent := 100
	for _, r := range w.runs {
		if r.fills() && r.throttle != paceUnknown {
			percent = min(percent, r.throttle)
		}
	}
	return percent
}

// hasUnknownThrottle reports whether the throttle percentage of a filling run is unknown.
func (w *worker) paceUnsure() bool {
	for _, r := range w.runs {
		if r.fills() && r.throttle == paceUnknown {
			return true
		}
	}
	return false
}

func (r *run) fills() bool {
	return r.task != nil && r.task.phase.spec.Fills && r.started && !r.stopping
}

func (p *Planner) paceAll(w *worker, percent int, now time.Time) {
	for _, r := range w.runs {
		if !r.fills() || r.throttle == percent || now.Sub(r.throttledAt) < paceWait/4 {
			continue
		}
		r.throttle, r.throttledAt = percent, now
		p.orders = append(p.orders, proto.Order{
			Kind: proto.OrderPace, Worker: w.vm.ID, Task: r.key.task, Run: r.key.run, Percent: percent,
		})
	}
}
