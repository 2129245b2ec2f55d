package fleet

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/speed"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// setFactor makes workers known to be slow by a factor.
func (c *simRegion) setFactor(factor float64, workers ...string) {
	var list []speed.Entry
	for _, id := range workers {
		list = append(list, speed.Entry{Worker: id, Factor: factor, Samples: 8})
	}
	c.planner.RestoreSpeeds(list, time.Now())
}

// startsAt counts the starts at the given workers.
func startsAt(starts []proto.Order, workers ...string) int {
	n := 0
	for _, o := range starts {
		for _, id := range workers {
			if o.Worker == id {
				n++
			}
		}
	}
	return n
}

// runTasks runs phases of six tasks until their end, with the given run time at each worker.
func (c *simRegion) runTasks(queue string, phases int, spec winch.Phase, took func(worker string) time.Duration) {
	for i := range phases {
		c.add(queue+time.Now().String()+string(rune('a'+i%26)), queue, "choir", spec)
		begin := time.Now()
		starts := c.schedule()
		for len(starts) > 0 {
			next := starts[0]
			at := 0
			for k, o := range starts {
				if took(o.Worker) < took(next.Worker) {
					next, at = o, k
				}
			}
			starts = append(starts[:at:at], starts[at+1:]...)
			time.Sleep(took(next.Worker) - time.Since(begin))
			c.endRun(next, winch.CompletionDone)
		}
		c.saveRecords()
	}
}

// Urgent tasks on slow workers miss their objective although fast workers are free. Once the fast ones
// are full, the slow ones must be used.
func TestUrgentTasksGoToFastWorkersFirst(t *testing.T) {
	for _, on := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newSimRegion(t, 4, urgentQueue())
			c.planner.Policy.Speeds = on
			c.setFactor(1.8, "w0", "w1")
			c.add("a", "preview", "choir", tasks(16, 2000))
			is.Equal(startsAt(c.schedule(), "w2", "w3") == 16, on)
			c.add("b", "preview", "choir", tasks(16, 2000))
			c.schedule()
			time.Sleep(time.Second) // It waits for a faster worker for as long as that can pay.
			c.schedule()
			is.Equal(len(c.running), 32)
		})
	}
}

// Lasting tasks and work with slack must not take the fast workers that urgent work needs, but use them
// when nothing else is free.
func TestLastingTasksAndWorkWithSlackGoToSlowWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 4, urgentQueue(), normalQueue())
		c.setFactor(1.8, "w0", "w1")
		lasting := tasks(4, 2000)
		lasting.Lasting = true
		c.add("a", "preview", "choir", lasting)
		is.Equal(startsAt(c.schedule(), "w0", "w1"), 4)
		c.add("b", "mix", "choir", tasks(4, 2000))
		is.Equal(startsAt(c.schedule(), "w0", "w1"), 4)
		c.add("c", "mix", "choir", tasks(16, 2000))
		starts := c.schedule()
		is.Equal(len(starts), 16)
		is.Equal(startsAt(starts, "w0", "w1"), 8)
	})
}

// Work of a lower priority that has little slack left must not be given to slow workers.
func TestWorkWithLittleSlackGoesToFastWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 4, normalQueue())
		c.setFactor(1.8, "w0", "w1")
		spec := tasks(4, 2000)
		spec.Estimate = 10 * time.Second
		c.add("a", "mix", "choir", spec)
		time.Sleep(8 * time.Second)
		is.Equal(startsAt(c.schedule(), "w2", "w3"), 4)
	})
}

// An urgent task that would be late on the only free worker, which is slow, must wait for a fast one that
// becomes free soon, and must not wait for one that does not.
func TestUrgentTaskWaitsForFastWorkerOnlyIfItEndsEarlierThere(t *testing.T) {
	for _, soon := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newSimRegion(t, 2, urgentQueue())
			c.setFactor(1.9, "w0")
			long := tasks(1, 16000)
			long.Estimate = 4 * time.Second
			c.add("before", "preview", "choir", long)
			is.Equal(startsAt(c.schedule(), "w1"), 1)
			if soon {
				time.Sleep(3700 * time.Millisecond)
			}
			c.add("a", "preview", "choir", tasks(1, 16000))
			starts := c.schedule()
			is.Equal(len(starts) == 0, soon)
			if !soon {
				is.Equal(starts[0].Worker, "w0")
				return
			}
			time.Sleep(300 * time.Millisecond)
			c.endRun(c.running[0], winch.CompletionDone)
			is.Equal(startsAt(c.schedule(), "w1"), 1)
		})
	}
}

