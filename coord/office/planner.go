package office

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/coord/place"
	"plantainwinch/winch"
)

// plannerState is the planner's state during one term. Only functions that run in Duty access
// the fields that change.
type plannerState struct {
	*Office
	term        *term
	cancel      context.CancelFunc
	workers     map[string]*workerState
	completions completions
	group       *conc.WaitGroup
	semaphore   chan struct{}
	startTime   time.Time
	// loaded is set once the ledger has been read, stale if it must be read again.
	loaded, stale bool
	reads         ledgerReads
	ended         bool // ended is set once the term's goroutines are waited for.
	// begun and applied are the numbers of the last read of the whole ledger that was begun
	// and that was applied.
	begun, applied uint64
	// barrierRead is the number of the first read that began after every worker refused the
	// earlier planner; zero if some may still obey it.
	barrierRead uint64
	barrierOpen bool
	// lastRecording is when the completions of tasks were last written.
	lastRecording time.Time
	// finishedJobs holds the jobs whose end is recorded but whose tasks may still be stopping.
	finishedJobs map[string]bool
}

// workerState is the planner's state of its exchange with one worker.
type workerState struct {
	vm     winch.VM
	cancel context.CancelFunc
	// lastContact is the latest time at which a message that extends leases can have arrived.
	lastContact time.Time
	// reconciled is set once the worker has listed its tasks in this term.
	reconciled bool
	failures   int // The number of consecutive failed renewals.
	// needsFullList is set if the response to a start was lost or a task is missing: the next
	// renewal requests the list of all tasks.
	needsFullList bool
	// forget lists the ended tasks that the current renewal lets the worker forget.
	forget []winch.Attempt
	// acknowledged lists the running tasks that the worker had acknowledged when the current
	// renewal was created.
	acknowledged []winch.Attempt
	// expired is set while the worker is removed from the planner because its leases expired.
	expired bool
}

// run does the work until ctx ends, and returns once all goroutines it started are done.
func (s *plannerState) run(ctx context.Context) {
	var group conc.WaitGroup
	s.group = &group
	s.semaphore = make(chan struct{}, maxConcurrentDecisions)
	s.startTime = time.Now()
	defer group.Wait()
	// Nothing may be added to the group once it is waited for. An error means that the duty has ended.
	defer func() { _ = s.Duty.Do(context.Background(), func() { s.ended = true }) }()
	if !s.reset(ctx) {
		return
	}
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		s.loadJobs(ctx)
		_ = s.Duty.Do(ctx, func() { s.planRound(ctx) })
		select {
		case <-ctx.Done():
			return
		case <-s.planRequested:
		case <-ticker.C:
		}
	}
}

// reset empties the planner for the new term.
func (s *plannerState) reset(ctx context.Context) bool {
	err := s.Duty.Do(ctx, func() {
		old := s.Planner
		fresh := place.NewPlanner(old.Limits, old.Team)
		fresh.Prefer = old.Prefer
		fresh.Baseline = old.Baseline
		fresh.Epoch = s.term.epoch
		*old = *fresh
	})
	return err == nil
}

// loadJobs reads the domain's unfinished jobs from the ledger if they have not been read yet or
// are stale. A change that is reported during the read marks them stale again, since the
// read may not include it.
func (s *plannerState) loadJobs(ctx context.Context) {
	if s.Document() == nil {
		return // No job can be submitted, and the ledger would count as read.
	}
	var read *ledgerRead
	var number uint64
	_ = s.Duty.Do(ctx, func() {
		if !s.loaded || s.stale {
			read = s.reads.begin()
			s.begun++
			number = s.begun
		}
		s.stale = false
	})
	if read == nil {
		return
	}
	jobs, err := s.Ledger.Jobs(ctx)
	if err != nil {
		metrics.GetOrRegisterCounter("Office.LoadFailed", s.Metrics).Inc(1)
	}
	_ = s.Duty.Do(context.Background(), func() {
		s.applyRead(read, jobs, err, s.submit)
		if err == nil {
			s.loaded, s.applied = true, number
		}
	})
}

// submit adds a job to the planner. Only a job that was accepted under an older epoch can
// have been started by an earlier planner.
func (s *plannerState) submit(j winch.Job) {
	if j.Domain != s.Domain {
		return
	}
	if j.State.Final() {
		s.endRecorded(j)
		return
	}
	if j.Epoch > s.term.epoch {
		s.endTerm("a job was accepted under a newer epoch")
		return
	}
	doc := s.Document()
	if doc == nil {
		s.stale = true // The job's class is unknown without the configuration, so read the ledger again.
		return
	}
	class, ok := doc.Classes[j.Class]
	if !ok {
		class = winch.Class{Name: j.Class, Wait: time.Minute}
	}
	s.Planner.Submit(j, class, j.Epoch < s.term.epoch, time.Now())
	if j.Cancel {
		s.cancelJob(j.ID)
	}
}

// endRecorded ends a job that the planner has not ended itself, because another planner has
// recorded its end.
func (s *plannerState) endRecorded(j winch.Job) {
	if rec, known := s.Planner.Record(j.ID); !known || rec.State.Final() {
		return
	}
	s.execute(s.Planner.EndRecorded(j))
	s.finishedJobs[j.ID] = true
	s.completions.markRecorded(j.ID, nil)
}

