package stand

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// ExecFaults are the faults that can be injected into an executor.
type ExecFaults struct {
	// Hang holds every request until Hang is unset or the connection breaks.
	Hang bool
	// FailAll makes every request fail with status 500.
	FailAll bool
	// Cross makes each response carry the ID of the preceding request.
	Cross bool
	// CutAnswer breaks the connection in the middle of the response body.
	CutAnswer bool
	// Delay is added to the work time of each request.
	Delay time.Duration
}

// Executor is an HTTP service with a limited number of slots. It echoes the body and ID of a
// request after the work time given by the header Stand-Work. It counts its runs, so that a
// test can check how often each request ran and how many ran at once.
type Executor struct {
	Name  string
	Slots int

	mu           sync.Mutex
	faults       ExecFaults
	runsByCaller map[string]int
	running      int
	peak         int
	lastID       string
}

// RequestIDHeader is the header that carries the ID of an attempt to the executor and back.
const RequestIDHeader = "Winch-Request-Id"

// Headers of the stand-in: the work time in a request, and the executor's name in a response.
const (
	workTimeHeader     = "Stand-Work"
	executorNameHeader = "Stand-Executor"
)

// ExecCounts are the counters of an executor.
type ExecCounts struct {
	Runs    map[string]int
	Running int
	Peak    int
}

// SetFaults replaces the injected faults.
func (e *Executor) SetFaults(f ExecFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts returns how often each caller's request ran, how many run now, and the peak.
func (e *Executor) Counts() ExecCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := ExecCounts{Runs: make(map[string]int, len(e.runsByCaller)), Running: e.running, Peak: e.peak}
	for k, v := range e.runsByCaller {
		out.Runs[k] = v
	}
	return out
}

// Handler serves requests to execute on every path except PUT /Stand/Faults, which replaces
// the injected faults, and GET /Stand/Counts, which returns the counters.
func (e *Executor) Handler() http.Handler {
	r := httprouter.New()
	r.PUT("/Stand/Faults", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var f ExecFaults
		if decode(w, req, &f) {
			e.SetFaults(f)
		}
	})
	r.GET("/Stand/Counts", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		encode(w, e.Counts())
	})
	r.NotFound = http.HandlerFunc(e.serve)
	return r
}

// acquireSlot occupies a slot for a request, if one is free, and returns the injected faults
// and the ID of the preceding request.
func (e *Executor) acquireSlot(id, caller string) (ExecFaults, string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Slots > 0 && e.running >= e.Slots {
		return e.faults, "", false
	}
	if e.runsByCaller == nil {
		e.runsByCaller = make(map[string]int)
	}
	if caller != "" {
		e.runsByCaller[caller]++
	}
	e.running++
	e.peak = max(e.peak, e.running)
	last := e.lastID
	e.lastID = id
	return e.faults, last, true
}

func (e *Executor) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Executor) hanging() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Hang
}

// serve reads the whole body first, as a real service does, simulates the work and echoes
// the body.
func (e *Executor) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get(RequestIDHeader)
	faults, last, ok := e.acquireSlot(id, req.Header.Get("Stand-Caller"))
	if !ok {
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	e.simulateWork(req, faults)
	if faults.Cross {
		id = last
	}
	w.Header().Set(RequestIDHeader, id)
	w.Header().Set(executorNameHeader, e.Name)
	if faults.FailAll {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.CutAnswer && len(body) > 1 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// hangPollInterval is the time between two checks whether a request still hangs.
const hangPollInterval = 10 * time.Millisecond

func (e *Executor) simulateWork(req *http.Request, faults ExecFaults) {
	work, _ := time.ParseDuration(req.Header.Get(workTimeHeader))
	time.Sleep(work + faults.Delay)
	for e.hanging() && req.Context().Err() == nil {
		time.Sleep(hangPollInterval)
	}
}

// String implements fmt.Stringer.
func (e *Executor) String() string {
	return fmt.Sprintf("executor %s with %d slots", e.Name, e.Slots)
}
