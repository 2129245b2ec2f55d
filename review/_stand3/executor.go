package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// capacity is what an executor has, a task needs, or a tenant may have running.
type capacity struct {
	CPU   int64 `json:"cpu,omitempty"`
	MemMB int64 `json:"mem-mb,omitempty"`
}

// holdMax is the longest lease that an executor grants.
const holdMax = 6 * time.Second

// run is a task that an executor runs.
type run struct {
	task   string
	number uint64
	spec   string
	ends   time.Time
}

// site is all that the executors share.
type site struct {
	rec *record
	mu  sync.Mutex
	// needs holds what each task of a submission needs, by the submission's ID.
	needs map[string]capacity
	// running counts the runs of each submission that are at work, done the tasks that have ended done.
	running map[string]int
	done    map[string]map[string]bool
	// started lists the starts of each submission, with the spec.
	started map[string][]string
	used    capacity
	total   capacity
}

func newSite(rec *record) *site {
	return &site{rec: rec, needs: make(map[string]capacity), running: make(map[string]int), done: make(map[string]map[string]bool), started: make(map[string][]string)}
}

// jobOf returns the submission that a task belongs to.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// declare notes what each task of a submission needs.
func (s *site) declare(id string, need capacity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.needs[id] = need
}

// count notes that n runs of a task began or, if n is negative, ended.
func (s *site) count(task string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := jobOf(task)
	s.running[id] += int(n)
	s.used.CPU += n * s.needs[id].CPU
	s.used.MemMB += n * s.needs[id].MemMB
}

func (s *site) noteDone(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done[jobOf(task)] == nil {
		s.done[jobOf(task)] = make(map[string]bool)
	}
	s.done[jobOf(task)][task] = true
}

// view returns how many tasks of a submission run, how many have ended done, and what share of the capacity is in use.
func (s *site) view(id string) (running, done int, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share = max(float64(s.used.CPU)/float64(s.total.CPU), float64(s.used.MemMB)/float64(s.total.MemMB))
	return s.running[id], len(s.done[id]), share
}

// starts returns the starts of a submission.
func (s *site) starts(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.started[id]...)
}

// executor is one executor, which starts whatever it is told to.
type executor struct {
	site     *site
	id       string
	address  string
	zone     string
	rack     string
	capacity capacity
	born     int64
	boot     time.Time

	mu       sync.Mutex
	seq      int
	token    uint64
	until    int64 // until is the end of the lease on the executor's clock, in milliseconds.
	runs     map[string]*run
	ended    map[string]uint64 // ended holds the highest run of a task that was stopped or has ended.
	finished [][]any
	last     uint64
	changed  chan struct{}
}

// startExecutor serves an executor on a free port of the loopback interface.
func startExecutor(s *site, id, zone, rack string, size capacity) (*executor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{site: s, id: id, address: ln.Addr().String(), zone: zone, rack: rack, capacity: size}
	e.serve(ln)
	s.mu.Lock()
	s.total.CPU += size.CPU
	s.total.MemMB += size.MemMB
	s.mu.Unlock()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			e.mu.Lock()
			e.endDue()
			e.mu.Unlock()
		}
	}()
	return e, nil
}

