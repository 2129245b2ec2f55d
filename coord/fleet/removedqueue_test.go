package fleet

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against work of a removed queue that waits for good, or that fails with its first failed attempt, under a planner
// that has not seen the queue.
func TestRemovedQueueKeepsItsTermsForAcceptedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 2)
		removed := winch.Queue{Name: "gone", Service: "render", Attempts: 2}
		c.planner.Add(&winch.PhasedJob{ID: "a", Queue: "gone", Team: "choir", Accepted: c.planner.now(), Terms: removed.Terms(), Phases: []winch.Phase{tasks(1, 1000)}}, nil, 0)
		c.planner.Add(&winch.PhasedJob{ID: "b", Queue: "other", Team: "choir", Accepted: c.planner.now(), Phases: []winch.Phase{tasks(1, 1000)}}, nil, 0)
		for range 2 {
			starts := c.schedule()
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Task.Job, "a")
			is.Equal(c.planner.jobs["a"].state.Final(), false)
			c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: starts[0].Worker, Ended: []winch.Completion{
				{Number: starts[0].Run, Task: starts[0].Task, Run: starts[0].Run, Kind: winch.CompletionFailed},
			}})
		}
		is.Equal(c.planner.jobs["a"].state, winch.JobFailed)

		// The operator adds a queue of that name again.
		removed.Attempts = 5
		c.planner.SetConfig(&winch.RegionConfig{Version: 1, Queues: []winch.Queue{removed}})
		is.Equal(c.planner.queues["gone"].Attempts, 5)
	})
}
