package fleet

import (
	"time"

	"plantainwinch/proto"
)

const (
	// throttleThreshold is the reported tail latency of a serving task (one with a latency target),
	// relative to its target, from which filling tasks beside it are throttled.
	throttleThreshold = 0.7
	// releaseThreshold is the relative latency below which the throttle is released step by step.
	releaseThreshold = 0.4
	// releaseStep is by how much a release raises the throttle percentage.
	releaseStep = 20
	// releaseInterval is the minimum time between a change of the throttle and its next release,
	// several times the delay with which a worker reports.
	releaseInterval = 1200 * time.Millisecond
	// throttleUnknown is the throttle percentage of a run that an earlier planner started and may
	// have throttled. The first decision is always sent to the worker.
	throttleUnknown = -1
	// throttleAssumed is the highest percentage assumed for such runs when the throttle is
	// released: a jump from a low to the full percentage could push the serving tasks beside them
	// over their target.
	throttleAssumed = 40
)

// throttle slows the filling tasks of a worker when a serving task beside them nears its target,
// and releases them step by step. The reported tail latency lags by half a second and a target may
// be missed for a few seconds only, so throttling takes effect at once and release is gradual.
func (p *Planner) throttle(w *worker, now time.Time) {
	if w.serving == 0 {
		p.setThrottle(w, 100, now)
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
		p.setThrottle(w, 0, now)
		w.releaseAfter = now.Add(2 * releaseInterval)
	case maxLoad >= throttleThreshold:
		p.setThrottle(w, max(0, w.throttlePercent()-40), now)
		w.releaseAfter = now.Add(releaseInterval)
	case maxLoad < releaseThreshold && now.After(w.releaseAfter):
		percent := w.throttlePercent()
		if w.hasUnknownThrottle() {
			percent = min(percent, throttleAssumed)
		}
		if percent < 100 {
			p.setThrottle(w, min(100, percent+releaseStep), now)
			w.releaseAfter = now.Add(releaseInterval)
		}
	}
}

// throttlePercent returns the lowest known throttle percentage of the filling runs; 100 is full
// speed.
func (w *worker) throttlePercent() int {
	percent := 100
	for _, r := range w.runs {
		if r.isFilling() && r.throttle != throttleUnknown {
			percent = min(percent, r.throttle)
		}
	}
	return percent
}

// hasUnknownThrottle reports whether the throttle percentage of a filling run is unknown.
func (w *worker) hasUnknownThrottle() bool {
	for _, r := range w.runs {
		if r.isFilling() && r.throttle == throttleUnknown {
			return true
		}
	}
	return false
}

// isFilling reports whether the run belongs to a filling task, has started and is not being stopped.
func (r *run) isFilling() bool {
	return r.task != nil && r.task.phase.spec.Fills && r.started && !r.stopping
}

func (p *Planner) setThrottle(w *worker, percent int, now time.Time) {
	for _, r := range w.runs {
		if !r.isFilling() || r.throttle == percent || now.Sub(r.throttledAt) < releaseInterval/4 {
			continue
		}
		r.throttle, r.throttledAt = percent, now
		p.orders = append(p.orders, proto.Order{
			Kind: proto.OrderThrottle, Worker: w.vm.ID, Task: r.key.task, Run: r.key.run, Percent: percent,
		})
	}
}
