package region

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

// simStore simulates the platform's store: versioned keys, leases and a change history.
type simStore struct {
	world          *world
	mu             sync.Mutex
	items          map[string]winch.Value
	keyLeases      map[string]uint64 // keyLeases holds the lease that each key ends with; zero for none.
	events         []winch.Event
	leases         map[uint64]*simLease
	revision       uint64
	down           bool // down makes all calls time out without being carried out.
	losesResponses bool // losesResponses drops the responses to half of the transactions.
	calls          int  // calls counts the calls that were carried out.
	// stuckBefore makes watch calls that began before it return no changes.
	stuckBefore time.Time
	// hangsWatch, if set, reports whether a watch call of an entry that began at a time gets no response: the
	// connection stays open, and the call ends with the client's timeout.
	hangsWatch func(host, prefix string, begin time.Time) bool
	// failsRead, if set, says how a read of an entry that began at a time fails: it gets no response while the
	// connection stays open, or it is refused.
	failsRead  func(host, prefix string, begin time.Time) readFailure
	cellEvents int // cellEvents counts the changes of the cell's records that watches returned.
	// extraDelay is added to the duration of each call.
	extraDelay time.Duration
	// hangs makes calls that fail time out as late as those of a real client, not after a second.
	hangs      bool
	maxChanges int // maxChanges bounds the changes in one response; zero is no bound.
	// commitOutcome decides whether a transaction takes effect and whether its response arrives.
	commitOutcome func(txn winch.Txn) (applied, responded bool)
	// executesLate, if set, returns how much later than it is sent a transaction is executed; it gets no response then.
	executesLate func(txn winch.Txn) time.Duration
	// commitDelay, if set, returns how late the response to an entry's transaction arrives, which has taken effect.
	commitDelay func(host string, txn winch.Txn) time.Duration
	// readDelay, if set, returns how late the response to an entry's read arrives.
	readDelay    func(host, prefix string) time.Duration
	onRead       func(host, prefix string) // onRead is called on each read.
	refusedHosts map[string]bool           // refusedHosts holds the entries whose calls are refused.
	// silentWatches makes watches report no changes. compactedAt is the revision up to which the change
	// history was removed.
	silentWatches bool
	compactedAt   uint64
}

// refuseEntry makes the store turn away the calls of an entry.
func (w *world) refuseEntry(name string) {
	host, _, _ := strings.Cut(name, "/")
	w.setStore(func(s *simStore) { s.refusedHosts = map[string]bool{host: true} })
}

// simLease is a lease in the store.
type simLease struct {
	ttl   time.Duration
	until time.Time
}

// compact removes the change history. The store's mutex is held.
func (s *simStore) compact() {
	s.events, s.compactedAt = nil, s.revision
}

// put writes a key, which is removed when its lease ends, if it has one. The store's mutex is held.
func (s *simStore) put(key string, data []byte, lease uint64) {
	s.revision++
	v := winch.Value{Key: key, Data: data, Version: s.revision}
	s.items[key] = v
	s.events = append(s.events, winch.Event{Value: v})
	s.keyLeases[key] = lease
}

// remove deletes a key. The store's mutex is held.
func (s *simStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	delete(s.keyLeases, key)
	s.events = append(s.events, winch.Event{Value: winch.Value{Key: key, Version: s.revision}, Deleted: true})
}

// expireLeases ends leases that were not renewed in time.
func (s *simStore) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The store's mutex is held.
func (s *simStore) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	for key, owner := range s.keyLeases {
		if owner == id {
			s.remove(key)
		}
	}
}

func (s *simStore) noteCellEvents(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cellEvents += n
}

// simTable carries the calls of one entry to the store.
type simTable struct {
	store *simStore
	node  *Node
}

// call runs f, with the store's mutex held, if the entry can reach the store. If not, the call times
// out.
func (t *simTable) call(ctx context.Context, f func()) error {
	return t.callWithWait(ctx, maxWatchWait, f)
}

// callWithWait is call for a call that the store may keep open for wait.
func (t *simTable) callWithWait(ctx context.Context, wait time.Duration, f func()) error {
	return t.callForData(ctx, wait, func() int { f(); return 0 })
}

