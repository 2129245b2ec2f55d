package office

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/coord/quota"
	"plantainwinch/stand"
	"plantainwinch/winch"
)

// Guards against a response of the ledger that arrives after the job in it has ended and was removed from
// the planner: the job's tasks would start again.
func TestLateReadOfTheLedgerDoesNotBringAnEndedJobBack(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.group = &conc.WaitGroup{}
		p.loadJobs(t.Context())
		is.True(p.hasJob(t.Context()))
		p.store.afterGet = func() {
			p.store.afterGet = nil
			_ = p.Duty.Do(t.Context(), func() {
				vm := winch.VM{ID: "w0", Size: winch.Resources{Processors: 1, Memory: 1}}
				p.Planner.SetVM(vm)
				run := winch.Task{ID: winch.TaskID{Job: p.job.ID}, Attempt: 1, Need: vm.Size, State: winch.TaskDone}
				p.handleCompletions(&workerState{vm: vm}, winch.Report{Tasks: []winch.Task{run}}, time.Now())
				p.recordFinishedJobs(t.Context())
			})
			p.group.Wait()
			_ = p.Duty.Do(t.Context(), p.recordCompletions)
		}
		p.JobsChanged(t.Context(), p.Ledger.Key(0))
		is.Equal(p.hasJob(t.Context()), false)
		p.loadJobs(t.Context())
		is.Equal(p.hasJob(t.Context()), false)
	})
}

// Guards against a response of the ledger that was read before a completion was recorded and is applied
// after the worker was told to forget that completion: the task would start again.
func TestLateReadOfTheLedgerKeepsARecordedCompletion(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.group = &conc.WaitGroup{}
		p.loaded = true
		p.store.afterGet = func() {
			p.store.afterGet = nil
			_ = p.Duty.Do(t.Context(), func() {
				vm := winch.VM{ID: "w0"}
				run := winch.Task{ID: winch.TaskID{Job: p.job.ID}, Attempt: 1, State: winch.TaskDone}
				p.handleCompletions(&workerState{vm: vm}, winch.Report{Tasks: []winch.Task{run}}, time.Now())
				p.recordCompletions()
			})
			p.group.Wait()
			_ = p.Duty.Do(t.Context(), func() { p.completions.takeForgettable("w0") })
		}
		p.JobsChanged(t.Context(), p.Ledger.Key(0))
		p.loadJobs(t.Context())
		_ = p.Duty.Do(t.Context(), func() {
			rec, ok := p.Planner.Record(p.job.ID)
			is.True(ok)
			is.Equal(rec.EndedTasks, []int{0})
		})
	})
}

// Guards against a barrier that opens before any job is known, because the planner has no configuration
// yet: the tasks of an earlier planner would be stopped as those of unknown jobs.
func TestBarrierStaysClosedWithoutTheConfiguration(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		doc := p.doc
		p.doc = nil
		p.Workers = func() ([]winch.VM, bool) { return nil, true }
		p.Quota = p.Planner.Limits.(*quota.Holder)
		p.loadJobs(t.Context())
		_ = p.Duty.Do(t.Context(), func() {
			p.planRound(t.Context())
			p.doc = doc
		})
		p.loadJobs(t.Context())
		is.True(p.hasJob(t.Context()))
		_ = p.Duty.Do(t.Context(), func() {
			_, opened := p.Planner.OpenBarrier()
			is.True(opened)
		})
	})
}

// lateStart is a worker that starts a task only after its start request has failed and a list without the
// task was sent, and that has ended it when it is told to stop it.
type lateStart struct {
	*stand.Worker
}

func (w lateStart) Start(context.Context, winch.VM, uint64, winch.Task, time.Duration) error {
	return context.DeadlineExceeded
}

func (w lateStart) Renew(ctx context.Context, _ winch.VM, call winch.Renewal) (winch.Report, error) {
	return w.Worker.Renew(ctx, call)
}

func (w lateStart) Stop(ctx context.Context, _ winch.VM, epoch uint64, task winch.Task) (bool, error) {
	_ = w.Worker.Start(ctx, epoch, task, time.Minute)
	time.Sleep(2 * task.RunTime)
	return w.Worker.Stop(ctx, epoch, task)
}

// Guards against a domain without known capacity until the first configuration of a cell is written.
func TestWorkersAreKnownWithoutTheConfiguration(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.doc = nil
		p.Workers = func() ([]winch.VM, bool) {
			return []winch.VM{{ID: "w0", Size: winch.Resources{Processors: 2, Memory: 2}}}, true
		}
		p.loadJobs(t.Context())
		_ = p.Duty.Do(t.Context(), func() { p.planRound(t.Context()) })
		is.Equal(p.Load(t.Context()).Size.Processors, 2)
		is.Equal(len(p.workers), 0) // none was asked for its tasks
	})
}

