package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
)

// workerKeptBy returns a worker with runs, and its keeper: the planner's own entry if own is set, and
// otherwise an entry that is neither planner nor standby. If the planner's own entry keeps none, as the other
// entry of its failure domain was there first, that one is restarted.
func (w *world) workerKeptBy(p *simNode, own bool) (worker string, keeper *simNode) {
	worker, keeper = w.findKeptBy(p, own)
	if worker == "" && own {
		for _, n := range w.nodes {
			if n != p && n.domain == p.domain {
				n.kill()
				time.Sleep(500 * time.Millisecond)
				n.start()
			}
		}
		settle()
		worker, keeper = w.findKeptBy(p, own)
	}
	if worker == "" {
		w.t.Fatal("no worker with runs has such a keeper")
	}
	return worker, keeper
}

// findKeptBy returns what workerKeptBy does, or "" if there is no such worker.
func (w *world) findKeptBy(p *simNode, own bool) (worker string, keeper *simNode) {
	l := p.node.leadership.Load()
	_ = l.duty.Do(w.ctx, func() {
		for id, name := range l.keepers {
			isStandby := l.standby != nil && l.standby.name == name
			if (name == p.node.Name) == own && !isStandby && len(l.planner.RunsAt(id)) > 0 && (worker == "" || id < worker) {
				worker = id
			}
		}
		for _, n := range w.nodes {
			if n.node != nil && n.node.Name == l.keepers[worker] {
				keeper = n
			}
		}
	})
	return worker, keeper
}

// lastingWorld returns a region with about two lasting tasks on every worker.
func lastingWorld(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed, 3, 9)
	settle()
	w.startLasting("00000000000000a1", 18)
	time.Sleep(2 * time.Second)
	return w
}

// checkLasting waits, checks that all lasting tasks run again and how long they were down, and ends
// the world.
func (w *world) checkLasting(is *is.I, count int) {
	time.Sleep(12 * time.Second)
	w.checkDownLasting()
	is.Equal(w.runningLasting(), count)
	w.t.Log("longest time down:", w.lasting.longestDowntime)
	w.end()
}

// Guards against waiting too long for a worker whose keeper is lost. The worker leaves, and a moment
// later its keeper is killed for good, so the keeper never reports the expiry of the worker's lease.
// The planner knows since when the worker was unresponsive and that its lease was not renewed after
// that. It must not wait as long as for a keeper that may still renew the lease.
func TestKeeperIsKilledAfterItsWorkerLeft(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := lastingWorld(t, 31)
			worker, keeper := w.workerKeptBy(w.planner(), false)
			w.leave(worker)
			time.Sleep(after)
			keeper.kill()
			w.checkLasting(is, 18)
		})
	}
}

// Guards against lasting tasks that are down twice as long as necessary. A worker leaves, and a moment
// later its keeper, which is also the planner, is killed. The standby was sent the expiry of the
// worker's lease and must use it, instead of counting the longest authority of the killed planner from
// its own start.
func TestPlannerIsKilledAfterItsWorkerLeft(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := lastingWorld(t, 32)
			p := w.planner()
			worker, _ := w.workerKeptBy(p, true)
			w.leave(worker)
			time.Sleep(after)
			p.kill()
			w.checkLasting(is, 18)
		})
	}
}

// Guards against a standby that uses an outdated lease expiry and starts work a second time. A worker
// is unresponsive for two seconds, so the standby was sent the expiry of its lease. Then the worker
// responds again and its lease is renewed. Its keeper and the planner are killed soon after, while the
// work there goes on.
func TestWorkerRespondsAgainBeforePlannerAndKeeperAreKilled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := lastingWorld(t, 33)
		p := w.planner()
		worker, keeper := w.workerKeptBy(p, false)
		w.setUnresponsive(worker, true)
		time.Sleep(2500 * time.Millisecond)
		w.setUnresponsive(worker, false)
		time.Sleep(time.Second)
		w.setUnresponsive(worker, true) // No other entry learns that the worker runs.
		keeper.kill()
		p.kill()
		time.Sleep(20 * time.Second)
		w.setUnresponsive(worker, false)
		time.Sleep(3 * time.Second)
		is.Equal(w.runningLasting(), 18)
		w.end()
	})
}

// Guards against a wrong bound on the leases of earlier assignments. The bound is the longest of what
// each assignment may have granted. A keeper's report replaces only what was assumed of the reported
// assignment, and a keeper that never had contact with the worker adds nothing.
func TestLeaseExpiriesOfEarlierAssignments(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLeaseExpiries()
		s.add("w", assignment{keeper: "a", generation: 2, expiry: time.Now().Add(8 * time.Second)})
		is.Equal(s.remaining("w"), 8*time.Second)
		s.endAssignment("w", "b", 5, atMost(7*time.Second)) // It never listed the worker's runs.
		is.Equal(s.remaining("w"), 8*time.Second)
		is.True(!s.applyRelease("b", proto.KeeperEvent{Worker: "w", Token: 5, Left: time.Second}))
		// The report is of generation 1, and the worker was assigned to other keepers since.
		is.True(!s.applyRelease("a", proto.KeeperEvent{Worker: "w", Token: 3, Turn: 1, Left: time.Second}))
		is.True(s.applyRelease("a", proto.KeeperEvent{Worker: "w", Token: 3, Turn: 2, Left: 4 * time.Second}))
		is.Equal(s.remaining("w"), 4*time.Second)
		time.Sleep(time.Second)
		is.Equal(s.remaining("w"), 3*time.Second)

		s.markListed("w", maxLease)
		is.Equal(s.remaining("w"), time.Duration(0))
		s.endAssignment("w", "c", 9, atMost(7*time.Second)) // It could renew the lease until its authority ends.
		is.True(s.remaining("w") > 7*time.Second)
		is.True(s.applyRelease("c", proto.KeeperEvent{Worker: "w", Token: 9, Left: 2 * time.Second}))
		is.Equal(s.remaining("w"), 2*time.Second)

		s.markListed("w", maxLease)
		s.markUnresponsive("w", 5*time.Second)
		time.Sleep(time.Second)
		s.endAssignment("w", "d", 11, atMost(7*time.Second)) // It renewed nothing after that report.
		is.Equal(s.remaining("w"), 4*time.Second)
		is.Equal(len(s.mirrorUpdate(nil, false)), 1)
		s.markResponsive("w")
		is.Equal(len(s.mirrorUpdate(nil, false)), 0)
	})
}

// Guards against a standby that uses outdated lease expiries. A planner that cannot reach its standby
// renews, after a while, leases whose expiry it had sent there, so the standby may use the expiries
// for a short time only. That time counts from one of the standby's own responses, since a message may
// wait for seconds before it is read.
func TestStandbyIgnoresStaleExpiries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		expiries := []proto.MirrorLeaseExpiry{{Worker: "w", Left: 5 * time.Second}}
		claimedExpiries := func(wait time.Duration, resend bool) int {
			var m mirror
			ack := m.respond(proto.Mirror{Term: 1, Session: 1, Full: true, LeaseExpiries: expiries})
			is.True(ack.OK)
			time.Sleep(wait)
			if resend {
				is.True(m.respond(proto.Mirror{Term: 1, Session: 1, LeaseExpiries: expiries, Stamp: ack.Stamp}).OK)
			}
			out, complete := m.claim(2)
			is.True(complete)
			return len(out.expiries)
		}
		is.Equal(claimedExpiries(0, false), 0) // The age of the message is not known.
		is.Equal(claimedExpiries(time.Second, true), 1)
		is.Equal(claimedExpiries(expiriesLifetime+time.Millisecond, true), 0)
	})
}