// callForData is callWithWait for a call whose response holds as many bytes as f returns.
func (t *simTable) callForData(ctx context.Context, wait time.Duration, f func() (bytes int)) error {
	w, polled := t.store.world, isPoll(ctx)
	if !polled {
		w.awaitArrival(ctx, t.node.Host, storeHost)
	}
	t.store.mu.Lock()
	delay := 2*time.Millisecond + t.store.extraDelay/2
	t.store.mu.Unlock()
	time.Sleep(delay)
	if ctx.Err() != nil {
		return winch.ErrUncertain // As from a client that stops waiting for the response.
	}
	w.mu.Lock()
	silent := w.late.silent(t.node.Host, storeHost)
	reached := w.canReach(t.node.Domain, "") && w.paused[t.node.Host] == nil && w.liveNodes()[t.node.Name] != nil
	w.mu.Unlock()
	if silent {
		return t.awaitTimeout(ctx, time.Now().Add(wait+clientTimeout))
	}
	t.store.mu.Lock()
	if t.store.refusedHosts[t.node.Host] {
		t.store.mu.Unlock()
		return winch.ErrUnavailable
	}
	if reached && !t.store.down {
		t.store.calls++
		bytes := f()
		t.store.mu.Unlock()
		time.Sleep(delay)
		if !polled {
			w.awaitArrival(ctx, storeHost, t.node.Host)
		}
		if ctx.Err() == nil && !polled {
			t.node.NoteStoreResponse()
		}
		if ctx.Err() != nil || w.rated() && !w.transfer(ctx, "", t.node.Host, bytes, func(n int) { winch.ReportProgress(ctx, n) }) {
			return winch.ErrUncertain
		}
		return nil
	}
	timeout := time.Second
	if t.store.hangs {
		timeout = wait + clientTimeout
	}
	t.store.mu.Unlock()
	return t.awaitTimeout(ctx, time.Now().Add(timeout))
}

// pollKey marks the context of calls by which the simulated store looks for changes itself.
type pollKey struct{}

func isPoll(ctx context.Context) bool { return ctx.Value(pollKey{}) != nil }

// clientTimeout is how long a client waits for a response beyond the time that the store may take.
const clientTimeout = 1500 * time.Millisecond

// hangs reports whether a watch call gets no response.
func (t *simTable) hangs(prefix string, begin time.Time) bool {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	return t.store.hangsWatch != nil && t.store.hangsWatch(t.node.Host, prefix, begin)
}

// awaitTimeout waits until a call without a response times out.
func (t *simTable) awaitTimeout(ctx context.Context, at time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, at)
	defer cancel()
	<-ctx.Done()
	return winch.ErrUncertain
}

// readFailure is how a read of the simulated store fails.
type readFailure int

const (
	readAnswered readFailure = iota
	readHangs
	readRefused
)

// readFailure returns how a read that begins now fails.
func (t *simTable) readFailure(prefix string) readFailure {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if t.store.failsRead == nil {
		return readAnswered
	}
	return t.store.failsRead(t.node.Host, prefix, time.Now())
}

func (t *simTable) Read(ctx context.Context, prefix string) (out []winch.Value, asOf uint64, err error) {
	switch t.readFailure(prefix) {
	case readHangs:
		return nil, 0, t.awaitTimeout(ctx, time.Now().Add(clientTimeout))
	case readRefused:
		time.Sleep(networkDelay)
		return nil, 0, winch.ErrUnavailable
	}
	late := time.Duration(0)
	err = t.callForData(ctx, maxWatchWait, func() (bytes int) {
		if t.store.readDelay != nil {
			late = t.store.readDelay(t.node.Host, prefix)
		}
		if t.store.onRead != nil {
			t.store.onRead(t.node.Host, prefix)
		}
		for key, v := range t.store.items {
			if strings.HasPrefix(key, prefix) {
				out = append(out, v)
				bytes += encodedSize(v)
			}
		}
		asOf = t.store.revision
		return bytes
	})
	if late > 0 {
		duty.Sleep(ctx, late)
	}
	return out, asOf, err
}

// encodedSize returns how many bytes a value takes in a response of the store, which encodes data in base64.
func encodedSize(v winch.Value) int { return len(v.Key) + len(v.Data)*4/3 + 100 }

