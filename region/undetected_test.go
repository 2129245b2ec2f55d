package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// undetectedDelays returns delays after a worker left in which its keeper, whose last call the worker
// may still be answering, cannot know of it yet. The steps are small compared with the half second
// after which an entry renews its own record.
func undetectedDelays() (out []time.Duration) {
	for after := 975 * time.Millisecond; after < 1600*time.Millisecond; after += 50 * time.Millisecond {
		out = append(out, after)
	}
	return append(out, 100*time.Millisecond, 600*time.Millisecond, 1900*time.Millisecond)
}

// A worker that the planner's own entry keeps leaves as announced, and before it is found unresponsive
// that entry is stopped as planned. Only planned work happens. The entry gives the office up at once
// and goes on for two seconds; but if its own record is removed before the next planner has looked,
// that planner opens no session with it, gets no report until when the worker's lease runs, and waits
// for the longest possible lease. A lasting task is then down for more than nine seconds.
func TestPlannerStopsBeforeItsOwnWorkerIsFoundUnresponsive(t *testing.T) {
	t.Parallel()
	for _, after := range undetectedDelays() {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := lastingWorld(t, 41)
				p := w.planner()
				worker, _ := w.workerKeptBy(p, true)
				w.leave(worker)
				time.Sleep(after)
				w.stopAsPlanned(p, 2*time.Second, 300*time.Millisecond)
				w.checkLasting(is, 18)
			})
		})
	}
}

// As above, with an entry that is not the planner: the planner takes the workers from it while it goes
// on, and gets its report until when their leases run.
func TestKeeperStopsBeforeItsWorkerIsFoundUnresponsive(t *testing.T) {
	t.Parallel()
	for _, after := range undetectedDelays() {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := lastingWorld(t, 42)
				worker, keeper := w.workerKeptBy(w.planner(), false)
				w.leave(worker)
				time.Sleep(after)
				w.stopAsPlanned(keeper, 2*time.Second, 300*time.Millisecond)
				w.checkLasting(is, 18)
			})
		})
	}
}

// A worker leaves, and before it is found unresponsive its keeper, the planner's entry or another, is
// killed and restarted. What the lost process had allowed to run ends at most one lease after the end
// of the process. The fault was to wait for the longest authority that it could have had, counted from
// when others noticed: lasting tasks stayed down long after all else had recovered.
func TestKeeperIsKilledBeforeItsWorkerIsFoundUnresponsive(t *testing.T) {
	t.Parallel()
	for _, own := range []bool{true, false} {
		for _, after := range undetectedDelays() {
			t.Run(fmt.Sprintf("planner %v %v", own, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := lastingWorld(t, 43)
					w.startDowntimeChecks()
					p := w.planner()
					worker, keeper := w.workerKeptBy(p, own)
					w.leave(worker)
					time.Sleep(after)
					w.addDisturbance(true)
					keeper.kill()
					time.Sleep(200 * time.Millisecond)
					keeper.start()
					w.addDisturbance(false)
					w.checkLasting(is, 18)
				})
			})
		}
	}
}

// The planner is killed as a worker leaves whose keeper goes on. The standby takes over, gets the
// keeper's report until when the worker's lease runs, and is stopped as planned a moment later, before
// the worker's next keeper has found it unresponsive. The planner after that gets no report on the
// worker and waits for the longest possible lease.
func TestPlannerStopsAfterALeaseReportBeforeTheWorkerIsFoundUnresponsive(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{
		20 * time.Millisecond, 170 * time.Millisecond, 320 * time.Millisecond,
		545 * time.Millisecond, time.Hour,
	} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := lastingWorld(t, 44)
				w.startDowntimeChecks()
				p := w.planner()
				worker, _ := w.workerKeptBy(p, false)
				w.leave(worker)
				time.Sleep(660 * time.Millisecond)
				w.addDisturbance(true)
				p.kill()
				time.Sleep(500 * time.Millisecond)
				p.start()
				w.addDisturbance(false)
				for w.planner() == nil {
					time.Sleep(5 * time.Millisecond)
				}
				w.log.note("next planner: %s", w.planner().host)
				if after < time.Minute {
					time.Sleep(after)
					w.stopAsPlanned(w.planner(), 2*time.Second, 300*time.Millisecond)
				}
				w.checkLasting(is, 18)
			})
		})
	}
}

