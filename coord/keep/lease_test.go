package keep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a lease that the planner doesn't know of. A worker fails, and its keeper loses
// the planner before it could report that the worker ever responded. If the keeper had renewed
// the lease, the next keeper would not know that it has to wait for its expiry. So the lease must
// be renewed only once the planner knows that the worker responds.
func TestLeaseIsRenewedOnceThePlannerKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		r.mu.Lock()
		r.withholdRenewals = true
		r.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.Equal(r.count(proto.EventListed), 1)
		r.worker.mu.Lock()
		is.Equal(r.worker.until, time.Duration(0))
		r.worker.mu.Unlock()
		r.allowRenewals(proto.KeeperPollResponse{Session: r.session, Events: []proto.KeeperEvent{r.last(proto.EventListed)}})
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		is.True(r.worker.until > 6*time.Second)
		r.worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against a renewal allowed by an outdated permission. After a short unresponsive period
// the planner still knows only of the responses before it. Until it has received the event that
// reports the later ones, the lease expiry that was reported to it must stay valid.
func TestPermissionBeforeAnUnresponsivePeriodRenewsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.withholdRenewals = true
		r.mu.Unlock()
		r.setUnresponsive(true)
		for r.count(proto.EventUnresponsive) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		reported := time.Now()
		left := r.last(proto.EventUnresponsive).Left
		time.Sleep(time.Second)
		r.setUnresponsive(false)
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventResponsive), 1)
		stale := r.last(proto.EventResponsive)
		stale.Spell--
		r.allowRenewals(proto.KeeperPollResponse{Session: r.session, Events: []proto.KeeperEvent{stale}})
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		end := r.worker.begin.Add(r.worker.until)
		r.worker.mu.Unlock()
		is.True(end.Before(reported.Add(left)))
		r.end(cancel)
	})
}

// Guards against waiting longer than necessary for a worker that never responds. A keeper is
// assigned a worker that had failed before. It must wait for the remaining time of the earlier
// leases, not for another full lease, and must apply a shorter time that it receives later.
func TestWaitForAnUnresponsiveWorkerIsTheRestOfEarlierLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		r.setUnresponsive(true)
		set := proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 6, Left: 7 * time.Second}}}
		r.keeper.SetAssignments(set)
		time.Sleep(time.Second)
		set.Workers[0].Left = 2 * time.Second
		r.keeper.SetAssignments(set)
		set.Workers[0].Left = 9 * time.Second // An older message that arrives late.
		r.keeper.SetAssignments(set)
		time.Sleep(1900 * time.Millisecond)
		is.Equal(r.count(proto.EventLost), 0)
		time.Sleep(300 * time.Millisecond)
		is.Equal(r.count(proto.EventLost), 1)
		r.end(cancel)
	})
}

// Guards against losing the lease expiry of a failed worker when it is reassigned. Responses get
// lost, so the previous keeper must report the expiry of the last lease in each response until
// the planner is known to have received it.
func TestKeeperReportsTheExpiryOfItsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		r.setUnresponsive(true)
		time.Sleep(time.Second)
		cancel() // Only the test polls from here on.
		r.keeper.Poll(t.Context(), proto.KeeperPollRequest{Session: r.session})
		began := time.Now()
		next := proto.Session{Term: 1, Number: 2}
		r.keeper.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second})
		for range 2 {
			r.keeper.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second})
			resp := r.keeper.Poll(t.Context(), proto.KeeperPollRequest{Session: next, Wait: time.Second})
			is.Equal(len(resp.Events), 1)
			is.Equal(resp.Events[0].Kind, proto.EventReleased)
			is.Equal(resp.Events[0].Token, uint64(5))
			left := time.Now().Add(resp.Events[0].Left)
			r.worker.mu.Lock()
			is.True(left.After(r.worker.begin.Add(r.worker.until)))
			r.worker.mu.Unlock()
			is.True(left.Before(began.Add(ExpiryBound(6 * time.Second))))
			next.Number++ // The response was lost; a new session begins.
			r.keeper.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second})
		}
		r.keeper.Poll(t.Context(), proto.KeeperPollRequest{Session: next, Wait: time.Second})
		resp := r.keeper.Poll(t.Context(), proto.KeeperPollRequest{Session: next, Wait: time.Second})
		is.Equal(len(resp.Events), 0)
		r.end(cancel)
	})
}

// Guards against reporting the lease expiry of a fenced assignment. The worker was assigned to
// another keeper, which renews its lease, and this keeper learned of that only from the worker.
// A later planner that took the reported expiry for the last one would start the work twice.
func TestFencedAssignmentReportsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		r.worker.mu.Lock()
		r.worker.token = 8
		r.worker.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.Equal(r.count(proto.EventFenced), 1)
		cancel()
		later := proto.Session{Term: 2, Number: 1}
		r.keeper.SetAssignments(proto.AssignmentSet{Session: later, Authority: 8 * time.Second})
		resp := r.keeper.Poll(t.Context(), proto.KeeperPollRequest{Session: later, Wait: time.Second})
		is.Equal(len(resp.Events), 0)
		r.end(cancel)
	})
}

