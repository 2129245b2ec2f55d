package region

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"plantainwinch/winch"
)

// simStore is the platform's store.
type simStore struct {
	world    *world
	mu       sync.Mutex
	items    map[string]winch.Value
	owner    map[string]uint64
	events   []winch.Event
	leases   map[uint64]*simLease
	revision uint64
	down     bool // down makes all calls go unanswered.
	lossy    bool // lossy loses the answers of half of the transactions.
	calls    int
	// slow is how much longer an answer takes.
	slow time.Duration
	// swallow leaves calls without an answer for as long as a real client waits.
	swallow bool
	most    int // most bounds the changes that one answer tells, if it is not zero.
	// fate says whether a transaction takes effect and is answered.
	fate    func(txn winch.Txn) (applied, answered bool)
	onRead  func(host, prefix string) // onRead is told of each reading.
	refused map[string]bool           // refused holds the entries that are turned away.
}

type simLease struct {
	ttl   time.Duration
	until time.Time
}

func (s *simStore) put(key string, data []byte, lease uint64) {
	s.revision++
	v := winch.Value{Key: key, Data: data, Version: s.revision}
	s.items[key] = v
	s.events = append(s.events, winch.Event{Value: v})
	s.owner[key] = lease
}

func (s *simStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	delete(s.owner, key)
	s.events = append(s.events, winch.Event{Value: winch.Value{Key: key, Version: s.revision}, Deleted: true})
}

func (s *simStore) expire(ctx context.Context) {
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

func (s *simStore) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	for key, owner := range s.owner {
		if owner == id {
			s.remove(key)
		}
	}
}

// simTable is an entry's way to the store.
type simTable struct {
	store *simStore
	node  *Node
}

// call makes a call if the store is reached, and waits in vain if not.
func (t *simTable) call(ctx context.Context, f func()) error {
	w := t.store.world
	t.store.mu.Lock()
	way := 2*time.Millisecond + t.store.slow/2
	t.store.mu.Unlock()
	time.Sleep(way)
	if ctx.Err() != nil {
		return winch.ErrUncertain // As a client that does not wait for the answer.
	}
	w.mu.Lock()
	reached := w.reaches(t.node.Domain, "") && w.frozen[t.node.Host] == nil && w.live()[t.node.Name] != nil
	w.mu.Unlock()
	t.store.mu.Lock()
	if t.store.refused[t.node.Host] {
		t.store.mu.Unlock()
		return winch.ErrUnavailable
	}
	if reached && !t.store.down {
		t.store.calls++
		f()
		t.store.mu.Unlock()
		time.Sleep(way)
		if ctx.Err() != nil {
			return winch.ErrUncertain
		}
		t.node.NoteStoreResponse()
		return nil
	}
	most := time.Second
	if t.store.swallow {
		most = maxWatchWait + 1500*time.Millisecond
	}
	t.store.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	<-ctx.Done()
	return winch.ErrUncertain
}

func (t *simTable) Read(ctx context.Context, prefix string) (out []winch.Value, asOf uint64, err error) {
	err = t.call(ctx, func() {
		if t.store.onRead != nil {
			t.store.onRead(t.node.Host, prefix)
		}
		for key, v := range t.store.items {
			if strings.HasPrefix(key, prefix) {
				out = append(out, v)
			}
		}
		asOf = t.store.revision
	})
	return out, asOf, err
}

func (t *simTable) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (out []winch.Event, next uint64, err error) {
	begin := time.Now()
	for {
		err = t.call(ctx, func() {
			next = t.store.revision
			for _, e := range t.store.events {
				if e.Version > after && strings.HasPrefix(e.Key, prefix) {
					if most := t.store.most; most > 0 && len(out) >= most && e.Version != out[len(out)-1].Version {
						next = out[len(out)-1].Version
						break
					}
					out = append(out, e)
				}
			}
		})
		if err != nil || len(out) > 0 || time.Since(begin) >= wait {
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
	lost := false
	err = t.call(ctx, func() {
		applied, answered := true, true
		if t.store.fate != nil {
			applied, answered = t.store.fate(txn)
		}
		lost = !answered
		if !applied {
			return
		}
		conflict := &winch.ConflictError{Current: make(map[string]winch.Value)}
		for key, at := range txn.Expect {
			conflict.Current[key] = t.store.items[key]
			if t.store.items[key].Version != at {
				result = conflict
			}
		}
		if result != nil {
			return
		}
		for _, x := range txn.Writes {
			if x.Lease != 0 && t.store.leases[x.Lease] == nil {
				result = winch.ErrMissing
				return
			}
		}
		for _, x := range txn.Writes {
			t.store.put(x.Key, x.Data, x.Lease)
		}
		for _, key := range txn.Remove {
			t.store.remove(key)
		}
		// All writes of a transaction have one revision.
		for _, x := range txn.Writes {
			v := t.store.items[x.Key]
			v.Version = t.store.revision
			t.store.items[x.Key] = v
		}
		for i := range t.store.events[len(t.store.events)-len(txn.Writes):] {
			t.store.events[len(t.store.events)-len(txn.Writes)+i].Version = t.store.revision
		}
		revision = t.store.revision
		lost = lost || t.store.lossy && t.store.world.intn(2) == 0
	})
	if err == nil && lost {
		time.Sleep(300 * time.Millisecond)
		return 0, winch.ErrUncertain
	}
	return revision, errors.Join(err, result)
}

func (t *simTable) Lease(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	err = t.call(ctx, func() {
		t.store.revision++
		id = t.store.revision
		t.store.leases[id] = &simLease{ttl: ttl, until: time.Now().Add(ttl)}
	})
	return id, err
}

func (t *simTable) Keep(ctx context.Context, id uint64) error {
	var result error
	err := t.call(ctx, func() {
		l := t.store.leases[id]
		if l == nil {
			result = winch.ErrMissing
			return
		}
		l.until = time.Now().Add(l.ttl)
	})
	return errors.Join(err, result)
}

func (t *simTable) End(ctx context.Context, id uint64) error {
	return t.call(ctx, func() { t.store.endLease(id) })
}
