package keep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// silentStarts is a worker at which no new connection can be opened, so that starts are not sent.
type silentStarts struct{ *fakeWorker }

func (silentStarts) Start(context.Context, winch.WorkerVM, winch.StartRequest) (winch.StartResult, time.Duration) {
	time.Sleep(500 * time.Millisecond)
	return winch.StartRefused, 0
}

// Guards against a start that could not be sent and counts as a response of its worker: the timeouts of the calls to all workers
// follow it, and a silent worker is found late.
func TestStartThatIsNotSentIsNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		worker := silentStarts{&fakeWorker{begin: time.Now()}}
		r := &fixture{worker: worker.fakeWorker, session: proto.Session{Term: 1, Number: 1}}
		r.keeper = &Keeper{Client: worker, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 6 * time.Second}
		r.keeper.Prepare()
		r.keeper.group.Go(func() { r.poll(ctx) })
		r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 5}}})
		time.Sleep(2 * time.Second)
		before := r.keeper.roundTrips.timeout(0)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 7}}})
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventNotStarted), 1)
		is.Equal(r.keeper.roundTrips.timeout(0), before)
		r.end(cancel)
	})
}