// Guards against a result that is lost because a worker that knows a run, when asked to stop it, counts as
// having stopped it: the run may have ended as done before.
func TestStopOfALateStartKeepsItsResult(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.group = &conc.WaitGroup{}
		vm := winch.VM{ID: "w0", Size: winch.Resources{Processors: 2, Memory: 2}}
		worker := lateStart{Worker: &stand.Worker{VM: vm}}
		p.Worker, p.TaskLease = worker, time.Minute
		w := &workerState{vm: vm}
		p.workers["w0"] = w
		p.loadJobs(t.Context())
		task := winch.Task{ID: winch.TaskID{Job: p.job.ID}, Need: p.job.Spec.Need, RunTime: time.Second}
		_ = p.Duty.Do(t.Context(), func() {
			p.Planner.Team = func(string) winch.Team { return winch.Team{Limit: 8} }
			p.Planner.Limits = unlimited{}
			p.Planner.SetVM(vm)
			p.Planner.Reconcile("w0", nil, time.Now())
			p.Planner.OpenBarrier()
			d := p.Planner.Plan(time.Now(), 1)
			is.Equal(len(d), 1)
			task.Attempt = d[0].Task.Attempt
			p.Planner.StartUncertain(task.Ref())
		})
		p.blockStart(w, task)
		_ = p.Duty.Do(t.Context(), func() { is.Equal(len(p.Planner.Plan(time.Now(), 1)), 0) })
		report, err := worker.Renew(t.Context(), vm, winch.Renewal{Full: true})
		is.NoErr(err)
		_ = p.Duty.Do(t.Context(), func() {
			p.handleCompletions(w, report, time.Now())
			rec, _ := p.Planner.Record(p.job.ID)
			is.Equal(rec.State, winch.JobDone)
		})
	})
}

// unlimited implements place.Limits without limits.
type unlimited struct{}

func (unlimited) TryTake(string, int) bool { return true }

func (unlimited) Charge(string, int) {}

func (unlimited) Return(string, int) {}

// Guards against a read of the ledger of an earlier term that is applied in a later one: its jobs would
// start before the barrier has opened, beside the runs of the planner in between.
func TestReadOfAnEarlierTermIsNotApplied(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.loaded = true
		next := &plannerState{Office: p.Office, term: &term{epoch: 3}}
		p.store.afterGet = func() {
			p.current.Store(next)
			is.True(next.reset(t.Context()))
		}
		p.JobsChanged(t.Context(), p.Ledger.Key(0))
		is.Equal(p.hasJob(t.Context()), false)
	})
}

// Guards against work that is begun for a term whose goroutines have ended: nobody waits for it any more.
func TestReadThatEndsAfterTheTermIsNotApplied(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.loaded = true
		p.store.afterGet = func() {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			p.run(ctx)
		}
		p.JobsChanged(t.Context(), p.Ledger.Key(0))
		is.Equal(p.hasJob(t.Context()), false)
	})
}

// stopCounter is a worker that counts the orders to stop and knows no run.
type stopCounter struct {
	lateStart
	stops int
}

func (w *stopCounter) Stop(context.Context, winch.VM, uint64, winch.Task) (bool, error) {
	w.stops++
	return false, nil
}

// Guards against a lost start that is not blocked because the worker lists an earlier attempt of the task:
// the request may still arrive after the task was started elsewhere.
func TestListedEarlierAttemptBlocksTheLostStart(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.group = &conc.WaitGroup{}
		vm := winch.VM{ID: "w0", Size: winch.Resources{Processors: 2, Memory: 2}}
		worker := &stopCounter{}
		p.Worker, p.TaskLease = worker, time.Minute
		w := &workerState{vm: vm}
		p.workers["w0"] = w
		p.loadJobs(t.Context())
		_ = p.Duty.Do(t.Context(), func() {
			p.Planner.Limits = unlimited{}
			p.Planner.SetVM(vm)
			p.Planner.Reconcile("w0", nil, time.Now())
			p.Planner.OpenBarrier()
			start := p.Planner.Plan(time.Now(), 1)[0].Task
			p.Planner.StartUncertain(start.Ref())
			earlier := start
			earlier.Attempt--
			earlier.State = winch.TaskStopped
			p.handleReport(w, winch.Renewal{Full: true}, winch.Report{Tasks: []winch.Task{earlier}}, nil)
		})
		p.group.Wait()
		is.Equal(worker.stops, 1)
	})
}

