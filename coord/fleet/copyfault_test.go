package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Both runs end before the planner learns of either. The second completion must be neither counted nor
// forgotten before the task is recorded, whether one list holds both or two do.
func TestCompletionOfBothRunsCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		c.endRun(c.first, winch.CompletionDone)
		c.endRun(c.copy, winch.CompletionDone)
		c.is.Equal(c.planner.Counts().Done, int64(1))
		c.is.Equal(c.planner.jobs["a"].phases[0].samples, 1)
		for _, o := range c.planner.Orders() {
			c.is.True(o.Kind != proto.OrderForget)
		}
		c.saveRecords()
		forgotten := map[string]bool{}
		for _, o := range c.planner.Orders() {
			if o.Kind == proto.OrderForget {
				forgotten[o.Worker] = true
			}
		}
		c.is.Equal(forgotten, map[string]bool{c.first.Worker: true, c.copy.Worker: true})
	})
}

// The next planner receives both completions in the lists of one worker that ran one after the other, and of
// another. The task must count once.
func TestCompletionsListedTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		next := c.successor()
		for _, o := range []proto.Order{c.first, c.copy} {
			next.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: o.Worker, Ended: []winch.Completion{
				{Number: 1, Task: o.Task, Run: o.Run, Kind: winch.CompletionDone},
			}})
		}
		c.is.Equal(next.planner.Counts().Done, int64(1))
		c.is.Equal(next.planner.jobs["a"].phases[0].done, 1)
	})
}

// successor returns the next planner, which has not yet received any lists.
func (c *copiedTask) successor() *simRegion {
	next := newSimRegion(c.t, 0, normalQueue())
	next.planner = New(2)
	next.planner.SetConfig(&winch.RegionConfig{Queues: []winch.Queue{normalQueue()}})
	var ids []string
	for _, vm := range c.planner.WorkersToHold() {
		ids = append(ids, vm.ID)
	}
	next.planner.SetRoster(ids)
	next.planner.Barrier = time.Now().Add(8 * time.Second)
	next.planner.SetWorkers(c.planner.WorkersToHold())
	next.planner.AdoptedRevision = 100
	next.planner.Add(c.planner.jobs["a"].rec, nil, 0)
	next.running, next.completions = slices.Clone(c.running), c.completions
	return next
}

// The planner is lost while a task has two runs. The next one must adopt both if the phase permits copies;
// if the phase does not, a second run must be stopped.
func TestTakeoverAdoptsBothRuns(t *testing.T) {
	for _, permitted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCopiedTask(t)
			c.planner.jobs["a"].rec.Phases[0].Copies = permitted
			next := c.successor()
			is.New(t).Equal(len(next.schedule()), 0)
			for _, vm := range c.planner.WorkersToHold() {
				next.planner.HandleEvent(listedEvent(c.simRegion, vm.ID))
			}
			c.is.Equal(len(next.schedule()), 0)
			if !permitted {
				c.is.Equal(next.planner.Counts().Stopped, int64(1))
				return
			}
			c.is.Equal(next.planner.Counts().Stopped, int64(0))
			c.is.Equal(next.planner.Counts().Running, 5)
			next.endRun(c.copy, winch.CompletionDone)
			next.schedule()
			c.is.Equal(next.planner.Counts().Running, 3)
			ends := next.planner.CopyEnds()
			c.is.Equal(len(ends), 1)
			c.is.True(ends[0].Won)
		})
	}
}

// A third run of a task must never be started or adopted, not even while one of two is being stopped.
func TestThirdRunIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		other := ""
		for id := range c.planner.workers {
			if id != c.first.Worker && id != c.copy.Worker {
				other = id
			}
		}
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventFound, Worker: other, Running: []winch.Running{{Task: c.first.Task, Run: 3}}})
		c.is.Equal(c.planner.Counts().Stopped, int64(1))
		c.is.True(c.planner.workers[other].runs[runKey{c.first.Task, 3}].stopping)
	})
}

// The response to the copy's start is lost and the worker has not started it: the first run goes on, and
// the copy counts neither as a failure nor as running.
func TestLostStartOfCopyLeavesFirstRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStraggler(t, copyPhase(), normalQueue())
		c.planner.Schedule()
		orders := c.planner.Orders()
		c.is.Equal(len(orders), 1)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventNotStarted, Worker: orders[0].Worker, Task: orders[0].Task, Run: orders[0].Run, Result: winch.StartUncertain})
		c.is.Equal(c.planner.Counts().Running, 4)
		c.planner.Schedule()
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			c.planner.Schedule()
			for _, o := range c.planner.Orders() { // the last copy that the task gets
				c.is.Equal(o.Kind, proto.OrderStart)
				c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventNotStarted, Worker: o.Worker, Task: o.Task, Run: o.Run, Result: winch.StartUncertain})
			}
		}
		c.is.Equal(c.planner.jobs["a"].phases[0].tasks[0].copies, maxCopies)
		c.endRun(c.first, winch.CompletionDone)
		c.is.Equal(c.planner.Counts().Running, 3)
		c.is.Equal(c.planner.jobs["a"].phases[0].done, 1)
	})
}

