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
	minCallTimeout = 100 * time.Millisecond
	maxCallTimeout = 600 * time.Millisecond
	// meanGain and deviationGain are the weights of one round-trip time in the mean and the
	// mean deviation, and timeoutDeviations is how many deviations beyond the mean the
	// timeout allows (RFC 6298).
	meanGain          = 1.0 / 8
	deviationGain     = 1.0 / 4
	timeoutDeviations = 4
	// lossPeriod is how long after a lost response further losses are expected.
	lossPeriod = 3 * time.Second
	// lossWindow is how soon after a failed call a worker has to respond to another one, so
	// that the response counts as lost and not the worker as unresponsive.
	lossWindow = 2 * time.Second
)

// roundTrips estimates the round-trip time of calls to workers, and detects whether
// responses are being lost.
type roundTrips struct {
	mu        sync.Mutex
	known     bool
	mean      time.Duration
	deviation time.Duration
	lastLoss  time.Time
}

// observe adds the round-trip time of a call without a wait at the worker.
func (t *roundTrips) observe(roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		t.known, t.mean, t.deviation = true, roundTrip, roundTrip/2
		return
	}
	t.deviation += time.Duration(deviationGain * float64((roundTrip-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(meanGain * float64(roundTrip-t.mean))
}

// timeout returns the timeout of a call. It doubles with each consecutive call that got no
// response.
func (t *roundTrips) timeout(failedCalls int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return maxCallTimeout
	}
	limit := max(minCallTimeout, t.mean+timeoutDeviations*t.deviation)
	for range failedCalls {
		limit = min(2*limit, maxCallTimeout)
	}
	return min(limit, maxCallTimeout)
}

// recordLoss records that a response was lost.
func (t *roundTrips) recordLoss() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastLoss = time.Now()
}

// lossy reports whether responses were lost recently.
func (t *roundTrips) lossy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lastLoss.IsZero() && time.Since(t.lastLoss) < lossPeriod
}

// isResponse reports whether the error of a call, if any, shows that the worker responded.
func isResponse(err error) bool {
	return err == nil || errors.Is(err, winch.ErrFenced) || errors.Is(err, winch.ErrOtherBoot)
}

// callTimeout returns the timeout of the next call to the worker.
func (h *holder) callTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keeper.roundTrips.timeout(h.failedCalls)
}

// recordCall records whether a call got a response. If a worker responds soon after a failed
// call, it was not unresponsive: the response to the failed call was lost.
func (h *holder) recordCall(ok bool) {
	now := time.Now()
	h.mu.Lock()
	lost := ok && h.failedCalls > 0 && now.Sub(h.lastFailure) < lossWindow
	if ok {
		h.failedCalls = 0
	} else {
		h.failedCalls++
		h.lastFailure = now
	}
	h.mu.Unlock()
	if lost {
		h.keeper.count("Keep.AnswersLost")
		h.keeper.roundTrips.recordLoss()
	}
}
