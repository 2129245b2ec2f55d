package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// acceleratorRegion returns a region of identical workers with eight accelerators each.
func acceleratorRegion(t *testing.T, workers int, queues ...winch.Queue) *simRegion {
	c := newSimRegion(t, workers, queues...)
	for _, w := range c.planner.workers {
		w.vm.Room = winch.Capacity{Milli: 128_000, Memory: 256 * gigabyte, Accelerators: 8}
	}
	return c
}

// acceleratorPhase returns a phase of tasks with the given accelerator need and estimate.
func acceleratorPhase(count, each int, estimate time.Duration) winch.Phase {
	return winch.Phase{Count: count, Need: winch.Capacity{Milli: 11_000, Memory: gigabyte, Accelerators: each}, Estimate: estimate}
}

// runUntil ends runs according to their estimates and schedules every 50 ms, until the time limit
// or until done returns true. It calls each before each decision.
func (c *simRegion) runUntil(limit time.Duration, each func(at time.Duration), done func() bool) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit && !done() {
		each(time.Since(begin))
		for _, o := range slices.Clone(c.running) {
			if !time.Now().Before(c.due[runKey{o.Task, o.Run}]) {
				c.endRun(o, winch.CompletionDone)
			}
		}
		c.schedule()
		c.saveRecords()
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begin)
}

func never() bool { return false }

// begun returns a function that reports whether a job has begun.
func (c *simRegion) begun(id string) func() bool {
	return func() bool { return c.planner.jobs[id].begun }
}

// Guards against a job that has missed its objective being ranked behind all jobs that can still
// meet theirs, so that its caller waits in vain. It happens when a quarter more work arrives than
// the worker can do.
func TestJobThatMissedItsObjectiveRunsWhileItsCallerWaits(t *testing.T) {
	for _, lastCall := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue := normalQueue() // Objective: 1.2 s plus 2.2 times the work of 1 s.
			c := newSimRegion(t, 1, queue)
			c.planner.Policy.LastCall = lastCall
			c.planner.Policy.UrgentRoom = false
			n, begin := 0, time.Now()
			arrive := func(time.Duration) {
				for ; time.Duration(n)*400*time.Millisecond <= time.Since(begin); n++ { // 2.5 jobs per second arrive, 2 fit.
					c.add(fmt.Sprintf("j%03d", n), "mix", "duct", tasks(1, 8000))
				}
			}
			c.runUntil(5*time.Second, arrive, never)
			c.add("held", "mix", "choir", tasks(1, 8000))
			c.planner.jobs["held"].rec.Accepted = time.Now().Add(-3100 * time.Millisecond)
			objective := 3400 * time.Millisecond
			took := c.runUntil(20*time.Second, arrive, c.begun("held"))
			is.Equal(took+3100*time.Millisecond < winch.LateFactor*objective-time.Second, lastCall)
		})
	}
}

// Guards against small tasks being spread over all workers, which leaves no whole worker for a
// gang that needs all accelerators of two.
func TestSmallTasksLeaveWholeWorkersForGangs(t *testing.T) {
	for _, pack := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := acceleratorRegion(t, 4, normalQueue())
			c.planner.Policy.PackAccelerators = pack
			c.add("a", "mix", "choir", acceleratorPhase(9, 1, 2*time.Second))
			is.Equal(len(c.schedule()), 9)
			gang := acceleratorPhase(2, 8, 4*time.Second)
			gang.Gang = true
			c.add("b", "mix", "choir", gang)
			is.Equal(len(c.schedule()) == 2, pack)
		})
	}
}

// Guards against starvation of a gang that needs a whole worker: small tasks overtake it, each
// taking an accelerator that has just become free.
func TestSmallTasksDoNotStarveGang(t *testing.T) {
	for _, reserve := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := acceleratorRegion(t, 2, normalQueue())
			c.planner.Policy.Reserve = reserve
			n := 0
			begin := time.Now()
			small := func(time.Duration) {
				for ; time.Duration(n)*150*time.Millisecond <= time.Since(begin); n++ { // 13 of 16 accelerators.
					c.add(fmt.Sprintf("s%03d", n), "mix", "choir", acceleratorPhase(1, 1, 2*time.Second))
				}
			}
			c.planner.Policy.PackAccelerators = false
			c.runUntil(3*time.Second, small, never)
			gang := acceleratorPhase(1, 8, 4*time.Second)
			gang.Gang = true
			c.add("g", "mix", "choir", gang)
			took := c.runUntil(30*time.Second, small, c.begun("g"))
			is.Equal(took <= 1200*time.Millisecond+8800*time.Millisecond, reserve) // The gang's objective.
		})
	}
}

