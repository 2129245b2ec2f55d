package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/fleet"
	"plantainwinch/coord/keep"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a task that is started elsewhere as soon as the next boot of its worker does not respond to one call,
// though its start may still reach that boot: the keeper found the other boot before the list named it.
func TestStartThatMayReachTheNextBootIsWaitedForIfThatDoesNotRespond(t *testing.T) {
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
			is.Equal(start.Task.Job, "00000000000000a1")
			id := start.Worker
			l.handleEvents(l.proxies[l.keepers[id]], []proto.KeeperEvent{
				{Kind: proto.EventLost, Token: l.assignments[id].Token, Worker: id, Result: winch.StartOtherBoot},
			})
			is.Equal(len(l.planner.RunsAt(id)), 1)
			next := l.workers[id]
			next.Born += 100
			l.listWorker(next)
			l.setWorkers()
			is.Equal(len(l.planner.RunsAt(id)), 1)
			// The next boot may grant its longest lease with the start.
			is.True(l.expiries.remaining(id) >= keep.ExpiryBound(l.node.Timing.Lease)-100*time.Millisecond)
		}))
		w.end()
	})
}
