package region

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/fleet"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a task that runs twice after a takeover: its start may reach the next boot of its worker, which the list does not name
// yet, and a new standby's copy lacks the run.
func TestCopyHoldsStartsThatMayReachANextBootBeforeItIsListed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 100, 3, 9)
		settle()
		l := w.planner().node.leadership.Load()
		is.NoErr(l.duty.Do(w.ctx, func() {
			l.planner.AddAll([]fleet.StoredJob{{Job: &winch.PhasedJob{
				ID: "00000000000000a1", Queue: "preview", Team: "choir", Accepted: time.Now(), Phases: []winch.Phase{simPhase(1)},
			}}})
			l.planner.Schedule()
			var start proto.Order
			for _, o := range l.planner.Orders() {
				if o.Kind == proto.OrderStart {
					start = o
				}
			}
			id := start.Worker
			l.handleEvents(l.proxies[l.keepers[id]], []proto.KeeperEvent{
				{Kind: proto.EventLost, Token: l.assignments[id].Token, Worker: id, Result: winch.StartOtherBoot},
			})
			is.Equal(len(l.planner.RunsAt(id)), 1)
			all, _ := l.allRuns()
			is.True(slices.Contains(all, proto.MirrorRun{Worker: id, Task: start.Task, Run: start.Run}))
		}))
		w.end()
	})
}

// sentStart is a start with its sender and the worker that it is sent to.
type sentStart struct {
	from *Node
	to   *simWorker
}

// lateStart delays the first start whose sender is neither the planner nor its standby.
func (w *world) lateStart(delay time.Duration) <-chan sentStart {
	p, standby := w.planner(), w.namedStandby()
	sent, delayed := make(chan sentStart, 1), false
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callDelay = func(from *Node, vm winch.WorkerVM, call any) time.Duration {
		if _, start := call.(winch.StartRequest); !start || from == p.node || from == standby.node || delayed {
			return 0
		}
		delayed = true
		sent <- sentStart{from, w.workers[vm.ID]}
		return delay
	}
	return sent
}

// Guards against a task that runs twice: its start got no response and was stopped, the worker returned under its ID, and the next boot
// carries the start out.
func TestStoppedStartThatReachesTheNextBootIsNotRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 112, 3, 9)
		settle()
		sent := w.lateStart(2 * time.Second)
		w.acceptLasting("00000000000000a1", 18)
		x := (<-sent).to
		time.Sleep(1500 * time.Millisecond)
		w.returnUnderID(x)
		time.Sleep(time.Second)
		w.setUnresponsive(x.vm.ID, false)
		time.Sleep(10 * time.Second)
		is.Equal(w.log.count("is carried out late"), 1)
		is.Equal(w.runningLasting(), 18)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against a task that runs twice: its start is carried out seconds later, by a next boot that no entry reaches, and the task is
// started elsewhere before that boot's lease has expired.
func TestStartThatReachesACutOffNextBootSecondsLaterIsNotRepeated(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{700 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 112, 3, 9)
				settle()
				sent := w.lateStart(delay)
				w.acceptLasting("00000000000000a1", 18)
				x := (<-sent).to
				w.returnUnderID(x)
				time.Sleep(20 * time.Second)
				is.Equal(w.log.count("is carried out late"), 1)
				is.Equal(w.runningLasting(), 18)
				w.endWithoutDowntimeCheck()
			})
		})
	}
}

