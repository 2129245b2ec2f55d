package office

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/coord/place"
	"plantainwinch/state/ledger"
	"plantainwinch/winch"
)

// session is the placer's work during one term. Its state is touched only in
// the office's duty.
type session struct {
	*Office
	term   *term
	cancel context.CancelFunc
	vms    map[string]*vmState
	ends   ends
	group  *conc.WaitGroup
	room   chan struct{}
	began  time.Time
	// loaded says that the ledger was read once, stale that it has to be read again.
	loaded, stale bool
	// progressed is when the ends of tasks were last written.
	progressed time.Time
	// closed holds jobs whose end is recorded and whose tasks may still be stopping.
	closed map[string]bool
}

// vmState is what the placer knows of its contact with one worker.
type vmState struct {
	vm     winch.VM
	cancel context.CancelFunc
	// contacted is when the last message that could extend leases can have arrived.
	contacted time.Time
	known     bool
	failures  int
	// doubt says that a start's reply was lost: the next renewal asks for all tasks.
	doubt  bool
	forget []winch.Attempt
	// expect lists the acknowledged starts as of the renewal under way.
	expect []winch.Attempt
	gone   bool
}

// run does the work until ctx ends, and returns once nothing of it is under way.
func (s *session) run(ctx context.Context) {
	var group conc.WaitGroup
	s.group = &group
	s.room = make(chan struct{}, starters)
	s.began = time.Now()
	defer group.Wait()
	if !s.reset(ctx) {
		return
	}
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		s.load(ctx)
		_ = s.Duty.Do(ctx, func() { s.step(ctx) })
		select {
		case <-ctx.Done():
			return
		case <-s.planning:
		case <-ticker.C:
		}
	}
}

