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

// accelerated returns a cell of alike workers with eight accelerators each.
func accelerated(t *testing.T, workers int, queues ...winch.Queue) *cell {
	c := newCell(t, workers, queues...)
	for _, w := range c.planner.workers {
		w.vm.Room = winch.Room{Milli: 128_000, Memory: 256 * gigabyte, Accelerators: 8}
	}
	return c
}

// accelerators returns a phase of tasks that need accelerators, for a time.
func accelerators(count, each int, estimate time.Duration) winch.Phase {
	return winch.Phase{Count: count, Need: winch.Room{Milli: 11_000, Memory: gigabyte, Accelerators: each}, Estimate: estimate}
}

// playUntil ends runs as their estimates say and decides every 50 ms, until a time or
// until done holds. It calls each before each decision.
func (c *cell) playUntil(limit time.Duration, each func(at time.Duration), done func() bool) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit && !done() {
		each(time.Since(begin))
		for _, o := range slices.Clone(c.running) {
			if !time.Now().Before(c.due[runKey{o.Task, o.Run}]) {
				c.end(o, winch.EndDone)
			}
		}
		c.step()
		c.record()
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begin)
}

func never() bool { return false }

// begun returns whether a job has begun.
func (c *cell) begun(id string) func() bool {
	return func() bool { return c.planner.jobs[id].begun }
}

// A job that missed its objective is put behind all that can still be on time, and its
// caller waits in vain. The pattern: a quarter more comes than the worker can do.
func TestJobBeyondItsObjectiveRunsWhileItsCallerWaits(t *testing.T) {
	for _, lastCall := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue := usualQueue() // on time: 1.2 s and 2.2 times the work of 1 s.
			c := newCell(t, 1, queue)
			c.planner.Policy.LastCall = lastCall
			c.planner.Policy.UrgentRoom = false
			n, begin := 0, time.Now()
			come := func(time.Duration) {
				for ; time.Duration(n)*400*time.Millisecond <= time.Since(begin); n++ { // 2.5 a second, 2 fit.
					c.add(fmt.Sprintf("j%03d", n), "mix", "duct", tasks(1, 8000))
				}
			}
			c.playUntil(5*time.Second, come, never)
			c.add("held", "mix", "choir", tasks(1, 8000))
			c.planner.jobs["held"].rec.Accepted = time.Now().Add(-3100 * time.Millisecond)
			objective := 3400 * time.Millisecond
			took := c.playUntil(20*time.Second, come, c.begun("held"))
			is.Equal(took+3100*time.Millisecond < winch.LateFactor*objective-time.Second, lastCall)
		})
	}
}

// Small tasks are spread over all workers, and none is whole for a gang that needs all
// accelerators of two.
func TestSmallTasksLeaveWholeWorkersToGangs(t *testing.T) {
	for _, pack := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := accelerated(t, 4, usualQueue())
			c.planner.Policy.PackAccelerators = pack
			c.add("a", "mix", "choir", accelerators(9, 1, 2*time.Second))
			is.Equal(len(c.step()), 9)
			gang := accelerators(2, 8, 4*time.Second)
			gang.Gang = true
			c.add("b", "mix", "choir", gang)
			is.Equal(len(c.step()) == 2, pack)
		})
	}
}

// A gang that needs a whole worker is overtaken for ever by small tasks, each of which
// takes an accelerator that has just come free.
func TestSmallTasksDoNotOvertakeAGangForEver(t *testing.T) {
	for _, reserve := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := accelerated(t, 2, usualQueue())
			c.planner.Policy.Reserve = reserve
			n := 0
			begin := time.Now()
			small := func(time.Duration) {
				for ; time.Duration(n)*150*time.Millisecond <= time.Since(begin); n++ { // 13 of 16 accelerators
					c.add(fmt.Sprintf("s%03d", n), "mix", "choir", accelerators(1, 1, 2*time.Second))
				}
			}
			c.planner.Policy.PackAccelerators = false
			c.playUntil(3*time.Second, small, never)
			gang := accelerators(1, 8, 4*time.Second)
			gang.Gang = true
			c.add("g", "mix", "choir", gang)
			took := c.playUntil(30*time.Second, small, c.begun("g"))
			is.Equal(took <= 1200*time.Millisecond+8800*time.Millisecond, reserve) // its objective
		})
	}
}