// bootUnlisted starts the next boot of a worker under its ID, without writing its record.
func (w *world) bootUnlisted(x *simWorker) *simWorker {
	w.terminateBoot(x, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	for clockStart(w.bootCount+1) > x.clockStart {
		w.bootCount++
	}
	w.bootCount++
	vm := x.vm
	vm.Born = w.bootCount
	next := &simWorker{
		vm: vm, bootedAt: time.Now(), clockStart: clockStart(w.bootCount), clockDrift: maxSlowdown,
		runs: make(map[runKey]*simRun), highestRun: make(map[winch.RunID]uint64),
	}
	w.workers[vm.ID], w.addresses[vm.Address] = next, next
	w.group.Go(func() { next.endDueRuns(w) })
	return next
}

// Guards against a task that is started elsewhere while its run goes on at the next boot of a worker: a keeper had found that boot, the
// planner was lost before the list named it, and the roster no longer named the worker.
func TestNextBootFoundBeforeItIsListedIsLostAfterTheLongestLease(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"planner killed", "planner and standby killed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 111, 3, 9)
				settle()
				w.startLasting("00000000000000a1", 36) // No other worker has a free slot.
				w.acceptLasting("00000000000000a2", 4)
				time.Sleep(2 * time.Second)
				p := w.planner()
				l := p.node.leadership.Load()
				worker, _ := w.workerKeptBy(p, false)
				x := w.workers[worker]
				token := x.token
				next := w.bootUnlisted(x)
				time.Sleep(700 * time.Millisecond)
				w.setUnresponsive(worker, true)
				officeChanges[name](w, p)
				w.setStore(func(s *simStore) { s.put("workers/"+worker, mustJSON(next.vm), 0) })
				l = w.awaitNextTerm(l.term)
				is.True(w.awaitLeadState(l, 10*time.Second, func() bool { return l.assignments[worker].VM.Born == next.vm.Born }))
				time.Sleep(500 * time.Millisecond)
				w.mu.Lock()
				next.mu.Lock()
				next.onContact = func() {
					is.NoErr(next.fence(token))
					next.extendLease(next.clock() + time.Hour) // A time on the clock of the former boot.
				}
				next.unresponsive = false
				next.mu.Unlock()
				w.mu.Unlock()
				for end := time.Now().Add(5 * time.Second); w.runsAt(worker) == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				is.True(w.runsAt(worker) > 0)
				w.setUnresponsive(worker, true)
				for i := range 6 {
					w.addWorker(fmt.Sprintf("x%d", i), fmt.Sprintf("d%d", i%3))
				}
				time.Sleep(12 * time.Second)
				is.Equal(w.runningLasting(), 40)
				w.endWithoutDowntimeCheck()
			})
		})
	}
}

// Guards against a task that runs twice: its start was on its way, a keeper had found the next boot of its worker, and the planner was
// lost before the list named that boot, when the roster no longer named the worker.
func TestStartOfTheLastTermAtABootThatWasReplacedIsNotRepeated(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"planner killed", "planner and standby killed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 112, 3, 9)
				settle()
				p := w.planner()
				l := p.node.leadership.Load()
				sent := w.lateStart(700 * time.Millisecond)
				w.acceptLasting("00000000000000a1", 18)
				x := (<-sent).to
				next := w.bootUnlisted(x)
				time.Sleep(300 * time.Millisecond)
				w.setUnresponsive(x.vm.ID, true)
				officeChanges[name](w, p)
				w.setStore(func(s *simStore) { s.put("workers/"+x.vm.ID, mustJSON(next.vm), 0) })
				w.awaitNextTerm(l.term)
				time.Sleep(2 * time.Second)
				w.setUnresponsive(x.vm.ID, false)
				time.Sleep(10 * time.Second)
				is.Equal(w.log.count("is carried out late"), 1)
				is.Equal(w.runningLasting(), 18)
				w.endWithoutDowntimeCheck()
			})
		})
	}
}

// Guards against a task that runs twice: the keeper that sent its start is known to have ended, and what the start gave the next boot of
// the worker counts as expired a lease after that end, though the next boot grants its longest lease.
func TestStartOfAnEndedKeeperAtANextBootIsNotRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 112, 3, 9)
		settle()
		sent := w.lateStart(700 * time.Millisecond)
		w.acceptLasting("00000000000000a1", 18)
		s := <-sent
		w.returnUnderID(s.to)
		for _, n := range w.nodes {
			if n.node == s.from {
				n.kill()
				n.start()
			}
		}
		time.Sleep(20 * time.Second)
		is.Equal(w.log.count("is carried out late"), 1)
		is.Equal(w.runningLasting(), 18)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against a task that runs twice: its start is carried out seconds later, by a next boot that neither a keeper nor the list has
// found, and the task is started elsewhere before that boot's lease has expired.
func TestStartThatReachesAnUnknownNextBootSecondsLaterIsNotRepeated(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{700 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 112, 3, 9)
				settle()
				sent := w.lateStart(delay)
				w.acceptLasting("00000000000000a1", 18)
				x := (<-sent).to
				w.setUnresponsive(x.vm.ID, true)
				time.Sleep(300 * time.Millisecond)
				w.bootUnlisted(x)
				w.setUnresponsive(x.vm.ID, true)
				time.Sleep(20 * time.Second)
				is.Equal(w.log.count("is carried out late"), 1)
				is.Equal(w.runningLasting(), 18)
				w.endWithoutDowntimeCheck()
			})
		})
	}
}
