package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/evict"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// savingTasks returns a phase of long tasks that save their progress.
func savingTasks(count int, milli int64) winch.Phase {
	return winch.Phase{Count: count, Need: winch.Capacity{Milli: milli, Memory: gigabyte}, Estimate: 10 * time.Second, Checkpoints: true}
}

// urgentTasks returns a phase of tasks that leave time for a stop.
func urgentTasks(count int, milli int64) winch.Phase {
	return winch.Phase{Count: count, Need: winch.Capacity{Milli: milli, Memory: gigabyte}, Estimate: 2 * time.Second}
}

// filledRegion returns a region whose workers are filled with two batch tasks each that save their
// progress and have run for a second.
func filledRegion(t *testing.T, workers int, queues ...winch.Queue) *simRegion {
	if len(queues) == 0 {
		queues = []winch.Queue{urgentQueue(), normalQueue()}
	}
	c := newSimRegion(t, workers, queues...)
	c.add("batch", "mix", "duct", savingTasks(2*workers, 8000))
	if n := len(c.schedule()); n != 2*workers {
		t.Fatal("batch tasks started:", n)
	}
	time.Sleep(time.Second)
	c.reportSaved()
	return c
}

// reportSaved lets all workers report the progress of their runs by their estimates, with a new
// checkpoint.
func (c *simRegion) reportSaved() {
	running := make(map[string][]winch.Running)
	for _, o := range c.running {
		estimate := c.planner.task(o.Task).phase.spec.Estimate
		left := c.due[runKey{o.Task, o.Run}].Sub(time.Now())
		running[o.Worker] = append(running[o.Worker], winch.Running{Task: o.Task, Run: o.Run, Percent: 100 - 100*left.Seconds()/estimate.Seconds(), Checkpoint: "saved"})
	}
	for worker, list := range running {
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: worker, Running: list})
	}
}

// decide calls Schedule and returns the start and stop orders without carrying them out.
func (c *simRegion) decide() (starts, stops []proto.Order) {
	c.planner.Schedule()
	for _, o := range c.planner.Orders() {
		switch o.Kind {
		case proto.OrderStart:
			starts = append(starts, o)
		case proto.OrderStop:
			stops = append(stops, o)
		}
	}
	return starts, stops
}

// confirm carries out the start orders.
func (c *simRegion) confirm(starts []proto.Order) {
	for _, o := range starts {
		c.running = append(c.running, o)
		c.due[runKey{o.Task, o.Run}] = time.Now().Add(c.planner.task(o.Task).phase.spec.Estimate)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
	}
}

// stopped lets a worker report that it has stopped a run and saved its work.
func (c *simRegion) stopped(o proto.Order, checkpoint string) {
	c.completions[o.Worker]++
	c.forget(o)
	c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: o.Worker, Ended: []winch.Completion{
		{Number: c.completions[o.Worker], Task: o.Task, Run: o.Run, Kind: winch.CompletionStopped, Checkpoint: checkpoint},
	}})
}

// forget removes a run from the current runs.
func (c *simRegion) forget(o proto.Order) {
	kept := c.running[:0]
	for _, x := range c.running {
		if x.Task != o.Task || x.Run != o.Run {
			kept = append(kept, x)
		}
	}
	c.running = kept
}

// Guards against urgent work waiting for the end of long batch tasks: as few runs as necessary are
// stopped, the urgent tasks get the freed capacity although other work waits, and the stopped task
// goes on from its checkpoint before new work. The stop is no failed attempt, and the wait is
// accounted for.
func TestRunIsStoppedForUrgentWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 2)
		c.add("other", "mix", "choir", savingTasks(4, 8000))
		c.planner.jobs["other"].rec.Accepted = time.Now().Add(-10 * time.Second) // It has less slack.
		c.add("urgent", "preview", "choir", urgentTasks(2, 2200))
		starts, stops := c.decide()
		is.Equal(len(starts), 0)
		is.Equal(len(stops), 1) // One run frees enough for both tasks.
		log := c.planner.Evictions()
		is.Equal(len(log), 1)
		is.Equal(log[0].For.Job, "urgent")
		is.Equal(log[0].Task, stops[0].Task)
		time.Sleep(500 * time.Millisecond)
		_, again := c.decide()
		is.Equal(len(again), 0)
		c.stopped(stops[0], "at the stop")
		starts, again = c.decide()
		is.Equal(len(again), 0)
		is.Equal(len(starts), 2)
		for _, o := range starts {
			is.Equal(o.Task.Job, "urgent")
			is.Equal(o.Worker, stops[0].Worker)
		}
		c.confirm(starts)
		time.Sleep(2 * time.Second)
		for _, o := range starts {
			c.endRun(o, winch.CompletionDone)
		}
		time.Sleep(20 * time.Second)
		c.planner.Policy.UrgentRoom = false // The reservation for urgent work decays for minutes in a region this small.
		starts, _ = c.decide()
		is.Equal(starts[0].Task, stops[0].Task)
		is.Equal(starts[0].Checkpoint, "at the stop")
		c.confirm(starts)
		counts := c.planner.Counts()
		is.Equal(counts.Evicted, int64(1))
		is.Equal(counts.EvictionLost, 4*time.Second) // 8 processors for 500 ms.
		j := c.planner.jobs["batch"]
		is.Equal(len(j.failed), 0)
		is.True(j.phases[0].waited[WaitEvicted] >= 20*time.Second)
		is.Equal(WaitEvicted.String(), "evicted for urgent work")
	})
}

