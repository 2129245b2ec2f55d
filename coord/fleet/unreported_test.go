package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a team that exceeds its limit after a takeover. A worker with runs of an earlier planner has not
// reported yet. Jobs accepted after the takeover start at once, but only as far as the team keeps to its limit
// together with what may run at that worker.
func TestUnreportedRunsCountAgainstTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 3, normalQueue())
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{normalQueue()}, Teams: []winch.RegionTeam{{Name: "choir", Cap: winch.Capacity{Milli: 5000}}}})
		c.planner.SetRoster([]string{"w0"})
		c.planner.Barrier = time.Now().Add(8 * time.Second)
		c.planner.AdoptedRevision = 7
		c.add("old", "mix", "choir", tasks(3, 1000))
		c.planner.Add(&winch.PhasedJob{ID: "new", Queue: "mix", Team: "choir", Phases: []winch.Phase{tasks(5, 1000)}, Accepted: time.Now(), Revision: 8}, nil, 0)
		is.Equal(len(c.schedule()), 2)
		// The worker reports that it runs one task of the old job: the others wait, and do not run.
		c.planner.HandleEvent(listedEvent(c, "w0"))
		time.Sleep(2 * unreportedInterval)
		is.Equal(len(c.schedule()), 3)
	})
}

// Guards against new jobs that wait for the limit of their team although the workers that have not reported are too
// small to run as much.
func TestUnreportedRunsAreBoundedByTheirWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 3, normalQueue())
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{normalQueue()}, Teams: []winch.RegionTeam{{Name: "choir", Cap: winch.Capacity{Milli: 5000}}}})
		c.planner.workers["w0"].vm.Room.Milli = 1000
		c.planner.SetRoster([]string{"w0"})
		c.planner.Barrier = time.Now().Add(8 * time.Second)
		c.planner.AdoptedRevision = 7
		c.add("old", "mix", "choir", tasks(9, 1000))
		c.planner.Add(&winch.PhasedJob{ID: "new", Queue: "mix", Team: "choir", Phases: []winch.Phase{tasks(5, 1000)}, Accepted: time.Now(), Revision: 8}, nil, 0)
		is.Equal(len(c.schedule()), 4)
	})
}
