package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// copiedTask is a region in which task 0 of a job of four tasks has two runs.
type copiedTask struct {
	*simRegion
	is          *is.I
	first, copy proto.Order
	percent     map[runKey]float64
}

// copyPhase returns a phase whose tasks may run twice at once, each on a worker of its own.
func copyPhase() winch.Phase {
	s := tasks(4, 1000)
	s.Estimate, s.MostPerVM, s.Copies = 4*time.Second, 1, true
	return s
}

// reportRuns lets half a second pass and all workers report their runs: task 0 makes a quarter of the progress
// of the others while it runs on its first worker.
func (c *copiedTask) reportRuns() {
	time.Sleep(500 * time.Millisecond)
	running := make(map[string][]winch.Running)
	for _, o := range c.running {
		key := runKey{o.Task, o.Run}
		rate := 20.0
		if o.Task.Index == 0 && o.Run == c.first.Run {
			rate = 5
		}
		c.percent[key] += rate / 2
		running[o.Worker] = append(running[o.Worker], winch.Running{Task: o.Task, Run: o.Run, Percent: c.percent[key]})
	}
	for id, list := range running {
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: id, Running: list})
	}
}

// newStraggler returns a region in which task 0 of job "a" straggles and Schedule was not called since.
func newStraggler(t *testing.T, phase winch.Phase, queues ...winch.Queue) *copiedTask {
	c := &copiedTask{simRegion: newSimRegion(t, 8, queues...), is: is.New(t), percent: make(map[runKey]float64)}
	c.add("a", "mix", "choir", phase)
	starts := c.schedule()
	c.is.Equal(len(starts), 4)
	c.first = starts[0]
	c.reportRuns()
	return c
}

// newCopiedTask returns a region in which the straggler has a copy.
func newCopiedTask(t *testing.T) *copiedTask {
	c := newStraggler(t, copyPhase(), normalQueue())
	starts := c.schedule()
	c.is.Equal(len(starts), 1)
	c.copy = starts[0]
	c.is.Equal(c.copy.Task, c.first.Task)
	c.is.True(c.copy.Worker != c.first.Worker)
	return c
}

// endOthers completes the other tasks of the phase.
func (c *copiedTask) endOthers() {
	for _, o := range slices.Clone(c.running) {
		if o.Task.Index != 0 {
			c.endRun(o, winch.CompletionDone)
		}
	}
}

// summary saves the records and returns the summary of the job.
func (c *copiedTask) summary() JobSummary {
	c.saveRecords()
	list := c.planner.JobSummaries()
	c.is.Equal(len(list), 1)
	return list[0]
}

// The first run to end completes the task, and the other is stopped. Guards against a task that is counted
// twice and against a stopped copy that counts as a failed attempt.
func TestFirstOfTwoRunsToEndWins(t *testing.T) {
	for _, copyWins := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCopiedTask(t)
			c.is.Equal(len(c.planner.CopyStarts()), 1)
			c.is.Equal(len(c.schedule()), 0) // one copy at a time
			time.Sleep(time.Second)
			winner, loser := c.copy, c.first
			if !copyWins {
				winner, loser = loser, winner
			}
			c.endRun(winner, winch.CompletionDone)
			c.is.True(c.planner.workers[loser.Worker].runs[runKey{loser.Task, loser.Run}].stopping)
			c.schedule() // the stop is carried out
			c.endOthers()
			ends := c.planner.CopyEnds()
			c.is.Equal(len(ends), 1)
			c.is.Equal(ends[0].Won, copyWins)
			c.is.Equal(ends[0].Gain > 10*time.Second, copyWins)
			x := c.summary()
			c.is.Equal(x.State, winch.JobDone)
			c.is.Equal(x.Copies, 1)
			c.is.Equal(x.Failed, 0)
			c.is.Equal(c.planner.Counts().Done, int64(4))
			c.is.Equal(c.planner.Counts().Running, 0)
			c.is.Equal(c.planner.teams["choir"].used, winch.Capacity{})
		})
	}
}

// A run must not be both copied and stopped to be restarted elsewhere.
func TestCopiedRunIsNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		for range 4 {
			c.reportRuns()
			c.schedule()
		}
		c.is.Equal(c.planner.Counts().Restarted, int64(0))
		c.is.Equal(c.planner.Counts().Running, 5)
	})
}

