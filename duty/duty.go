// Package duty provides an event loop: one goroutine that owns a piece of state and runs
// the functions that others queue. The state needs no lock, and the queue is bounded, so
// excess work is refused instead of piling up.
package duty

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

// ErrFull is returned when the queue is full.
var ErrFull = errors.New("work queue is full")

// ErrStopped is returned once the loop has ended.
var ErrStopped = errors.New("event loop has stopped")

// DefaultSize is the size of the queue if none is given.
const DefaultSize = 1024

// urgentSize is the number of urgent functions that a loop queues.
const urgentSize = 64

// Loop runs queued functions one at a time in one goroutine. The state it owns may be
// accessed only by these functions.
type Loop struct {
	Name    string
	Size    int
	Metrics metrics.Registry

	queue   chan func()
	urgent  chan func() // urgent holds functions that run before those in queue.
	stopped chan struct{}
	refused metrics.Counter
	steps   atomic.Uint64             // steps counts the functions that were begun.
	since   atomic.Pointer[time.Time] // since is when the present one was begun; nil between two.
}

// New returns a loop that accepts functions at once and runs them after Run is called.
func New(name string, size int, reg metrics.Registry) *Loop {
	if size == 0 {
		size = DefaultSize
	}
	if reg == nil {
		reg = metrics.NewRegistry()
	}
	d := &Loop{Name: name, Size: size, Metrics: reg}
	d.queue = make(chan func(), size)
	d.urgent = make(chan func(), urgentSize)
	d.stopped = make(chan struct{})
	d.refused = metrics.GetOrRegisterCounter("Ring."+name+".Refused", reg)
	_ = reg.Register("Ring."+name+".Depth", metrics.NewFunctionalGauge(func() int64 {
		return int64(len(d.queue))
	}))
	return d
}

// Run runs the queued functions until ctx ends.
func (d *Loop) Run(ctx context.Context) {
	d.RunWithTick(ctx, nil, nil)
}

// RunWithTick runs the queued functions until ctx ends, and f whenever tick fires.
func (d *Loop) RunWithTick(ctx context.Context, tick <-chan time.Time, f func()) {
	defer close(d.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-d.urgent:
			d.step(work)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case work := <-d.urgent:
			d.step(work)
		case work := <-d.queue:
			d.step(work)
		case <-tick:
			d.step(f)
		}
	}
}

func (d *Loop) step(f func()) {
	now := time.Now()
	d.steps.Add(1)
	d.since.Store(&now)
	f()
	d.since.Store(nil)
}

// Busy returns the number of the function that runs and for how long it has; zero if none does.
func (d *Loop) Busy() (step uint64, took time.Duration) {
	since := d.since.Load()
	if since == nil {
		return 0, 0
	}
	return d.steps.Load(), time.Since(*since)
}

// Post queues f without waiting for it to run. It returns ErrFull if the queue is full.
func (d *Loop) Post(f func()) error {
	select {
	case d.queue <- f:
		return nil
	default:
		d.refused.Inc(1)
		return ErrFull
	}
}

// PostUrgent is like Post, but f runs before all that Post and Do have queued. It is meant for a few functions that
// others wait for while the queue is long.
func (d *Loop) PostUrgent(f func()) error {
	select {
	case d.urgent <- f:
		return nil
	default:
		d.refused.Inc(1)
		return ErrFull
	}
}

// Do waits until f is queued and has run. If ctx ends before f begins, it returns the error of ctx, and
// f does not run. It is meant for a bounded number of callers; work that peers or callers can send without
// limit must go through Post.
func (d *Loop) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	var claimed atomic.Bool // claimed is set by whoever comes first: the loop to run f, or the caller to leave.
	task := func() {
		if claimed.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	}
	select {
	case d.queue <- task:
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopped:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-d.stopped:
		return ErrStopped
	case <-ctx.Done():
	}
	if claimed.CompareAndSwap(false, true) {
		return ctx.Err()
	}
	select { // It runs already.
	case <-done:
		return nil
	case <-d.stopped:
		return ErrStopped
	}
}

// RunUntil runs f with a context that is also cancelled when stop is closed or receives a
// value, and reports whether that happened. f must return soon after its context has ended.
func RunUntil(ctx context.Context, stop <-chan struct{}, f func(ctx context.Context)) (stopped bool) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() {
		select {
		case <-ctx.Done():
		case <-stop:
			stopped = true
			cancel()
		}
	})
	f(ctx)
	cancel()
	group.Wait()
	return stopped
}
