package region

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// endWithoutDowntimeCheck ends the world and reports all violations except downtime of lasting tasks:
// a planner that cannot learn how long work still runs has to wait.
func (w *world) endWithoutDowntimeCheck() {
	w.mu.Lock()
	w.violations = slices.DeleteFunc(w.violations, func(line string) bool { return strings.Contains(line, "did not run for") })
	w.mu.Unlock()
	w.end()
}

// Guards against waiting for the longest possible lease of an entry that still runs. A worker that the
// planner's own entry keeps leaves a moment before that entry is stopped as planned, while the store
// is slow. The next planner reads the list of entries only after all other records. By then the
// stopping entry may have removed itself from the list. Then the next planner opens no session to it
// and never requests the expiry of the worker's lease, but counts the longest authority that the entry
// may have had.
func TestPlannerIsStoppedAsItsOwnWorkerLeaves(t *testing.T) {
	t.Parallel()
	for _, slow := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		for _, before := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := lastingWorld(t, 34)
				p := w.planner()
				worker, _ := w.workerKeptBy(p, true)
				is.True(worker != "")
				w.setStore(func(s *simStore) { s.extraDelay = slow })
				time.Sleep(time.Second)
				w.leave(worker)
				time.Sleep(before)
				p.stop()
				w.group.Go(func() {
					time.Sleep(2 * time.Second)
					p.kill()
				})
				time.Sleep(12 * time.Second)
				w.checkDownLasting()
				t.Log("store slower by", slow, "left before the stop by", before, "longest time down:", w.lasting.longestDowntime)
				w.end()
			})
		}
	}
}

// Guards against a wait that each planner begins again. The planner is killed with its standby and the
// keeper of a worker that has left, so that no remaining entry knows what ran there; then each later
// planner is killed soon after it has taken over. If each planner counts the longest authority of an
// earlier one from its own start, and chooses no standby until then, all work that the region has
// accepted is delayed.
func TestWaitForAnEarlierPlannerIsNotRestartedByEachPlanner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 40)
		p := w.planner()
		l := p.node.leadership.Load()
		worker, keeper := w.workerInThirdDomain(p)
		is.True(worker != "")
		standby := ""
		_ = l.duty.Do(w.ctx, func() { standby = l.standby.name })
		w.leave(worker)
		leftAt := time.Now()
		p.kill()
		w.killEntry(standby)
		w.killEntry(keeper)
		for range 4 {
			for w.planner() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(1500 * time.Millisecond)
			p := w.planner()
			if p == nil {
				continue
			}
			t.Log(time.Since(leftAt), "adopting:", p.node.leadership.Load().planner.Adopting())
			p.kill()
			time.Sleep(300 * time.Millisecond)
			p.start()
		}
		for w.runningLasting() < 18 && time.Since(leftAt) < 40*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		t.Log("all run again after", time.Since(leftAt))
		is.True(time.Since(leftAt) < 12*time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// awaitLeadState waits until a condition on a planner's state holds, and reports whether it did within
// the limit.
func (w *world) awaitLeadState(l *leadership, limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		ok := false
		_ = l.duty.Do(w.ctx, func() { ok = condition() })
		if ok {
			return true
		}
	}
	return false
}

// Guards against work that is started a second time by a standby with an outdated lease expiry. A
// worker is unresponsive for a moment, so the standby was sent its lease expiry, and then it responds
// again. The renewal of its lease must wait until the standby has acknowledged that. The standby is
// slow, and the worker's keeper is killed meanwhile. The next keeper lists the worker as responsive,
// and the planner must not allow the renewal because of that: the planner is killed and the worker is
// partitioned, and the standby takes over and considers the lease expired while the work goes on. Until
// the planner is killed the store turns the standby away, so that it does not take over before.
func TestRenewalThroughANewKeeperWaitsForTheStandby(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 35)
		p := w.planner()
		l := p.node.leadership.Load()
		worker, keeper := w.workerKeptBy(p, false)
		is.True(worker != "")
		w.setUnresponsive(worker, true)
		is.True(w.awaitLeadState(l, 4*time.Second, func() bool { return l.expiries.unresponsive[worker] && !l.mirrorPending }))
		time.Sleep(100 * time.Millisecond)
		planner := p.node.Name
		_ = l.duty.Do(w.ctx, func() { w.refuseEntry(l.standby.name) })
		w.setRequestLoss(func(from, _ string, kind winch.Kind) bool { return from == planner && kind == proto.KindMirror })
		w.setUnresponsive(worker, false)
		is.True(w.awaitLeadState(l, time.Second, func() bool { return !l.expiries.unresponsive[worker] }))
		keeper.kill()
		p.node.LinkChanged()
		x := w.workers[worker]
		lease := func() time.Duration {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.leaseUntil
		}
		old := lease()
		for end := time.Now().Add(300 * time.Millisecond); lease() == old && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		w.setUnresponsive(worker, true)
		p.kill()
		w.setRequestLoss(nil)
		w.setStore(func(s *simStore) { s.refusedHosts = nil })
		time.Sleep(12 * time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// rosterKeeper returns the keeper that the store's roster names for a worker.
func (w *world) rosterKeeper(worker string) string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for key, v := range w.store.items {
		var r roster
		if !strings.HasPrefix(key, keyRoster) || decode(v.Data, &r) != nil {
			continue
		}
		for _, x := range r.list() {
			if x.VM.ID == worker {
				return x.Keeper
			}
		}
	}
	return ""
}