func (t *simTable) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (out []winch.Event, next uint64, err error) {
	w, caller := t.store.world, ctx
	if w.mayBeLate() {
		w.awaitArrival(ctx, t.node.Host, storeHost)
		ctx = context.WithValue(ctx, pollKey{}, true)
	}
	begin := time.Now()
	for {
		if t.hangs(prefix, begin) {
			return nil, after, t.awaitTimeout(ctx, begin.Add(wait+clientTimeout))
		}
		compacted := false
		err = t.callForData(ctx, max(wait, maxWatchWait), func() (bytes int) {
			if compacted = after < t.store.compactedAt; compacted {
				return 0
			}
			next = t.store.revision
			if t.store.silentWatches || begin.Before(t.store.stuckBefore) {
				next = after
				return 0
			}
			for _, e := range t.store.events {
				if e.Version > after && strings.HasPrefix(e.Key, prefix) {
					if limit := t.store.maxChanges; limit > 0 && len(out) >= limit && e.Version != out[len(out)-1].Version {
						next = out[len(out)-1].Version
						break
					}
					out = append(out, e)
					bytes += encodedSize(e.Value)
				}
			}
			return bytes
		})
		if err == nil && compacted {
			return nil, after, winch.ErrCompacted
		}
		if err == nil && strings.HasPrefix(prefix, prefixCell) {
			t.store.noteCellEvents(len(out))
		}
		if err != nil || len(out) > 0 || time.Since(begin) >= wait {
			if isPoll(ctx) {
				w.awaitArrival(caller, storeHost, t.node.Host)
			}
			if isPoll(ctx) && err == nil && caller.Err() == nil {
				t.node.NoteStoreResponse()
			}
			return out, next, err
		}
		if ctx.Err() != nil {
			return nil, after, winch.ErrUncertain
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (t *simTable) Commit(ctx context.Context, txn winch.Txn) (revision uint64, err error) {
	var result error
	responseLost, late := false, time.Duration(0)
	err = t.call(ctx, func() {
		applied, responded := true, true
		if t.store.commitOutcome != nil {
			applied, responded = t.store.commitOutcome(txn)
		}
		responseLost = !responded
		if !applied {
			return
		}
		if delay := t.store.executesLate; delay != nil && delay(txn) > 0 {
			responseLost = true
			t.store.executeLater(txn, delay(txn))
			return
		}
		if revision, result = t.store.execute(txn); result != nil {
			return
		}
		if t.store.commitDelay != nil {
			late = t.store.commitDelay(t.node.Host, txn)
		}
		responseLost = responseLost || t.store.losesResponses && t.store.world.intn(2) == 0
	})
	if late > 0 {
		duty.Sleep(ctx, late)
	}
	if err == nil && responseLost {
		time.Sleep(300 * time.Millisecond)
		return 0, winch.ErrUncertain
	}
	return revision, errors.Join(err, result)
}

// execute executes a transaction and returns its revision. The store's mutex is held.
func (s *simStore) execute(txn winch.Txn) (revision uint64, err error) {
	conflict := &winch.ConflictError{Current: make(map[string]winch.Value)}
	for key, at := range txn.Expect {
		conflict.Current[key] = s.items[key]
		if s.items[key].Version != at {
			err = conflict
		}
	}
	if err != nil {
		return 0, err
	}
	for _, x := range txn.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			return 0, winch.ErrNotFound
		}
	}
	for _, x := range txn.Writes {
		s.put(x.Key, x.Data, x.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	// All writes of a transaction have one revision.
	for _, x := range txn.Writes {
		v := s.items[x.Key]
		v.Version = s.revision
		s.items[x.Key] = v
	}
	for i := range s.events[len(s.events)-len(txn.Writes):] {
		s.events[len(s.events)-len(txn.Writes)+i].Version = s.revision
	}
	return s.revision, nil
}

// executeLater executes a transaction after a time.
func (s *simStore) executeLater(txn winch.Txn, delay time.Duration) {
	s.world.group.Go(func() {
		duty.Sleep(s.world.ctx, delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.execute(txn) // Nobody learns the result.
	})
}

func (t *simTable) GrantLease(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	err = t.call(ctx, func() {
		t.store.revision++
		id = t.store.revision
		t.store.leases[id] = &simLease{ttl: ttl, until: time.Now().Add(ttl)}
	})
	return id, err
}

func (t *simTable) RenewLease(ctx context.Context, id uint64) error {
	var result error
	err := t.call(ctx, func() {
		l := t.store.leases[id]
		if l == nil {
			result = winch.ErrNotFound
			return
		}
		l.until = time.Now().Add(l.ttl)
	})
	return errors.Join(err, result)
}

func (t *simTable) RevokeLease(ctx context.Context, id uint64) error {
	return t.call(ctx, func() { t.store.endLease(id) })
}

// setStore changes the simulated store.
func (w *world) setStore(change func(s *simStore)) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	change(w.store)
}

// setStoreUnavailable sets whether all calls to the store time out.
func (w *world) setStoreUnavailable(down bool) {
	w.setStore(func(s *simStore) { s.down = down })
}
