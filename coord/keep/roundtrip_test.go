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

// orderStart orders a start of a run of oneTask.
func (r *fixture) orderStart(run uint64) {
	r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{
		{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: run},
	}})
}

// loseStarts sets whether the responses to starts are lost.
func (r *fixture) loseStarts(lose bool) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.worker.loseStarts = lose
}

// Guards against a task that waits too long after a start without a response. The pending hold
// returns only after its wait, although the worker could list at once that the run doesn't exist.
func TestTaskOfAStartWithoutResponseIsReleasedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		r.orderStart(1)
		time.Sleep(50 * time.Millisecond)
		is.Equal(r.count(proto.EventStarted), 1)
		r.loseStarts(true)
		r.orderStart(2)
		time.Sleep(2 * minCallTimeout)
		is.Equal(r.last(proto.EventNotStarted).Run, uint64(2))
		r.end(cancel)
	})
}

// Guards against completions that go unnoticed after a lost response until the next hold. Holds
// must be short while responses are lost, and long otherwise, when short ones only cost messages.
func TestHoldsAreShortWhileResponsesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		r.orderStart(1)
		holds := func(d time.Duration) int {
			r.worker.mu.Lock()
			before := r.worker.holds
			r.worker.mu.Unlock()
			time.Sleep(d)
			r.worker.mu.Lock()
			defer r.worker.mu.Unlock()
			return r.worker.holds - before
		}
		is.True(holds(3*time.Second) <= 3)
		r.loseStarts(true)
		r.orderStart(2)
		time.Sleep(holdWait)
		r.loseStarts(false)
		is.True(holds(time.Second) >= 2)
		time.Sleep(2 * lossPeriod)
		is.True(holds(3*time.Second) <= 3)
		r.end(cancel)
	})
}

// Guards against applying lists out of order. Two responses are in flight and the older one
// arrives last. If it were applied, a run that has ended in between would be reported as found.
func TestOlderListsThatArriveLastAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		r.orderStart(1)
		time.Sleep(holdWait + time.Second)
		h := r.keeper.holders["w"]
		sent := time.Now()
		older := winch.HoldResponse{Clock: r.worker.clock(), Running: []winch.Running{{Task: oneTask, Run: 1}}}
		time.Sleep(time.Millisecond)
		newer := winch.HoldResponse{Clock: r.worker.clock(), Ended: []winch.Completion{{Number: 1, Task: oneTask, Run: 1, Kind: winch.CompletionDone}}}
		h.handleResponse(sent, newer)
		h.handleResponse(sent, older)
		time.Sleep(10 * time.Millisecond)
		is.Equal(r.count(proto.EventEnded), 1)
		is.Equal(r.count(proto.EventFound), 0)
		r.end(cancel)
	})
}

// Guards against a timeout that is too short for a worker behind a slow link: its responses are
// late, and it would count as unresponsive.
func TestCallTimeoutFollowsRoundTrips(t *testing.T) {
	is := is.New(t)
	var x roundTrips
	is.Equal(x.timeout(0), maxCallTimeout)
	for range 50 {
		x.observe(2 * time.Millisecond)
	}
	is.Equal(x.timeout(0), minCallTimeout)
	is.Equal(x.timeout(1), 2*minCallTimeout)
	is.Equal(x.timeout(9), maxCallTimeout)
	for range 50 {
		x.observe(200 * time.Millisecond)
	}
	is.True(x.timeout(0) > 200*time.Millisecond)
	is.True(x.timeout(0) <= maxCallTimeout)
}

// Guards against taking the failure of a worker, which never responds again, for lost responses:
// holds would become short at all workers of the keeper.
func TestFailedWorkerDoesNotCountAsLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		r.setUnresponsive(true)
		time.Sleep(4 * time.Second)
		is.True(!r.keeper.roundTrips.lossy())
		r.setUnresponsive(false)
		time.Sleep(lossWindow)
		r.end(cancel)
	})
}