// The store is down for eight seconds, and a worker leaves meanwhile. It may be that nobody knows what
// ran there when the store is back, but all the other workers respond, and the lasting tasks there and
// elsewhere have to run again soon.
func TestWorkResumesSoonAfterAStoreOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := lastingWorld(t, 45)
		w.startDowntimeChecks()
		w.storeOutageWithWorkerLoss()
		w.checkLasting(is, 18)
	})
}

// As above, and then entries are stopped as planned, one every two seconds. A planner that took the
// office without a copy of what runs waits for as long as the one before it may have had authority. If
// each counts that anew and is stopped before it has passed, nothing is started in the whole region
// for as long as the stops go on.
func TestWorkResumesWhileEntriesStopAfterAStoreOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := lastingWorld(t, 46)
		w.startDowntimeChecks()
		w.storeOutageWithWorkerLoss()
		w.stopInSeries(6)
		w.checkLasting(is, 18)
	})
}

// storeOutageWithWorkerLoss takes the store down for eight seconds, while a worker leaves.
func (w *world) storeOutageWithWorkerLoss() {
	w.addDisturbance(true)
	w.setStoreUnavailable(true)
	time.Sleep(3 * time.Second)
	w.terminateWorker(w.busiestWorker())
	time.Sleep(5 * time.Second)
	w.setStoreUnavailable(false)
	w.addDisturbance(false)
	time.Sleep(500 * time.Millisecond)
}

// The planner's entry, which keeps a worker itself, is killed, and then the worker leaves. The standby
// takes over and is stopped as planned before the killed entry is back. The planner after that sees
// the killed entry's next process start, and knows that all leases of the last one expire soon after;
// but not that the worker's lease is one of them, since it has had another keeper since.
func TestKilledKeeperRestartsUnderALaterPlanner(t *testing.T) {
	t.Parallel()
	for _, again := range []time.Duration{1900 * time.Millisecond, 2100 * time.Millisecond} {
		t.Run(again.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := lastingWorld(t, 47)
				w.startDowntimeChecks()
				p := w.planner()
				worker, _ := w.workerKeptBy(p, true)
				killed := time.Now()
				w.addDisturbance(true)
				p.kill()
				w.leave(worker)
				for w.planner() == nil {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(400 * time.Millisecond)
				w.stopAsPlanned(w.planner(), 2*time.Second, 300*time.Millisecond)
				time.Sleep(time.Until(killed.Add(again)))
				p.start()
				w.addDisturbance(false)
				w.checkLasting(is, 18)
			})
		})
	}
}

// A worker leaves, and a moment later all entries are killed, twice in a row, and restarted at once.
// None of them has known the earlier processes; their records say that these have ended, so one lease
// is waited for and not the longest authority. A lasting task is down for no longer than after the
// loss of one entry.
func TestAllEntriesAreKilledAfterAWorkerLeft(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := lastingWorld(t, 48)
				w.startDowntimeChecks()
				w.leave(w.busiestWorker())
				time.Sleep(after)
				w.addDisturbance(true)
				for _, gap := range []time.Duration{30 * time.Millisecond, 550 * time.Millisecond} {
					for _, n := range w.nodes {
						n.kill()
					}
					time.Sleep(100 * time.Millisecond)
					for _, n := range w.nodes {
						n.start()
					}
					time.Sleep(gap)
				}
				w.addDisturbance(false)
				time.Sleep(time.Second)
				w.stopAsPlanned(w.planner(), 2*time.Second, 300*time.Millisecond)
				w.checkLasting(is, 18)
			})
		})
	}
}

// A worker leaves, the store is down, and all entries are killed and restarted meanwhile. Their
// records have expired when the store is back, so nobody saw that the keepers named in the roster have
// ended; counted from the takeover, the wait for the worker would begin anew.
func TestKeepersThatEndedDuringAStoreOutageAreNotWaitedFor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 44)
		w.leave(w.busiestWorker())
		w.setStoreDown(true)
		time.Sleep(500 * time.Millisecond)
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range w.nodes {
			n.start()
		}
		time.Sleep(7 * time.Second)
		w.setStoreDown(false)
		back := time.Now()
		for w.runningLasting() < 18 && time.Since(back) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		t.Log("all run again", time.Since(back), "after the store is back")
		is.True(time.Since(back) < maxDowntime)
		w.endWithoutDowntimeCheck()
	})
}

func (w *world) setStoreDown(down bool) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.down = down
}
