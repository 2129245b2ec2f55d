package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// undetectedDelays returns delays after a worker has left, after which its keeper cannot have found it
// unresponsive yet: the worker may still delay its response to the keeper's last call. The steps are
// small compared with the half second after which an entry renews its own record.
func undetectedDelays() (out []time.Duration) {
	for after := 975 * time.Millisecond; after < 1600*time.Millisecond; after += 50 * time.Millisecond {
		out = append(out, after)
	}
	return append(out, 100*time.Millisecond, 600*time.Millisecond, 1900*time.Millisecond)
}

// Guards against lasting tasks that are down for more than nine seconds although only planned work
// happens. A worker that the planner's own entry keeps leaves as announced, and before it is found
// unresponsive that entry is stopped as planned. The entry gives the office up at once and its process
// goes on for two seconds. If the entry's own record is removed before the next planner has read it,
// that planner opens no session with the entry, gets no report of the worker's lease expiry, and waits
// for the longest possible lease.
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

// Guards against the same wait after the planned stop of a keeper that is not the planner. The planner
// must reassign the workers while the keeper's process goes on, and so get its report of when their
// leases expire.
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

// Guards against waiting for a lost process longer than its leases last. A worker leaves, and before
// it is found unresponsive its keeper, the planner's entry or another, is killed and restarted. All
// leases that the lost process had granted expire at most one lease after its end. If the longest
// authority that it could have had is counted, from when others noticed the loss, lasting tasks stay
// down long after all else has recovered.
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

// Guards against losing a report of a lease expiry with the planner that received it. The planner is
// killed as a worker leaves whose keeper goes on. The standby takes over, gets the keeper's report of
// the worker's lease expiry, and is stopped as planned a moment later, before the worker's next keeper
// has found it unresponsive. If the planner after that gets no report on the worker, it waits for the
// longest possible lease.
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

// Guards against one unknown worker that delays all lasting tasks after a store outage. The store is
// down for eight seconds, and a worker leaves meanwhile. Possibly no entry knows what ran there when
// the store responds again. All other workers respond, and the lasting tasks there and elsewhere must
// run again soon.
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

// Guards against a region that starts nothing for as long as entries are stopped in series. The store
// is down for eight seconds and a worker leaves, and then an entry is stopped as planned every two
// seconds. A planner that took the office over without a copy of the runs waits for as long as the
// planner before it may have had authority. If each planner counts that time again from its own start,
// it is stopped before the time has passed.
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

// storeOutageWithWorkerLoss takes the store down for eight seconds and ends a worker during that time.
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

// Guards against waiting too long for the lease of a killed keeper. The planner's entry, which keeps a
// worker itself, is killed, and then the worker leaves. The standby takes over and is stopped as
// planned before the killed entry is restarted. The planner after that sees the entry's next process
// start, and knows that all leases of the killed process expire soon after. It may not know that the
// worker's lease is one of them, since the worker has had another keeper since.
func TestKilledKeeperRestartsUnderALaterPlanner(t *testing.T) {
	t.Parallel()
	for _, restartAfter := range []time.Duration{1900 * time.Millisecond, 2100 * time.Millisecond} {
		t.Run(restartAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := lastingWorld(t, 47)
				w.startDowntimeChecks()
				p := w.planner()
				worker, _ := w.workerKeptBy(p, true)
				killedAt := time.Now()
				w.addDisturbance(true)
				p.kill()
				w.leave(worker)
				for w.planner() == nil {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(400 * time.Millisecond)
				w.stopAsPlanned(w.planner(), 2*time.Second, 300*time.Millisecond)
				time.Sleep(time.Until(killedAt.Add(restartAfter)))
				p.start()
				w.addDisturbance(false)
				w.checkLasting(is, 18)
			})
		})
	}
}

// Guards against lasting tasks that are down for longer than after the loss of one entry. A worker
// leaves, and a moment later all entries are killed, twice in a row, and restarted at once. None of
// the new processes has known the earlier ones, but the records of the new processes show that the
// earlier ones have ended. So one lease must be waited for, and not the longest authority.
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

// Guards against a wait for a worker that is counted from the takeover. A worker leaves, the store is
// down, and all entries are killed and restarted meanwhile. Their records have expired when the store
// responds again, so no entry has seen that the keepers named in the roster have ended.
func TestKeepersThatEndedDuringAStoreOutageAreNotWaitedFor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 44)
		w.leave(w.busiestWorker())
		w.setStoreUnavailable(true)
		time.Sleep(500 * time.Millisecond)
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range w.nodes {
			n.start()
		}
		time.Sleep(7 * time.Second)
		w.setStoreUnavailable(false)
		recoveredAt := time.Now()
		for w.runningLasting() < 18 && time.Since(recoveredAt) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		t.Log("all run again", time.Since(recoveredAt), "after the store responds again")
		is.True(time.Since(recoveredAt) < maxDowntime)
		w.endWithoutDowntimeCheck()
	})
}