// Guards against stops of runs that must not be stopped, and for work that must not cause them.
func TestRunsAreNotStopped(t *testing.T) {
	for name, change := range map[string]func(c *simRegion, batch *winch.Phase, urgent *job){
		"urgent job beyond its share": func(_ *simRegion, _ *winch.Phase, urgent *job) { urgent.excess = true },
		"urgent job late anyway": func(_ *simRegion, _ *winch.Phase, urgent *job) {
			urgent.rec.Accepted = urgent.rec.Accepted.Add(-time.Second)
		},
		"team at its limit": func(_ *simRegion, _ *winch.Phase, urgent *job) { urgent.team.Cap.Milli = 1000 },
		"mechanism off":     func(c *simRegion, _ *winch.Phase, _ *job) { c.planner.Policy.Evict = false },
		"queue is urgent":   func(c *simRegion, _ *winch.Phase, _ *job) { c.planner.queues["mix"].Priority = 0 },
		"office may be lost": func(c *simRegion, _ *winch.Phase, _ *job) {
			c.planner.LeaseExpiry = time.Now().Add(time.Hour)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := filledRegion(t, 2)
				c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
				change(c, c.planner.jobs["batch"].phases[0].spec, c.planner.jobs["urgent"])
				_, stops := c.decide()
				is.Equal(len(stops), 0)
			})
		})
	}
	for name, change := range map[string]func(*winch.Phase){
		"no checkpoints": func(s *winch.Phase) { s.Checkpoints = false },
		"gang":           func(s *winch.Phase) { s.Gang = true },
		"lasting":        func(s *winch.Phase) { s.Lasting = true },
		"filling":        func(s *winch.Phase) { s.Fills, s.Need.Memory = true, 16*gigabyte },
		"near its end":   func(s *winch.Phase) { s.Estimate = 1500 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newSimRegion(t, 2, urgentQueue(), normalQueue())
				batch := savingTasks(4, 8000)
				change(&batch)
				c.add("batch", "mix", "duct", batch)
				is.Equal(len(c.schedule()), 4)
				time.Sleep(500 * time.Millisecond)
				c.reportSaved()
				c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
				_, stops := c.decide()
				is.Equal(len(stops), 0)
			})
		})
	}
}

// Guards against stops for urgent tasks that get capacity in time without them.
func TestNothingIsStoppedIfCapacityBecomesFreeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, urgentQueue(), normalQueue())
		short := savingTasks(2, 8000)
		short.Estimate = 2 * time.Second
		c.add("short", "mix", "duct", short)
		c.add("batch", "mix", "duct", savingTasks(2, 8000))
		is.Equal(len(c.schedule()), 4)
		time.Sleep(time.Second)
		c.reportSaved()
		c.add("urgent", "preview", "choir", urgentTasks(2, 2200))
		_, stops := c.decide()
		is.Equal(len(stops), 0)
		c.add("more", "preview", "choir", urgentTasks(6, 2200)) // Only four more fit into what becomes free.
		time.Sleep(evictInterval)
		_, stops = c.decide()
		is.Equal(len(stops), 1)
	})
}

// Guards against stops where the urgent phase is not allowed, and against capacity that becomes free
// when the ticket for it has expired.
func TestTicketIsValidWhenStopHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		urgent := urgentQueue()
		urgent.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: 100 * time.Microsecond, Valid: 300 * time.Millisecond}
		c := filledRegion(t, 4, urgent, normalQueue())
		c.planner.evictable = 0 // Nothing is stopped before the first response.
		c.add("urgent", "preview", "choir", urgentTasks(1, 2200))
		c.decide()
		c.planner.evictable = 8
		requests := c.planner.AdviceRequests()
		is.Equal(len(requests), 1)
		time.Sleep(20 * time.Millisecond)
		c.planner.AdviceReceived(requests[0], []winch.Ticket{{Worker: "w2", Value: "first"}}, 0, time.Now())
		_, stops := c.decide()
		is.Equal(len(stops), 1)
		is.Equal(stops[0].Worker, "w2")
		c.decide()
		requests = c.planner.AdviceRequests()
		is.Equal(len(requests), 1) // The first ticket expires before the stop is expected to end.
		is.Equal(requests[0].Workers, []string{"w2"})
		time.Sleep(700 * time.Millisecond)
		c.planner.AdviceReceived(requests[0], []winch.Ticket{{Worker: "w2", Value: "second"}}, 0, time.Now())
		c.stopped(stops[0], "saved")
		starts, _ := c.decide()
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Ticket, "second")
	})
}

