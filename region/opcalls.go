package region

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"plantainwinch/winch"
)

const (
	// smallConfig is the size in bytes up to which all that the operator has written is read again to be confirmed. If the
	// configuration is larger, only changes are asked for.
	smallConfig = 64 << 10
	// maxStall is how long a call for the operator's settings may be without progress. It doubles after each call that was
	// given up, up to maxStallOnFullLink: on a link that is full the first bytes take longer.
	maxStall           = maxStoreDelay
	maxStallOnFullLink = 4 * maxStall
	// readsAfterFailure is for how long all is read after a call for changes has failed.
	readsAfterFailure = 5 * time.Second
)

// storeCalls holds the state of the calls that make this entry current by the store. There is one at a time: copies of a
// large configuration that arrive beside each other delay each other, and all else on the link.
type storeCalls struct {
	wanted chan struct{}
	// asOf is a revision of the store as of which this entry knows all that the operator has written.
	asOf       atomic.Uint64
	arrived    atomic.Int64          // arrived counts the bytes of responses, complete or not.
	failure    atomic.Pointer[error] // failure is the error of the last call; nil if it had none.
	readsUntil time.Time             // readsUntil is until when changes are not asked for. It is used by runStoreCalls only.
	watched    arrival
}

// minArrival is how many bytes of a response have to have arrived for the rest to be waited for.
const minArrival = 4 << 10

// arrival follows the response to the call that waits for the operator's changes.
type arrival struct {
	mu          sync.Mutex
	begun, last time.Time // begun and last are when the first and the last bytes arrived.
	bytes       int
}

// note records that bytes have arrived.
func (a *arrival) note(bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Sub(a.last) > maxStall {
		a.begun, a.bytes = now, 0
	}
	a.last, a.bytes = now, a.bytes+bytes
}

// end records that the response is complete, and returns for how long it was arriving.
func (a *arrival) end() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	took := a.last.Sub(a.begun)
	a.last = time.Time{}
	return took
}

// underWay reports whether a response is arriving that is worth waiting for.
func (a *arrival) underWay() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes >= minArrival && time.Since(a.last) <= maxStall
}

// advance records a revision as of which this entry knows all that the operator has written.
func (c *storeCalls) advance(asOf uint64) {
	for {
		known := c.asOf.Load()
		if asOf <= known || c.asOf.CompareAndSwap(known, asOf) {
			return
		}
	}
}

// lastError returns the error of the last call, or nil.
func (c *storeCalls) lastError() error {
	if err := c.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// runStoreCalls makes the calls to the store that are wanted until ctx ends.
func (s *settings) runStoreCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.calls.wanted:
		}
		stall, again := maxStall, true
		for again && ctx.Err() == nil {
			again = s.callStore(ctx, stall) && s.node.storeResponsive()
			stall = min(2*stall, maxStallOnFullLink)
		}
	}
}

// callStore makes one call for the operator's settings, which is given up when nothing has arrived for stall. It reports
// whether another call may succeed at once.
func (s *settings) callStore(ctx context.Context, stall time.Duration) (again bool) {
	if s.calls.watched.underWay() {
		return false // It would bring the same.
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stalled atomic.Bool
	timer := time.AfterFunc(stall, func() {
		stalled.Store(true)
		cancel()
	})
	defer timer.Stop()
	sent, arrived := time.Now(), s.calls.arrived.Load()
	ctx = winch.WithProgress(ctx, func(bytes int) {
		s.calls.arrived.Add(int64(bytes))
		s.node.NoteStoreResponse()
		if timer.Stop() {
			timer.Reset(stall)
		}
	})
	var err error
	// Changes hold each version since; all that is written holds the last one only.
	if asOf := s.calls.asOf.Load(); asOf > 0 && s.size() > smallConfig && !s.behind() && sent.After(s.calls.readsUntil) {
		if err = s.readChanges(ctx, asOf); err != nil {
			s.calls.readsUntil = sent.Add(readsAfterFailure)
			again = errors.Is(err, winch.ErrCompacted)
		}
	} else {
		err = s.readAll(ctx)
	}
	s.noteCopy("store", int(s.calls.arrived.Load()-arrived), sent, err)
	s.calls.failure.Store(&err)
	if err == nil {
		s.confirm(sent)
	}
	return again || err != nil && stalled.Load()
}

// readAll reads all that the operator has written.
func (s *settings) readAll(ctx context.Context) error {
	values, asOf, err := s.node.Table.Read(ctx, s.node.Codec.OperatorPrefix())
	if err == nil {
		s.applyValues(values, asOf)
	}
	return err
}

// readChanges reads what the operator has changed since a revision.
func (s *settings) readChanges(ctx context.Context, after uint64) error {
	events, asOf, err := s.node.Table.Watch(ctx, s.node.Codec.OperatorPrefix(), after, 0)
	if err == nil {
		s.applyEvents(events, max(after, asOf))
	}
	return err
}

// applyValues puts in force all that the operator had written as of a revision.
func (s *settings) applyValues(values []winch.Value, asOf uint64) {
	s.node.applyEvacuations(readEvacuations(s.node.Codec.EvacuationPrefix(), values, asOf), "store")
	for _, v := range values {
		s.apply(v.Key, v.Data, "store")
	}
	s.calls.advance(asOf)
}

// applyEvents puts in force what the operator has changed up to a revision. Of several configurations only the last one is
// decoded.
func (s *settings) applyEvents(events []winch.Event, asOf uint64) {
	s.applyEvacuationEvents(events, asOf)
	var last winch.Value
	for _, e := range events {
		if !e.Deleted && e.Key == s.node.Codec.ConfigKey() {
			last = e.Value
		}
	}
	if last.Key != "" {
		s.apply(last.Key, last.Data, "store")
	}
	s.calls.advance(asOf)
}

// applyEvacuationEvents puts in force the changes of evacuations up to a revision.
func (s *settings) applyEvacuationEvents(events []winch.Event, asOf uint64) {
	s.node.applyEvacuations(s.node.evacuations.changed(s.node.Codec.EvacuationPrefix(), events, asOf), "store")
}

// passAsOf records a revision as of which a peer knows all that the operator has written, and has passed it on.
func (s *settings) passAsOf(asOf, version uint64) {
	if s.version() >= version {
		s.calls.advance(min(asOf, s.node.evacuations.load().AsOf))
	}
}
