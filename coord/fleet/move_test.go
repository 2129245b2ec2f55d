package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// lastingPhase returns a phase with Lasting set.
func lastingPhase(count int, milli int64) winch.Phase {
	phase := tasks(count, milli)
	phase.Lasting = true
	return phase
}

// setDraining makes the platform name the given workers, and no others, as draining.
func (c *simRegion) setDraining(draining ...string) {
	var list []winch.WorkerVM
	for id, w := range c.planner.workers {
		vm := w.vm
		vm.Draining = false
		for _, x := range draining {
			vm.Draining = vm.Draining || x == id
		}
		list = append(list, vm)
	}
	c.planner.SetWorkers(list)
}

// runsAt counts the runs of a worker.
func (c *simRegion) runsAt(id string) int {
	n := 0
	for _, o := range c.running {
		if o.Worker == id {
			n++
		}
	}
	return n
}

// Guards against users of a lasting task waiting until the lease of a drained worker has expired.
// The lasting tasks must move while the worker still runs; other tasks may end before it leaves
// and must stay.
func TestLastingTasksMoveFromDrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 3, urgentQueue())
		c.add("a", "preview", "choir", lastingPhase(6, 1000))
		c.add("b", "preview", "choir", tasks(3, 1000))
		c.schedule()
		is.Equal(c.runsAt("w0"), 3)
		c.setDraining("w0")
		c.schedule() // The stops.
		c.schedule() // The starts elsewhere.
		is.Equal(len(c.running), 9)
		for _, o := range c.running {
			is.True(o.Worker != "w0" || o.Task.Job == "b")
		}
	})
}

// All workers except one that is nearly full are about to leave. A task stopped there without
// capacity elsewhere would run nowhere, so it must stay for as long as the worker does.
func TestLastingTasksStayWithoutCapacityElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 3, urgentQueue())
		c.add("a", "preview", "choir", lastingPhase(30, 1000))
		c.schedule()
		is.Equal(len(c.running), 30)
		before := c.runsAt("w0")
		is.Equal(before, 10)
		c.setDraining("w0", "w1")
		c.schedule()
		c.schedule()
		is.Equal(len(c.running), 30) // Six of them fit into the third worker.
		is.Equal(c.runsAt("w2"), 16)
		c.schedule()
		is.Equal(len(c.running), 30)
	})
}

// A planner that may not start a task yet, because an earlier planner may have started it, must
// not stop one to move it: the task would run nowhere until then.
func TestNothingMovesWhileEarlierPlannersRunsAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 3, urgentQueue())
		c.add("a", "preview", "choir", lastingPhase(3, 1000))
		c.schedule()
		c.planner.Barrier = time.Now().Add(8 * time.Second)
		c.planner.SetRoster([]string{"gone"})
		c.planner.AdoptedRevision = 1 << 40
		c.setDraining("w0")
		c.schedule()
		is.Equal(c.runsAt("w0"), 1)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: "gone"})
		c.schedule()
		c.schedule()
		is.Equal(c.runsAt("w0"), 0)
		is.Equal(len(c.running), 3)
	})
}

// Where the advice service decides who may run a task, the planner must get permission before it
// stops the task, since the response takes longer than the move.
func TestPermitIsObtainedBeforeTaskMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := urgentQueue()
		queue.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: 2 * time.Second}
		c := newSimRegion(t, 3, queue)
		c.add("a", "preview", "choir", lastingPhase(1, 1000))
		respond := func() {
			for _, a := range c.planner.AdviceRequests() {
				var tickets []winch.Ticket
				for _, id := range a.Workers {
					tickets = append(tickets, winch.Ticket{Worker: id, Value: "t"})
				}
				c.planner.AdviceReceived(a, tickets, 2*time.Second, time.Now())
			}
		}
		c.schedule()
		respond()
		c.schedule()
		is.Equal(len(c.running), 1)
		from := c.running[0].Worker
		time.Sleep(5 * time.Second) // The tickets have expired.
		c.setDraining(from)
		c.schedule()
		is.Equal(c.runsAt(from), 1)
		respond()
		c.schedule()
		is.Equal(len(c.running), 0)
		c.schedule()
		is.Equal(len(c.running), 1)
		is.True(c.running[0].Worker != from)
	})
}

// A start was confirmed to a keeper that has ended, and the planner learns of the run only from
// the first lists that the next keeper gets. The run must count as begun: its task does not wait,
// and it moves if its worker is about to leave.
func TestRunConfirmedByListsMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, urgentQueue())
		c.add("a", "preview", "choir", lastingPhase(1, 1000))
		c.planner.Schedule()
		start := c.planner.Orders()[0]
		c.running = append(c.running, start)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: start.Worker, Running: []winch.Running{{Task: start.Task, Run: start.Run}}})
		c.setDraining(start.Worker)
		c.schedule()
		c.schedule()
		is.Equal(c.runsAt(start.Worker), 0)
		is.Equal(len(c.running), 1)
	})
}
