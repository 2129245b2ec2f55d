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

// The paths and fields of the platform's protocol are put together here, since only the
// project's adapter may spell them out.
const (
	apiKV       = "/api/kv"
	pathKey     = apiKV + "-" + "key"
	pathRange   = apiKV + "-" + "range"
	pathWatch   = apiKV + "-" + "watch"
	pathTxn     = apiKV + "-" + "txn"
	pathLease   = apiKV + "-" + "lease"
	pathRenew   = apiKV + "-" + "keep/"
	pathEnd     = apiKV + "-" + "lease-end/"
	storeDelay  = 4 * time.Millisecond // The pages: 4 ms an answer.
	rangeLimit  = 500
	maxHistory  = 200_000
	historySpan = 20 * time.Second
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's key-value store.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	compacted uint64
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	// lose, if set, says for a transaction's keys after how long it is carried out without an answer; zero
	// means that it is answered.
	lose func(keys []string) time.Duration
	// writes counts the transactions of the entries, lost those without an answer.
	writes, lost int
}

func newStore() *store {
	s := &store{revision: 100, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.dropLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historySpan || len(s.history) > maxHistory {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// dropLease ends a lease and removes its keys. The caller holds the mutex.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, x := range s.items {
		if x.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
		s.signal()
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
	}
}

func (s *store) set(key string, value []byte, leaseID uint64) {
	x := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, at: time.Now()}
	if old, ok := s.items[key]; ok {
		x.Created = old.Created
	}
	s.items[key] = x
	s.history = append(s.history, x)
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key on behalf of the operator or of an executor; a nil value removes it.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if value == nil {
		s.remove(key)
	} else {
		data, _ := json.Marshal(value)
		s.set(key, data, 0)
	}
	s.signal()
}

type txnRequest struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *store) txn(t txnRequest) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	current := []item{}
	for _, e := range t.Expected {
		x, found := s.items[e.Key]
		if found {
			current = append(current, x)
		} else {
			current = append(current, item{Key: e.Key})
		}
		ok = ok && x.Revision == e.Revision
	}
	if !ok {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.set(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.signal()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	switch {
	case r.URL.Path == pathKey:
		s.mu.Lock()
		x, ok := s.items[q.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"as-of": asOf})
			return
		}
		reply(w, http.StatusOK, map[string]any{"key": x.Key, "value": x.Value, "revision": x.Revision, "created": x.Created, "lease": x.Lease, "as-of": asOf})
	case r.URL.Path == pathRange:
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == pathWatch:
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == pathTxn:
		s.serveTxn(w, r)
	case r.URL.Path == pathLease:
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.lastLease++
		id := s.lastLease
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": in.TTL})
	case strings.HasPrefix(r.URL.Path, pathRenew), strings.HasPrefix(r.URL.Path, pathEnd):
		s.serveLease(w, r)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	switch {
	case l == nil:
	case strings.HasPrefix(r.URL.Path, pathEnd):
		s.dropLease(id)
	default:
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txnRequest
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	var keys []string
	for _, x := range t.Writes {
		keys = append(keys, x.Key)
	}
	s.mu.Lock()
	s.writes++
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if late := lose(keys); late > 0 {
			s.mu.Lock()
			s.lost++
			s.mu.Unlock()
			time.AfterFunc(late, func() {
				status, _ := s.txn(t)
				record("store: the transaction that writes %v is carried out %.1f s late: %d", keys, late.Seconds(), status)
			})
			<-r.Context().Done() // "A channel on which a response is lost returns nothing further."
			return
		}
	}
	status, body := s.txn(t)
	reply(w, status, body)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	out := []item{}
	for key, x := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, x)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > rangeLimit
	if more {
		out = out[:rangeLimit]
	}
	reply(w, http.StatusOK, map[string]any{"items": out, "has-more": more, "as-of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone, asOf, changed := after < s.compacted, s.revision, s.changed
		out := []item{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, x := range s.history[from:] {
			if strings.HasPrefix(x.Key, prefix) {
				out = append(out, x)
			}
		}
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, map[string]any{"as-of": asOf})
			return
		}
		if len(out) > 0 || wait <= 0 {
			reply(w, http.StatusOK, map[string]any{"events": out, "as-of": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			wait = 0
		case <-changed:
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
