package duty

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// maxTimeoutParts is the number of parts that a timeout is waited for in, and minTimeoutPart the minimum length of one.
	maxTimeoutParts = 8
	minTimeoutPart  = 25 * time.Millisecond
	// maxPausedParts bounds the parts of a timeout that are not counted. A pause makes one late, however long it is, and where
	// timers are always late a timeout must not become much longer.
	maxPausedParts = 2
	// MaxTimerDelay is how late a timer may fire. After a longer delay this process may not have run, and what it waits for
	// may have arrived and not been read.
	MaxTimerDelay = 25 * time.Millisecond
)

// WithTimeout is like context.WithTimeout, but does not count time in which this process did not run, because it was paused or
// others had the processor: what it waits for was not silent then. The context's deadline is that without such time.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	deadline := time.Now().Add(d)
	if earlier, ok := parent.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	timer := AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return timeoutContext{ctx, deadline}, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// timeoutContext is a context of WithTimeout.
type timeoutContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c timeoutContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Err implements context.Context.
func (c timeoutContext) Err() error {
	if err := c.Context.Err(); err == nil || !errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return err
	}
	return context.DeadlineExceeded
}

// Timer is like a time.Timer of time.AfterFunc, but does not count time in which this process did not run.
type Timer struct {
	f func()

	mu      sync.Mutex
	timer   *time.Timer
	left    patience
	due     time.Time // due is when the present part ends.
	stopped bool
}

// AfterFunc returns a timer that calls f after the duration d.
func AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{f: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = newPatience(d)
	t.due = time.Now().Add(t.left.part())
	t.timer = time.AfterFunc(t.left.part(), t.fire)
	return t
}

// Stop stops the timer, and reports whether it had neither ended nor been stopped.
func (t *Timer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := !t.stopped
	t.stopped = true
	t.timer.Stop()
	return active
}

// Reset starts a timer that has been stopped again.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left, t.stopped = newPatience(d), false
	t.startPart()
}

// startPart starts the next part. The caller holds the mutex.
func (t *Timer) startPart() {
	t.due = time.Now().Add(t.left.part())
	t.timer.Reset(t.left.part())
}

// fire ends a part.
func (t *Timer) fire() {
	if t.endPart() {
		t.f()
	}
}

// endPart ends a part, and reports whether it was the last one.
func (t *Timer) endPart() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := time.Since(t.due)
	if t.stopped || late < 0 {
		return false // It was stopped, and maybe started again, at the same time.
	}
	if t.left.endPart(late) {
		t.stopped = true
		return true
	}
	t.startPart()
	return false
}

// patience is what is left of a timeout.
type patience struct {
	left, length time.Duration
	uncounted    int // uncounted is the number of parts that may still be left out.
}

func newPatience(d time.Duration) patience {
	return patience{left: d, length: max(minTimeoutPart, d/maxTimeoutParts), uncounted: maxPausedParts}
}

// part returns the length of the next part.
func (p *patience) part() time.Duration { return min(p.left, p.length) }

// endPart records that a part has ended, late by the given time, and reports whether it was the last one. One that has ended
// late is not counted; so often at most that a timeout also ends where timers are always late.
func (p *patience) endPart(late time.Duration) bool {
	if late > MaxTimerDelay && p.uncounted > 0 {
		p.uncounted--
		return false
	}
	p.left -= p.part()
	return p.left <= 0
}
