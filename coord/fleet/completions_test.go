package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// forgetOrders returns the highest number that each worker was ordered to forget since the last call.
func (c *simRegion) forgetOrders() map[string]uint64 {
	out := make(map[string]uint64)
	for _, o := range c.planner.Orders() {
		if o.Kind == proto.OrderForget {
			out[o.Worker] = max(out[o.Worker], o.Forget)
		}
	}
	return out
}

// ended lets a worker report the completion of a run under a number.
func (c *simRegion) ended(o proto.Order, number uint64) {
	c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: o.Worker, Ended: []winch.Completion{
		{Number: number, Task: o.Task, Run: o.Run, Kind: winch.CompletionDone},
	}})
}

// listed lets a worker report its first lists in a session.
func (c *simRegion) listed(worker string, running []winch.Running, ended ...winch.Completion) {
	c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: worker, Running: running, Ended: ended})
}

// Guards against a completion that is skipped because a higher number of the same worker was handled before it.
func TestCompletionThatIsOvertakenIsHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		c.add("b", "preview", "choir", tasks(1, 1000))
		starts := c.schedule()
		is.Equal(len(starts), 2)
		c.ended(starts[1], 6)
		c.ended(starts[0], 5)
		c.saveRecords()
		is.Equal(c.forgetOrders()["w0"], uint64(6))
		c.planner.SetUnready([]string{"w0"})
		c.listed("w0", nil)
		is.Equal(len(c.schedule()), 0)
		is.Equal(c.state("a"), winch.JobDone)
		is.Equal(c.state("b"), winch.JobDone)
	})
}

// Guards against an order to forget that covers a lower completion whose record is not in the store yet.
func TestOvertakenCompletionIsForgottenOnlyOnceItIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		c.add("b", "preview", "choir", tasks(1, 1000))
		starts := c.schedule()
		c.ended(starts[1], 6)
		c.ended(starts[0], 5)
		for _, r := range c.planner.Records(10) {
			if r.Job == starts[1].Task.Job {
				c.planner.Saved(r, 10)
			}
		}
		is.Equal(c.forgetOrders()["w0"], uint64(0))
	})
}

// Guards against the completion of an accepted job that is forgotten because this planner has not learned of the
// job yet: its task would be started again.
func TestCompletionOfAJobThatIsNotKnownYetIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.planner.SetUnready([]string{"w0"})
		c.listed("w0", nil, winch.Completion{Number: 3, Task: winch.RunID{Job: "a"}, Run: 7, Kind: winch.CompletionDone})
		is.Equal(c.forgetOrders()["w0"], uint64(0))
		c.add("a", "preview", "choir", tasks(1, 1000))
		is.Equal(len(c.schedule()), 0)
		c.saveRecords()
		is.Equal(c.forgetOrders()["w0"], uint64(3))
		is.Equal(c.state("a"), winch.JobDone)
	})
}

// Guards against a second run of a task whose first run was found before this planner learned of the job.
func TestRunOfAJobThatIsNotKnownYetIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 2, urgentQueue())
		running := []winch.Running{{Task: winch.RunID{Job: "a"}, Run: 7}}
		c.planner.SetUnready([]string{"w0"})
		c.listed("w0", running)
		is.Equal(len(c.planner.Orders()), 0)
		c.add("a", "preview", "choir", tasks(1, 1000))
		is.Equal(len(c.schedule()), 0)
		is.Equal(c.state("a"), winch.JobRunning)
		is.Equal(c.planner.workers["w0"].used.Milli, int64(1000))
	})
}

// Guards against completions that a worker is ordered to forget although their record is not in the store: they are
// those of a worker that was lost meanwhile and responds again.
func TestCompletionsOfALostWorkerAreForgottenOnlyOnceTheyAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		c.add("b", "preview", "choir", tasks(1, 1000))
		starts := c.schedule()
		c.ended(starts[0], 1)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: "w0", Result: winch.StartUncertain})
		c.listed("w0", nil,
			winch.Completion{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: winch.CompletionDone},
			winch.Completion{Number: 2, Task: starts[1].Task, Run: starts[1].Run, Kind: winch.CompletionLeaseExpired})
		is.Equal(c.forgetOrders()["w0"], uint64(0))
		c.saveRecords()
		is.Equal(c.forgetOrders()["w0"], uint64(2))
	})
}

// Guards against an order to forget that was made for one boot of a worker and reaches the next one under the same
// ID, which numbers its completions from the start again.
func TestOrderToForgetDoesNotReachTheNextBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		start := c.schedule()[0]
		c.ended(start, 40)
		c.saveRecords()
		next := c.planner.WorkersToHold()[0]
		next.Born++
		time.Sleep(time.Second)
		c.planner.SetWorkers([]winch.WorkerVM{next})
		c.listed("w0", nil)
		is.Equal(c.forgetOrders()["w0"], uint64(0))
	})
}

// Guards against a team that stays charged for the run of an unknown job after the job was found to have ended.
func TestChargeForRunsOfUnknownJobsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 2, normalQueue())
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{normalQueue()}, Teams: []winch.RegionTeam{{Name: "choir", Cap: winch.Capacity{Milli: 2000}}}})
		c.planner.SetUnready([]string{"w0"})
		gone := winch.RunID{Job: "gone"}
		c.listed("w0", []winch.Running{{Task: gone, Run: 7}})
		c.add("a", "mix", "choir", tasks(2, 1000))
		is.Equal(len(c.schedule()), 0)
		is.Equal(c.planner.UnknownJobs(), []string{"gone"})
		c.planner.JobMissing("gone")
		is.Equal(c.planner.UnknownJobs(), []string(nil))
		c.ended(proto.Order{Worker: "w0", Task: gone, Run: 7}, 1)
		c.planner.JobMissing("gone")
		is.Equal(len(c.schedule()), 2)
	})
}