// The fast worker for which a task waits may not become free. The wait must end when it has cost as much
// as the slow worker would have.
func TestWaitForFastWorkerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, urgentQueue())
		c.setFactor(1.9, "w0")
		c.add("before", "preview", "choir", tasks(1, 16000))
		c.schedule()
		time.Sleep(time.Second)
		c.add("a", "preview", "choir", tasks(1, 16000))
		begin := time.Now()
		for len(c.schedule()) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		is.True(time.Since(begin) > 500*time.Millisecond)
		is.True(time.Since(begin) <= 950*time.Millisecond)
	})
}

// A worker that takes 1.8 times as long must be recognized from the runs that it ends, and the others
// must count as exactly usual.
func TestSpeedIsLearnedFromRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 6, urgentQueue())
		spec := tasks(6, 16000)
		c.runTasks("preview", 30, spec, func(worker string) time.Duration {
			if worker == "w0" {
				return 1800 * time.Millisecond
			}
			return time.Second
		})
		is.True(c.planner.factor(c.planner.workers["w0"]) > 1.5)
		for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
			is.Equal(c.planner.factor(c.planner.workers[id]), 1.0)
		}
		changes := c.planner.SpeedChanges()
		is.True(len(changes) > 0)
		is.Equal(changes[0].Worker, "w0")
		is.Equal(len(c.planner.SpeedChanges()), 0)
		stats := c.planner.SpeedStats()
		is.Equal(stats.Known, 6)
		is.Equal(stats.Slow, 1)
	})
}

// The VM of a slow worker returns with another boot, or is replaced by one with another ID. The first
// must still count as slow, the second must not.
func TestNewBootKeepsSpeedAndNewVMHasNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, urgentQueue())
		c.setFactor(1.8, "w0")
		vm := c.planner.workers["w0"].vm
		vm.Born = 2
		other := vm
		other.ID = "new"
		c.planner.SetWorkers([]winch.WorkerVM{vm, other})
		c.schedule()
		time.Sleep(time.Second)
		c.schedule()
		is.True(c.planner.factor(c.planner.workers["w0"]) > 1.4)
		is.Equal(c.planner.factor(c.planner.workers["new"]), 1.0)
	})
}

// A run that is slow because its worker is must neither be restarted nor bring the worker into
// quarantine: both would waste capacity, as the worker is usable.
func TestSlowWorkerIsNoFault(t *testing.T) {
	for _, known := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newSimRegion(t, 4, normalQueue())
			slow := startOnTwo(c, 10*time.Second)
			if known {
				c.setFactor(3.5, slow)
			}
			starts := c.reportProgress(3*time.Second, func(worker string) float64 {
				if worker == slow {
					return 3
				}
				return 12
			})
			is.Equal(len(starts) == 0, known)
			is.Equal(c.planner.workers[slow].health.quarantined(time.Now()) || len(starts) > 0, !known)
		})
	}
}

// A task that checkpoints and would be late on its slow worker must continue at a fast one if it is then
// on time, and stay if it is on time anyway.
func TestLateRunContinuesAtFasterWorker(t *testing.T) {
	for _, late := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newSimRegion(t, 2, normalQueue())
			c.setFactor(2, "w0")
			spec := tasks(1, 16000)
			spec.Checkpoints, spec.Estimate = true, 6*time.Second
			c.add("a", "mix", "choir", spec)
			if late {
				time.Sleep(7 * time.Second) // It has 7.4 s left of its objective.
			}
			c.planner.workers["w1"].health.quarantine(time.Now(), time.Second)
			is.Equal(startsAt(c.schedule(), "w0"), 1)
			starts := c.reportProgress(3*time.Second, func(worker string) float64 {
				if worker == "w0" {
					return 100.0 / 12
				}
				return 100.0 / 6
			})
			is.Equal(startsAt(starts, "w1") == 1, late)
		})
	}
}

