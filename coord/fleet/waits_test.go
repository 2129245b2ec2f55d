package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// servicePhase returns a phase of lasting tasks.
func servicePhase(count int, milli int64) winch.Phase {
	out := tasks(count, milli)
	out.Lasting = true
	return out
}

// onlyWaitingTask returns the one task that waits.
func onlyWaitingTask(is *is.I, p *Planner) WaitingTask {
	is.Helper()
	waits := p.WaitingTasks(time.Second)
	is.Equal(len(waits), 1)
	return waits[0]
}

// Guards against a lost lasting task going unnoticed. After its worker becomes unresponsive,
// nobody knows whether the task still runs, and its users get no responses from then on. So it
// counts as waiting since then, and the run that prevents a restart elsewhere is named until it is
// guaranteed to have ended.
func TestTaskAtUnresponsiveWorkerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, normalQueue())
		c.add("a", "mix", "choir", servicePhase(1, 1000))
		start := c.schedule()[0]
		time.Sleep(10 * time.Second)
		is.Equal(len(c.planner.WaitingTasks(time.Second)), 0)
		lostContact := time.Now()
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: start.Worker})
		time.Sleep(2 * time.Second)
		w := onlyWaitingTask(is, c.planner)
		is.Equal(w.Task, start.Task)
		is.Equal(w.Reason, WaitRun)
		is.Equal(w.Run, start.Run)
		is.Equal(w.Stopping, false)
		is.Equal(w.Since, lostContact)
		is.Equal(w.Contact, WorkerContact{Worker: start.Worker, Listed: true, Ready: true, NoResponse: true, UnresponsiveSince: lostContact})
		is.Equal(c.planner.UnresponsiveWorkers(time.Second), []UnresponsiveWorker{{w.Contact, 1}})

		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: start.Worker})
		w = onlyWaitingTask(is, c.planner)
		is.Equal(w.Reason, WaitDecision)
		is.Equal(w.Since, lostContact)
		is.Equal(len(c.planner.UnresponsiveWorkers(time.Second)), 0)
		is.Equal(len(c.schedule()), 1)
		is.Equal(len(c.planner.WaitingTasks(time.Second)), 0)
	})
}

// An unresponsive worker responds again, and its lasting task has kept running. The task must no
// longer count as waiting, and its next wait must not include the previous one.
func TestTaskAtWorkerThatRespondsAgainDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, normalQueue())
		c.add("a", "mix", "choir", servicePhase(1, 1000))
		start := c.schedule()[0]
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: start.Worker})
		time.Sleep(2 * time.Second)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventResponsive, Worker: start.Worker})
		is.Equal(len(c.planner.WaitingTasks(time.Second)), 0)
		is.Equal(len(c.planner.UnresponsiveWorkers(0)), 0)
		time.Sleep(10 * time.Second)
		vanished := time.Now()
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventVanished, Worker: start.Worker, Task: start.Task, Run: start.Run})
		time.Sleep(2 * time.Second)
		is.Equal(onlyWaitingTask(is, c.planner).Since, vanished)
	})
}

// A worker with a lasting task is removed from the platform's list, and another one loses its
// keeper. Both cases must be distinguishable from an unresponsive worker.
func TestUnresponsiveWorkersAreDistinguishedByCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, normalQueue())
		phase := servicePhase(2, 1000)
		phase.MostPerVM = 1
		c.add("a", "mix", "choir", phase)
		is.Equal(len(c.schedule()), 2)
		left := time.Now()
		c.planner.SetWorkers(c.planner.WorkersToHold()[:0])
		time.Sleep(time.Second)
		c.planner.SetUnready([]string{"w1"})
		time.Sleep(time.Second)
		got := c.planner.UnresponsiveWorkers(time.Second)
		is.Equal(len(got), 2)
		is.Equal(got[0].Contact, WorkerContact{Worker: "w0", Ready: true, UnresponsiveSince: left})
		is.Equal(got[1].Contact, WorkerContact{Worker: "w1", UnresponsiveSince: left})
		for _, w := range c.planner.WaitingTasks(time.Second) {
			is.Equal(w.Reason, WaitRun)
			is.Equal(w.Since, left)
		}
	})
}