// Guards against capacity reserved for a gang staying idle until the gang's last worker is free,
// although short tasks could use it in the meantime.
func TestShortTasksUseReservedCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := acceleratorRegion(t, 1, normalQueue())
		c.add("a", "mix", "choir", acceleratorPhase(4, 1, 10*time.Second))
		is.Equal(len(c.schedule()), 4)
		gang := acceleratorPhase(1, 8, time.Second)
		gang.Gang = true
		c.add("gang", "mix", "choir", gang)
		is.Equal(len(c.schedule()), 0)
		c.add("long", "mix", "choir", acceleratorPhase(1, 1, 11*time.Second))
		is.Equal(len(c.schedule()), 0)
		c.add("short", "mix", "choir", acceleratorPhase(1, 1, 2*time.Second))
		is.Equal(len(c.schedule()), 1)
	})
}

// Guards against requests that name only the few workers with free capacity, different ones each time:
// a phase that is allowed at three workers of thirteen would send request after request, although
// most of a request's cost does not depend on the number of workers.
func TestFirstRequestNamesAllWorkersOfSmallService(t *testing.T) {
	for _, all := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue := normalQueue()
			c := acceleratorRegion(t, 13, queue)
			c.planner.Policy.AskAll = all
			c.add("a", "mix", "choir", acceleratorPhase(11, 8, 4*time.Second))
			is.Equal(len(c.schedule()), 11)
			queue.Advice = &winch.AdviceCost{Call: 430 * time.Millisecond, Worker: 6 * time.Millisecond, Valid: 2 * time.Second}
			c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{queue}, Teams: []winch.RegionTeam{{Name: "choir"}}})
			c.add("b", "mix", "choir", acceleratorPhase(1, 8, time.Second))
			c.schedule()
			requests := c.planner.AdviceRequests()
			is.Equal(len(requests), 1)
			is.Equal(len(requests[0].Workers) == 13, all)
		})
	}
}

// Guards against long requests where each worker adds much to the cost: a first request must then
// name only the minimum number of workers.
func TestExpensiveRequestNamesFewWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := normalQueue()
		queue.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: 10 * time.Millisecond, Valid: 2 * time.Second}
		c := newSimRegion(t, 40, queue)
		c.add("a", "mix", "choir", tasks(1, 1000))
		c.schedule()
		requests := c.planner.AdviceRequests()
		is.Equal(len(requests), 1)
		is.Equal(len(requests[0].Workers), minRequestWorkers)
	})
}

// A ticket ages while a gang waits for capacity. The next request must be sent in time for the
// response to arrive when the capacity becomes free, and must name only workers that allow the
// gang.
func TestTicketIsRenewedBeforeCapacityIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := normalQueue()
		c := acceleratorRegion(t, 4, queue)
		c.add("a", "mix", "choir", acceleratorPhase(4, 8, 5*time.Second))
		is.Equal(len(c.schedule()), 4)
		queue.Advice = &winch.AdviceCost{Call: 400 * time.Millisecond, Worker: time.Millisecond, Valid: 2 * time.Second}
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{queue}, Teams: []winch.RegionTeam{{Name: "choir"}}})
		gang := acceleratorPhase(1, 8, time.Second)
		gang.Gang = true
		c.add("g", "mix", "choir", gang)
		var requested []time.Duration
		var pending []AdviceRequest
		took := c.runUntil(8*time.Second, func(at time.Duration) {
			for _, a := range pending {
				c.planner.AdviceReceived(a, []winch.Ticket{{Worker: "w1", Value: "t"}}, 2*time.Second, time.Now())
			}
			pending = c.planner.AdviceRequests()
			for range pending {
				requested = append(requested, at)
			}
		}, c.begun("g"))
		t.Log(requested, took)
		is.True(took < 5200*time.Millisecond) // The capacity becomes free after 5 s.
		is.True(len(requested) <= 4)
	})
}

// Guards against a burst of urgent work at one service reserving capacity of another service,
// which it cannot use.
func TestUrgentWorkReservesNoCapacityOfOtherServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		optics := winch.Queue{Name: "scan", Service: "optics", Priority: 2, Attempts: 2, Target: time.Second, Stretch: 2}
		c := newSimRegion(t, 4, urgentQueue(), optics)
		w := c.planner.workers["w3"]
		w.vm.Service = "optics"
		c.add("a", "preview", "choir", tasks(300, 1000))
		is.Equal(len(c.schedule()), 48)
		c.add("b", "scan", "duct", tasks(16, 1000))
		is.Equal(len(c.schedule()), 16)
	})
}

// The summary of a job that has ended must say for how long its tasks waited, by reason.
func TestCompletionRecordsWaitingTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, normalQueue())
		c.add("a", "mix", "choir", tasks(1, 16000))
		c.add("b", "mix", "choir", tasks(1, 16000))
		c.runUntil(5*time.Second, func(time.Duration) {}, func() bool { return c.state("b") == winch.JobDone })
		summaries := c.planner.JobSummaries()
		is.Equal(len(summaries), 2)
		is.Equal(summaries[0].Waited[WaitCapacity], time.Duration(0))
		is.True(summaries[1].Waited[WaitCapacity] >= time.Second)
		is.True(summaries[1].Took >= 2*time.Second)
		is.Equal(len(c.planner.JobSummaries()), 0)
	})
}
