package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a roster that does not name a keeper whose leases may still run: the keepers are chosen
// again, for another worker, while the roster with the worker's next keeper is being written. A keeper that
// was recorded and never got the worker is not named: it could answer for nothing.
func TestRosterNamesTheKeeperThatRenewsUntilTheNextOneIsUsed(t *testing.T) {
	is := is.New(t)
	n := new(Node)
	n.settings.config.Store(simConfig(1))
	l := newLeadership(n, 3, 1, 1, time.Now())
	vm := winch.WorkerVM{ID: "w"}
	choose := func(keeper string) []string {
		l.desired["w"] = l.rosterRecord(vm, keeper, l.generationOf("w", keeper))
		var earlier []string
		for _, k := range l.desired["w"].Earlier {
			earlier = append(earlier, k.Keeper)
		}
		return earlier
	}
	use := func(keeper string, token uint64) {
		l.recordAssignment("w", keeper, proto.Assignment{VM: vm, Token: token, Generation: l.desired["w"].Generation})
	}
	is.Equal(choose("k1"), nil)
	use("k1", 1)
	l.expiries.markListed("w", maxLease) // From here on k1 renews the lease.
	is.Equal(choose("k2"), []string{"k1"})
	is.Equal(choose("k2"), []string{"k1"})
	is.Equal(choose("k3"), []string{"k1"}) // The worker was never assigned to k2.

	l.expiries.endAssignment("w", "k1", 1, atMost(time.Second))
	use("k3", 2)
	is.Equal(choose("k3"), []string{"k1"})
	is.Equal(choose("k4"), []string{"k1", "k3"})
	use("k4", 3)
	l.expiries.markListed("w", maxLease) // All earlier keepers are fenced off.
	is.Equal(choose("k4"), nil)
}

// Guards against a wait for a keeper that has reported: the roster names it twice, with another keeper between, and it
// reports on its last assignment, for all of them. What is known only as of a standby's copy stays as it is.
func TestReportCoversAllEarlierAssignmentsToTheKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		s := newLeaseExpiries()
		inSeconds := func(seconds time.Duration) time.Time { return time.Now().Add(seconds * time.Second) }
		s.add("w", assignment{keeper: "a", generation: 1, expiry: inSeconds(8)})
		s.add("w", assignment{keeper: "b", generation: 2, expiry: inSeconds(3)})
		s.add("w", assignment{keeper: "a", generation: 3, expiry: inSeconds(8)})
		is.True(s.applyRelease("a", proto.KeeperEvent{Worker: "w", Token: 4, Turn: 3, Left: time.Second}))
		is.Equal(s.remaining("w"), 3*time.Second)

		s.add("v", assignment{keeper: "a", expiry: inSeconds(8)})
		is.True(!s.applyRelease("a", proto.KeeperEvent{Worker: "v", Token: 5, Turn: 3, Left: time.Second}))
		is.Equal(s.remaining("v"), 8*time.Second)
	})
}

// Guards against a planner's ignorance that outlasts it. A worker leaves, the store is down, and all entries are killed
// and restarted. The first planner afterwards does not learn that the worker's keeper has ended and is stopped as planned
// while it waits. Once the keeper's next process has registered, the next planner must not go on with that wait.
func TestNextPlannerLearnsWhatTheOneBeforeWaitedFor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := lastingWorld(t, 44)
		worker, keeper := w.workerKeptBy(w.planner(), false)
		w.leave(worker)
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
		w.setStore(func(s *simStore) { s.down, s.refusedHosts = false, map[string]bool{keeper.host: true} })
		recoveredAt := time.Now()
		for w.planner() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		first := w.planner()
		time.Sleep(600 * time.Millisecond)
		w.stopAsPlanned(first, 2*time.Second, 300*time.Millisecond)
		for w.planner() == nil || w.planner() == first {
			time.Sleep(5 * time.Millisecond)
		}
		w.setStore(func(s *simStore) { s.refusedHosts = nil })
		for w.runningLasting() < 18 && time.Since(recoveredAt) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if late := time.Since(recoveredAt); late >= maxDowntime {
			w.reportViolation("all run again %v after the store responds again", late)
		}
		w.endWithoutDowntimeCheck()
	})
}

// Guards against a wait for a planner that never was. The store is down, a worker leaves, and its lease expires after
// the planner's office has. Another entry could have taken the office; but whoever takes it next, the same planner or
// its standby, knows that there was none, and must restart the worker's tasks at once.
func TestWorkerLostWithoutAnOfficeIsNotWaitedForAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := lastingWorld(t, 49)
		worker, _ := w.workerKeptBy(w.planner(), false)
		w.setStoreUnavailable(true)
		time.Sleep(500 * time.Millisecond)
		w.terminateWorker(worker)
		time.Sleep(7500 * time.Millisecond)
		w.setStoreUnavailable(false)
		recoveredAt := time.Now()
		for w.runningLasting() < 18 && time.Since(recoveredAt) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if late := time.Since(recoveredAt); late >= maxDowntime {
			w.reportViolation("all run again %v after the store responds again", late)
		}
		w.endWithoutDowntimeCheck()
	})
}