// Both runs must be charged to the team: its limit holds for what really runs.
func TestCopyCountsAgainstTeamLimit(t *testing.T) {
	for _, limit := range []int64{4000, 5000} {
		synctest.Test(t, func(t *testing.T) {
			c := newStraggler(t, copyPhase(), normalQueue())
			c.planner.teams["choir"].Cap = winch.Capacity{Milli: limit}
			c.is.Equal(len(c.schedule()), int(limit/1000)-4)
			c.is.Equal(c.planner.teams["choir"].used.Milli, limit)
		})
	}
}

// In an advised queue a copy needs a ticket of its own. The request must be sent only while the quota has
// room beside it.
func TestCopyRequestsAdviceWithinQuota(t *testing.T) {
	for _, quota := range []int{1, 5} {
		synctest.Test(t, func(t *testing.T) {
			q := normalQueue()
			q.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: time.Second}
			c := &copiedTask{simRegion: newSimRegion(t, 8, q), is: is.New(t), percent: make(map[runKey]float64)}
			c.add("a", "mix", "choir", copyPhase())
			answer := func() int {
				list := c.planner.AdviceRequests()
				for _, a := range list {
					var tickets []winch.Ticket
					for _, id := range a.Workers {
						tickets = append(tickets, winch.Ticket{Worker: id, Value: "t"})
					}
					c.planner.AdviceReceived(a, tickets, 0, time.Now())
				}
				return len(list)
			}
			c.schedule()
			c.is.Equal(answer(), 1)
			c.first = c.schedule()[0]
			c.reportRuns()
			c.reportRuns() // the tickets have expired
			c.planner.Quota = RequestQuota{Normal: quota}
			c.is.Equal(len(c.schedule()), 0)
			c.is.Equal(answer(), quota/5)
			time.Sleep(copyCheckInterval)
			c.is.Equal(len(c.schedule()), quota/5)
		})
	}
}

// Guards against decisions that change where no copy is permitted, or while work waits: the orders and advice
// requests must be the same as with the mechanism switched off.
func TestDecisionsWithoutCopiesAreUnchanged(t *testing.T) {
	for _, test := range []struct {
		name      string
		permitted bool
		waiting   int
	}{{"not permitted", false, 0}, {"work waits", true, 400}} {
		t.Run(test.name, func(t *testing.T) {
			play := func(on bool) (orders []proto.Order, requests []AdviceRequest) {
				synctest.Test(t, func(t *testing.T) {
					phase := copyPhase()
					phase.Copies = test.permitted
					advised := urgentQueue()
					advised.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: time.Second}
					c := newStraggler(t, phase, normalQueue(), advised)
					c.planner.Policy.Copies = on
					c.planner.Policy.Restart = false
					if test.waiting > 0 {
						c.add("b", "mix", "duct", tasks(test.waiting, 1000))
					}
					c.add("c", "preview", "duct", tasks(3, 1000))
					for range 12 {
						c.planner.Schedule()
						for _, o := range c.planner.Orders() {
							orders = append(orders, o)
							if o.Kind == proto.OrderStart {
								c.running = append(c.running, o)
								c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
							}
						}
						for _, a := range c.planner.AdviceRequests() {
							requests = append(requests, a)
							c.planner.AdviceReceived(a, []winch.Ticket{{Worker: a.Workers[0], Value: "t"}}, 0, time.Now())
						}
						c.reportRuns()
					}
				})
				return orders, requests
			}
			is := is.New(t)
			orders, requests := play(true)
			ordersOff, requestsOff := play(false)
			is.Equal(orders, ordersOff)
			is.Equal(requests, requestsOff)
			is.True(len(orders) > 0)
			is.True(len(requests) > 0)
		})
	}
}

// A run at a worker that does not respond must not be copied for that alone: its progress is not known, and
// copies of such runs gained nothing.
func TestRunAtUnresponsiveWorkerIsNotCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &copiedTask{simRegion: newSimRegion(t, 8, normalQueue()), is: is.New(t), percent: make(map[runKey]float64)}
		c.add("a", "mix", "choir", copyPhase())
		starts := c.schedule()
		for range 4 {
			c.reportRuns()
		}
		c.stopResponding(starts[0].Worker)
		silent := starts[0]
		c.running = slices.DeleteFunc(c.running, func(o proto.Order) bool { return o.Run == silent.Run })
		for range 4 {
			c.reportRuns()
			c.is.Equal(len(c.schedule()), 0)
		}
	})
}

