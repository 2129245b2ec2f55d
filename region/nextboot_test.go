package region

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/fleet"
	"plantainwinch/winch"
)

// officeChanges holds the ways in which the office changes hands, by name.
var officeChanges = map[string]func(w *world, p *simNode){
	"planner killed": func(_ *world, p *simNode) { p.kill() },
	"planned stop":   func(_ *world, p *simNode) { p.stop() },
	"planner and standby killed": func(w *world, p *simNode) {
		standby := w.namedStandby()
		p.kill()
		standby.kill()
	},
	"office taken again": func(w *world, p *simNode) {
		for _, n := range w.nodes {
			n.node.stopping.Store(n != p)
		}
		l := p.node.leadership.Load()
		_ = l.node.Table.RevokeLease(w.ctx, l.lease)
	},
}

// awaitNextTerm waits until a planner of a later term has read the region's records.
func (w *world) awaitNextTerm(term uint64) *leadership {
	for w.ctx.Err() == nil {
		if p := w.planner(); p != nil {
			if l := p.node.leadership.Load(); l != nil && l.term > term {
				return l
			}
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// maxSlowdown is the fraction by which a worker's clock may be slow.
const maxSlowdown = 0.02

// returnUnderID ends a boot of a worker and starts the next one under its ID, whose clock is behind that of the former one.
// No entry reaches it.
func (w *world) returnUnderID(x *simWorker) *simWorker {
	w.terminateBoot(x, false)
	w.mu.Lock()
	for clockStart(w.bootCount+1) > x.clockStart {
		w.bootCount++
	}
	w.mu.Unlock()
	w.bootWorker(x.vm, maxSlowdown)
	w.setUnresponsive(x.vm.ID, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[x.vm.ID]
}

// cutOff makes a boot stop responding to calls, or respond again, unless it has ended.
func (w *world) cutOff(x *simWorker, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unresponsive = on || x.terminated
}

// rosterBorn returns the start of the boot that the store's roster names for a worker.
func (w *world) rosterBorn(worker string) int64 { return w.rosterRecord(worker).VM.Born }

// rosterRecord returns what the store's roster says of a worker.
func (w *world) rosterRecord(worker string) rosteredWorker {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for key, v := range w.store.items {
		var r roster
		if len(key) < len(keyRoster) || key[:len(keyRoster)] != keyRoster || decode(v.Data, &r) != nil {
			continue
		}
		for _, x := range r.list() {
			if x.VM.ID == worker {
				return x
			}
		}
	}
	return rosteredWorker{}
}

// Guards against a task that is started elsewhere while its run goes on at the next boot of a worker: the planner that found
// that boot is lost, a call for the former boot gives it the longest lease, and the next planner counts on a shorter one.
func TestNextBootThatTheLastPlannerRecordedIsLostAfterTheLongestLease(t *testing.T) {
	t.Parallel()
	testNextBootIsLostAfterTheLongestLease(t, true)
}

// Guards against the same if the next planner is the one that finds the boot.
func TestNextBootFoundByTheNextPlannerIsLostAfterTheLongestLease(t *testing.T) {
	t.Parallel()
	testNextBootIsLostAfterTheLongestLease(t, false)
}

// testNextBootIsLostAfterTheLongestLease plays a change of the office after a worker has returned under its ID, before or after
// the store's roster names the next boot.
func testNextBootIsLostAfterTheLongestLease(t *testing.T, recorded bool) {
	for name, change := range officeChanges {
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
				next := w.returnUnderID(x)
				for recorded && w.rosterBorn(worker) != next.vm.Born {
					time.Sleep(time.Millisecond)
				}
				change(w, p)
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
				for i := range 6 { // Some are for tasks that are suspected of having ended the former boot.
					w.addWorker(fmt.Sprintf("x%d", i), fmt.Sprintf("d%d", i%3))
				}
				time.Sleep(12 * time.Second)
				is.Equal(w.runningLasting(), 40)
				w.endWithoutDowntimeCheck()
			})
		})
	}
}

// Guards against a task that runs twice: its start was on its way when the office changed hands, its worker returned under its
// ID meanwhile, and the next planner takes the run for one that has ended with the former boot.
func TestStartOfTheLastTermThatReachesTheNextBootIsNotRepeated(t *testing.T) {
	t.Parallel()
	for name, change := range officeChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testStartReachesTheNextBoot(t, change, 2*time.Second)
		})
	}
}

// Guards against the same if the next boot stays cut off: its lease is as long as one that the late start was given.
func TestStartThatReachesANextBootThatIsCutOffIsNotRepeated(t *testing.T) {
	t.Parallel()
	changes := maps.Clone(officeChanges)
	changes["same planner"] = nil
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testStartReachesTheNextBoot(t, change, 15*time.Second)
		})
	}
}

