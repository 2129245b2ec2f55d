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

// relayedWorker is a worker whose connections outlive its boots, since a relay holds them: calls for one boot reach the next,
// and only the lists in a response to a hold name it.
type relayedWorker struct {
	*fakeWorker
	rebooted bool
	// losesResponses means that calls are carried out without a response.
	losesResponses bool
	lostCalls      int
	// restartsAtStop means that the next boot starts before a stop arrives.
	restartsAtStop bool
}

// restart starts the next boot, whose clock shows the given time.
func (w *relayedWorker) restart(clock time.Duration) {
	w.reboot()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rebooted, w.begin = true, time.Now().Add(-clock)
}

// lost waits for the caller's timeout if responses get lost.
func (w *relayedWorker) lost(ctx context.Context) bool {
	w.mu.Lock()
	loses := w.losesResponses
	if loses {
		w.lostCalls++
	}
	w.mu.Unlock()
	if loses {
		<-ctx.Done()
	}
	return loses
}

func (w *relayedWorker) Hold(ctx context.Context, vm winch.WorkerVM, c winch.HoldRequest) (winch.HoldResponse, error) {
	resp, err := w.fakeWorker.Hold(ctx, vm, c)
	if w.lost(ctx) {
		return winch.HoldResponse{}, winch.ErrUncertain
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && w.rebooted {
		return winch.HoldResponse{}, winch.ErrOtherBoot
	}
	return resp, err
}

func (w *relayedWorker) Start(ctx context.Context, vm winch.WorkerVM, c winch.StartRequest) (winch.StartResult, time.Duration) {
	if w.clock() > c.Until {
		return winch.StartLate, w.clock()
	}
	result, clock := w.fakeWorker.Start(ctx, vm, c)
	w.mu.Lock()
	w.until = max(w.until, c.Until)
	w.mu.Unlock()
	if w.lost(ctx) {
		return winch.StartUncertain, 0
	}
	return result, clock
}

func (w *relayedWorker) Stop(ctx context.Context, vm winch.WorkerVM, token uint64, task winch.RunID, run uint64) error {
	if w.lost(ctx) {
		return winch.ErrUncertain
	}
	if w.restartsAtStop {
		w.restart(0)
	}
	return w.fakeWorker.Stop(ctx, vm, token, task, run)
}

// newRelayedFixture returns a keeper of a worker behind a relay, which grants leases of up to six seconds.
func newRelayedFixture(ctx context.Context) (*fixture, *relayedWorker) {
	worker := &relayedWorker{fakeWorker: &fakeWorker{begin: time.Now()}}
	r := &fixture{worker: worker.fakeWorker, session: proto.Session{Term: 1, Number: 1}}
	r.keeper = &Keeper{Client: worker, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 5 * time.Second, WorkerLease: 6 * time.Second}
	r.keeper.Prepare()
	r.keeper.group.Go(func() { r.poll(ctx) })
	r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{
		{VM: winch.WorkerVM{ID: "w", Born: 7}, Token: 5, Empty: true},
	}})
	return r, worker
}

// startOne orders a start of one task.
func (r *fixture) startOne(run uint64) {
	r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: run}}})
}

// Guards against a run at a worker's next boot that counts as confirmed by the boot before: the connection has outlived the
// boot, the next one refuses a start as late, and its clock is taken for that of the boot before, so that it accepts further
// starts. Their tasks would be started elsewhere while the runs go on.
func TestStartAtANextBootWithALaterClockIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r, worker := newRelayedFixture(ctx)
		time.Sleep(5 * time.Second)
		worker.restart(time.Hour)
		for run := range uint64(3) {
			r.startOne(3 + run)
			time.Sleep(100 * time.Millisecond)
		}
		worker.mu.Lock()
		is.Equal(len(worker.running), 0)
		worker.mu.Unlock()
		is.Equal(r.count(proto.EventStarted), 0)
		is.Equal(r.count(proto.EventLost), 1)
		r.end(cancel)
	})
}

