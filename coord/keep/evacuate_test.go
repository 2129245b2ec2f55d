package keep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
)

// Guards against a start in a failure domain that was evacuated after the planner's order was sent: the
// keeper must not send it to the worker, and must report that the task was not started.
func TestNoStartInAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		r.keeper.Evacuated = func(string) bool { return true }
		time.Sleep(2 * time.Second)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{
			{Kind: proto.OrderStart, Token: 5, Task: oneTask, Run: 1},
		}})
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventNotStarted), 1)
		is.Equal(len(r.worker.running), 0)
		r.end(cancel)
	})
}
