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
func TestRunsOfAJobThatHasEndedKeepTheirRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(2, 8000))
		starts := c.step()
		is.Equal(len(starts), 2)
		c.end(starts[0], winch.EndFailed)
		c.end(c.step()[0], winch.EndFailed)
		end := c.planner.Records(10)[0]
		is.Equal(end.Progress.State, winch.JobFailed)
		is.True(end.Rest) // the other task is being stopped

		next := newCell(t, 1, urgentQueue())
		next.planner.Term = 2
		next.planner.Add(c.planner.jobs["a"].rec, &end.Progress, 10)
		next.planner.Event(proto.KeepEvent{Kind: proto.EventFound, Worker: "w0", Running: []winch.Running{{Task: starts[1].Task, Run: starts[1].Run}}})
		next.add("b", "preview", "choir", tasks(1, 16_000))
		next.planner.Schedule()
		is.Equal(next.planner.workers["w0"].used.Milli, int64(8000)) // b does not start
	})
}

// A job that has ended must be removed from the store once none of its runs is left.
func TestJobThatHasEndedIsRemovedWithItsLastRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(2, 8000))
		starts := c.step()
		c.end(starts[0], winch.EndFailed)
		c.end(c.step()[0], winch.EndFailed)
		c.record()
		is.Equal(c.state("a"), winch.JobFailed)
		is.Equal(len(c.planner.Expired(c.planner.now())), 0)
		is.Equal(len(c.planner.Records(10)), 0)
		c.step()
		_ = c.planner.Expired(c.planner.now())
		left := c.planner.Records(10)
		is.Equal(len(left), 1)
		is.True(!left[0].Rest)
	})
}

// A run of an unknown job is found at a worker. Its needs are not known, so nothing may start
// beside it until it has ended.
func TestRunOfAnUnknownJobTakesAllThatIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1, urgentQueue())
		task := winch.RunID{Job: "gone"}
		c.planner.Event(proto.KeepEvent{Kind: proto.EventFound, Worker: "w0", Running: []winch.Running{{Task: task, Run: 5}}})
		c.add("a", "preview", "choir", tasks(1, 1000))
		is.Equal(len(c.step()), 0)
		c.planner.Event(proto.KeepEvent{Kind: proto.EventEnded, Worker: "w0", Ended: []winch.Ended{{Number: 1, Task: task, Run: 5, Kind: winch.EndStopped}}})
		is.Equal(len(c.step()), 1)
	})
}
