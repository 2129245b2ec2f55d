package copies

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the half-life of what is known about earlier copies: what a queue's jobs
	// are like may change.
	evidenceHalfLife = 20 * time.Second
	// minEvidence is the number of results from which they decide. Until then at most that many
	// copies of the queue run at once.
	minEvidence = 6
	// leastShare is the least part of the expected gain that copies must have brought. A share of a
	// quarter means that three of four copies run in vain, and a copy is worth as much as it occupies
	// capacity that would be idle.
	leastShare = 0.25
	// trialInterval is the time between copies of a queue whose copies gain nothing. They show
	// whether that has changed.
	trialInterval = 5 * time.Second
)

// Ledger holds what the copies of one queue gained. The zero value is ready for use.
type Ledger struct {
	// results is the decayed number of results, gained the decayed sum of the shares of their
	// expected gains.
	results, gained float64
	updated         time.Time
	lastTrial       time.Time
	// known is set once there were minEvidence results, until half of them have decayed.
	known bool
}

// Result is the outcome of one copy, as far as it is known.
type Result struct {
	// Expected is the gain that was expected of the copy, Gained by how much earlier the task ended
	// than its first run would have. Gained is zero if the first run ended first.
	Expected, Gained time.Duration
}

// Add adds the result of a copy.
func (l *Ledger) Add(now time.Time, r Result) {
	if r.Expected <= 0 {
		return
	}
	l.decay(now)
	l.results++
	l.known = l.known || l.results >= minEvidence
	l.gained += min(1, max(0, r.Gained.Seconds()/r.Expected.Seconds()))
}

func (l *Ledger) decay(now time.Time) {
	if !l.updated.IsZero() && now.After(l.updated) {
		factor := math.Exp2(-now.Sub(l.updated).Seconds() / evidenceHalfLife.Seconds())
		l.results, l.gained = factor*l.results, factor*l.gained
	}
	l.updated = now
	l.known = l.results >= minEvidence || l.known && l.results >= minEvidence/2
}

// Allows returns how many more copies of the queue may be started now, given the number that run.
func (l *Ledger) Allows(now time.Time, running int) int {
	l.decay(now)
	switch {
	case !l.known:
		return max(0, minEvidence-running)
	case l.gained >= leastShare*l.results:
		return math.MaxInt
	case running == 0 && now.Sub(l.lastTrial) >= trialInterval:
		return 1
	}
	return 0
}

// Started notes the start of a copy.
func (l *Ledger) Started(now time.Time) {
	l.lastTrial = now
}