// The checkpoint of the run that is further must be kept, so that neither a later copy nor the next start
// repeats work.
func TestCheckpointOfTheFurtherRunIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopiedTask(t)
		report := func(o proto.Order, percent float64, checkpoint string) {
			c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: o.Worker, Running: []winch.Running{
				{Task: o.Task, Run: o.Run, Percent: percent, Checkpoint: checkpoint},
			}})
		}
		x := c.planner.jobs["a"].phases[0].tasks[0]
		report(c.copy, 20, "c20")
		report(c.first, 10, "f10")
		c.is.Equal(x.checkpoint, "c20")
		report(c.first, 30, "f30")
		c.is.Equal(x.checkpoint, "f30")
		c.is.Equal(x.checkpointPercent, 30.0)
	})
}

// Guards against copies that take what waiting work will use: a task waits for a worker that is busy,
// for a ticket that will arrive, or for its team's limit. Work that no worker can run keeps no copy waiting.
func TestNoCopyWhileWorkWaits(t *testing.T) {
	for _, test := range []struct {
		name, queue, team string
		label             string
		count             int
		milli, limit      int64
		copies            int
	}{
		{"nothing waits", "", "", "", 0, 0, 0, 1},
		{"capacity", "mix", "duct", "of the straggler", 1, 16_000, 0, 0},
		{"ticket, with room for both", "preview", "duct", "", 1, 1000, 0, 1},
		{"ticket, without room for both", "preview", "duct", "", 10, 12_050, 0, 0},
		{"ticket of the same team", "preview", "choir", "", 1, 1000, 6000, 1},
		{"ticket of the same team, limited", "preview", "choir", "", 1, 1000, 5500, 0},
		{"limit", "mix", "choir", "", 1, 2000, 5000, 0},
		{"a worker that is not there", "mix", "duct", "unknown", 1, 1000, 0, 1},
		{"a larger worker than there is", "mix", "duct", "", 1, 20_000, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				advised := urgentQueue()
				advised.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: time.Second}
				c := newStraggler(t, copyPhase(), normalQueue(), advised)
				c.planner.Policy.UrgentRoom = false
				c.planner.teams["choir"].Cap.Milli = test.limit
				if test.queue != "" {
					straggler := c.planner.workers[c.first.Worker]
					straggler.vm.Labels = []string{"of the straggler"}
					phase := tasks(test.count, test.milli)
					phase.Label = test.label
					c.add("b", test.queue, test.team, phase)
				}
				is.New(t).Equal(len(c.schedule()), test.copies)
			})
		})
	}
}

// A copy on the worker of the first run would be as slow, and workers refuse a second run of a task.
func TestCopyNeedsAnotherWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &copiedTask{simRegion: newSimRegion(t, 1, normalQueue()), is: is.New(t), percent: make(map[runKey]float64)}
		phase := copyPhase()
		phase.MostPerVM = 0
		c.add("a", "mix", "choir", phase)
		c.first = c.schedule()[0]
		for range 4 {
			c.reportRuns()
			c.is.Equal(len(c.schedule()), 0)
		}
	})
}

// Copies must not raise the demand of urgent work, for which other work leaves capacity free.
func TestCopyIsNoUrgentDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := urgentQueue()
		q.Name = "mix"
		c := newStraggler(t, copyPhase(), q)
		used := c.planner.pool("render").urgent.used
		c.is.Equal(len(c.schedule()), 1)
		c.is.Equal(c.planner.pool("render").urgent.used, used)
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{q}})
		c.is.Equal(c.planner.pool("render").urgent.used, used)
	})
}

// Workers report progress in whole percent. Guards against copies of runs that are one percent behind others early
// in a long run, which looks like half the rate.
func TestRoundedProgressMakesNoStraggler(t *testing.T) {
	for _, behind := range []float64{2, 0} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newSimRegion(t, 8, normalQueue())
			c.add("a", "mix", "choir", copyPhase())
			starts := c.schedule()
			time.Sleep(250 * time.Millisecond)
			for i, o := range starts {
				percent := 3.0
				if i == 0 {
					percent = behind
				}
				c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: o.Worker, Running: []winch.Running{{Task: o.Task, Run: o.Run, Percent: percent}}})
			}
			is.Equal(len(c.schedule()) == 1, behind == 0)
		})
	}
}
