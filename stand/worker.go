package stand

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/julienschmidt/httprouter"

	"plantainwinch/trans/agent"
	"plantainwinch/winch"
)

// WorkerFaults are the faults that can be injected into a worker.
type WorkerFaults struct {
	// RefuseAll makes the worker refuse every start.
	RefuseAll bool
	// FailAll makes every task fail at once.
	FailAll bool
	// LoseReplies is the number of starts whose response is still to be lost.
	LoseReplies int
	// Down breaks every call without effect. Tasks run on until their lease expires.
	Down bool
}

type run struct {
	task winch.Task
	// reported is set once a renewal has reported the end of the run.
	reported bool
	started  time.Time
	ends     time.Time
	expires  time.Time
}

// Worker simulates tasks that only take time. The first word of a task's command selects
// what the task does: "echo" outputs the rest of the command, "fail" fails, and "take" is
// followed by the actual run time if it differs from the declared one.
type Worker struct {
	VM winch.VM
	// Fence makes the worker reject calls whose epoch is lower than the highest it has seen.
	Fence bool

	mu                 sync.Mutex
	faults             WorkerFaults
	epoch              uint64
	runs               map[winch.TaskID]*run
	startCounts        map[winch.TaskID]int
	stoppedBeforeStart map[winch.Attempt]bool
	wake               chan struct{}
	overcommitted      int
}

// WorkerCounts are the counters of a worker.
type WorkerCounts struct {
	Starts map[string]int
	// Overcommitted counts the refused starts that would have exceeded the VM's size.
	Overcommitted int
	Running       int
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Counts returns how often each task was started, the overcommitted starts and the number
// of running tasks.
func (w *Worker) Counts() WorkerCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	out := WorkerCounts{Starts: make(map[string]int, len(w.startCounts)), Overcommitted: w.overcommitted}
	for id, n := range w.startCounts {
		out.Starts[id.String()] = n
	}
	for _, r := range w.runs {
		if r.task.State == winch.TaskRunning {
			out.Running++
		}
	}
	return out
}

// IsRunning reports whether the task is running on the worker.
func (w *Worker) IsRunning(id winch.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	r := w.runs[id]
	return r != nil && r.task.State == winch.TaskRunning
}

// Running returns the number of running tasks by team.
func (w *Worker) Running() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	out := make(map[string]int)
	for _, r := range w.runs {
		if r.task.State == winch.TaskRunning {
			out[r.task.Team]++
		}
	}
	return out
}

var errConnectionBroken = errors.New("connection broken")

// lockForCall takes the lock, checks the epoch and ends the runs that are due. It returns with the
// lock held, or with an error and the lock released.
func (w *Worker) lockForCall(epoch uint64) error {
	w.mu.Lock()
	if w.runs == nil {
		w.runs = make(map[winch.TaskID]*run)
		w.startCounts = make(map[winch.TaskID]int)
		w.stoppedBeforeStart = make(map[winch.Attempt]bool)
		w.wake = make(chan struct{})
	}
	if w.faults.Down {
		w.mu.Unlock()
		return errConnectionBroken
	}
	if w.Fence && epoch < w.epoch {
		w.mu.Unlock()
		return winch.ErrFenced
	}
	w.epoch = max(w.epoch, epoch)
	w.endDueRuns()
	return nil
}

// endDueRuns ends the runs whose run time is over or whose lease has expired.
func (w *Worker) endDueRuns() {
	now := time.Now()
	for _, r := range w.runs {
		if r.task.State != winch.TaskRunning {
			continue
		}
		switch {
		case !now.Before(r.ends) && r.ends.Before(r.expires):
			finishRun(r)
		case !now.Before(r.expires):
			r.task.State = winch.TaskStopped
		}
	}
}

func finishRun(r *run) {
	r.task.State = winch.TaskDone
	word, rest, _ := strings.Cut(r.task.Command, " ")
	switch word {
	case "fail":
		r.task.State = winch.TaskFailed
	case "echo":
		r.task.Output = rest
	}
}

// actualRunTime returns the time that a task takes, which may differ from the declared one.
func actualRunTime(t winch.Task) time.Duration {
	if rest, ok := strings.CutPrefix(t.Command, "take "); ok {
		if d, err := time.ParseDuration(rest); err == nil {
			return d
		}
	}
	return t.RunTime
}

func (w *Worker) usedResources() (sum winch.Resources) {
	for _, r := range w.runs {
		if r.task.State == winch.TaskRunning {
			sum = sum.Add(r.task.Need)
		}
	}
	return sum
}

// Start starts a task. It is idempotent: starting the same attempt again has no effect.
func (w *Worker) Start(_ context.Context, epoch uint64, task winch.Task, lease time.Duration) error {
	if err := w.lockForCall(epoch); err != nil {
		return err
	}
	defer w.mu.Unlock()
	if w.faults.RefuseAll || w.stoppedBeforeStart[task.Ref()] {
		return winch.ErrRefused
	}
	if r := w.runs[task.ID]; r != nil && r.task.Attempt == task.Attempt {
		return nil
	}
	if !w.usedResources().Add(task.Need).Fits(w.VM.Size) {
		w.overcommitted++
		return winch.ErrRefused
	}
	w.startRun(task, lease)
	if w.faults.LoseReplies > 0 {
		w.faults.LoseReplies--
		return errConnectionBroken
	}
	return nil
}