// After a takeover, a run reported by the earlier planner at a worker that has not responded to
// the new one must count as waiting: nobody has seen it run.
func TestRunKnownOnlyToEarlierPlannerCountsAsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 0, normalQueue())
		c.planner.SetRoster([]string{"w0"})
		c.planner.SetWorkers([]winch.WorkerVM{{ID: "w0", Service: "render", Born: 1, Room: winch.Capacity{Milli: 1000, Memory: gigabyte}}})
		c.add("a", "mix", "choir", servicePhase(1, 1000))
		learned := time.Now()
		task := winch.RunID{Job: "a"}
		run := []winch.Running{{Task: task, Run: 5}}
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventKnownRuns, Worker: "w0", Running: run})
		time.Sleep(2 * time.Second)
		w := onlyWaitingTask(is, c.planner)
		is.Equal(w.Reason, WaitRun)
		is.Equal(w.Run, uint64(5))
		is.Equal(w.Since, learned)
		is.Equal(w.Contact.Ready, false)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: "w0", Running: run})
		is.Equal(len(c.planner.WaitingTasks(time.Second)), 0)
	})
}

// A start is ordered and not confirmed. The task must count as waiting, with a reason that differs
// from that for an unfinished earlier run.
func TestUnconfirmedStartWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, normalQueue())
		c.add("a", "mix", "choir", servicePhase(1, 1000))
		c.planner.Schedule()
		ordered := time.Now()
		time.Sleep(2 * time.Second)
		w := onlyWaitingTask(is, c.planner)
		is.Equal(w.Reason, WaitStart)
		is.Equal(w.Ordered, ordered)
	})
}

// For each cause that prevents the start of a lasting task, the reason reported must be that
// cause, and WaitingTasks must change nothing.
func TestWaitReasons(t *testing.T) {
	advised := normalQueue()
	advised.Advice = &winch.AdviceCost{Call: time.Millisecond, Valid: time.Second}
	for _, x := range []struct {
		reason Reason
		queue  winch.Queue
		setup  func(c *simRegion)
		check  func(is *is.I, w WaitingTask)
	}{
		{WaitQueue, urgentQueue(), func(*simRegion) {}, nil},
		{WaitAdopting, normalQueue(), func(c *simRegion) {
			c.planner.SetRoster([]string{"x", "b"})
			c.planner.Barrier, c.planner.AdoptedRevision = time.Now().Add(8*time.Second), 9
		}, func(is *is.I, w WaitingTask) {
			is.Equal(w.Unreported, 2)
			is.Equal(w.Contact.Worker, "b")
			is.Equal(w.Revision, uint64(7))
			is.Equal(w.AdoptedRevision, uint64(9))
		}},
		{WaitOffice, normalQueue(), func(c *simRegion) { c.planner.LeaseExpiry = time.Now().Add(-time.Second) }, nil},
		{WaitLimit, normalQueue(), func(c *simRegion) {
			c.planner.team("choir").Cap = winch.Capacity{Milli: 1500}
			c.add("first", "mix", "choir", tasks(1, 1000))
			o := c.schedule()[0]
			c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: o.Worker})
		}, func(is *is.I, w WaitingTask) {
			is.Equal(w.Used.Milli, int64(1000))
			is.Equal(w.Limit.Milli, int64(1500))
			is.Equal(w.UsedAtUnresponsive.Milli, int64(1000)) // The limit is reached because of runs that may have ended.
		}},
		{WaitWorker, normalQueue(), func(c *simRegion) {
			c.planner.SetUnready([]string{"w0", "w1"})
		}, func(is *is.I, w WaitingTask) { is.Equal(w.Offer, Offer{Workers: 2}) }},
		{WaitQuarantine, normalQueue(), func(c *simRegion) {
			for _, w := range c.planner.workers {
				w.health.quarantine(time.Now(), 10*time.Second)
			}
		}, func(is *is.I, w WaitingTask) { is.Equal(w.Offer, Offer{Workers: 2, Usable: 2, Resting: 2}) }},
		{WaitCapacity, normalQueue(), func(c *simRegion) {
			c.add("first", "mix", "duct", tasks(2, 16000))
			c.schedule()
		}, func(is *is.I, w WaitingTask) { is.Equal(w.Offer, Offer{Workers: 2, Usable: 2, Ticketed: 2}) }},
		{WaitAdvice, advised, func(*simRegion) {}, func(is *is.I, w WaitingTask) {
			is.Equal(w.Offer, Offer{Workers: 2, Usable: 2, Unasked: 2})
			is.True(!w.AdviceRequested.IsZero())
		}},
	} {
		t.Run(x.reason.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newSimRegion(t, 2, x.queue)
				x.setup(c)
				c.add("a", "mix", "choir", servicePhase(1, 1000))
				added := time.Now()
				c.schedule()
				time.Sleep(2 * time.Second)
				w := onlyWaitingTask(is, c.planner)
				is.Equal(w.Reason, x.reason)
				is.Equal(w.Since, added)
				if x.check != nil {
					x.check(is, w)
				}
				is.Equal(len(c.planner.Orders()), 0)
			})
		})
	}
}

