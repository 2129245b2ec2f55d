package keep

import (
	"errors"
	"sync"
	"time"

	"plantainwinch/winch"
)

const (
	// leastAnswer and mostAnswer bound how long the answer to a call is waited for. It
	// follows the round trips that were seen; before the first it is mostAnswer.
	leastAnswer = 100 * time.Millisecond
	mostAnswer  = 600 * time.Millisecond
	// tripStep and spreadStep are how much one round trip moves the mean and the
	// spread, and spreads how many spreads beyond the mean are waited for (RFC 6298).
	tripStep   = 1.0 / 8
	spreadStep = 1.0 / 4
	spreads    = 4
	// lossTime is how long after a lost answer more of them are reckoned with.
	lossTime = 3 * time.Second
	// lossNear is how soon after a call that was not answered a worker has to answer
	// another, for the first to count as lost and not the worker.
	lossNear = 2 * time.Second
)

// trips learns how long calls to workers take, and whether answers are lost.
type trips struct {
	mu     sync.Mutex
	known  bool
	mean   time.Duration
	spread time.Duration
	lost   time.Time
}

// answered takes the round trip of a call that the worker did not have to wait with.
func (t *trips) answered(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		t.known, t.mean, t.spread = true, took, took/2
		return
	}
	t.spread += time.Duration(spreadStep * float64((took-t.mean).Abs()-t.spread))
	t.mean += time.Duration(tripStep * float64(took-t.mean))
}

// limit is how long an answer is waited for, twice as long for each call in a row that
// the worker did not answer.
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

// loss notes that an answer was lost.
func (t *trips) loss() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = time.Now()
}

// lossy reports whether answers have lately been lost.
func (t *trips) lossy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lost.IsZero() && time.Since(t.lost) < lossTime
}

// isAnswer reports whether an error, or none, says that the worker answered.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, winch.ErrFenced) || errors.Is(err, winch.ErrOtherBoot)
}

// answerLimit is how long the answer to a call to the worker is waited for.
func (h *holder) answerLimit() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keeper.trips.limit(h.unanswered)
}

// noteCall takes whether a call was answered. A worker that answers soon after a call
// that it did not answer has not gone: the answer was lost.
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
