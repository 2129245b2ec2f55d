package region

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against events of a worker's earlier boot that are applied to the next one under the same ID: the numbers of
// its completions would count for the next boot, whose own completions were then dropped unseen.
func TestEventsOfAnEarlierBootAreDropped(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 91, 3, 9)
		settle()
		l := w.planner().node.leadership.Load()
		is.NoErr(l.duty.Do(w.ctx, func() {
			const id = "w0"
			old, keeper := l.assignments[id], l.proxies[l.keepers[id]]
			next := l.workers[id]
			next.Born++
			l.listWorker(next)
			l.setWorkers()
			l.handleEvents(keeper, []proto.KeeperEvent{
				{Kind: proto.EventListed, Token: old.Token, Worker: id},
				{Kind: proto.EventEnded, Token: old.Token, Worker: id, Ended: []winch.Completion{
					{Number: 57, Task: winch.RunID{Job: "00000000000000a1"}, Run: 7, Kind: winch.CompletionStopped},
				}},
			})
			is.Equal(l.planner.Load().Usable, 8) // The lists of the new boot were not received.
			for _, o := range l.planner.Orders() {
				is.True(o.Worker != id || o.Kind != proto.OrderForget)
			}
		}))
		w.end()
	})
}
