package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a stop that is answered late, or never, being waited for although the urgent job
// could be served elsewhere, and against its capacity being held once nobody needs it.
func TestLateStopHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 2)
		c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
		_, stops := c.decide()
		is.Equal(len(stops), 1)
		time.Sleep(3 * time.Second)
		c.decide()
		is.Equal(len(c.planner.evictions), 0)
		is.Equal(len(c.planner.workers[stops[0].Worker].evictions), 0)
		c.stopped(stops[0], "saved")
		starts, _ := c.decide()
		is.Equal(starts[0].Task.Job, "urgent")
	})
}

// Guards against a lost stop order: the keeper lists the worker's runs again in its next session,
// and the run still holds the capacity.
func TestLostStopIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 2)
		c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
		_, stops := c.decide()
		var running []winch.Running
		for _, o := range c.running {
			if o.Worker == stops[0].Worker {
				running = append(running, winch.Running{Task: o.Task, Run: o.Run})
			}
		}
		c.planner.SetUnready([]string{stops[0].Worker})
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: stops[0].Worker, Running: running})
		_, again := c.decide()
		is.Equal(len(again), 1)
		is.Equal(again[0].Run, stops[0].Run)
	})
}

// Guards against a run that ends by itself while it is being stopped being run again.
func TestRunThatEndsDuringItsStopIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 2)
		c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
		_, stops := c.decide()
		c.endRun(stops[0], winch.CompletionDone)
		is.True(c.planner.task(stops[0].Task).done)
		starts, _ := c.decide()
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Task.Job, "urgent")
		is.Equal(c.planner.jobs["batch"].phases[0].evicted.count, 0)
	})
}

// Guards against a planner that is lost between the stop and the restart: the next planner knows
// neither the stop nor the checkpoint, which only the worker's completion holds.
func TestNextPlannerStartsStoppedTaskFromItsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 2)
		c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
		_, stops := c.decide()
		is.Equal(len(stops), 1)
		old := c.running
		next := newSimRegion(t, 0, urgentQueue(), normalQueue())
		next.planner.Term = 2
		next.planner.SetRoster([]string{"w0", "w1"})
		next.planner.Barrier, next.planner.AdoptedRevision = time.Now().Add(time.Minute), 100
		next.add("batch", "mix", "duct", savingTasks(4, 8000))
		var list []winch.WorkerVM
		for _, id := range []string{"w0", "w1"} {
			list = append(list, c.planner.workers[id].vm)
		}
		next.planner.SetWorkers(list)
		for _, id := range []string{"w0", "w1"} {
			e := proto.KeeperEvent{Kind: proto.EventListed, Worker: id}
			for _, o := range old {
				if o.Worker != id {
					continue
				}
				if o.Task == stops[0].Task {
					e.Ended = append(e.Ended, winch.Completion{Number: 1, Task: o.Task, Run: o.Run, Kind: winch.CompletionStopped, Checkpoint: "at the stop"})
					continue
				}
				e.Running = append(e.Running, winch.Running{Task: o.Task, Run: o.Run})
			}
			next.planner.HandleEvent(e)
		}
		starts, again := next.decide()
		is.Equal(len(again), 0)
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Task, stops[0].Task)
		is.Equal(starts[0].Checkpoint, "at the stop")
		is.True(starts[0].Run > stops[0].Run)
		is.Equal(len(next.planner.jobs["batch"].failed), 0)
	})
}

// Guards against a checkpoint that is lost with the planner: the worker forgets the completion that
// carried it as soon as the planner has it. The standby's copy of the checkpoints must be enough, and
// must not name tasks that run again or have ended.
func TestNextPlannerKnowsCheckpointThatTheWorkerHasForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 2)
		c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
		_, stops := c.decide()
		c.stopped(stops[0], "at the stop")
		is.Equal(c.planner.SavedCheckpoints(false), []SavedCheckpoint{{stops[0].Task, "at the stop"}})
		is.Equal(len(c.planner.SavedCheckpoints(false)), 0)
		is.Equal(len(c.planner.SavedCheckpoints(true)), 1)

		next := newSimRegion(t, 1, urgentQueue(), normalQueue())
		next.planner.SetSavedCheckpoints(map[winch.RunID]string{stops[0].Task: "at the stop"})
		is.Equal(len(next.planner.SavedCheckpoints(true)), 1) // The job is not known yet.
		next.add("batch", "mix", "duct", savingTasks(4, 4000))
		starts, _ := next.decide()
		is.Equal(len(starts), 4)
		for _, o := range starts {
			is.Equal(o.Checkpoint == "at the stop", o.Task == stops[0].Task)
		}
		next.confirm(starts)
		is.Equal(next.planner.SavedCheckpoints(false), []SavedCheckpoint{{Task: stops[0].Task}})
		is.Equal(len(next.planner.SavedCheckpoints(true)), 0)
		c.planner.Cancel("batch")
		is.Equal(len(c.planner.SavedCheckpoints(true)), 0)
	})
}

// Guards against a stopped task being lost with its worker, or starting from the beginning although
// a checkpoint was reported before, and against holding the capacity of a lost worker.
func TestTaskOfWorkerLostDuringStopStartsFromLastCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 2)
		c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
		time.Sleep(200 * time.Millisecond)
		_, stops := c.decide()
		is.Equal(len(stops), 1)
		time.Sleep(500 * time.Millisecond)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: stops[0].Worker})
		// 8 processors for 500 ms until the loss, and for 200 ms since the checkpoint.
		is.Equal(c.planner.Counts().EvictionLost, 5600*time.Millisecond)
		c.decide()
		is.Equal(len(c.planner.evictions), 0)
		other := "w0"
		if stops[0].Worker == "w0" {
			other = "w1"
		}
		for _, o := range c.running {
			if o.Worker == other {
				c.endRun(o, winch.CompletionDone)
			}
		}
		c.planner.Cancel("urgent")
		c.planner.Policy.UrgentRoom = false
		starts, _ := c.decide()
		is.Equal(starts[0].Task, stops[0].Task)
		is.Equal(starts[0].Checkpoint, "saved")
	})
}

// Guards against capacity being held for a job that was cancelled during the stop: the stopped task
// must be able to start again.
func TestCancelledJobHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 2)
		c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
		_, stops := c.decide()
		c.planner.Cancel("urgent")
		c.stopped(stops[0], "saved")
		c.decide()
		is.Equal(len(c.planner.evictions), 0)
		c.planner.Policy.UrgentRoom = false
		starts, _ := c.decide()
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Task, stops[0].Task)
	})
}
