package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pathStart   = "/api/run" + "-start"
	pathStop    = "/api/run" + "-stop"
	pathHold    = "/api/" + "hold"
	pathPace    = "/api/" + "pace"
	fieldUntil  = "valid" + "-until-ms"
	fieldToken  = "fencing" + "-token"
	fieldSeen   = "seen" + "-upto"
	headerName  = "Plantain" + "winch-Expect-Instance"
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTime    = 100 * time.Millisecond // At most stop-ms.
	startupTime = 300 * time.Millisecond // Of a task that lasts.
	saveEvery   = time.Second
	listLimit   = 500
)

// task is a run on an executor. Its spec says what it does: "run MS", "lasting", or "fail MS".
type task struct {
	name     string
	run      uint64
	spec     string
	began    time.Time
	base     time.Duration // base is the work that was done before this run.
	total    time.Duration // total is zero for a task that lasts.
	fails    bool
	stopping time.Time
}

func (t *task) work(now time.Time) time.Duration { return t.base + now.Sub(t.began) }

func (t *task) saved(now time.Time) string {
	if t.total == 0 || t.fails {
		return ""
	}
	done := t.work(now).Truncate(saveEvery)
	if done <= 0 {
		return ""
	}
	return fmt.Sprintf("%016x", done.Milliseconds())
}

func (t *task) percent(now time.Time) int {
	if t.total == 0 {
		if now.Sub(t.began) < startupTime {
			return 0
		}
		return 100
	}
	return min(99, int(100*t.work(now)/t.total))
}

// executor is one executor; crash and boot begin another life under the same id.
type executor struct {
	id, zone, address string
	cpu, memMB        int
	labels            []string
	store             *store
	delay             time.Duration

	mu       sync.Mutex
	up       bool
	keepNext bool           // keepNext leaves the next start without an answer; kept is that start.
	kept     map[string]any // kept is carried out by the next boot.
	born     int64
	clock    time.Time
	token    uint64
	until    float64 // until is when the lease ends, on the executor's clock.
	running  map[string]*task
	highest  map[string]uint64 // highest run that was stopped or ended here, by task.
	finished [][]any
	number   uint64
	changed  chan struct{}
	seq      int
	life     chan struct{}
	server   *http.Server
}

func (x *executor) clockMS(now time.Time) float64 {
	return math.Floor(now.Sub(x.clock).Seconds()*1e6)/1e3 + 1000
}

// boot begins a life of the executor.
func (x *executor) boot() {
	ln, err := net.Listen("tcp", x.address)
	for try := 0; err != nil && try < 50; try++ {
		time.Sleep(20 * time.Millisecond)
		ln, err = net.Listen("tcp", x.address)
	}
	if err != nil {
		cannotRun("executor %s cannot listen: %v", x.id, err)
	}
	x.mu.Lock()
	x.address = ln.Addr().String()
	x.up, x.born, x.clock, x.token, x.until = true, time.Now().UnixMilli(), time.Now(), 0, 0
	x.running, x.highest, x.finished, x.number, x.seq = make(map[string]*task), make(map[string]uint64), nil, 0, 0
	x.changed, x.life = make(chan struct{}), make(chan struct{})
	life := x.life
	x.server = &http.Server{Handler: http.HandlerFunc(x.serve)}
	server := x.server
	x.carryOutKept()
	x.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go x.beat(life)
	go x.work(life)
	record("executor %s is up, born %d", x.id, x.born)
}

// crash ends the life of the executor: everything that runs there is gone, and its channels break.
func (x *executor) crash() {
	x.mu.Lock()
	x.up = false
	var lost []string
	for _, t := range x.running {
		lost = append(lost, fmt.Sprintf("%s/%d", t.name, t.run))
		noteLost(t.name, t.run)
	}
	x.running = map[string]*task{}
	close(x.life)
	server := x.server
	x.mu.Unlock()
	_ = server.Close()
	record("executor %s has crashed with %v", x.id, lost)
}

func (x *executor) beat(life chan struct{}) {
	for {
		x.mu.Lock()
		x.seq++
		entry := map[string]any{
			"service": serviceName, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]any{"cpu": x.cpu, "mem-mb": x.memMB, "gpu": 0}, "labels": x.labels, "seq": x.seq, "born": x.born,
			"clock-ms": int64(x.clockMS(time.Now())),
		}
		x.mu.Unlock()
		x.store.put("servers/"+x.id, entry)
		select {
		case <-life:
			return
		case <-time.After(heartbeat):
		}
	}
}

