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

// startOrder orders a start of a run of the only task.
func (r *rig) startOrder(run uint64) {
	r.keeper.Orders(proto.KeepOrders{Session: r.session, Orders: []proto.Order{
		{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: run},
	}})
}

// loseStarts makes starts go unanswered, or not.
func (r *rig) loseStarts(lose bool) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.worker.loseStarts = lose
}

// A start is not answered. Its task waits until the hold that is on its way ends,
// although the worker says at once that the run is not there.
func TestTaskOfAnUnansweredStartIsFreeSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(3 * time.Second)
		r.startOrder(1)
		time.Sleep(50 * time.Millisecond)
		is.Equal(r.count(proto.EventStarted), 1)
		r.loseStarts(true)
		r.startOrder(2)
		time.Sleep(2 * leastAnswer)
		is.Equal(r.last(proto.EventNotStarted).Run, uint64(2))
		r.end(cancel)
	})
}

// Nothing is heard of a worker's ends from the loss of an answer until the next hold.
// While answers are lost, holds are short; without losses each look would cost for
// nothing.
func TestHoldsAreShortWhileAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(3 * time.Second)
		r.startOrder(1)
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
		r.startOrder(2)
		time.Sleep(holdWait)
		r.loseStarts(false)
		is.True(holds(time.Second) >= 2)
		time.Sleep(2 * lossTime)
		is.True(holds(3*time.Second) <= 3)
		r.end(cancel)
	})
}

// Two lists are on their way at once, and the older one comes last: a run that has
// ended meanwhile would be taken for one that was found.
func TestOlderListsThatComeLastAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(3 * time.Second)
		r.startOrder(1)
		time.Sleep(holdWait + time.Second)
		h := r.keeper.holders["w"]
		sent := time.Now()
		older := winch.Holding{Clock: r.worker.clock(), Running: []winch.Running{{Task: oneTask, Run: 1}}}
		time.Sleep(time.Millisecond)
		newer := winch.Holding{Clock: r.worker.clock(), Ended: []winch.Ended{{Number: 1, Task: oneTask, Run: 1, Kind: winch.EndDone}}}
		h.answered(sent, newer)
		h.answered(sent, older)
		time.Sleep(10 * time.Millisecond)
		is.Equal(r.count(proto.EventEnded), 1)
		is.Equal(r.count(proto.EventFound), 0)
		r.end(cancel)
	})
}

// A worker behind a slow link is given up although it only answers late.
func TestAnswerLimitFollowsRoundTrips(t *testing.T) {
	is := is.New(t)
	var x trips
	is.Equal(x.limit(0), mostAnswer)
	for range 50 {
		x.answered(2 * time.Millisecond)
	}
	is.Equal(x.limit(0), leastAnswer)
	is.Equal(x.limit(1), 2*leastAnswer)
	is.Equal(x.limit(9), mostAnswer)
	for range 50 {
		x.answered(200 * time.Millisecond)
	}
	is.True(x.limit(0) > 200*time.Millisecond)
	is.True(x.limit(0) <= mostAnswer)
}

// A worker that is gone answers nothing for good; that is no loss of answers.
func TestWorkerThatIsGoneLosesNoAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(3 * time.Second)
		r.setSilent(true)
		time.Sleep(4 * time.Second)
		is.True(!r.keeper.trips.lossy())
		r.setSilent(false)
		time.Sleep(lossNear)
		r.end(cancel)
	})
}
