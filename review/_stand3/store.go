package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes to answer a call.
const storeDelay = 4 * time.Millisecond

// apiPath returns the path of one of the platform's calls.
func apiPath(group, call string) string { return "/api/" + group + "-" + call }

// item is a key of the store with its value. An item without a value in the history is a deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's metadata store, in memory.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
}

func newStore() *store {
	s := &store{revision: 100, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends the leases that are over and removes their keys. The caller holds the mutex.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

// change applies writes and removals under one revision. The caller holds the mutex.
func (s *store) change(writes []item, remove []string) {
	s.revision++
	for _, w := range writes {
		w.Revision, w.Created = s.revision, s.revision
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	for _, key := range remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key on behalf of the operator or of an executor.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]item{{Key: key, Value: data}}, nil)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+apiPath("kv", "key"), s.serveKey)
	mux.HandleFunc("GET "+apiPath("kv", "range"), s.serveRange)
	mux.HandleFunc("GET "+apiPath("kv", "watch"), s.serveWatch)
	mux.HandleFunc("POST "+apiPath("kv", "txn"), s.serveTxn)
	mux.HandleFunc("POST "+apiPath("kv", "lease"), s.serveLease)
	mux.HandleFunc("POST "+apiPath("kv", "keep")+"/{id}", s.serveKeep)
	mux.HandleFunc("DELETE "+apiPath("kv", "lease-end")+"/{id}", s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as-of": s.revision})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		case <-changed:
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Writes)+len(in.Remove) > 32 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	conflict, current := false, []item{}
	for _, e := range in.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "as-of": s.revision})
		return
	}
	for _, x := range in.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if len(x.Value) > 1<<20 || len(x.Key) > 200 {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.change(in.Writes, in.Remove)
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 1000 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl-ms": in.TTL})
}

// leaseOf returns the lease that a path names. The caller holds the mutex.
func (s *store) leaseOf(r *http.Request) (uint64, *lease) {
	s.expire()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return id, s.leases[id]
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.leaseOf(r)
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.leaseOf(r)
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
