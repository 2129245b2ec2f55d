package region

import (
	"context"
	"time"

	"plantainwinch/duty"
)

// lateness delays messages that slow entries send and handle, and all messages while the machine that everything runs on
// stalls. Messages on one path keep their order. The world's mutex guards it.
type lateness struct {
	// slow holds how late messages from and to the slow entries are, by host.
	slow map[string]latenessRange
	// stalledUntil is when the current stall ends. No message arrives before that.
	stalledUntil time.Time
	// lastArrival holds when the last message arrives on each path.
	lastArrival map[simPath]time.Time
	// silentConns holds how many connections on each path have fallen silent without a reset. The caller replaces each of
	// them once a call on it has timed out.
	silentConns map[simPath]int
}

// silent reports whether a call takes a connection that has fallen silent. The world's mutex is held.
func (l *lateness) silent(from, to string) bool {
	if l == nil || l.silentConns[simPath{from, to}] == 0 {
		return false
	}
	l.silentConns[simPath{from, to}]--
	return true
}

// latenessRange is the range from which the lateness of each message is drawn.
type latenessRange struct{ low, high time.Duration }

// draw returns the lateness of one message.
func (r latenessRange) draw(w *world) time.Duration {
	if r.high <= r.low {
		return r.low
	}
	return r.low + time.Duration(w.intn(int(r.high-r.low)))
}

// enableLateness allows messages to be late from now on.
func (w *world) enableLateness() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = &lateness{slow: make(map[string]latenessRange), lastArrival: make(map[simPath]time.Time), silentConns: make(map[simPath]int)}
}

// mayBeLate reports whether messages may be late.
func (w *world) mayBeLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late != nil
}

// arrival returns when a message arrives that is sent now: after the end of a stall and after those sent before it.
func (w *world) arrival(from, to string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, path := w.late, simPath{from, to}
	if l == nil {
		return time.Now()
	}
	at := time.Now().Add(l.slow[from].draw(w) + l.slow[to].draw(w))
	at = later(later(at, l.stalledUntil), l.lastArrival[path].Add(time.Nanosecond))
	l.lastArrival[path] = at
	return at
}

// awaitArrival waits until a message that is sent now arrives, or until ctx ends.
func (w *world) awaitArrival(ctx context.Context, from, to string) {
	if w.mayBeLate() {
		duty.Sleep(ctx, time.Until(w.arrival(from, to)))
	}
}

// callLate has f carried out at the receiver, however late the request arrives there, and returns its result, or lost if
// that does not arrive while ctx lasts.
func callLate[T any](ctx context.Context, w *world, from, to string, f func() T, lost T) T {
	if !w.mayBeLate() {
		return f()
	}
	result, at := make(chan T, 1), w.arrival(from, to)
	w.group.Go(func() {
		duty.Sleep(w.ctx, time.Until(at))
		out := f()
		w.awaitArrival(w.ctx, to, from)
		result <- out
	})
	select {
	case out := <-result:
		return out
	case <-ctx.Done():
		return lost
	}
}

// storeHost stands for the store in paths.
const storeHost = ""

// stall keeps all messages back for a time, and all planners from deciding.
func (w *world) stall(length time.Duration) {
	w.mu.Lock()
	w.late.stalledUntil = time.Now().Add(length)
	nodes := w.liveNodes()
	w.mu.Unlock()
	for _, n := range nodes {
		w.group.Go(func() { n.occupy(length) })
	}
}

// occupy has the entry's planner, if it is one, do nothing else for a time, and waits for the end of that.
func (n *Node) occupy(length time.Duration) {
	if l := n.leadership.Load(); l != nil {
		_ = l.duty.Do(l.ctx, func() { duty.Sleep(l.ctx, length) }) // An error means that the leadership is over.
	}
}