// The advice service fails, grants a ticket that expires, or allows no worker. The reason reported
// for a waiting lasting task must distinguish these cases.
func TestWaitReasonsForAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := normalQueue()
		queue.Advice = &winch.AdviceCost{Call: time.Millisecond, Valid: time.Second}
		c := newSimRegion(t, 1, queue)
		c.add("a", "mix", "choir", servicePhase(1, 1000))
		time.Sleep(2 * time.Second)
		is.Equal(onlyWaitingTask(is, c.planner).Reason, WaitTicket)
		request := func() AdviceRequest {
			c.planner.Schedule()
			requests := c.planner.AdviceRequests()
			is.Equal(len(requests), 1)
			return requests[0]
		}
		c.planner.AdviceFailed(request())
		is.Equal(onlyWaitingTask(is, c.planner).Reason, WaitAdviceRetry)
		time.Sleep(adviceRetryDelay)
		c.planner.AdviceReceived(request(), []winch.Ticket{{Worker: "w0", Value: "t"}}, time.Second, time.Now())
		is.Equal(onlyWaitingTask(is, c.planner).Reason, WaitDecision)
		time.Sleep(time.Second)
		is.Equal(onlyWaitingTask(is, c.planner).Reason, WaitTicket)

		c = newSimRegion(t, 1, queue)
		c.add("a", "mix", "choir", servicePhase(1, 1000))
		c.planner.AdviceReceived(request(), nil, time.Second, time.Now())
		time.Sleep(2 * time.Second)
		is.Equal(onlyWaitingTask(is, c.planner).Reason, WaitDenied)
	})
}

// Members of a gang start together. While a member of the previous run may still run, the other
// members must be reported as waiting for that run and not for capacity.
func TestGangWaitsForItsPreviousRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, normalQueue())
		phase := servicePhase(2, 1000)
		phase.Gang, phase.MostPerVM = true, 1
		c.add("a", "mix", "choir", phase)
		starts := c.schedule()
		is.Equal(len(starts), 2)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: starts[0].Worker})
		c.endRun(starts[1], winch.CompletionFailed)
		time.Sleep(2 * time.Second)
		c.planner.Schedule() // The gang cannot be completed, so its run is given up.
		waits := c.planner.WaitingTasks(time.Second)
		is.Equal(len(waits), 2)
		for _, w := range waits {
			is.Equal(w.Reason, WaitRun)
			is.Equal(w.Contact.Worker, starts[0].Worker)
			is.Equal(w.Stopping, true)
		}
	})
}

// Tasks that are not ready to start, cancelled jobs and tasks that are not lasting must not be
// reported as waiting.
func TestOnlyReadyLastingTasksWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, normalQueue())
		behind := servicePhase(1, 1000)
		behind.After = []int{0}
		c.add("a", "mix", "choir", tasks(1, 1000), behind)
		c.add("b", "mix", "choir", servicePhase(1, 1000))
		c.planner.Cancel("b")
		c.add("c", "mix", "choir", tasks(1, 32000))
		first := c.schedule()
		is.Equal(len(first), 1)
		time.Sleep(10 * time.Second)
		is.Equal(len(c.planner.WaitingTasks(time.Second)), 0)
		c.endRun(first[0], winch.CompletionDone)
		done := time.Now()
		time.Sleep(2 * time.Second)
		w := onlyWaitingTask(is, c.planner)
		is.Equal(w.Task, winch.RunID{Job: "a", Phase: 1})
		is.Equal(w.Since, done)
	})
}