// Guards against batch work that never ends because urgent work keeps arriving.
func TestTaskStoppedAgainAndAgainEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue(), normalQueue())
		c.planner.Policy.UrgentRoom = false // Otherwise the task would not start in a region this small.
		batch := savingTasks(1, 16_000)
		batch.Estimate = time.Minute
		c.add("batch", "mix", "duct", batch)
		n, progress := 0, 0.0
		last := time.Now()
		stopsOf := 0
		took := c.runUntil(10*time.Minute, func(at time.Duration) {
			if time.Duration(n)*5*time.Second <= at {
				n++
				c.add(fmt.Sprintf("u%03d", n), "preview", "choir", urgentTasks(1, 2200))
			}
			for _, o := range c.running {
				if o.Task.Job == "batch" {
					progress += time.Since(last).Seconds()
					c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: o.Worker, Running: []winch.Running{{Task: o.Task, Run: o.Run, Percent: min(99, progress), Checkpoint: "saved"}}})
				}
			}
			last = time.Now()
			for _, e := range c.planner.Evictions() {
				stopsOf = max(stopsOf, e.Stops)
			}
		}, func() bool { return c.state("batch") == winch.JobDone })
		is.True(took < 5*time.Minute)
		is.Equal(stopsOf, evict.MaxStops)
	})
}

// Guards against a burst of urgent work that stops most of what runs within a second.
func TestEvictionsPerSecondAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := filledRegion(t, 100)
		n := 0
		c.runUntil(5*time.Second, func(time.Duration) {
			for range 4 {
				n++
				c.add(fmt.Sprintf("u%03d", n), "preview", "choir", urgentTasks(4, 4000))
			}
		}, never)
		evicted := c.planner.Counts().Evicted
		t.Log(evicted)
		// A run is half of a worker, and a stop and restart take about a second or, once shorter
		// stops are observed, at least 130 ms. The budget is a tenth of the 100 workers.
		is.True(evicted > 10)
		is.True(evicted <= 6*10*2*1000/130)
	})
}

// decisions runs a random load and returns all orders and advice requests. All is decided by the
// seed, so that two policies can be compared.
func decisions(t *testing.T, evicts bool, workers int, checkpoints bool) []string {
	var out []string
	synctest.Test(t, func(t *testing.T) {
		queues := []winch.Queue{urgentQueue(), normalQueue()}
		for i := range queues {
			queues[i].Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: 2 * time.Second}
		}
		c := newSimRegion(t, workers, queues...)
		c.planner.Policy.Evict = evicts
		rnd := rand.New(rand.NewPCG(1, 2))
		n := 0
		var pending []AdviceRequest
		c.runUntil(20*time.Second, func(at time.Duration) {
			for _, a := range pending {
				var tickets []winch.Ticket
				for i, id := range a.Workers {
					if i%3 > 0 {
						tickets = append(tickets, winch.Ticket{Worker: id, Value: "t"})
					}
				}
				c.planner.AdviceReceived(a, tickets, 0, time.Now())
			}
			for range rnd.IntN(2) {
				n++
				batch := winch.Phase{Count: 1 + rnd.IntN(6), Need: winch.Capacity{Milli: int64(2000 + rnd.IntN(4000)), Memory: gigabyte}, Estimate: time.Duration(1+rnd.IntN(6)) * time.Second, Checkpoints: checkpoints}
				c.add(fmt.Sprintf("b%03d", n), "mix", "duct", batch)
			}
			if rnd.IntN(100) == 0 {
				for range 15 {
					n++
					c.add(fmt.Sprintf("u%03d", n), "preview", "choir", urgentTasks(1+rnd.IntN(6), 2200))
				}
			}
			for _, o := range c.running {
				out = append(out, fmt.Sprint(at, o))
			}
			pending = c.planner.AdviceRequests()
			for _, a := range pending {
				out = append(out, fmt.Sprint(at, a.Phase, a.Workers, a.Rank))
			}
		}, never)
		out = append(out, fmt.Sprint("evicted ", c.planner.Counts().Evicted))
	})
	return out
}

// Guards against changed decisions where no eviction is called for: with capacity to spare, or where
// nothing saves its progress, all starts, stops and advice requests must be the same as without the
// mechanism.
func TestDecisionsAreUnchangedWithoutNeedForEvictions(t *testing.T) {
	is := is.New(t)
	is.Equal(decisions(t, true, 150, true), decisions(t, false, 150, true))
	is.Equal(decisions(t, true, 15, false), decisions(t, false, 15, false))
	with := decisions(t, true, 15, true) // The load is such that evictions do occur if they are possible.
	is.True(with[len(with)-1] != "evicted 0")
}