// work ends runs that are done, stopped, or without a lease.
func (x *executor) work(life chan struct{}) {
	for {
		select {
		case <-life:
			return
		case <-time.After(10 * time.Millisecond):
		}
		x.mu.Lock()
		if !x.up {
			x.mu.Unlock()
			return
		}
		now := time.Now()
		lapsed := x.until > 0 && x.clockMS(now) > x.until
		for _, t := range x.running {
			switch {
			case !t.stopping.IsZero() && now.Sub(t.stopping) >= stopTime:
				x.end(t, "stopped", t.saved(now))
			case lapsed:
				x.end(t, "lapsed", "")
			case t.total > 0 && t.work(now) >= t.total && t.fails:
				x.end(t, "failed", "")
			case t.total > 0 && t.work(now) >= t.total:
				x.end(t, "done", "")
			}
		}
		x.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds the mutex.
func (x *executor) end(t *task, how, saved string) {
	delete(x.running, t.name)
	x.highest[t.name] = max(x.highest[t.name], t.run)
	x.number++
	x.finished = append(x.finished, []any{x.number, t.name, t.run, how, saved})
	close(x.changed)
	x.changed = make(chan struct{})
	noteEnd(x, t, how)
}

func (x *executor) serve(w http.ResponseWriter, r *http.Request) {
	var in map[string]any
	_ = json.NewDecoder(r.Body).Decode(&in)
	time.Sleep(x.delay)
	if expected := r.Header.Get(headerName); expected != "" && expected != x.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	x.mu.Lock()
	if !x.up {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	token := uint64(number(in, fieldToken))
	if token < x.token {
		x.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	x.token = max(x.token, token)
	switch r.URL.Path {
	case pathStart:
		x.start(w, in, now)
	case pathStop:
		x.stop(w, in, now)
	case pathPace:
		x.answer(w, http.StatusOK, map[string]any{})
	case pathHold:
		x.hold(w, r, in, now)
	default:
		x.answer(w, http.StatusNotFound, map[string]any{})
	}
}

// answer replies with the executor's clock and releases the mutex.
func (x *executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock-ms"] = x.clockMS(time.Now())
	body["born"] = x.born
	x.mu.Unlock()
	reply(w, status, body)
}

func (x *executor) extend(in map[string]any, now time.Time) {
	if until := number(in, fieldUntil); until > 0 {
		x.until = max(x.until, min(until, x.clockMS(now)+float64(holdMax.Milliseconds())))
	}
}

func (x *executor) start(w http.ResponseWriter, in map[string]any, now time.Time) {
	name, run := fmt.Sprint(in["task"]), uint64(number(in, "run"))
	if x.keepNext {
		x.keepNext, x.kept = false, in
		life := x.life
		x.mu.Unlock()
		record("executor %s: start %s/%d gets no answer", x.id, name, run)
		<-life
		panic(http.ErrAbortHandler)
	}
	if t := x.running[name]; t != nil && t.run == run {
		x.extend(in, now)
		x.answer(w, http.StatusOK, map[string]any{})
		return
	}
	if reason := x.begin(in, now); reason != "" {
		x.answer(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	x.answer(w, http.StatusOK, map[string]any{})
}

// begin begins a run, or returns why it is refused. The caller holds the mutex.
func (x *executor) begin(in map[string]any, now time.Time) (reason string) {
	name, run := fmt.Sprint(in["task"]), uint64(number(in, "run"))
	if until := number(in, fieldUntil); until > 0 && x.clockMS(now) > until {
		return "late"
	}
	x.extend(in, now)
	if run <= x.highest[name] || x.running[name] != nil {
		return "old"
	}
	t := &task{name: name, run: run, spec: fmt.Sprint(in["spec"]), began: now}
	kind, ms, _ := strings.Cut(t.spec, " ")
	n, _ := strconv.Atoi(ms)
	t.total, t.fails = time.Duration(n)*time.Millisecond, kind == "fail"
	if saved, ok := in["checkpointed"].(string); ok && saved != "" {
		done, _ := strconv.ParseInt(saved, 16, 64)
		t.base = time.Duration(done) * time.Millisecond
	}
	x.running[name] = t
	noteStart(x, t)
	return ""
}

// carryOutKept carries the start out that the former boot left without an answer, as a call that arrives late. The
// header names the id, which is the same. The caller holds the mutex.
func (x *executor) carryOutKept() {
	in := x.kept
	x.kept = nil
	if in == nil {
		return
	}
	reason := "fence"
	if token := uint64(number(in, fieldToken)); token >= x.token {
		x.token = token
		reason = x.begin(in, time.Now())
	}
	record("executor %s: start %v/%v arrives late, refused: %q", x.id, in["task"], number(in, "run"), reason)
}

func (x *executor) stop(w http.ResponseWriter, in map[string]any, now time.Time) {
	name, run := fmt.Sprint(in["task"]), uint64(number(in, "run"))
	if t := x.running[name]; t != nil && t.run == run {
		if t.stopping.IsZero() {
			t.stopping = now
		}
	} else {
		x.highest[name] = max(x.highest[name], run)
	}
	noteStop(x, name, run)
	x.answer(w, http.StatusOK, map[string]any{})
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request, in map[string]any, now time.Time) {
	x.extend(in, now)
	seen := uint64(number(in, fieldSeen))
	for len(x.finished) > 0 && x.finished[0][0].(uint64) <= seen {
		x.finished = x.finished[1:]
	}
	deadline := time.NewTimer(time.Duration(min(2000, number(in, "wait-ms"))) * time.Millisecond)
	defer deadline.Stop()
	for waiting := number(in, "wait-ms") > 0; waiting && len(x.finished) == 0; {
		changed, life := x.changed, x.life
		x.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			waiting = false
		case <-changed:
		case <-life:
			panic(http.ErrAbortHandler)
		}
		x.mu.Lock()
		if !x.up {
			x.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	now = time.Now()
	running := [][]any{}
	for _, t := range x.running {
		running = append(running, []any{t.name, t.run, t.saved(now), t.percent(now), 0})
	}
	finished := x.finished
	if len(finished) > listLimit {
		finished = finished[:listLimit]
	}
	x.answer(w, http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, finished...)})
}

func number(in map[string]any, field string) float64 {
	v, _ := in[field].(float64)
	return v
}
