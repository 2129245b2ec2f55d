package region

import (
	"context"
	"errors"
	"sync"
	"time"

	"plantainwinch/winch"
)

const (
	// silenceTimeout is how long the store may leave all calls unanswered before the entry considers it
	// unresponsive. A slow store takes about 300 ms to answer.
	silenceTimeout = 600 * time.Millisecond
	// refusalTimeout is how long the store may only refuse calls before the entry considers it
	// unresponsive.
	refusalTimeout = 300 * time.Millisecond
	// minSuspicionTime and maxSuspicionTime bound how long a call may be unanswered before the store is
	// suspected of being unresponsive. Between them it follows the measured round-trip times.
	minSuspicionTime = 100 * time.Millisecond
	maxSuspicionTime = silenceTimeout
	// roundTripGain and deviationGain are the weights of one round-trip time in the mean and the mean
	// deviation, and suspicionDeviations is how many deviations beyond the mean are not suspicious (RFC
	// 6298).
	roundTripGain       = 1.0 / 8
	deviationGain       = 1.0 / 4
	suspicionDeviations = 4
	// maxPauses bounds the pauses of this process that do not count as a silence of the store, by call. A process that is
	// always late finds a silent store unresponsive, too.
	maxPauses = 3
)

// storeHealth judges from the calls of this entry whether the store answers it. Its zero value stands
// for a store that has never been called.
type storeHealth struct {
	mu sync.Mutex
	// lookedAt is when look was last called, which happens each healthCheckInterval while this process runs; zero if never.
	lookedAt time.Time
	pending  map[*storeCall]bool // pending holds the calls without an answer, except long polls.
	// answeredAt is when the store last answered a call, refusedSince when it first refused one after
	// that.
	answeredAt   time.Time
	refusedSince time.Time
	// mean and deviation describe the round-trip time of calls.
	mean, deviation time.Duration
}

// storeCall is a call to the store.
type storeCall struct {
	sent time.Time
	// paused is how long this process did not run since then, in the given number of pauses.
	paused time.Duration
	pauses int
}

// begin records that a call is sent.
func (h *storeHealth) begin(now time.Time) *storeCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == nil {
		h.pending = make(map[*storeCall]bool)
	}
	c := &storeCall{sent: now}
	h.pending[c] = true
	return c
}

// end records that a call has ended: answered says that the store has executed it or found that its
// condition does not hold, refused that it has turned it away.
func (h *storeHealth) end(c *storeCall, now time.Time, answered, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered || refused {
		delete(h.pending, c)
	}
	if answered {
		h.observe(now.Sub(c.sent))
	}
	if refused && h.refusedSince.IsZero() {
		h.refusedSince = now
	}
}

// observe adds a round-trip time. The caller holds the mutex.
func (h *storeHealth) observe(took time.Duration) {
	if h.mean == 0 {
		h.mean, h.deviation = took, took/2
		return
	}
	h.deviation += time.Duration(deviationGain * float64((took-h.mean).Abs()-h.deviation))
	h.mean += time.Duration(roundTripGain * float64(took-h.mean))
}

// answered records that the store has answered a call, possibly a long poll. Calls that were sent before
// and have no answer yet say nothing about the store any more: their answers may be lost.
func (h *storeHealth) answered(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answeredAt, h.refusedSince = now, time.Time{}
	clear(h.pending)
}

// answeredSince reports whether the store has answered a call after a time.
func (h *storeHealth) answeredSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answeredAt.After(t)
}

// silence returns for how long calls have been without an answer. The caller holds the mutex.
func (h *storeHealth) silence(now time.Time) time.Duration {
	longest := time.Duration(0)
	for c := range h.pending {
		longest = max(longest, now.Sub(c.sent)-c.paused)
	}
	return longest
}

// look records that this process runs.
func (h *storeHealth) look(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaveOutPause(now)
	h.lookedAt = now
}

// leaveOutPause does not count time in which this process did not run: answers may have arrived and not been read, and where
// nobody runs the store is not silent either. The caller holds the mutex.
func (h *storeHealth) leaveOutPause(now time.Time) {
	since := now.Sub(h.lookedAt)
	if h.lookedAt.IsZero() || since <= healthCheckInterval+maxCheckDelay {
		return
	}
	h.lookedAt = now
	for c := range h.pending {
		if c.pauses < maxPauses {
			c.paused += min(since, now.Sub(c.sent))
			c.pauses++
		}
	}
}

// responsive reports whether the store answers this entry.
func (h *storeHealth) responsive(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaveOutPause(now)
	switch {
	case h.answeredAt.IsZero():
		return false
	case !h.refusedSince.IsZero() && now.Sub(h.refusedSince) > refusalTimeout:
		return false
	}
	return h.silence(now) < silenceTimeout
}

// suspect reports whether a call has been without an answer for longer than the store usually takes, so
// that the store may have become unresponsive.
func (h *storeHealth) suspect(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaveOutPause(now)
	usual := h.mean + suspicionDeviations*h.deviation
	return h.silence(now) > min(max(usual, minSuspicionTime), maxSuspicionTime)
}

// observedTable reports the calls to a table to a storeHealth.
type observedTable struct {
	winch.Table
	health *storeHealth
}

// observe makes a call and records its result.
func (t observedTable) observe(call func() error) error {
	c := t.health.begin(time.Now())
	err := call()
	answered, refused := classifyAnswer(err)
	t.health.end(c, time.Now(), answered, refused)
	return err
}

// classifyAnswer reports what the result of a call shows: the store has answered it, or it has refused
// it. A call without an answer shows neither.
func classifyAnswer(err error) (answered, refused bool) {
	switch {
	case errors.Is(err, winch.ErrUnavailable):
		return false, true
	case err == nil, errors.Is(err, winch.ErrConflict), errors.Is(err, winch.ErrNotFound), errors.Is(err, winch.ErrCompacted):
		return true, false
	}
	return false, false
}

// Read implements winch.Table.
func (t observedTable) Read(ctx context.Context, prefix string) (values []winch.Value, asOf uint64, err error) {
	err = t.observe(func() error {
		values, asOf, err = t.Table.Read(ctx, prefix)
		return err
	})
	return values, asOf, err
}

// Commit implements winch.Table.
func (t observedTable) Commit(ctx context.Context, txn winch.Txn) (revision uint64, err error) {
	err = t.observe(func() error {
		revision, err = t.Table.Commit(ctx, txn)
		return err
	})
	return revision, err
}

// RenewLease implements winch.Table.
func (t observedTable) RenewLease(ctx context.Context, lease uint64) error {
	return t.observe(func() error { return t.Table.RenewLease(ctx, lease) })
}
