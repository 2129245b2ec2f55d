package region

import (
	"math"
	"time"
)

const (
	// lagHalfLife is how long it takes until half of a change of the lag shows in the mean.
	lagHalfLife = 500 * time.Millisecond
	// maxLag is the lag from which on a planner counts as too slow: each phase of an urgent job is
	// delayed by that much.
	maxLag = 150 * time.Millisecond
	// lagYieldDelay is how long a planner serves before it yields the office because of its lag: the
	// extra work of a takeover is done by then.
	lagYieldDelay = 4 * time.Second
)

// lag measures how much later than scheduled the planner decides, as a moving average. On a VM that
// has become slow the lag grows although the office's lease is renewed in time.
type lag struct {
	due       time.Time // due is when the next decision is scheduled.
	mean      time.Duration
	updatedAt time.Time // updatedAt is when mean was last updated.
	// last is how late the last decision was.
	last time.Duration
}

// note records that a decision begins.
func (l *lag) note(now time.Time) {
	if l.due.IsZero() {
		return // No decision was scheduled.
	}
	late := max(0, now.Sub(l.due))
	// One late decision may be due to a pause, maybe of all entries, and does not make the planner slow. Two in a row do.
	counted := min(late, max(l.last, maxLag))
	l.last = late
	weight := 0.0 // weight is the weight of the old mean.
	if !l.updatedAt.IsZero() {
		weight = math.Exp2(-(now.Sub(l.updatedAt) + time.Millisecond).Seconds() / lagHalfLife.Seconds())
	}
	l.mean = counted + time.Duration(weight*float64(l.mean-counted))
	l.updatedAt = now
}

// slow reports whether the planner decides much later than scheduled, while its standby is ready and
// responds in less time than that.
func (l *leadership) slow() bool {
	return l.lag.mean > maxLag && time.Since(l.startedAt) > lagYieldDelay && l.standbyReady() && l.mirrorRoundTrip < l.lag.mean
}