// applyJob submits a new job or cancels a known one.
func (s *plannerState) applyJob(j winch.Job) {
	if !s.loaded {
		s.stale = true // The load in progress may not include the job.
		return
	}
	if j.Cancel && !j.State.Final() && j.Domain == s.Domain {
		if _, known := s.Planner.Record(j.ID); known {
			s.cancelJob(j.ID)
			return
		}
	}
	s.submit(j)
}

// cancelWithdrawnKeys cancels the waiting jobs of access keys that are not in the
// configuration any more. Running tasks continue.
func (s *plannerState) cancelWithdrawnKeys() {
	doc := s.Document()
	if doc == nil {
		return
	}
	s.Planner.CancelWithdrawnKeys(func(keyID string) bool {
		_, ok := doc.Keys[keyID]
		return ok
	})
}

func (s *plannerState) cancelJob(id string) {
	out, _ := s.Planner.Cancel(id)
	s.execute(out)
}

// endTerm ends the term because a planner of a newer epoch exists.
func (s *plannerState) endTerm(why string) {
	if s.term.active() {
		s.Log.Warn("planner of a later term has taken over; ending this term", zap.String("Domain", s.Domain), zap.Uint64("Epoch", s.term.epoch), zap.String("Why", why))
		metrics.GetOrRegisterCounter("Office.Deposed", s.Metrics).Inc(1)
	}
	s.term.markLost()
	s.cancel()
}

// mayStart reports whether the planner may still start work. It is checked after every wait
// and right before every start, since the process may have been paused at any point.
func (s *plannerState) mayStart() bool {
	if s.FenceAtVM {
		return s.term.active()
	}
	return s.term.leaseValid(time.Now())
}

// planRound runs one planning round: it applies the VM list, records completions, plans, and
// has the decisions carried out. It runs in Duty.
func (s *plannerState) planRound(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	s.updateWorkers(ctx)
	if !s.loaded {
		return
	}
	s.checkBarrier()
	s.recordFinishedJobs(ctx)
	s.recordCompletions()
	if !s.mayStart() {
		return
	}
	begin := time.Now()
	out := s.Planner.Plan(begin, maxDecisions)
	if len(out) > 0 {
		s.planTime().Update(time.Since(begin).Microseconds())
		metrics.GetOrRegisterCounter("Office.Decisions", s.Metrics).Inc(int64(len(out)))
	}
	s.execute(out)
	s.recordFinishedJobs(ctx)
	if len(out) == maxDecisions {
		s.PlanSoon()
	}
}

// planSamples is the sample size of the histogram of planning times.
const planSamples = 1024

// planTime returns the histogram of the duration of a planning round, in microseconds.
func (s *plannerState) planTime() metrics.Histogram {
	return metrics.GetOrRegisterHistogram("Office.Plan.Microseconds", s.Metrics, metrics.NewUniformSample(planSamples))
}

// updateWorkers starts a renewal loop for each new worker, once the ledger has been read. It
// removes the workers that are no longer listed, once the leases of their tasks are guaranteed
// to have expired.
func (s *plannerState) updateWorkers(ctx context.Context) {
	list, ok := s.Workers()
	if !ok {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		s.Planner.SetVM(vm)
		if s.loaded && s.workers[vm.ID] == nil {
			s.addWorker(ctx, vm) // Not before the jobs are known: the tasks of unknown ones are stopped.
		}
	}
	now := time.Now()
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		if now.Sub(w.lastContact) > s.TaskLease+clockDriftMargin {
			s.removeWorker(id, w, now)
		}
	}
}

func (s *plannerState) addWorker(ctx context.Context, vm winch.VM) {
	ctx, cancel := context.WithCancel(ctx)
	w := &workerState{vm: vm, cancel: cancel, lastContact: time.Now()}
	s.workers[vm.ID] = w
	s.group.Go(func() { s.renewLoop(ctx, w) })
}

func (s *plannerState) removeWorker(id string, w *workerState, now time.Time) {
	w.cancel()
	delete(s.workers, id)
	s.Planner.RemoveWorker(id, now)
	metrics.GetOrRegisterCounter("Office.WorkersLost", s.Metrics).Inc(1)
}

// checkBarrier opens the planner's barrier, which holds back the jobs of earlier terms,
// once every listed worker has responded under this epoch.
//
// Where workers compare epochs, an earlier planner that cannot reach the store continues
// until a worker refuses it. It may still renew the leases of a worker that this planner
// cannot reach, so such a worker keeps the barrier closed until the platform removes it
// from its list. Where workers do not compare epochs, the earlier planner has stopped by
// its own clock, and it is enough to wait until the leases it granted have expired.
//
// The ledger is read once more before the barrier opens. Until then the earlier planner may
// have recorded a completion and let the worker forget it.
func (s *plannerState) checkBarrier() {
	if _, ok := s.Workers(); !ok || s.barrierOpen {
		return
	}
	unresponsive := false
	for _, w := range s.workers {
		unresponsive = unresponsive || !w.reconciled
	}
	if unresponsive && (s.FenceAtVM || time.Since(s.startTime) < s.TaskLease+2*clockDriftMargin) {
		s.barrierRead = 0
		return
	}
	if s.barrierRead == 0 {
		s.barrierRead, s.stale = s.begun+1, true
		s.PlanSoon()
	}
	if s.applied < s.barrierRead {
		return
	}
	s.barrierOpen = true
	if stops, opened := s.Planner.OpenBarrier(); opened {
		s.execute(stops)
		s.Quota.CompleteTakeover()
		s.PlanSoon()
	}
}