// Guards against dropping the lease of an earlier assignment too early. A worker whose lease
// another keeper has just renewed responds once to its next keeper, then is partitioned. The
// planner knows of the response and no longer sends the remaining time of earlier leases, but
// its permission to renew still waits for the standby when it sends the set of assignments
// again because of another worker. If the worker counted as lost while the other keeper's lease
// still runs, its work would run twice.
func TestSetAfterTheListsDoesNotEndAnEarlierLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		r.mu.Lock()
		r.withholdRenewals = true
		r.mu.Unlock()
		set := proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 6, Left: 6 * time.Second}}}
		r.worker.mu.Lock()
		r.worker.until = r.worker.clock() + 5*time.Second
		r.worker.mu.Unlock()
		r.keeper.SetAssignments(set)
		time.Sleep(100 * time.Millisecond)
		is.Equal(r.last(proto.EventListed).Token, uint64(6))
		set.Workers[0].Left = 0 // The planner has received the lists.
		r.keeper.SetAssignments(set)
		r.setUnresponsive(true)
		for r.count(proto.EventLost) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		r.worker.mu.Lock()
		is.True(r.worker.clock() > r.worker.until) // What runs there has ended.
		r.worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against a needless wait by a later planner. A planner removes a worker and receives its
// lease expiry, but the store is unavailable, so the roster still holds the worker. The next
// planner starts from the roster. Unless it gets the same report, it waits for the longest
// possible lease, counted from its own start.
func TestRemovedWorkersAreReportedToALaterPlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(2 * time.Second)
		r.setUnresponsive(true)
		time.Sleep(time.Second)
		r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second})
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventReleased), 1)
		reported := r.last(proto.EventReleased)
		time.Sleep(10 * time.Second)
		r.setUnresponsive(false)
		next := proto.Session{Term: 2, Number: 1}
		r.keeper.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second})
		resp := r.keeper.Poll(ctx, proto.KeeperPollRequest{Session: next, Wait: time.Second})
		is.Equal(len(resp.Events), 1)
		is.Equal(resp.Events[0].Kind, proto.EventReleased)
		is.Equal(resp.Events[0].Turn, reported.Turn)
		is.Equal(resp.Events[0].Left, time.Duration(0)) // The expiry has passed.
		r.end(cancel)
	})
}

// Guards against a wait that each next keeper takes over: leases that others may have granted stand in the report of a
// keeper to which the worker never responded, so that what is learnt of those others later shortens nothing.
func TestKeeperWithoutContactReportsNoLeasesOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(time.Second)
		r.setUnresponsive(true)
		cancel() // Only the test polls from here on.
		next := proto.Session{Term: 2, Number: 1}
		w := proto.Assignment{VM: winch.WorkerVM{ID: "v"}, Token: 6, Generation: 3, Left: 7 * time.Second}
		r.keeper.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second, Workers: []proto.Assignment{w}})
		time.Sleep(time.Second)
		next = proto.Session{Term: 3, Number: 1}
		r.keeper.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second})
		released := releasedOf(r.keeper.Poll(t.Context(), proto.KeeperPollRequest{Session: next, Wait: time.Second}), "v")
		is.Equal(len(released), 1)
		is.Equal(released[0].Turn, uint64(3))
		is.Equal(released[0].Left, time.Duration(0))
		r.end(cancel)
	})
}

// Guards against a report that omits the keeper's leases of before: the worker was assigned to the same keeper again
// and never responded in that assignment. Work that still runs under the earlier lease would be started a second time.
func TestReportCoversTheKeepersEarlierAssignments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		r.setUnresponsive(true)
		cancel() // Only the test polls from here on.
		var next proto.Session
		for term := range uint64(3) {
			next = proto.Session{Term: 2 + term, Number: 1}
			w := proto.Assignment{VM: winch.WorkerVM{ID: "w"}, Token: 6 + term, Generation: 2 + term}
			r.keeper.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second, Workers: []proto.Assignment{w}})
		}
		next.Term++
		r.keeper.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second})
		released := releasedOf(r.keeper.Poll(t.Context(), proto.KeeperPollRequest{Session: next, Wait: time.Second}), "w")
		is.Equal(len(released), 1)
		is.Equal(released[0].Turn, uint64(4))
		left := time.Now().Add(released[0].Left)
		r.worker.mu.Lock()
		is.True(left.After(r.worker.begin.Add(r.worker.until)))
		r.worker.mu.Unlock()
		r.end(cancel)
	})
}

// releasedOf returns the reports in a response on ended assignments of a worker.
func releasedOf(resp proto.KeeperPollResponse, worker string) (out []proto.KeeperEvent) {
	for _, e := range resp.Events {
		if e.Kind == proto.EventReleased && e.Worker == worker {
			out = append(out, e)
		}
	}
	return out
}