// The start of a copy is carried out after the first run has completed the task. The stop is ordered before
// the copy is confirmed and must remain in force.
func TestCopyStartedLateIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStraggler(t, copyPhase(), normalQueue())
		c.planner.Schedule()
		start := c.planner.Orders()[0]
		c.endRun(c.first, winch.CompletionDone)
		stops := c.planner.Orders()
		c.is.Equal(len(stops), 1)
		c.is.Equal(stops[0].Kind, proto.OrderStop)
		c.is.Equal(stops[0].Run, start.Run)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: start.Worker, Task: start.Task, Run: start.Run})
		c.is.True(c.planner.workers[start.Worker].runs[runKey{start.Task, start.Run}].stopping)
		c.running = append(c.running, start)
		c.endRun(start, winch.CompletionStopped)
		c.is.Equal(c.planner.Counts().Running, 3)
		// A start that was reported as not carried out and is found later is stopped as well.
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventFound, Worker: start.Worker, Running: []winch.Running{{Task: start.Task, Run: start.Run}}})
		c.is.True(c.planner.workers[start.Worker].runs[runKey{start.Task, start.Run}].stopping)
	})
}

// The order to stop the loser is lost with the keeper's session. The next lists of the worker must repeat it.
func TestLostStopOfLoserIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		c.endRun(c.copy, winch.CompletionDone)
		c.planner.Orders() // the stop is lost
		c.planner.SetUnready([]string{c.first.Worker})
		c.planner.HandleEvent(listedEvent(c.simRegion, c.first.Worker))
		c.is.True(slices.ContainsFunc(c.planner.Orders(), func(o proto.Order) bool { return o.Kind == proto.OrderStop && o.Run == c.first.Run }))
	})
}

// A cancellation must stop both runs.
func TestCancelStopsBothRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		c.planner.Cancel("a")
		stopped := 0
		for _, o := range c.planner.Orders() {
			if o.Kind == proto.OrderStop && o.Task == c.first.Task {
				stopped++
			}
		}
		c.is.Equal(stopped, 2)
	})
}

// One run fails while the other goes on: the failure counts as an attempt, and the task is not started again
// meanwhile. The other run still completes the task, also if all attempts are used up.
func TestOtherRunMaySucceedAfterFailure(t *testing.T) {
	for _, attempts := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			c := newCopiedTask(t)
			c.planner.queues["mix"].Attempts = attempts
			c.endRun(c.first, winch.CompletionFailed)
			c.is.Equal(len(c.schedule()), 0)
			c.is.Equal(c.planner.jobs["a"].state, winch.JobRunning)
			c.endRun(c.copy, winch.CompletionDone)
			c.endOthers()
			x := c.summary()
			c.is.Equal(x.State, winch.JobDone)
			c.is.Equal(x.Failed, 1)
		})
	}
}

// The last attempt is used up while the other run goes on, and then that run fails, is lost or never started.
// The job must fail then: the task would otherwise run once more than its queue permits.
func TestJobFailsOnceNoRunIsLeft(t *testing.T) {
	for _, end := range []func(*copiedTask){
		func(c *copiedTask) { c.endRun(c.copy, winch.CompletionFailed) },
		func(c *copiedTask) { c.endRun(c.copy, winch.CompletionLeaseExpired) },
		func(c *copiedTask) {
			c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventVanished, Worker: c.copy.Worker, Task: c.copy.Task, Run: c.copy.Run})
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newCopiedTask(t)
			c.planner.queues["mix"].Attempts = 1
			c.endRun(c.first, winch.CompletionFailed)
			end(c)
			c.is.Equal(len(c.schedule()), 0)
			c.is.Equal(c.summary().State, winch.JobFailed)
		})
	}
}

// Both runs fail: two attempts are used, and a task that may fail three times starts again.
func TestFailureOfBothRunsCountsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		c.endRun(c.first, winch.CompletionFailed)
		c.endRun(c.copy, winch.CompletionFailed)
		c.is.Equal(len(c.planner.jobs["a"].failed["0.0.0"]), 2)
		c.is.Equal(len(c.schedule()), 1)
	})
}

// The worker of the first run drains and leaves. The copy goes on, and the task gets no further run.
func TestCopyOutlivesDrainedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		var list []winch.WorkerVM
		for _, vm := range c.planner.WorkersToHold() {
			vm.Draining = vm.ID == c.first.Worker
			list = append(list, vm)
		}
		c.planner.SetWorkers(list)
		c.is.Equal(len(c.schedule()), 0)
		c.is.Equal(c.planner.Counts().Running, 5)
		c.planner.SetWorkers(slices.DeleteFunc(list, func(vm winch.WorkerVM) bool { return vm.Draining }))
		c.lose(c.first.Worker, winch.StartUncertain)
		c.is.Equal(len(c.schedule()), 0)
		c.endRun(c.copy, winch.CompletionDone)
		c.endOthers()
		c.is.Equal(c.summary().State, winch.JobDone)
	})
}

