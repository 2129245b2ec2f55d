package region

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against work that is started a second time because a planner's record of when a lease ends outlives the lease's
// next renewal. A planner that stops as planned without a standby records that time for a worker that does not respond.
// The worker responds to the next planner, which is lost before it has changed the record, and no longer to the one after.
func TestRecordedEndOfALeaseDoesNotOutliveItsNextRenewal(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 97)
		w.setRequestLoss(func(_, _ string, kind winch.Kind) bool { return kind == proto.KindMirror })
		time.Sleep(3 * time.Second) // The standby takes over from its silent planner and finds no standby.
		p := w.planner()
		worker, _ := w.workerKeptBy(p, false)
		is.True(worker != "")
		w.setUnresponsive(worker, true)
		time.Sleep(2500 * time.Millisecond)
		w.refuseRosterOfNextPlanner()
		p.stop()
		w.awaitOtherPlanner(p)
		next := w.otherPlanner(p)
		is.True(next != nil)
		x := w.workers[worker]
		lease := func() time.Duration {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.leaseUntil
		}
		old := lease()
		w.setUnresponsive(worker, false)
		for end := time.Now().Add(500 * time.Millisecond); lease() == old && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		w.setUnresponsive(worker, true)
		next.kill()
		p.kill()
		w.setStore(func(s *simStore) { s.commitOutcome = nil })
		w.setRequestLoss(nil)
		time.Sleep(12 * time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// refuseRosterOfNextPlanner makes the store drop all writes of the roster from the next term on.
func (w *world) refuseRosterOfNextPlanner() {
	w.setStore(func(s *simStore) {
		taken := false
		s.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
			for _, x := range txn.Writes {
				taken = taken || x.Key == keyOffice
				if taken && strings.HasPrefix(x.Key, keyRoster) {
					return false, false
				}
			}
			return true, true
		}
	})
}
