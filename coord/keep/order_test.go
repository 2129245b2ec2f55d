package keep

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// completionsUpTo returns the completions of the runs 1 to n of one task.
func completionsUpTo(n uint64) []winch.Completion {
	var out []winch.Completion
	for i := range n {
		out = append(out, winch.Completion{Number: i + 1, Task: oneTask, Run: i + 1, Kind: winch.CompletionDone})
	}
	return out
}

// Guards against completions of a worker that reach the planner in another order than the worker listed them, when two
// of its responses are handled in parallel.
func TestCompletionsAreQueuedInTheOrderOfTheirNumbers(t *testing.T) {
	const rounds = 200_000
	is := is.NewRelaxed(t)
	k := &Keeper{Client: &fakeWorker{begin: time.Now()}, Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	k.Prepare()
	h := &holder{keeper: k, vm: winch.WorkerVM{ID: "w"}, token: 5, runs: make(map[runKey]*runState), completionsRecorded: make(chan struct{}, 1)}
	k.holders["w"] = h
	overtaken := 0
	for range rounds {
		h.listed, h.lastCompletion, h.listsClock = true, 0, 0
		var group sync.WaitGroup
		for n := range uint64(2) {
			group.Go(func() {
				h.handleResponse(time.Now(), winch.HoldResponse{Clock: time.Duration(n+1) * time.Millisecond, Ended: completionsUpTo(n + 1)})
			})
		}
		group.Wait()
		last := uint64(0)
		for _, e := range k.events {
			for _, x := range e.Ended {
				if x.Number < last {
					overtaken++
				}
				last = x.Number
			}
		}
		k.events = nil
	}
	is.Equal(overtaken, 0)
}

// Guards against a session that goes on after events were dropped: the planner would never learn of them.
func TestSessionEndsWhenEventsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		k := &Keeper{Client: &fakeWorker{begin: time.Now()}, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 6 * time.Second}
		k.Prepare()
		session := proto.Session{Term: 1, Number: 1}
		ctx, cancel := context.WithCancel(t.Context())
		k.SetAssignments(proto.AssignmentSet{Session: session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 5}}})
		h := k.holders["w"]
		for i := range uint64(maxEvents + 10) {
			h.emit(proto.KeeperEvent{Kind: proto.EventStarted, Task: oneTask, Run: i})
		}
		resp := k.Poll(ctx, proto.KeeperPollRequest{Session: session, Authority: 8 * time.Second})
		is.True(resp.Session != session)
		next := proto.Session{Term: 1, Number: 2}
		k.SetAssignments(proto.AssignmentSet{Session: next, Authority: 8 * time.Second})
		resp = k.Poll(ctx, proto.KeeperPollRequest{Session: next, Authority: 8 * time.Second})
		is.Equal(resp.Session, next)
		cancel()
		k.group.Wait()
	})
}

// Guards against first lists that are cut off at the longest list of a response: a run whose completion is listed only
// later would count as never started.
func TestFirstListsAreReportedOnlyWhenTheyAreComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixtureOf(ctx, &fakeWorker{begin: time.Now(), ended: completionsUpTo(maxListed + 20), maxListed: maxListed})
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventListed), 0)
		is.Equal(len(r.last(proto.EventEnded).Ended), maxListed)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderForget, Worker: "w", Token: 5, Forget: maxListed}}})
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventListed), 1)
		is.True(slices.Equal(r.last(proto.EventListed).Ended, completionsUpTo(maxListed + 20)[maxListed:]))
		r.end(cancel)
	})
}

// Guards against numbers that are acknowledged before the worker has listed them in the assignment: they are those of
// an earlier boot, and the completions of this one would be dropped unseen.
func TestOnlyListedCompletionsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(time.Second)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderForget, Worker: "w", Token: 5, Forget: 40}}})
		time.Sleep(2 * time.Second)
		r.worker.mu.Lock()
		is.Equal(r.worker.maxForget, uint64(0))
		r.worker.ended = completionsUpTo(1)
		r.worker.mu.Unlock()
		time.Sleep(2 * time.Second)
		is.Equal(len(r.last(proto.EventEnded).Ended), 1)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderForget, Worker: "w", Token: 5, Forget: 1}}})
		time.Sleep(2 * time.Second)
		r.worker.mu.Lock()
		is.Equal(r.worker.maxForget, uint64(1))
		r.worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against a start that waits for seconds behind orders that get no response: the worker may have less capacity by
// then.
func TestStartThatWaitedForLongIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(time.Second)
		h := r.keeper.holders["w"]
		start := proto.Order{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}
		h.execute(ctx, queuedOrder{Order: start, at: time.Now().Add(-startTimeout - time.Millisecond)})
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventNotStarted), 1)
		r.worker.mu.Lock()
		is.Equal(len(r.worker.running), 0)
		r.worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against a start that is sent after the planner's authority has ended: the next planner may have started the
// task elsewhere by then, and the start would extend the lease of everything at the worker.
func TestNoStartIsSentWithoutAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		polling, stopPolling := context.WithCancel(ctx)
		r := newFixture(polling)
		time.Sleep(time.Second)
		stopPolling()
		time.Sleep(9 * time.Second)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		is.Equal(len(r.worker.running), 0)
		r.worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against completions that are acknowledged unseen because the worker lists them after ones with higher numbers.
func TestCompletionsAreReportedInWhateverOrderTheyAreListed(t *testing.T) {
	is := is.NewRelaxed(t)
	k := &Keeper{Client: &fakeWorker{begin: time.Now()}, Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	k.Prepare()
	h := &holder{keeper: k, vm: winch.WorkerVM{ID: "w"}, token: 5, runs: make(map[runKey]*runState), completionsRecorded: make(chan struct{}, 1)}
	k.holders["w"] = h
	list := completionsUpTo(3)
	slices.Reverse(list)
	h.handleResponse(time.Now(), winch.HoldResponse{Clock: time.Millisecond, Ended: list})
	is.Equal(len(k.events), 1)
	is.Equal(k.events[0].Ended, completionsUpTo(3))
}