// workerInThirdDomain returns a worker in a failure domain with neither planner nor standby, and its
// keeper.
func (w *world) workerInThirdDomain(p *simNode) (worker, keeper string) {
	l := p.node.leadership.Load()
	_ = l.duty.Do(w.ctx, func() {
		for id, name := range l.keepers {
			for _, n := range w.nodes {
				if n.node == nil || n.node.Name != name || n.domain == p.domain || worker != "" && worker < id {
					continue
				}
				if !strings.HasPrefix(l.standby.name, n.domain+"-") {
					worker, keeper = id, name
				}
			}
		}
	})
	return worker, keeper
}

// killEntry kills the entry process with the given name.
func (w *world) killEntry(name string) {
	for _, n := range w.nodes {
		if n.node != nil && n.node.Name == name {
			n.kill()
		}
	}
}

// makeStaleAssignment leaves a keeper with an outdated assignment. It loses one response of the
// keeper, so that its workers move to another keeper and the first is not notified that its
// assignments have ended. Then it calls meanwhile, kills the other keeper, kills the planner as soon
// as the store names the first keeper again, and partitions the worker.
func makeStaleAssignment(w *world, is *is.I, meanwhile func()) {
	p := w.planner()
	l := p.node.leadership.Load()
	worker, name := w.workerInThirdDomain(p)
	is.True(worker != "")
	planner := p.node.Name
	polls := 0
	w.setRequestLoss(func(from, to string, kind winch.Kind) bool {
		if from != planner || to != name || kind != proto.KindKeeperPoll {
			return false
		}
		polls++
		return polls == 1
	})
	other := ""
	is.True(w.awaitLeadState(l, 4*time.Second, func() bool {
		other = l.keepers[worker]
		return other != "" && other != name
	}))
	meanwhile()
	time.Sleep(7 * time.Second)
	is.True(w.awaitLeadState(l, time.Second, func() bool { return l.keepers[worker] == other && l.proxies[name] == nil }))
	w.setStore(func(s *simStore) { s.extraDelay = 200 * time.Millisecond })
	w.killEntry(other)
	p.node.LinkChanged()
	for end := time.Now().Add(3 * time.Second); w.rosterKeeper(worker) != name && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(w.rosterKeeper(worker), name)
	p.kill()
	w.setUnresponsive(worker, true)
}

// Guards against work that is started a second time because of an outdated assignment. One response of
// a keeper is lost, so its workers move to another keeper, but nothing notifies the first one that its
// assignments have ended. Much later the other keeper is killed. The store names the first keeper
// again, and the planner is killed before it can notify it, while the worker is partitioned. The next
// planner requests the expiry of the first keeper's leases. Under its old assignment they expired long
// ago, but the other keeper renewed the lease just now.
func TestStaleAssignmentDoesNotBoundALaterLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := lastingWorld(t, 36)
		makeStaleAssignment(w, is.NewRelaxed(t), func() {})
		time.Sleep(15 * time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against the same outdated assignment as TestStaleAssignmentDoesNotBoundALaterLease, with the
// planner's standby killed too. The next planner learns from the first keeper what runs at the
// partitioned worker. That keeper does not know of the runs that were started through the other one,
// and their tasks would be started a second time.
func TestStaleAssignmentDoesNotReportLaterRuns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := lastingWorld(t, 36)
		p := w.planner()
		standby := ""
		makeStaleAssignment(w, is.NewRelaxed(t), func() {
			w.startLasting("00000000000000a2", 12)
			l := p.node.leadership.Load()
			_ = l.duty.Do(w.ctx, func() { standby = l.standby.name })
		})
		w.killEntry(standby)
		time.Sleep(15 * time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against a record that no run exists at a worker when nobody knows what runs there. The
// planner, its standby and a worker's keeper are killed together, and the worker is partitioned. The
// worker's new keeper reports it as unresponsive to the next planner, which knows of no runs there. If
// that planner records that nothing is started there and no run exists, and is killed, the planner
// after it relies on the record and starts at once what still runs at the worker.
func TestWorkerWithoutContactIsNotRecordedAsSettled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := lastingWorld(t, 37)
		p := w.planner()
		l := p.node.leadership.Load()
		worker, keeper := w.workerInThirdDomain(p)
		standby := ""
		_ = l.duty.Do(w.ctx, func() { standby = l.standby.name })
		w.setUnresponsive(worker, true)
		p.kill()
		w.killEntry(standby)
		w.killEntry(keeper)
		for end := time.Now().Add(5 * time.Second); w.planner() == nil && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(900 * time.Millisecond)
		if p := w.planner(); p != nil {
			p.kill()
		}
		time.Sleep(12 * time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against runs that end needlessly while a worker is responsive. A worker is unresponsive for
// less than a second and responds again, while the standby cannot be reached and the store is down. If
// its lease is not renewed before the store responds, its runs end long before the planner's authority
// does, although its keeper, the planner and the worker all have contact.
func TestResponsiveWorkerIsRenewedWhileStandbyAndStoreAreDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 38)
		p := w.planner()
		l := p.node.leadership.Load()
		worker, _ := w.workerInThirdDomain(p)
		is.True(worker != "")
		planner := p.node.Name
		w.setUnresponsive(worker, true)
		is.True(w.awaitLeadState(l, 4*time.Second, func() bool { return l.expiries.unresponsive[worker] && !l.mirrorPending }))
		w.setRequestLoss(func(from, _ string, kind winch.Kind) bool { return from == planner && kind == proto.KindMirror })
		w.setStoreUnavailable(true)
		w.setUnresponsive(worker, false)
		time.Sleep(4500 * time.Millisecond)
		is.Equal(w.runningLasting(), 18)
		w.setStoreUnavailable(false)
		w.setRequestLoss(nil)
		time.Sleep(5 * time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against a worker that stays idle for as long as it lives. It crashes and returns as another
// boot under the same ID, and its record names that boot before its keeper reaches it. Only then the
// keeper of the boot that ended learns that another boot responds. If the planner takes that as an
// event of the new boot, it never uses the worker.
func TestNewBootThatWasListedFirstIsUsed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 39)
		p := w.planner()
		l := p.node.leadership.Load()
		worker, _ := w.workerInThirdDomain(p)
		is.True(worker != "")
		w.terminateWorker(worker)
		w.mu.Lock()
		domain := w.workers[worker].vm.Domain
		w.mu.Unlock()
		w.addWorker(worker, domain)
		w.setUnresponsive(worker, true)
		w.mu.Lock()
		x := w.workers[worker]
		w.mu.Unlock()
		time.Sleep(900 * time.Millisecond)
		w.setUnresponsive(worker, false)
		time.Sleep(12 * time.Second)
		_ = l.duty.Do(w.ctx, func() {
			is.True(l.keepers[worker] != "")
			is.Equal(l.assignments[worker].VM.Born, x.vm.Born)
		})
		w.endWithoutDowntimeCheck()
	})
}