// testStartReachesTheNextBoot has a start carried out late by the next boot of its worker, which no entry reaches for a time
// after a change of the office.
func testStartReachesTheNextBoot(t *testing.T, change func(w *world, p *simNode), cutOff time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 112, 3, 9)
		settle()
		p, standby := w.planner(), w.namedStandby()
		l := p.node.leadership.Load()
		sent, delayed := make(chan *simWorker, 1), false
		w.mu.Lock()
		w.callDelay = func(from *Node, vm winch.WorkerVM, call any) time.Duration {
			if _, start := call.(winch.StartRequest); !start || from == p.node || from == standby.node || delayed {
				return 0
			}
			delayed = true
			sent <- w.workers[vm.ID]
			return 700 * time.Millisecond
		}
		w.mu.Unlock()
		w.acceptLasting("00000000000000a1", 18)
		x := <-sent
		w.returnUnderID(x)
		if change != nil {
			change(w, p)
			w.awaitNextTerm(l.term)
		}
		time.Sleep(cutOff)
		w.setUnresponsive(x.vm.ID, false)
		time.Sleep(10 * time.Second)
		is.Equal(w.log.count("is carried out late"), 1)
		is.Equal(w.runningLasting(), 18)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against a task that runs twice: its start is on its way to a boot that its keeper has found to be replaced, the list does
// not name the next one yet, and the office changes hands.
func TestStartOnItsWayToAReplacedBootIsKnownToTheNextPlanner(t *testing.T) {
	t.Parallel()
	for name, change := range officeChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 117, 3, 9)
				settle()
				p, standby := w.planner(), w.namedStandby()
				l := p.node.leadership.Load()
				sent, delayed := make(chan *simWorker, 1), false
				w.mu.Lock()
				w.callDelay = func(from *Node, vm winch.WorkerVM, call any) time.Duration {
					if _, start := call.(winch.StartRequest); !start || from == p.node || from == standby.node || delayed {
						return 0
					}
					delayed = true
					sent <- w.workers[vm.ID]
					return 1400 * time.Millisecond
				}
				w.mu.Unlock()
				w.acceptLasting("00000000000000a1", 18)
				x := <-sent
				record := x.vm
				w.setStore(func(s *simStore) {
					s.hangsWatch = func(_, prefix string, _ time.Time) bool { return prefix == "workers/" }
				})
				time.Sleep(10 * time.Millisecond) // A response may be on its way.
				next := w.returnUnderID(x)
				w.setStore(func(s *simStore) { s.put("workers/"+record.ID, mustJSON(record), 0) })
				w.cutOff(next, false)
				is.True(w.awaitLeadState(l, 3*time.Second, func() bool { return len(l.planner.ReplacedWorkers()) > 0 }))
				w.cutOff(next, true)
				time.Sleep(300 * time.Millisecond)
				change(w, p)
				w.awaitNextTerm(l.term)
				time.Sleep(300 * time.Millisecond)
				w.setStore(func(s *simStore) {
					s.hangsWatch = nil
					s.put("workers/"+record.ID, mustJSON(next.vm), 0)
				})
				time.Sleep(3 * time.Second)
				w.cutOff(next, false)
				time.Sleep(8 * time.Second)
				is.Equal(w.log.count("is carried out late"), 1)
				is.Equal(w.runningLasting(), 18)
				w.endWithoutDowntimeCheck()
			})
		})
	}
}

// Guards against a task that runs twice: its start got no response and was stopped at its worker, so that the task has started
// elsewhere, and the next boot of the worker, which knows nothing of the stop, carries the start out.
func TestStartThatTheFormerBootWasToldToStopIsNotCarriedOutByTheNextOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 116, 3, 9)
		settle()
		sent, delayed := make(chan *simWorker, 1), false
		w.mu.Lock()
		w.callDelay = func(_ *Node, vm winch.WorkerVM, call any) time.Duration {
			if _, start := call.(winch.StartRequest); !start || delayed {
				return 0
			}
			delayed = true
			sent <- w.workers[vm.ID]
			return 700 * time.Millisecond
		}
		w.mu.Unlock()
		w.acceptLasting("00000000000000a1", 1)
		x := <-sent
		for w.runningLasting() == 0 {
			time.Sleep(time.Millisecond)
		}
		w.returnUnderID(x)
		time.Sleep(time.Second)
		w.setUnresponsive(x.vm.ID, false)
		time.Sleep(5 * time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against lasting tasks that wait for the longest lease at a worker that has returned long ago: the roster says no longer
// than needed that calls for an earlier boot may be carried out there.
func TestRosterNamesANextBootOnlyWhileEarlierCallsMayBeCarriedOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 113)
		worker, _ := w.workerKeptBy(w.planner(), false)
		next := w.returnUnderID(w.workers[worker])
		time.Sleep(time.Second)
		is.Equal(w.rosterBorn(worker), next.vm.Born)
		is.True(w.rosterRecord(worker).NextBoot)
		w.setUnresponsive(worker, false)
		time.Sleep(fleet.NextBootTimeout + time.Second)
		is.True(!w.rosterRecord(worker).NextBoot)
		w.end()
	})
}
