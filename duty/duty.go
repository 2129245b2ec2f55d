// Package duty runs one goroutine that owns a piece of state. Others hand it
// functions through a bounded ring, so the state needs no lock and a flood of
// work is refused at the ring instead of piling up.
package duty

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

// ErrFull is returned when the ring has no room.
var ErrFull = errors.New("ring is full")

// ErrStopped is returned once the duty has ended.
var ErrStopped = errors.New("duty has stopped")

// DefaultSize is the ring's size where none is set.
const DefaultSize = 1024

// Duty owns state that only functions run by it may touch.
type Duty struct {
	Name    string
	Size    int
	Metrics metrics.Registry

	ring    chan func()
	stopped chan struct{}
	refused metrics.Counter
}

// New returns a duty that accepts work at once and does it after Run is called.
func New(name string, size int, reg metrics.Registry) *Duty {
	if size == 0 {
		size = DefaultSize
	}
	if reg == nil {
		reg = metrics.NewRegistry()
	}
	d := &Duty{Name: name, Size: size, Metrics: reg}
	d.ring = make(chan func(), size)
	d.stopped = make(chan struct{})
	d.refused = metrics.GetOrRegisterCounter("Ring."+name+".Refused", reg)
	_ = reg.Register("Ring."+name+".Depth", metrics.NewFunctionalGauge(func() int64 {
		return int64(len(d.ring))
	}))
	return d
}

// Run does the work until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	d.Every(ctx, nil, nil)
}

// Every does the work until ctx ends, and f whenever tick fires.
func (d *Duty) Every(ctx context.Context, tick <-chan time.Time, f func()) {
	defer close(d.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-d.ring:
			work()
		case <-tick:
			f()
		}
	}
}

// Post hands f over without waiting for it and returns ErrFull if the ring has no room.
func (d *Duty) Post(f func()) error {
	select {
	case d.ring <- f:
		return nil
	default:
		d.refused.Inc(1)
		return ErrFull
	}
}

// Do waits for room, then until f has run. Work of a bounded number of callers
// goes through here; what a peer or caller can send at will goes through Post.
func (d *Duty) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	task := func() {
		f()
		close(done)
	}
	select {
	case d.ring <- task:
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
	}
}

// Until runs f with a context that also ends when stop is closed or sends, and
// reports whether it did. f must return soon after its context has ended.
func Until(ctx context.Context, stop <-chan struct{}, f func(ctx context.Context)) (stopped bool) {
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
