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

// lateReader is a client of a worker in a process that was paused: the worker answers starts, or holds that were sent
// beside the pending one, at once, and the keeper reads these responses much later.
type lateReader struct {
	*fakeWorker
	delay time.Duration
}

func (w *lateReader) Start(ctx context.Context, vm winch.WorkerVM, c winch.StartRequest) (winch.StartResult, time.Duration) {
	result, clock := w.fakeWorker.Start(ctx, vm, c)
	time.Sleep(w.delay)
	return result, clock
}

// Guards against a worker that counts as lost, so that all its tasks are started again, because a keeper that was paused
// reads an old response of the same boot after newer ones.
func TestResponseThatIsReadLateDoesNotShowAnotherBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		worker := &lateReader{fakeWorker: &fakeWorker{begin: time.Now()}, delay: maxCallTimeout + 4*time.Second}
		r := &fixture{worker: worker.fakeWorker, session: proto.Session{Term: 1, Number: 1}}
		r.keeper = &Keeper{Client: worker, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 6 * time.Second}
		r.keeper.Prepare()
		r.keeper.group.Go(func() { r.poll(ctx) })
		r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 5}}})
		time.Sleep(10 * time.Second)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 7}}})
		time.Sleep(10 * time.Second)
		is.Equal(r.count(proto.EventLost), 0)
		is.Equal(r.count(proto.EventStarted), 1)
		worker.mu.Lock()
		is.Equal(len(worker.running), 1)
		worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against clocks of two boots that are compared with a fixed margin: an entry that is paused reads responses in any
// order, and a boot may end a moment after it has begun.
func TestClockShowsAnotherBootOnlyWhereTheSameBootCannotHaveResponded(t *testing.T) {
	type reading struct {
		sent, read, clock time.Duration
		otherBoot         bool
	}
	for name, readings := range map[string][]reading{
		"in order":                       {{0, 10, 10_000, false}, {20, 30, 10_020, false}},
		"same instant":                   {{0, 10, 10_000, false}, {10, 30, 10_000, false}},
		"rounded to milliseconds":        {{0, 10, 10_000, false}, {10, 30, 9_999, false}, {9, 31, 9_998, false}, {11, 31, 9_998, true}},
		"overlapping calls":              {{0, 1500, 11_500, false}, {100, 1600, 10_100, false}},
		"overlapping calls, other boot":  {{0, 1500, 11_500, false}, {100, 1600, 9_900, true}},
		"read after a pause":             {{0, 10, 10_000, false}, {4900, 5000, 14_950, false}, {20, 5100, 10_030, false}},
		"next boot":                      {{0, 10, 10_000, false}, {20, 30, 5, true}},
		"next boot of a young one":       {{0, 10, 700, false}, {20, 600, 400, true}},
		"newest reading stays":           {{0, 10, 10_000, false}, {4900, 5000, 14_950, false}, {20, 5100, 10_030, false}, {5110, 5200, 12_000, true}},
		"no clock in the response":       {{0, 10, 10_000, false}, {20, 30, 0, false}},
		"worker's clock is slow":         {{0, 10, 10_000, false}, {1010, 1020, 10_980, false}},
		"reading before it was received": {{0, 10, 10_000, false}, {9, 40, 9_999, false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				began := time.Now()
				h := &holder{}
				for _, x := range readings {
					time.Sleep(time.Until(began.Add(x.read * time.Millisecond)))
					is.Equal(h.updateClock(began.Add(x.sent*time.Millisecond), x.clock*time.Millisecond), x.otherBoot)
				}
			})
		})
	}
}