// Guards against work that is started elsewhere while it still runs. A request of the planner waits at
// a keeper for a few seconds, as in the buffers of a paused process, and then the failure domain of
// the keeper and its worker is partitioned. If the keeper counts the authority in the request from
// when it reads it, it renews the worker's lease for longer than the planner assumes.
func TestRequestDelayedAtAPausedKeeperGrantsNoNewAuthority(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 41)
		p := w.planner()
		worker, name := w.workerInThirdDomain(p)
		is.True(worker != "")
		planner, polls := p.node.Name, 0
		w.mu.Lock()
		w.requestDelay = func(from, to string, kind winch.Kind) time.Duration {
			if from != planner || to != name || kind != proto.KindKeeperPoll {
				return 0
			}
			if polls++; polls > 1 {
				return 0
			}
			return 3500 * time.Millisecond
		}
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		w.mu.Lock()
		w.partitioned[w.workers[worker].vm.Domain] = true
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// Guards against a lease renewal that contradicts the roster. The planner, the standby and the keeper
// of an unresponsive worker are killed. The next planner records that it has renewed nothing there
// (the record's Bound). Then the worker responds, to that planner or a later one, but the store
// rejects the change of the record, and the worker becomes unresponsive again as that planner is
// killed too. If its lease was renewed, the planner after that starts the worker's tasks while they
// still run.
func TestWorkerRespondsWhileItsBoundStaysRecorded(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		after time.Duration
		later bool
	}{{0, false}, {50 * time.Millisecond, false}, {6 * time.Second, false}, {6 * time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := lastingWorld(t, 45)
			p := w.planner()
			l := p.node.leadership.Load()
			worker, keeper := w.workerInThirdDomain(p)
			is.True(worker != "")
			standby := ""
			_ = l.duty.Do(w.ctx, func() { standby = l.standby.name })
			w.setUnresponsive(worker, true)
			p.kill()
			w.killEntry(standby)
			w.killEntry(keeper)
			for w.planner() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			next := w.planner()
			lead := next.node.leadership.Load()
			is.True(w.awaitLeadState(lead, 2*time.Second, func() bool { return lead.roster[worker].Bound != 0 }))
			if x.later {
				next.kill()
				time.Sleep(time.Second)
				for next = w.planner(); next == nil; next = w.planner() {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
			}
			w.store.mu.Lock()
			w.store.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
				ok := !slices.ContainsFunc(txn.Writes, func(x winch.Write) bool { return strings.HasPrefix(x.Key, keyRoster) })
				return ok, ok
			}
			w.store.mu.Unlock()
			w.setUnresponsive(worker, false)
			time.Sleep(x.after)
			w.setUnresponsive(worker, true)
			next.kill()
			w.setStore(func(s *simStore) { s.commitOutcome = nil })
			time.Sleep(14 * time.Second)
			w.endWithoutDowntimeCheck()
		})
	}
}