// A job of which a run was slow because of its worker was due earlier than the run times suggest: callers
// count it as late. The time lost must be reported with its reason.
func TestObjectiveIsThatOfUsualWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.setFactor(2, "w0")
		c.runTasks("preview", 1, tasks(1, 1000), func(string) time.Duration { return 2 * time.Second })
		x := c.planner.JobSummaries()[0]
		is.Equal(x.Took, 2*time.Second)
		factor := c.planner.factor(c.planner.workers["w0"])
		objective := 250*time.Millisecond + time.Duration(1.5*2/factor*float64(time.Second))
		is.True((x.Objective - objective).Abs() < time.Millisecond)
		lost := time.Duration((2 - 2/factor) * float64(time.Second))
		is.True((x.Waited[WaitSlowWorker] - lost).Abs() < time.Millisecond)
	})
}

// Runs away from the rack of their data take longer, which must not count as a slow worker, nor extend
// the job's objective once it is known by how much.
func TestRunsAwayFromTheirDataAreNoSlowWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 6, urgentQueue())
		var list []winch.WorkerVM
		for _, w := range c.planner.workers {
			vm := w.vm
			if vm.ID == "w5" {
				vm.Rack = "r2"
			}
			list = append(list, vm)
		}
		c.planner.SetWorkers(list)
		spec := tasks(6, 16000)
		spec.Rack = "r1"
		c.runTasks("preview", 30, spec, func(worker string) time.Duration {
			if worker == "w5" {
				return 3 * time.Second
			}
			return time.Second
		})
		is.Equal(c.planner.factor(c.planner.workers["w5"]), 1.0)
		is.True(math.Abs(c.planner.awayFactor("render")-3) < 0.3)
		all := c.planner.JobSummaries()
		is.True(all[0].Objective > 4*time.Second)
		is.True(all[29].Objective < 2*time.Second)
	})
}

// Another planner takes over with the summaries that its predecessor sent. Of these, only the first and
// the one for a new standby hold everything.
func TestSummaryHoldsWhatHasChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 3, urgentQueue())
		c.setFactor(1.8, "w0", "w1")
		first, ok := c.planner.SpeedSummary(true, time.Now())
		is.True(ok)
		is.Equal(len(first), 2)
		_, ok = c.planner.SpeedSummary(false, time.Now().Add(500*time.Millisecond))
		is.True(!ok) // It is too early.
		time.Sleep(2 * time.Second)
		_, ok = c.planner.SpeedSummary(false, time.Now())
		is.True(!ok) // Nothing has changed.
		for i := range uint64(12) {
			c.planner.observeSpeed(c.planner.workers["w1"], i+1, 1, time.Now())
		}
		time.Sleep(time.Second)
		second, ok := c.planner.SpeedSummary(false, time.Now())
		is.True(ok)
		is.Equal(second, []speed.Entry{{Worker: "w1", Factor: 1}})
		full, ok := c.planner.SpeedSummary(true, time.Now())
		is.True(ok)
		is.Equal(len(full), 1)

		next := newSimRegion(t, 3, urgentQueue())
		next.planner.RestoreSpeeds(full, time.Now())
		is.Equal(next.planner.factor(next.planner.workers["w0"]), c.planner.factor(c.planner.workers["w0"]))
		is.Equal(next.planner.factor(next.planner.workers["w1"]), 1.0)
	})
}

// All members of a gang end together, so one on a slow worker delays the capacity that the others hold:
// what waits for that must not be expected to start earlier.
func TestGangIsAsFastAsItsSlowestMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, normalQueue())
		c.setFactor(2, "w0")
		gang := tasks(2, 16000)
		gang.Gang = true
		c.add("a", "mix", "choir", gang)
		is.Equal(len(c.schedule()), 2)
		for _, o := range c.running {
			at, ok := c.planner.workers[o.Worker].runs[runKey{o.Task, o.Run}].expectedCompletion(time.Now())
			is.True(ok)
			is.True(time.Until(at) > 1900*time.Millisecond)
		}
	})
}
