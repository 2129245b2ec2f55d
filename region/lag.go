package region

import (
	"math"
	"time"
)

const (
	// lagHalf is how long it takes until half of a change of the lag is noticed.
	lagHalf = 500 * time.Millisecond
	// lagMost is the lag from which on a planner counts as slower than it should be: each
	// phase of an urgent job takes so much longer.
	lagMost = 150 * time.Millisecond
	// lagAfter is how long a planner serves before it gives the office to its standby for its
	// lag: what a takeover brings is done by then.
	lagAfter = 4 * time.Second
)

// lag is how much later than it was to the planner decides, in the mean of the last moments.
// On a VM that has turned slow it grows although the office's lease is renewed in time.
type lag struct {
	due  time.Time
	mean time.Duration
	at   time.Time
}

// note takes that a decision begins.
func (l *lag) note(now time.Time) {
	if l.due.IsZero() {
		return // It was not to decide at a time.
	}
	late := max(0, now.Sub(l.due))
	kept := 0.0
	if !l.at.IsZero() {
		kept = math.Exp2(-(now.Sub(l.at) + time.Millisecond).Seconds() / lagHalf.Seconds())
	}
	l.mean = late + time.Duration(kept*float64(l.mean-late))
	l.at = now
}

// slow reports whether the planner decides much later than it should, and its standby, which
// answers soon, would not.
func (l *lead) slow() bool {
	return l.lag.mean > lagMost && time.Since(l.began) > lagAfter && l.covered() && l.answered < l.lag.mean
}
