package region

import (
	"context"
	"time"

	"plantainwinch/duty"
)

// A transfer goes in chunks, between which the chunks of others go.
const chunkBytes = 8 << 10

// mbit is a rate of one Mbit/s in bytes a second.
const mbit = 1e6 / 8

// simRates holds how many bytes a second the VMs carry in each direction; others carry any number at once.
type simRates struct {
	rates map[string]float64
	// busyUntil is when the chunks that are on their way have passed a VM, from it (true) or to it.
	busyUntil map[simDirection]time.Time
	// last is closed when the last message from one VM to another has arrived. A link delivers in order.
	last map[simPath]chan struct{}
}

// simDirection is one direction of a VM's network.
type simDirection struct {
	host string
	out  bool
}

// setRates bounds how many bytes a second VMs carry in each direction.
func (w *world) setRates(rates map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rates = simRates{rates, make(map[simDirection]time.Time), make(map[simPath]chan struct{})}
}

// rated reports whether transfers take time.
func (w *world) rated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.rates.rates) > 0
}

// occupy has a VM carry a chunk after those that it carries already, and returns when that is done.
func (w *world) occupy(d simDirection, bytes int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := w.rates.rates[d.host]
	if rate == 0 {
		return time.Now()
	}
	start := time.Now()
	if busy := w.rates.busyUntil[d]; busy.After(start) {
		start = busy
	}
	end := start.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	w.rates.busyUntil[d] = end
	return end
}

// transfer carries bytes from one VM to another; "" is the store. It reports whether it was completed.
func (w *world) transfer(ctx context.Context, from, to string, bytes int, arrived func(bytes int)) bool {
	for bytes > 0 {
		chunk := min(bytes, chunkBytes)
		bytes -= chunk
		for _, d := range []simDirection{{from, true}, {to, false}} {
			if duty.Sleep(ctx, time.Until(w.occupy(d, chunk))); ctx.Err() != nil {
				return false
			}
		}
		arrived(chunk)
	}
	return true
}

// send carries a message over the link between two entries, after those that were sent before, and then calls deliver.
// It is carried to the end although the sender may not wait for that.
func (w *world) send(from, to string, bytes int, deliver func()) {
	w.mu.Lock()
	path := simPath{from, to}
	before, done := w.rates.last[path], make(chan struct{})
	w.rates.last[path] = done
	w.mu.Unlock()
	w.group.Go(func() {
		defer close(done)
		if before != nil {
			<-before
		}
		if w.transfer(w.ctx, from, to, bytes, func(int) {}) {
			deliver()
		}
	})
}
