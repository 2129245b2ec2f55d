package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// goOn lets the region go on for a time.
func (c *simRegion) goOn(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(100 * time.Millisecond) {
		c.reportStatus()
		c.settle()
	}
}

// suspectAfter adds a crash to the suspicion of each task of a job's first phase, with how long its run had lived.
func (c *simRegion) suspectAfter(job string, lived ...time.Duration) {
	for i, d := range lived {
		x := c.planner.jobs[job].phases[0].tasks[i].suspect()
		x.crashes = append(x.crashes, winch.Crash{Run: 1, Worker: "lost", Lived: d})
	}
}

// suspicionOf returns the suspicion of a task of a job's first phase, or nil.
func (c *simRegion) suspicionOf(job string, index int) *suspicion {
	return c.planner.jobs[job].phases[0].tasks[index].suspicion()
}

// Guards against a task that was cleared and is blamed for a crash as if it were still tested, since others are on its worker.
func TestClearedTaskIsNotBlamedAsAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 4, urgentQueue(), normalQueue())
		c.add("rooms", "mix", "duct", lastingPhase(2, 1000))
		c.suspectAfter("rooms", time.Second, 3500*time.Millisecond)
		c.settle()
		is.Equal(len(c.running), 2)
		is.Equal(c.running[0].Worker, c.running[1].Worker)
		c.goOn(6 * time.Second)
		is.True(c.suspicionOf("rooms", 0) == nil)
		is.True(c.suspicionOf("rooms", 1) != nil)
		c.crash(c.running[0].Worker)
		if x := c.suspicionOf("rooms", 0); x != nil {
			is.Equal(x.strongCrashes(), 0)
		}
	})
}

// Guards against work that is started beside a task that is still tested, once another one on its worker has been cleared.
func TestNothingStartsBesideAProbeOnceAnotherIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue(), normalQueue())
		c.add("rooms", "mix", "duct", lastingPhase(2, 1000))
		c.suspectAfter("rooms", 3500*time.Millisecond, time.Second)
		c.goOn(4500 * time.Millisecond)
		is.Equal(len(c.running), 2)
		is.True(c.suspicionOf("rooms", 1) == nil)
		is.True(c.suspicionOf("rooms", 0) != nil)
		c.add("part", "preview", "choir", tasks(1, 1000))
		is.Equal(len(c.settle()), 0)
		c.goOn(5 * time.Second)
		is.Equal(c.state("part"), winch.JobRunning)
	})
}

// Guards against jobs that cannot start anywhere while many lasting jobs of one task, which were on a crashed worker, are
// tested on a worker each.
func TestProbesOfManyLastingJobsLeaveWorkersToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 6, urgentQueue(), normalQueue())
		for i := range roomTasks {
			c.add(fmt.Sprintf("room%d", i), "mix", "duct", lastingPhase(1, 1000))
		}
		c.settle()
		is.Equal(len(c.running), roomTasks)
		time.Sleep(2 * time.Second)
		c.crash("w0")
		c.goOn(3 * time.Second)
		c.add("part", "preview", "choir", tasks(4, 1000))
		is.Equal(len(c.settle()), 4)
		is.Equal(len(c.running), roomTasks+4)
	})
}
