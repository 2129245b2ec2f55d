package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// reportProgress makes each worker send the progress of its runs every half a second for the given
// time, at the given rate in percent per second. It schedules after each update and returns the
// starts.
func (c *simRegion) reportProgress(length time.Duration, rate func(worker string) float64) []proto.Order {
	var starts []proto.Order
	done := make(map[runKey]float64)
	for begin := time.Now(); time.Since(begin) < length; {
		time.Sleep(500 * time.Millisecond)
		running := make(map[string][]winch.Running)
		for _, o := range c.running {
			key := runKey{o.Task, o.Run}
			done[key] = min(99, done[key]+rate(o.Worker)/2)
			running[o.Worker] = append(running[o.Worker], winch.Running{Task: o.Task, Run: o.Run, Percent: done[key]})
		}
		for id, list := range running {
			c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: id, Running: list})
		}
		starts = append(starts, c.schedule()...)
	}
	return starts
}

// startOnTwo starts a job of four tasks on two workers and returns the ID of one of them.
func startOnTwo(c *simRegion, estimate time.Duration) string {
	phase := tasks(4, 1000)
	phase.Estimate, phase.MostPerVM = estimate, 2
	c.add("a", "mix", "choir", phase)
	return c.schedule()[0].Worker
}

// Guards against a job that never ends because tasks on one worker are stuck. The worker's
// responses are fine, so nothing else would end the tasks.
func TestStuckTaskIsRestartedElsewhere(t *testing.T) {
	for _, on := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newSimRegion(t, 4, normalQueue())
			c.planner.Policy.Restart = on
			stuck := startOnTwo(c, 4*time.Second)
			starts := c.reportProgress(3*time.Second, func(worker string) float64 {
				if worker == stuck {
					return 0
				}
				return 20
			})
			is.Equal(len(starts) > 0, on)
			for _, o := range starts {
				is.True(o.Worker != stuck)
			}
		})
	}
}

// Guards against a phase waiting for a worker that has become slow while other workers are idle.
func TestTaskOfSlowWorkerIsRestartedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 4, normalQueue())
		slow := startOnTwo(c, 10*time.Second)
		starts := c.reportProgress(3*time.Second, func(worker string) float64 {
			if worker == slow {
				return 2
			}
			return 12
		})
		is.True(len(starts) > 0)
		for _, o := range starts {
			is.True(o.Worker != slow)
		}
	})
}

// Estimates may be wrong by a factor of several; that alone must not count as a sign of a slow
// worker.
func TestTasksLongerThanTheirEstimateAreNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 4, normalQueue())
		startOnTwo(c, time.Second)
		is.Equal(len(c.reportProgress(6*time.Second, func(string) float64 { return 10 })), 0)
	})
}

// Guards against tasks that are stuck at every worker being stopped and restarted forever.
func TestRestartsOfStuckTaskAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 8, normalQueue())
		c.add("a", "mix", "choir", tasks(1, 1000))
		c.schedule()
		is.True(len(c.reportProgress(40*time.Second, func(string) float64 { return 0 })) <= maxRestarts)
	})
}

// If no other worker has free capacity, a slow task must stay where it is.
func TestSlowTaskStaysWithoutCapacityElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, normalQueue())
		c.add("a", "mix", "choir", tasks(1, 1000))
		c.schedule()
		is.Equal(len(c.reportProgress(5*time.Second, func(string) float64 { return 0 })), 0)
		is.Equal(len(c.running), 1)
	})
}