// Room that is kept for a gang stands idle until the gang's last worker comes free,
// though short tasks could use it meanwhile.
func TestShortTasksUseRoomThatIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := accelerated(t, 1, usualQueue())
		c.add("a", "mix", "choir", accelerators(4, 1, 10*time.Second))
		is.Equal(len(c.step()), 4)
		gang := accelerators(1, 8, time.Second)
		gang.Gang = true
		c.add("gang", "mix", "choir", gang)
		is.Equal(len(c.step()), 0)
		c.add("long", "mix", "choir", accelerators(1, 1, 11*time.Second))
		is.Equal(len(c.step()), 0)
		c.add("short", "mix", "choir", accelerators(1, 1, 2*time.Second))
		is.Equal(len(c.step()), 1)
	})
}

// Questions name only the few workers with room, and each time another few: a step that
// is allowed at three workers of thirteen asks again and again. The cost of a question
// is mostly the question itself.
func TestFirstQuestionNamesAllWorkersOfASmallService(t *testing.T) {
	for _, all := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue := usualQueue()
			c := accelerated(t, 13, queue)
			c.planner.Policy.AskAll = all
			c.add("a", "mix", "choir", accelerators(11, 8, 4*time.Second))
			is.Equal(len(c.step()), 11)
			queue.Advice = &winch.AdviceCost{Call: 430 * time.Millisecond, Worker: 6 * time.Millisecond, Valid: 2 * time.Second}
			c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{queue}, Teams: []winch.RegionTeam{{Name: "choir"}}})
			c.add("b", "mix", "choir", accelerators(1, 8, time.Second))
			c.step()
			asks := c.planner.Asks()
			is.Equal(len(asks), 1)
			is.Equal(len(asks[0].Workers) == 13, all)
		})
	}
}

// Workers that are not allowed, or of which the question is dear, are not all asked
// about: a question that costs more per worker than by itself stays short.
func TestDearQuestionNamesFewWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := usualQueue()
		queue.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: 10 * time.Millisecond, Valid: 2 * time.Second}
		c := newCell(t, 40, queue)
		c.add("a", "mix", "choir", tasks(1, 1000))
		c.step()
		asks := c.planner.Asks()
		is.Equal(len(asks), 1)
		is.Equal(len(asks[0].Workers), askLeast)
	})
}

// A ticket ages while a gang waits for room. The next question goes out in time for the
// answer to come as the room does, and names only workers that allow the gang.
func TestTicketIsRenewedForTheTimeOfTheRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := usualQueue()
		c := accelerated(t, 4, queue)
		c.add("a", "mix", "choir", accelerators(4, 8, 5*time.Second))
		is.Equal(len(c.step()), 4)
		queue.Advice = &winch.AdviceCost{Call: 400 * time.Millisecond, Worker: time.Millisecond, Valid: 2 * time.Second}
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{queue}, Teams: []winch.RegionTeam{{Name: "choir"}}})
		gang := accelerators(1, 8, time.Second)
		gang.Gang = true
		c.add("g", "mix", "choir", gang)
		var asked []time.Duration
		var pending []Ask
		took := c.playUntil(8*time.Second, func(at time.Duration) {
			for _, a := range pending {
				c.planner.Advice(a, []winch.Ticket{{Worker: "w1", Value: "t"}}, 2*time.Second, time.Now())
			}
			pending = c.planner.Asks()
			for range pending {
				asked = append(asked, at)
			}
		}, c.begun("g"))
		t.Log(asked, took)
		is.True(took < 5200*time.Millisecond) // The room comes after 5 s.
		is.True(len(asked) <= 4)
	})
}

// A burst of urgent work at one service keeps the room of another service free, which
// it cannot use.
func TestUrgentWorkOfAnotherServiceKeepsNoRoomFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		optics := winch.Queue{Name: "scan", Service: "optics", Priority: 2, Attempts: 2, Target: time.Second, Stretch: 2}
		c := newCell(t, 4, urgentQueue(), optics)
		w := c.planner.workers["w3"]
		w.vm.Service = "optics"
		c.add("a", "preview", "choir", tasks(300, 1000))
		is.Equal(len(c.step()), 48)
		c.add("b", "scan", "duct", tasks(16, 1000))
		is.Equal(len(c.step()), 16)
	})
}

// The record of a job's end tells what its time went into.
func TestEndingTellsWhatTheTimeWentInto(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1, usualQueue())
		c.add("a", "mix", "choir", tasks(1, 16000))
		c.add("b", "mix", "choir", tasks(1, 16000))
		c.playUntil(5*time.Second, func(time.Duration) {}, func() bool { return c.state("b") == winch.JobDone })
		endings := c.planner.Endings()
		is.Equal(len(endings), 2)
		is.Equal(endings[0].Waited[WaitRoom], time.Duration(0))
		is.True(endings[1].Waited[WaitRoom] >= time.Second)
		is.True(endings[1].Took >= 2*time.Second)
		is.Equal(len(c.planner.Endings()), 0)
	})
}