// serve begins to serve the executor's calls.
func (e *executor) serve(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+apiPath("run", "start"), e.order(e.start))
	mux.HandleFunc("POST "+apiPath("run", "stop"), e.order(e.stop))
	mux.HandleFunc("POST /api/pace", e.order(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /api/"+"hold", e.hold)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.boot, e.seq, e.token, e.until, e.last, e.finished = now.UnixMilli(), now.Add(-time.Minute), 0, 0, 0, 0, nil
	e.runs, e.ended, e.changed = make(map[string]*run), make(map[string]uint64), make(chan struct{})
	go func() { _ = http.Serve(ln, mux) }()
}

// beat writes the executor's entry into the store every heartbeat.
func (e *executor) beat(st *store) {
	for {
		e.register(st)
		time.Sleep(1500 * time.Millisecond)
	}
}

// register writes the executor's entry.
func (e *executor) register(st *store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	st.put("servers/"+e.id, map[string]any{
		"service": "render", "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": e.capacity, "labels": []string{"a", e.rack}, "seq": e.seq, "born": e.born,
	})
}

// clock returns the time on the executor's steady clock in milliseconds.
func (e *executor) clock() int64 { return time.Since(e.boot).Milliseconds() }

// end ends a run. The caller holds the mutex.
func (e *executor) end(r *run, how string) {
	delete(e.runs, r.task)
	e.ended[r.task] = max(e.ended[r.task], r.number)
	e.last++
	e.finished = append(e.finished, []any{e.last, r.task, r.number, how, ""})
	e.site.count(r.task, -1)
	if how == "done" {
		e.site.noteDone(r.task)
	}
	e.site.rec.run("%s %s run %d ended %s", e.id, r.task, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// endDue ends the runs whose work is done, and all if the lease is over. The caller holds the mutex.
func (e *executor) endDue() {
	now, lapsed := time.Now(), e.clock() > e.until
	for _, r := range e.runs {
		switch {
		case now.After(r.ends):
			e.end(r, "done")
		case lapsed:
			e.end(r, "lapsed")
		}
	}
}

// extend prolongs the lease, by holdMax from now at most. The caller holds the mutex.
func (e *executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+holdMax.Milliseconds()))
}

// order is the body of a call, by the names of its fields.
type order map[string]any

func (o order) text(name string) string {
	s, _ := o[name].(string)
	return s
}

func (o order) number(name string) uint64 {
	n, _ := o[name].(json.Number)
	v, _ := strconv.ParseUint(n.String(), 10, 64)
	return v
}

func readOrder(r *http.Request) (order, error) {
	d := json.NewDecoder(r.Body)
	d.UseNumber()
	var o order
	return o, d.Decode(&o)
}

// accept checks the boot and the token that a call names. The caller holds the mutex.
func (e *executor) accept(r *http.Request, o order) (status int, reason string) {
	if boot := r.Header.Get("Plantainwinch" + "-Expect-Instance"); boot != "" && boot != e.id {
		return http.StatusMisdirectedRequest, ""
	}
	token := o.number("fencing" + "-token")
	if token < e.token {
		return http.StatusConflict, "fence"
	}
	e.token = token
	e.endDue()
	return http.StatusOK, ""
}

func (e *executor) body(reason string) map[string]any {
	out := map[string]any{"clock-ms": e.clock()}
	if reason != "" {
		out["reason"] = reason
	}
	return out
}

func (e *executor) order(f func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, err := readOrder(r)
		if err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		e.mu.Lock()
		status, reason := e.accept(r, o)
		if status == http.StatusOK {
			status, reason = f(o)
		}
		body := e.body(reason)
		e.mu.Unlock()
		reply(w, status, body)
	}
}

func (e *executor) start(o order) (int, string) {
	task, number, until := o.text("task"), o.number("run"), int64(o.number("valid-until"+"-ms"))
	if until < e.clock() {
		return http.StatusConflict, "late"
	}
	e.extend(until)
	old := e.runs[task]
	switch {
	case old != nil && old.number == number:
		return http.StatusOK, ""
	case old != nil, number <= e.ended[task]:
		return http.StatusConflict, "old"
	}
	spec := o.text("spec")
	words := strings.Fields(spec)
	work := time.Second
	if len(words) > 0 {
		if d, err := time.ParseDuration(words[len(words)-1]); err == nil {
			work = d
		}
	}
	e.runs[task] = &run{task: task, number: number, spec: spec, ends: time.Now().Add(work)}
	e.site.count(task, 1)
	e.site.mu.Lock()
	e.site.started[jobOf(task)] = append(e.site.started[jobOf(task)], spec)
	e.site.mu.Unlock()
	e.site.rec.run("%s %s run %d started, spec %q", e.id, task, number, spec)
	return http.StatusOK, ""
}

func (e *executor) stop(o order) (int, string) {
	task, number := o.text("task"), o.number("run")
	e.ended[task] = max(e.ended[task], number)
	if r := e.runs[task]; r != nil && r.number <= number {
		e.end(r, "stopped")
	}
	return http.StatusOK, ""
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	deadline := time.After(time.Duration(min(o.number("wait-ms"), 2000)) * time.Millisecond)
	e.mu.Lock()
	status, reason := e.accept(r, o)
	if status != http.StatusOK {
		body := e.body(reason)
		e.mu.Unlock()
		reply(w, status, body)
		return
	}
	e.extend(int64(o.number("valid-until" + "-ms")))
	seen := o.number("seen" + "-upto")
	for len(e.finished) > 0 && e.finished[0][0].(uint64) <= seen {
		e.finished = e.finished[1:]
	}
	for wait := true; wait && len(e.finished) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-r.Context().Done():
			wait = false
		case <-deadline:
			wait = false
		case <-changed:
		}
		e.mu.Lock()
	}
	body := e.body("")
	running := [][]any{}
	for _, x := range e.runs {
		running = append(running, []any{x.task, x.number, "", 100, 0})
	}
	body["running"], body["finished"], body["born"] = running, append([][]any{}, e.finished[:min(len(e.finished), 500)]...), e.born
	e.mu.Unlock()
	reply(w, http.StatusOK, body)
}