func (w *Worker) startRun(task winch.Task, lease time.Duration) {
	now := time.Now()
	task.State = winch.TaskRunning
	r := &run{task: task, started: now, ends: now.Add(actualRunTime(task)), expires: now.Add(lease)}
	if w.faults.FailAll {
		r.task.State = winch.TaskFailed
	}
	w.runs[task.ID] = r
	w.startCounts[task.ID]++
	close(w.wake)
	w.wake = make(chan struct{})
}

// Renew extends the leases and waits up to call.Wait for the end of a run, unless the call
// asks for a full report.
func (w *Worker) Renew(ctx context.Context, call winch.Renewal) (winch.Report, error) {
	timeout := time.NewTimer(call.Wait)
	defer timeout.Stop()
	for {
		if err := w.lockForCall(call.Epoch); err != nil {
			return winch.Report{}, err
		}
		w.forgetEnded(call.Forget)
		report, ended, next := w.buildReport(call)
		wake := w.wake
		w.mu.Unlock()
		if ended || call.Full {
			return report, nil
		}
		select {
		case <-wake:
		case <-time.After(next):
		case <-timeout.C:
			return report, nil
		case <-ctx.Done():
			return winch.Report{}, ctx.Err()
		}
	}
}

func (w *Worker) forgetEnded(ended []winch.Attempt) {
	for _, a := range ended {
		if r := w.runs[a.Task]; r != nil && r.task.Ref() == a && r.task.State != winch.TaskRunning {
			delete(w.runs, a.Task)
		}
	}
}

// buildReport extends the leases and returns the report, whether it is the first to contain
// the end of some run, and the time until the next run ends.
func (w *Worker) buildReport(call winch.Renewal) (out winch.Report, ended bool, next time.Duration) {
	now := time.Now()
	next = time.Hour
	for _, r := range w.runs {
		running := r.task.State == winch.TaskRunning
		if running {
			if call.Lease > 0 {
				r.expires = now.Add(call.Lease)
			}
			next = min(next, r.ends.Sub(now))
			out.Running++
			out.Usage = out.Usage.Add(r.task.Need)
		}
		ended = ended || !running && !r.reported
		r.reported = !running
		if !running || call.Full {
			out.Tasks = append(out.Tasks, r.task)
		}
	}
	return out, ended, next
}

// Stop stops a run and reports whether the worker had it. If not, a later start of the same
// attempt is refused.
func (w *Worker) Stop(_ context.Context, epoch uint64, task winch.Task) (bool, error) {
	if err := w.lockForCall(epoch); err != nil {
		return false, err
	}
	defer w.mu.Unlock()
	r := w.runs[task.ID]
	if r == nil || r.task.Attempt != task.Attempt {
		w.stoppedBeforeStart[task.Ref()] = true
		return false, nil
	}
	if r.task.State == winch.TaskRunning {
		r.task.State = winch.TaskStopped
		close(w.wake)
		w.wake = make(chan struct{})
	}
	return true, nil
}

// Handler serves the calls to the agent, PUT /Stand/Faults, which replaces the injected
// faults, and GET /Stand/Counts, which returns the counters.
func (w *Worker) Handler() http.Handler {
	r := httprouter.New()
	r.POST(agent.PathPrefix+":Op", w.serveOp)
	r.PUT("/Stand/Faults", func(rw http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var f WorkerFaults
		if decode(rw, req, &f) {
			w.SetFaults(f)
		}
	})
	r.GET("/Stand/Counts", func(rw http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		encode(rw, w.Counts())
	})
	return r
}

func (w *Worker) serveOp(rw http.ResponseWriter, req *http.Request, ps httprouter.Params) {
	var in agent.Call
	if err := cbor.NewDecoder(req.Body).Decode(&in); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	var out agent.Reply
	var err error
	switch agent.Op(ps.ByName("Op")) {
	case agent.OpStart:
		err = w.Start(req.Context(), in.Epoch, in.Task, in.Lease)
	case agent.OpRenew:
		out.Report, err = w.Renew(req.Context(), winch.Renewal{
			Epoch: in.Epoch, Lease: in.Lease, Wait: in.Wait, Full: in.Full, Forget: in.Forget,
		})
	case agent.OpStop:
		out.Had, err = w.Stop(req.Context(), in.Epoch, in.Task)
	}
	switch {
	case errors.Is(err, winch.ErrFenced):
		out.Code = agent.CodeFenced
	case errors.Is(err, winch.ErrRefused):
		out.Code = agent.CodeRefused
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	_ = cbor.NewEncoder(rw).Encode(out)
}
