package keep

import (
	"errors"
	"sync"
	"time"

	"plantainwinch/winch"
)

const (
	// minCallTimeout and maxCallTimeout bound the timeout of a call. The timeout follows
	// the measured round-trip times; before the first it is maxCallTimeout.
	leastAnswer = 100 * time.Millisecond
	mostAnswer  = 600 * time.Millisecond
	// meanGain and deviationGain are the weights of one round-trip time in the mean and the
	// mean deviation, and timeoutDeviations is how many deviations beyond the mean the
	// timeout allows (RFC 6298).
	tripStep   = 1.0 / 8
	spreadStep = 1.0 / 4
	spreads    = 4
	// lossPeriod is how long after a lost response further losses are expected.
	lossTime = 3 * time.Second
	// lossWindow is how soon after a failed call a worker has to answer another one, for
	// the response to count as lost rather than the worker as unresponsive.
	lossNear = 2 * time.Second
)

// roundTrips estimates the round-trip time of calls to workers, and detects whether
// responses are being lost.
type trips struct {
	mu     sync.Mutex
	known  bool
	mean   time.Duration
	spread time.Duration
	lost   time.Time
}

// observe adds the round-trip time of a call without a wait at the worker.
func (t *trips) answered(roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		t.known, t.mean, t.spread = true, roundTrip, roundTrip/2
		return
	}
	t.spread += time.Duration(spreadStep * float64((roundTrip-t.mean).Abs()-t.spread))
	t.mean += time.Duration(tripStep * float64(roundTrip-t.mean))
}

// timeout returns the timeout of a call. It doubles with each consecutive call that the
// worker did not answer.
func (t *trips) limit(unanswered int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return mostAnswer
	}
	limit := max(leastAnswer, t.mean+spreads*t.spread)
	for range unanswered {
		limit = min(2*limit, mostAnswer)
	}
	return min(limit, mostAnswer)
}

// recordLoss records that a response was lost.
func (t *trips) loss() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = time.Now()
}

// lossy reports whether responses were lost recently.
func (t *trips) lossy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lost.IsZero() && time.Since(t.lost) < lossTime
}

// isResponse reports whether the error of a call, if any, shows that the worker responded.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, winch.ErrFenced) || errors.Is(err, winch.ErrOtherBoot)
}

// callTimeout returns the timeout of the next call to the worker.
func (h *holder) answerLimit() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keeper.trips.limit(h.unanswered)
}

// recordCall records whether a call was answered. If a worker responds soon after a failed
// call, it was not unresponsive: the response to the failed call was lost.
func (h *holder) noteCall(ok bool) {
	now := time.Now()
	h.mu.Lock()
	lost := ok && h.unanswered > 0 && now.Sub(h.missed) < lossNear
	if ok {
		h.unanswered = 0
	} else {
		h.unanswered++
		h.missed = now
	}
	h.mu.Unlock()
	if lost {
		h.keeper.count("Keep.AnswersLost")
		h.keeper.trips.loss()
	}
}