// A clock that is ahead since the entry's VM was suspended does not end a boot.
func TestBootWithALaterClockKeepsItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r, worker := newRelayedFixture(ctx)
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		worker.begin = worker.begin.Add(-time.Minute)
		worker.mu.Unlock()
		r.startOne(3) // Refused as late; the response shows the clock.
		time.Sleep(100 * time.Millisecond)
		r.startOne(4)
		time.Sleep(3 * time.Second)
		worker.mu.Lock()
		is.Equal(len(worker.running), 1)
		worker.mu.Unlock()
		is.Equal(r.count(proto.EventStarted), 1)
		is.Equal(r.count(proto.EventLost), 0)
		r.end(cancel)
	})
}

// Guards against a lease that goes on at a worker's next boot, which the keeper does not count on: its responses get lost, and
// each further hold names a time on the clock of the boot before.
func TestHoldsWithoutResponseExtendNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r, worker := newRelayedFixture(ctx)
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		worker.losesResponses = true
		worker.mu.Unlock()
		for r.count(proto.EventUnresponsive) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		worker.restart(0)
		worker.mu.Lock()
		before := worker.lostCalls
		worker.mu.Unlock()
		time.Sleep(2 * time.Second)
		worker.mu.Lock()
		is.True(worker.lostCalls > before)
		is.Equal(worker.until, time.Duration(0))
		worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against the same by the request for the lists that follows a stop.
func TestRequestForListsExtendsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r, worker := newRelayedFixture(ctx)
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		worker.loseStarts, worker.restartsAtStop = true, true
		holds := worker.tries
		worker.mu.Unlock()
		r.startOne(3)
		time.Sleep(maxCallTimeout + 50*time.Millisecond)
		worker.mu.Lock()
		is.Equal(worker.stops, 1)
		is.True(worker.tries > holds)
		is.Equal(worker.until, time.Duration(0))
		worker.mu.Unlock()
		r.end(cancel)
	})
}

// Guards against a task that is started elsewhere while its run goes on at the next boot of a worker that is cut off: the start
// got no response, and the next boot has carried it out and grants its longest lease, since the limit is a time on another clock.
func TestStartWithoutResponseMayHoldTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r, worker := newRelayedFixture(ctx)
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		worker.losesResponses = true
		worker.mu.Unlock()
		sent := time.Now()
		r.startOne(3)
		for r.count(proto.EventLost) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		left := r.last(proto.EventLost).Left
		is.True(time.Since(sent)+left >= ExpiryBound(r.keeper.WorkerLease))
		is.True(time.Since(sent)+left <= ExpiryBound(r.keeper.WorkerLease)+maxCallTimeout+maxRetryDelay)
		r.end(cancel)
	})
}

// countingWorker counts the holds that name a number of completions.
type countingWorker struct {
	*fakeWorker
	numbered int
	failing  bool // failing means that a hold that names a number is carried out without a response.
}

func (w *countingWorker) Hold(ctx context.Context, vm winch.WorkerVM, c winch.HoldRequest) (winch.HoldResponse, error) {
	resp, err := w.fakeWorker.Hold(ctx, vm, c)
	if c.Forget == 0 {
		return resp, err
	}
	w.mu.Lock()
	w.numbered++
	failing := w.failing
	w.failing = false
	w.mu.Unlock()
	if failing {
		return winch.HoldResponse{}, winch.ErrUncertain
	}
	return resp, err
}

// Guards against completions that a worker's next boot drops unseen: each hold that is delayed past the restart and names a number
// of the boot before makes it do so, and their tasks would run again.
func TestNumbersOfCompletionsAreSentUntilOneResponse(t *testing.T) {
	for name, test := range map[string]struct {
		failing bool
		want    int
	}{"response": {false, 1}, "response lost once": {true, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				ctx, cancel := context.WithCancel(t.Context())
				worker := &countingWorker{fakeWorker: &fakeWorker{begin: time.Now(), ended: completionsUpTo(40)}, failing: test.failing}
				r := &fixture{worker: worker.fakeWorker, session: proto.Session{Term: 1, Number: 1}}
				r.keeper = &Keeper{Client: worker, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 5 * time.Second}
				r.keeper.Prepare()
				r.keeper.group.Go(func() { r.poll(ctx) })
				r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 5}}})
				time.Sleep(time.Second)
				r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderForget, Worker: "w", Token: 5, Forget: 40}}})
				time.Sleep(20 * time.Second)
				worker.mu.Lock()
				is.Equal(worker.forget, uint64(40))
				is.Equal(worker.numbered, test.want)
				worker.mu.Unlock()
				r.end(cancel)
			})
		})
	}
}
