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

// ordersOf returns orders of one kind for the runs 1 to n of one task.
func ordersOf(kind proto.OrderKind, n int) []proto.Order {
	var out []proto.Order
	for i := range n {
		out = append(out, proto.Order{Kind: kind, Worker: "w", Token: 5, Task: oneTask, Run: uint64(i + 1)})
	}
	return out
}

// Guards against runs that go on although they were ordered to stop: more stops come at once than starts may wait for the worker.
func TestStopsAreNotDroppedWhenManyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const runs = 5 * maxQueuedStarts
		ctx, cancel := context.WithCancel(t.Context())
		worker := &fakeWorker{begin: time.Now(), orderDelay: 5 * time.Millisecond}
		for _, o := range ordersOf(proto.OrderStart, runs) {
			worker.running = append(worker.running, winch.Running{Task: o.Task, Run: o.Run})
		}
		r := newFixtureOf(ctx, worker)
		time.Sleep(time.Second)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: ordersOf(proto.OrderStop, runs)})
		time.Sleep(4 * time.Second)
		worker.mu.Lock()
		is.Equal(len(worker.running), 0)
		is.Equal(worker.stops, runs)
		worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against starts that pile up behind a slow worker: the planner could place their tasks elsewhere.
func TestStartsBeyondTheBoundAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const runs = maxQueuedStarts + 20
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixtureOf(ctx, &fakeWorker{begin: time.Now(), orderDelay: 5 * time.Millisecond})
		time.Sleep(time.Second)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: ordersOf(proto.OrderStart, runs)})
		time.Sleep(3 * time.Second)
		reported := r.count(proto.EventNotStarted)
		is.True(reported > 0 && reported <= 20)
		is.Equal(r.count(proto.EventStarted), runs-reported)
		r.end(cancel)
	})
}

// Guards against a queue that grows while its worker does not respond, and against orders that are sent after the planner has
// changed its mind.
func TestOneOrderWaitsForEachRun(t *testing.T) {
	is := is.NewRelaxed(t)
	q := newOrderQueue()
	for percent := range 50 {
		o := proto.Order{Kind: proto.OrderThrottle, Task: oneTask, Run: 1, Percent: percent}
		is.True(q.push(queuedOrder{Order: o}))
	}
	for range 50 {
		is.True(q.push(queuedOrder{Order: proto.Order{Kind: proto.OrderStop, Task: oneTask, Run: 2}}))
		is.True(q.push(queuedOrder{Order: proto.Order{Kind: proto.OrderThrottle, Task: oneTask, Run: 2, Percent: 20}}))
	}
	first, _ := q.pop()
	is.Equal(first.Percent, 49)
	second, _ := q.pop()
	is.Equal(second.Kind, proto.OrderStop)
	_, more := q.pop()
	is.True(!more)
}

// Guards against tasks that go on at the wrong speed: the call that sets a percentage gets no response, and the planner does not order
// the same percentage again.
func TestThrottleWithoutAResponseIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		worker := &fakeWorker{begin: time.Now(), loseThrottles: 3, running: []winch.Running{{Task: oneTask, Run: 1}}}
		r := newFixtureOf(ctx, worker)
		time.Sleep(time.Second)
		throttle := func(percent int) {
			r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{
				{Kind: proto.OrderThrottle, Worker: "w", Token: 5, Task: oneTask, Run: 1, Percent: percent},
			}})
		}
		throttle(40)
		time.Sleep(3 * time.Second)
		worker.mu.Lock()
		is.Equal(worker.percent, 40)
		is.Equal(worker.throttles, 4)
		worker.loseThrottles = 2
		worker.mu.Unlock()
		throttle(20)
		throttle(60)
		time.Sleep(3 * time.Second)
		worker.mu.Lock()
		is.Equal(worker.percent, 60)
		worker.loseThrottles = 1 << 30
		worker.mu.Unlock()
		throttle(80)
		time.Sleep(time.Second)
		worker.mu.Lock()
		worker.running, worker.ended = nil, []winch.Completion{{Number: 1, Task: oneTask, Run: 1, Kind: winch.CompletionDone}}
		worker.mu.Unlock()
		time.Sleep(4 * time.Second)
		worker.mu.Lock()
		before := worker.throttles
		worker.mu.Unlock()
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		is.Equal(worker.throttles, before) // The run has ended.
		worker.mu.Unlock()
		r.end(cancel)
	})
}