// Guards against a planner that starts tasks by a read of the ledger from before the workers refused the
// planner before it: that one may have recorded completions and let the workers forget them meanwhile.
func TestBarrierOpensAfterALaterReadOfTheLedger(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.term.epoch = 2
		p.group = &conc.WaitGroup{}
		p.Workers = func() ([]winch.VM, bool) { return nil, true }
		p.Quota = p.Planner.Limits.(*quota.Holder)
		p.loadJobs(t.Context())
		is.NoErr(p.Ledger.Progress(t.Context(), p.job.ID, []int{0}))
		for range 3 {
			_ = p.Duty.Do(t.Context(), func() { p.planRound(t.Context()) })
			p.loadJobs(t.Context())
		}
		_ = p.Duty.Do(t.Context(), func() {
			rec, _ := p.Planner.Record(p.job.ID)
			is.Equal(rec.EndedTasks, []int{0})
			is.Equal(rec.State, winch.JobDone)
		})
		p.group.Wait()
	})
}

// Guards against tasks of a long-running job that a later planner takes for ended because one of their runs
// was done.
func TestDoneRunOfALongRunningJobIsNotRecordedAsItsEnd(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		job := p.job
		job.ID, job.Spec.Kind = "Jservice", winch.LongRunning
		_, err := p.Ledger.Accept(t.Context(), job)
		is.NoErr(err)
		p.recordTasks(job.ID, []winch.Task{{ID: winch.TaskID{Job: job.ID}, State: winch.TaskDone}})
		job, err = p.Ledger.Job(t.Context(), job.ID)
		is.NoErr(err)
		is.Equal(len(job.EndedTasks), 0)
	})
}

// Guards against completions that workers list for the rest of a term, because they came after the end of
// their job was recorded while other tasks of it were still stopping.
func TestCompletionAfterTheRecordedEndOfItsJobIsForgotten(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.group = &conc.WaitGroup{}
		p.Worker, p.TaskLease, p.semaphore = &stopCounter{}, time.Minute, make(chan struct{}, 1)
		p.doc.Classes["billed"] = winch.Class{Name: "billed", By: "06:00"}
		w := &workerState{vm: winch.VM{ID: "w0", Size: winch.Resources{Processors: 4, Memory: 4}}}
		job := p.job
		job.ID, job.Class, job.Spec.Tasks = "Jthree", "billed", 3
		job, err := p.Ledger.Accept(t.Context(), job)
		is.NoErr(err)
		p.loadJobs(t.Context())
		run := func(index int, state winch.TaskState) winch.Task {
			return winch.Task{ID: winch.TaskID{Job: job.ID, Index: index}, Attempt: 1, Need: job.Spec.Need, State: state}
		}
		ends := func(index int, state winch.TaskState) {
			_ = p.Duty.Do(t.Context(), func() {
				p.handleCompletions(w, winch.Report{Tasks: []winch.Task{run(index, state)}}, time.Now())
				p.recordFinishedJobs(t.Context())
			})
			p.group.Wait()
			time.Sleep(recordInterval)
			_ = p.Duty.Do(t.Context(), p.recordCompletions)
			p.group.Wait()
		}
		_ = p.Duty.Do(t.Context(), func() {
			p.Planner.Limits = unlimited{}
			p.Planner.SetVM(w.vm)
			p.Planner.Reconcile("w0", []winch.Task{run(0, winch.TaskRunning), run(1, winch.TaskRunning), run(2, winch.TaskRunning)}, time.Now())
		})
		ends(0, winch.TaskFailed)
		ends(1, winch.TaskStopped)
		ends(2, winch.TaskStopped)
		_ = p.Duty.Do(t.Context(), func() { is.Equal(len(p.completions.takeForgettable("w0")), 3) })
	})
}

// Guards against a job that starts again although another planner has recorded its end: that one may have let
// the workers forget its completions.
func TestJobThatEndedUnderAnotherPlannerIsNotStarted(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		p.term.epoch = 2
		p.group = &conc.WaitGroup{}
		p.Workers = func() ([]winch.VM, bool) { return nil, true }
		p.Quota = p.Planner.Limits.(*quota.Holder)
		p.Planner.Limits = unlimited{}
		p.loadJobs(t.Context())
		ended := p.job
		ended.State, ended.Finished = winch.JobDone, time.Now()
		is.NoErr(p.Ledger.Finish(t.Context(), ended))
		for range 3 {
			_ = p.Duty.Do(t.Context(), func() { p.planRound(t.Context()) })
			p.loadJobs(t.Context())
		}
		_ = p.Duty.Do(t.Context(), func() {
			vm := winch.VM{ID: "w0", Size: winch.Resources{Processors: 2, Memory: 2}}
			p.Planner.SetVM(vm)
			p.Planner.Reconcile("w0", nil, time.Now())
			is.Equal(len(p.Planner.Plan(time.Now(), 1)), 0)
			time.Sleep(recordInterval)
			p.recordCompletions()
		})
		is.Equal(p.hasJob(t.Context()), false)
	})
}