// reset starts the term with an empty planner.
func (s *session) reset(ctx context.Context) bool {
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

// load reads the domain's unfinished jobs from the ledger, unless that was done
// and nothing was missed since. A change that comes while the read is under way
// marks it stale again: the read may have been too early for it.
func (s *session) load(ctx context.Context) {
	need := false
	_ = s.Duty.Do(ctx, func() {
		need = !s.loaded || s.stale
		s.stale = false
	})
	if !need {
		return
	}
	jobs, err := s.Ledger.Jobs(ctx)
	if err != nil {
		metrics.GetOrRegisterCounter("Office.LoadFailed", s.Metrics).Inc(1)
		s.reload()
		return
	}
	_ = s.Duty.Do(ctx, func() {
		for _, j := range jobs {
			s.submit(j)
		}
		s.loaded = true
	})
}

// submit adds a job. It is fresh if it was accepted under this epoch: no
// earlier placer can have started it.
func (s *session) submit(j winch.Job) {
	if j.Domain != s.Domain || j.State.Final() {
		return
	}
	if j.Epoch > s.term.epoch {
		s.depose("a job was accepted under a newer epoch")
		return
	}
	doc := s.Document()
	if doc == nil {
		s.stale = true // The job's class is not known yet; the ledger is read again.
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

// take takes in a job that is new or was cancelled.
func (s *session) take(j winch.Job) {
	if !s.loaded {
		s.stale = true // The load under way may not bring it.
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

// withdraw cancels what waits under keys that were withdrawn. Tasks that run
// already are left to end.
func (s *session) withdraw() {
	doc := s.Document()
	if doc == nil {
		return
	}
	s.Planner.Withdraw(func(keyID string) bool {
		_, ok := doc.Keys[keyID]
		return ok
	})
}

func (s *session) cancelJob(id string) {
	out, _ := s.Planner.Cancel(id)
	s.carryOut(out)
}

func (s *session) depose(why string) {
	if s.term.standing() {
		s.Log.Warn("deposed", zap.String("Domain", s.Domain), zap.Uint64("Epoch", s.term.epoch), zap.String("Why", why))
		metrics.GetOrRegisterCounter("Office.Deposed", s.Metrics).Inc(1)
	}
	s.term.lose()
	s.cancel()
}

// mayAct reports whether the placer may still start work. It is asked after
// every wait and just before every start, since the process can have been
// paused anywhere.
func (s *session) mayAct() bool {
	if s.FenceAtVM {
		return s.term.standing()
	}
	return s.term.valid(time.Now())
}

// step follows the VM list, plans and hands decisions out. It runs in the duty.
func (s *session) step(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if !s.loaded {
		return
	}
	s.follow(ctx)
	s.checkBarrier()
	s.recordFinals(ctx)
	s.recordProgress()
	if !s.mayAct() {
		return
	}
	begin := time.Now()
	out := s.Planner.Plan(begin, planSize)
	if len(out) > 0 {
		s.planTime().Update(time.Since(begin).Microseconds())
		metrics.GetOrRegisterCounter("Office.Decisions", s.Metrics).Inc(int64(len(out)))
	}
	s.carryOut(out)
	s.recordFinals(ctx)
	if len(out) == planSize {
		s.Wake()
	}
}

// planSamples is how many plans the histogram of their times remembers.
const planSamples = 1024

// planTime returns the histogram of the time of one plan, in microseconds.
func (s *session) planTime() metrics.Histogram {
	return metrics.GetOrRegisterHistogram("Office.Plan.Microseconds", s.Metrics, metrics.NewUniformSample(planSamples))
}

// follow starts a loop for each new worker and drops those that are gone.
func (s *session) follow(ctx context.Context) {
	list, ok := s.Workers()
	if !ok {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		s.Planner.SetVM(vm)
		if s.vms[vm.ID] == nil {
			s.attend(ctx, vm)
		}
	}
	now := time.Now()
	for id, v := range s.vms {
		if listed[id] {
			continue
		}
		if now.Sub(v.contacted) > s.TaskLease+driftMargin {
			s.drop(id, v, now)
		}
	}
}

func (s *session) attend(ctx context.Context, vm winch.VM) {
	ctx, cancel := context.WithCancel(ctx)
	v := &vmState{vm: vm, cancel: cancel, contacted: time.Now()}
	s.vms[vm.ID] = v
	s.group.Go(func() { s.attendLoop(ctx, v) })
}

func (s *session) drop(id string, v *vmState, now time.Time) {
	v.cancel()
	delete(s.vms, id)
	s.Planner.Gone(id, now)
	metrics.GetOrRegisterCounter("Office.WorkersLost", s.Metrics).Inc(1)
}

// checkBarrier opens the barrier once every listed worker has answered under
// this epoch. Where workers compare epochs, a former placer that cannot reach
// the store acts on until a worker refuses it, so one that this placer cannot
// reach may be having its leases renewed by the former one: only the platform's
// list can tell that it is gone. Where they do not, the former placer has
// stopped by its own clock, and the leases that it gave lapse.
func (s *session) checkBarrier() {
	if _, ok := s.Workers(); !ok {
		return
	}
	silent := false
	for _, v := range s.vms {
		silent = silent || !v.known
	}
	if silent && (s.FenceAtVM || time.Since(s.began) < s.TaskLease+2*driftMargin) {
		return
	}
	if s.Planner.OpenBarrier() {
		s.Quota.Found()
		s.Wake()
	}
}

// carryOut hands decisions to goroutines, at most starters at once.
func (s *session) carryOut(list []place.Decision) {
	for _, d := range list {
		s.group.Go(func() {
			s.room <- struct{}{}
			defer func() { <-s.room }()
			s.act(d)
		})
	}
}

func (s *session) act(d place.Decision) {
	ctx, cancel := context.WithTimeout(context.Background(), s.TaskLease)
	defer cancel()
	switch d.Action {
	case place.Start:
		s.start(ctx, d)
	case place.Evict, place.Stop:
		_, err := s.Worker.Stop(ctx, d.VM, s.term.epoch, d.Task)
		s.heard(err)
	}
}

// start commits the intent of a non-repeatable task first, so that a later
// placer never starts it again, and then starts it.
func (s *session) start(ctx context.Context, d place.Decision) {
	err := s.intent(ctx, d)
	if err == nil && !s.mayAct() {
		err = winch.ErrRefused
	}
	if err == nil && !s.stands(ctx, d) {
		return
	}
	if err == nil {
		err = s.Worker.Start(ctx, d.VM, s.term.epoch, d.Task, s.TaskLease)
	}
	s.heard(err)
	_ = s.Duty.Do(context.Background(), func() {
		s.touch(d.VM.ID)
		s.started(d, err)
	})
}

// stands reports whether a start is still wanted, and notes that its worker is
// called. Writing the intent can take as long as the store is away; a worker that
// was silent as well may have been given up by then. Started there all the same,
// the task would run beside its next attempt, and beyond its team's limit.
func (s *session) stands(ctx context.Context, d place.Decision) (ok bool) {
	_ = s.Duty.Do(ctx, func() {
		ok = s.Planner.Stands(d.Task.Ref())
		s.touch(d.VM.ID)
	})
	return ok
}

func (s *session) intent(ctx context.Context, d place.Decision) error {
	if d.Repeatable {
		return nil
	}
	err := s.Ledger.AddIntent(ctx, d.Task.ID)
	if err != nil {
		return errors.Join(winch.ErrRefused, err)
	}
	return nil
}

func (s *session) touch(id string) {
	if v := s.vms[id]; v != nil {
		v.contacted = time.Now()
	}
}

func (s *session) heard(err error) {
	if errors.Is(err, winch.ErrFenced) {
		s.depose("a worker knows a newer epoch")
	}
}

func (s *session) started(d place.Decision, err error) {
	switch {
	case err == nil:
		s.Planner.Confirmed(d.Task.Ref())
		metrics.GetOrRegisterCounter("Office.Starts", s.Metrics).Inc(1)
	case errors.Is(err, winch.ErrRefused) || errors.Is(err, winch.ErrFenced):
		s.carryOut(s.Planner.Refused(d.Task.Ref(), time.Now()))
		s.Wake()
	default:
		s.Planner.Doubt(d.Task.Ref())
		if v := s.vms[d.VM.ID]; v != nil {
			v.doubt = true
		}
	}
}

// recordFinals writes the ends of jobs to the ledger.
func (s *session) recordFinals(ctx context.Context) {
	for _, f := range s.Planner.Finals() {
		rec, ok := s.Planner.Record(f.Job)
		if !ok {
			continue
		}
		rec.State, rec.Reason, rec.Detail = f.State, f.Reason, f.Detail
		rec.Finished = time.Now().UTC()
		s.group.Go(func() { s.recordFinal(ctx, rec) })
	}
}

// recordProgress writes the ends of tasks whose jobs go on, some at a time.
func (s *session) recordProgress() {
	if time.Since(s.progressed) < progressEvery {
		return
	}
	s.progressed = time.Now()
	for id := range s.closed {
		if s.Planner.Forget(id) {
			delete(s.closed, id)
		}
	}
	for id, done := range s.ends.open() {
		if rec, ok := s.Planner.Record(id); ok && rec.State.Final() {
			continue // Its end will be recorded as a whole.
		}
		s.group.Go(func() { s.recordTasks(id, done) })
	}
}

// progressEvery is how often ends of tasks are written; a task whose end was
// not written is not run again as long as its worker lives.
const progressEvery = 500 * time.Millisecond

func (s *session) recordTasks(id string, done []winch.Task) {
	var good []int
	for _, t := range done {
		if t.State == winch.TaskDone {
			good = append(good, t.ID.Index)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.TaskLease)
	defer cancel()
	err := error(nil)
	if len(good) > 0 {
		err = s.Ledger.Progress(ctx, id, good)
	}
	if err == nil || errors.Is(err, ledger.ErrFinal) || errors.Is(err, winch.ErrMissing) {
		_ = s.Duty.Do(context.Background(), func() { s.ends.recorded(id, done) })
	} else {
		_ = s.Duty.Do(context.Background(), func() { s.ends.reopen(id) })
	}
}

// recordRetry is the pause before the end of a job is written again.
const recordRetry = 500 * time.Millisecond

// recordFinal tries until the end of the job is in the ledger or the term ends.
func (s *session) recordFinal(ctx context.Context, rec winch.Job) {
	for s.term.standing() && ctx.Err() == nil {
		call, cancel := context.WithTimeout(context.Background(), s.TaskLease)
		err := s.Ledger.Finish(call, rec)
		cancel()
		if err == nil || errors.Is(err, ledger.ErrFinal) {
			_ = s.Duty.Do(context.Background(), func() { s.settled(rec) })
			return
		}
		wait(ctx, recordRetry)
	}
}

// settled lets the workers forget the tasks of a job whose end is recorded.
func (s *session) settled(rec winch.Job) {
	s.closed[rec.ID] = true
	s.ends.recorded(rec.ID, nil)
	metrics.GetOrRegisterCounter("Office.Finished", s.Metrics).Inc(1)
}
