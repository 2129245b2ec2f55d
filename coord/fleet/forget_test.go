package fleet

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a worker that is never listed as ready: its first lists are cut off and hold only completions that it
// was ordered to forget in the session before, in which the order was lost.
func TestOrderToForgetIsRepeatedForListsThatAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		start := c.schedule()[0]
		c.ended(start, 1)
		c.saveRecords()
		is.Equal(c.forgetOrders()["w0"], uint64(1))
		c.planner.SetUnready([]string{"w0"})
		c.ended(start, 1) // Lists that are cut off are reported as completions only.
		is.Equal(c.forgetOrders()["w0"], uint64(1))
	})
}

// Guards against an order to forget that outlives a worker without runs that has left the list: it would reach the next
// boot under the same ID, whose completions are not recorded.
func TestOrderToForgetOfAnUnlistedWorkerDoesNotReachTheNextBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		c.ended(c.schedule()[0], 40)
		next := c.planner.WorkersToHold()[0]
		next.Born++
		c.planner.SetWorkers(nil)
		c.planner.SetWorkers([]winch.WorkerVM{next})
		c.listed("w0", nil)
		c.add("b", "preview", "choir", tasks(1, 1000))
		c.ended(c.schedule()[0], 1)
		for _, r := range c.planner.Records(10) {
			if r.Job == "a" {
				c.planner.Saved(r, 10)
			}
		}
		is.Equal(c.forgetOrders()["w0"], uint64(0))
	})
}

// Guards against a completion that is not recorded and that no other planner can learn of: its worker left the list and
// came back, and counts as one at which nothing has run.
func TestUnlistedWorkerWithAnUnrecordedCompletionIsNotEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		c.ended(c.schedule()[0], 1)
		same := c.planner.WorkersToHold()
		is.Equal(len(c.planner.RunsAt("w0")), 1)
		c.planner.SetWorkers(nil)
		is.Equal(len(c.planner.RunsAt("w0")), 1)
		c.planner.SetWorkers(same)
		is.Equal(len(c.planner.RunsAt("w0")), 1)
		is.True(!c.planner.Empty("w0"))
	})
}

// Guards against a team that exceeds its limit by runs of a job that the planner does not know yet: they are not charged
// to the team, and others of its tasks start meanwhile.
func TestRunsOfUnknownJobsCountAgainstTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 2, normalQueue())
		limit := winch.Capacity{Milli: 2000}
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{normalQueue()}, Teams: []winch.RegionTeam{{Name: "choir", Cap: limit}}})
		c.planner.SetUnready([]string{"w0"})
		c.listed("w0", []winch.Running{{Task: winch.RunID{Job: "b"}, Run: 7}})
		c.add("a", "mix", "choir", tasks(2, 1000))
		c.schedule()
		c.add("b", "mix", "choir", tasks(1, 1000))
		c.schedule()
		is.True(c.planner.team("choir").used.Milli <= limit.Milli)
	})
}
