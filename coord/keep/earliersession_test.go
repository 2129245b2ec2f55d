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

// Guards against an order of an earlier session, or of the planner before, that arrives late and is carried out in the present
// one, in which the worker is assigned under the same token.
func TestOrdersOfAnEarlierSessionAreDropped(t *testing.T) {
	for name, later := range map[string]proto.Session{"later session": {Term: 1, Number: 2}, "later term": {Term: 2, Number: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				ctx, cancel := context.WithCancel(t.Context())
				r := newFixture(ctx)
				time.Sleep(time.Second)
				r.keeper.SetAssignments(proto.AssignmentSet{Session: later, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 5}}})
				order := proto.Order{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}
				time.Sleep(time.Second) // The worker has responded in the later session.
				is.Equal(r.keeper.Poll(ctx, proto.KeeperPollRequest{Session: r.session, Wait: time.Second}).Session, proto.Session{})
				r.keeper.QueueOrders(proto.KeeperOrders{Session: later, Orders: []proto.Order{{Kind: proto.OrderAllowRenewal, Worker: "w", Token: 5}}})
				r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{order}})
				time.Sleep(time.Second)
				r.worker.mu.Lock()
				is.Equal(len(r.worker.running), 0)
				r.worker.mu.Unlock()
				r.keeper.QueueOrders(proto.KeeperOrders{Session: later, Orders: []proto.Order{order}})
				time.Sleep(time.Second)
				r.worker.mu.Lock()
				is.Equal(len(r.worker.running), 1)
				r.worker.mu.Unlock()
				r.end(cancel)
			})
		})
	}
}
