package fleet

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// A job fails while tasks of it still run, its end is recorded, and the planner is lost. If the
// next planner did not know the job, it would not charge these runs and would overcommit their
// worker.
func TestRunsOfAnEndedJobKeepTheirCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(2, 8000))
		starts := c.schedule()
		is.Equal(len(starts), 2)
		c.endRun(starts[0], winch.CompletionFailed)
		c.endRun(c.schedule()[0], winch.CompletionFailed)
		end := c.planner.Records(10)[0]
		is.Equal(end.Progress.State, winch.JobFailed)
		is.True(end.Retain) // the other task is being stopped

		next := newSimRegion(t, 1, urgentQueue())
		next.planner.Term = 2
		next.planner.Add(c.planner.jobs["a"].rec, &end.Progress, 10)
		next.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventFound, Worker: "w0", Running: []winch.Running{{Task: starts[1].Task, Run: starts[1].Run}}})
		next.add("b", "preview", "choir", tasks(1, 16_000))
		next.planner.Schedule()
		is.Equal(next.planner.workers["w0"].used.Milli, int64(8000)) // b does not start
	})
}

// A job that has ended must be removed from the store once none of its runs is left.
func TestEndedJobIsRemovedWithItsLastRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(2, 8000))
		starts := c.schedule()
		c.endRun(starts[0], winch.CompletionFailed)
		c.endRun(c.schedule()[0], winch.CompletionFailed)
		c.saveRecords()
		is.Equal(c.state("a"), winch.JobFailed)
		is.Equal(len(c.planner.ExpiredJobs(c.planner.now())), 0)
		is.Equal(len(c.planner.Records(10)), 0)
		c.schedule()
		_ = c.planner.ExpiredJobs(c.planner.now())
		left := c.planner.Records(10)
		is.Equal(len(left), 1)
		is.True(!left[0].Retain)
	})
}

// A run of an unknown job is found at a worker. Its needs are not known, so nothing may start
// beside it until it has ended.
func TestRunOfAnUnknownJobTakesAllFreeCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue())
		task := winch.RunID{Job: "gone"}
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventFound, Worker: "w0", Running: []winch.Running{{Task: task, Run: 5}}})
		c.add("a", "preview", "choir", tasks(1, 1000))
		is.Equal(len(c.schedule()), 0)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: "w0", Ended: []winch.Completion{{Number: 1, Task: task, Run: 5, Kind: winch.CompletionStopped}}})
		is.Equal(len(c.schedule()), 1)
	})
}