// A worker crashes under one of the two runs, some time after both started. The task is suspected then, so
// the other run must not go on beside other tasks.
func TestCrashUnderOneRunStopsTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		c.stopResponding(c.copy.Worker)
		time.Sleep(10 * time.Millisecond)
		c.lose(c.copy.Worker, winch.StartOtherBoot)
		c.is.Equal(len(c.planner.jobs["a"].phases[0].tasks[0].suspicion().crashes), 1)
		c.is.True(c.planner.workers[c.first.Worker].runs[runKey{c.first.Task, c.first.Run}].stopping)
		c.schedule() // the stop is carried out
		c.saveRecords()
		c.is.Equal(c.planner.Counts().Running, 3)
		starts := append(c.settle(), c.settle()...)
		c.is.Equal(len(starts), 1)
		c.is.True(c.planner.workers[starts[0].Worker].runs[runKey{starts[0].Task, starts[0].Run}].probe != nil)
	})
}

// A crash that ends a copy soon after its start does not make a suspect of a task whose first run has lived
// long at another worker.
func TestLongRunClearsTaskAfterCrashOfCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		time.Sleep(2 * time.Second)
		x := c.planner.workers[c.copy.Worker].runs[runKey{c.copy.Task, c.copy.Run}]
		x.since = time.Now().Add(-100 * time.Millisecond)
		c.stopResponding(c.copy.Worker)
		c.lose(c.copy.Worker, winch.StartOtherBoot)
		c.is.True(c.planner.jobs["a"].suspects == nil)
		c.is.Equal(c.planner.Counts().Running, 4)
		c.is.Equal(c.planner.Counts().Stopped, int64(0))
	})
}

// Workers crash under both runs. Each crash must count once, although the other run's boot is lost while the
// first crash is being handled.
func TestCrashesUnderBothRunsCountOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		c.stopResponding(c.first.Worker, c.copy.Worker)
		for _, id := range []string{c.first.Worker, c.copy.Worker, c.first.Worker} {
			c.lose(id, winch.StartOtherBoot)
		}
		x := c.planner.jobs["a"].phases[0].tasks[0].suspicion()
		c.is.Equal(len(x.crashes), 2)
		c.is.True(x.crashes[0].Run != x.crashes[1].Run)
		c.is.Equal(c.planner.jobs["a"].state, winch.JobRunning)
	})
}

// A task that is suspected of crashing workers must never be copied: each copy may cost a worker.
func TestSuspectIsNotCopied(t *testing.T) {
	for _, crashes := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			c := newStraggler(t, copyPhase(), normalQueue())
			for range crashes {
				x := c.planner.jobs["a"].phases[0].tasks[0].suspect()
				x.crashes = append(x.crashes, winch.Crash{Run: 1, Weak: true, Lived: time.Minute})
			}
			c.is.Equal(len(c.schedule()), 1-crashes)
		})
	}
}

// The last attempt of a task has failed while its copy went on, and the planner is lost. The next one must let the
// copy go on if a worker lists it, and otherwise fail the job instead of starting the task once more.
func TestTakeoverAfterLastAttempt(t *testing.T) {
	for _, listed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCopiedTask(t)
			c.planner.queues["mix"].Attempts = 1
			c.endRun(c.first, winch.CompletionFailed)
			records := c.planner.Records(10)
			c.is.Equal(len(records), 1)
			next := newSimRegion(t, 0, normalQueue())
			next.planner = New(2)
			q := normalQueue()
			q.Attempts = 1
			next.planner.SetConfig(&winch.RegionConfig{Queues: []winch.Queue{q}})
			next.planner.SetWorkers(c.planner.WorkersToHold())
			next.planner.Add(c.planner.jobs["a"].rec, &records[0].Progress, 10)
			next.completions = c.completions
			if !listed {
				c.running = slices.DeleteFunc(c.running, func(o proto.Order) bool { return o.Run == c.copy.Run })
			}
			for _, vm := range c.planner.WorkersToHold() {
				next.planner.HandleEvent(listedEvent(c.simRegion, vm.ID))
			}
			c.is.Equal(len(next.schedule()), 0)
			if listed {
				c.is.Equal(next.planner.jobs["a"].state, winch.JobRunning)
				next.endRun(c.copy, winch.CompletionDone)
				c.is.Equal(next.planner.jobs["a"].phases[0].done, 1)
				return
			}
			c.is.Equal(next.planner.jobs["a"].state, winch.JobFailed)
			c.is.Equal(next.planner.Counts().Stopped, int64(3))
		})
	}
}
