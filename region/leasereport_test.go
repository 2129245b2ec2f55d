package region

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// loseOnePoll loses the next poll that another entry sends to the given one.
func (w *world) loseOnePoll(to string) {
	lost := false
	w.setRequestLoss(func(from, name string, kind winch.Kind) bool {
		if lost || name != to || from == to || kind != proto.KindKeeperPoll {
			return false
		}
		lost = true
		return true
	})
}

// Guards against a report of a lease expiry that is lost with one message. A worker that the planner's own
// entry keeps leaves, and that entry is stopped as planned. The next planner's first poll of it is lost, and
// the entry has left the list when the session has ended. If it is not asked again while its process goes
// on, that planner waits for the longest possible lease.
func TestStoppedPlannerIsAskedAgainForItsLeases(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := lastingWorld(t, 41)
		p := w.planner()
		worker, keeper := w.workerKeptBy(p, true)
		w.leave(worker)
		time.Sleep(1200 * time.Millisecond)
		w.loseOnePoll(keeper.node.Name)
		w.stopAsPlanned(p, 2*time.Second, 300*time.Millisecond)
		w.checkLasting(is, 18)
	})
}

// Guards against the same loss under one planner. A poll of a keeper that is stopped as planned is lost, and
// its workers have another keeper when the session has ended.
func TestStoppedKeeperIsAskedAgainForItsLeases(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := lastingWorld(t, 42)
		worker, keeper := w.workerKeptBy(w.planner(), false)
		w.leave(worker)
		time.Sleep(800 * time.Millisecond)
		w.loseOnePoll(keeper.node.Name)
		time.Sleep(pollWait + 50*time.Millisecond) // The lost poll has been sent.
		w.stopAsPlanned(keeper, 2*time.Second, 300*time.Millisecond)
		w.checkLasting(is, 18)
	})
}

// Guards against a roster that does not name a keeper whose leases may still run. A worker leaves, and its
// keeper is stopped as planned. The next keeper is recorded before it gets the worker, and the record that is
// written after that must still name the one before, since the worker has not responded to the next.
func TestRosterNamesTheKeeperBeforeUntilTheWorkerResponds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 42)
		p := w.planner()
		worker, keeper := w.workerKeptBy(p, false)
		name := keeper.node.Name
		w.leave(worker)
		time.Sleep(time.Second)
		w.stopAsPlanned(keeper, 2*time.Second, 300*time.Millisecond)
		time.Sleep(nodeRenewInterval + 100*time.Millisecond) // The planner has given the worker another keeper.
		l := p.node.leadership.Load()
		var recorded rosteredWorker
		is.NoErr(l.duty.Do(t.Context(), func() { recorded = l.roster[worker] }))
		is.True(recorded.Keeper != name)
		is.True(slices.ContainsFunc(recorded.Earlier, func(k earlierKeeper) bool { return k.Keeper == name }))
		w.checkLasting(is, 18)
	})
}

// Guards against a report of a lease expiry that the next planner cannot match with its copy. A keeper is
// stopped as planned, and the planner a moment later, before the keeper's report has reached it. The standby
// has a copy that names the keeper and the longest expiry, and gets the report while the keeper's process goes
// on.
func TestLeaseReportAppliesToACopy(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := lastingWorld(t, 44)
		p := w.planner()
		worker, keeper := w.workerKeptBy(p, false)
		w.leave(worker)
		time.Sleep(700 * time.Millisecond)
		w.loseOnePoll(keeper.node.Name)
		time.Sleep(pollWait + 50*time.Millisecond) // The lost poll has been sent.
		w.stopAsPlanned(keeper, 2*time.Second, 300*time.Millisecond)
		time.Sleep(nodeRenewInterval + 100*time.Millisecond) // The planner has given the worker another keeper.
		w.stopAsPlanned(p, 2*time.Second, 300*time.Millisecond)
		w.checkLasting(is, 18)
	})
}
