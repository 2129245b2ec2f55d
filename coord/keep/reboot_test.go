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

// rebootingWorker is a worker that starts again under its ID while a start is on its way, which the next boot carries out.
type rebootingWorker struct {
	*fakeWorker
	rebooted, stopped bool
	holdWait          time.Duration // holdWait bounds the wait of a hold.
}

func (w *rebootingWorker) Start(ctx context.Context, vm winch.WorkerVM, c winch.StartRequest) (winch.StartResult, time.Duration) {
	w.mu.Lock()
	w.rebooted, w.begin, w.token, w.ended, w.running = true, time.Now(), 0, nil, nil
	w.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return winch.StartOutdated, w.clock()
	}
	// The call is carried out even if its caller has given up.
	return w.fakeWorker.Start(ctx, vm, c)
}

func (w *rebootingWorker) Stop(ctx context.Context, vm winch.WorkerVM, token uint64, task winch.RunID, run uint64) error {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	return w.fakeWorker.Stop(ctx, vm, token, task, run)
}

func (w *rebootingWorker) Hold(ctx context.Context, vm winch.WorkerVM, c winch.HoldRequest) (winch.HoldResponse, error) {
	c.Wait = min(c.Wait, w.holdWait)
	resp, err := w.fakeWorker.Hold(ctx, vm, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && w.rebooted {
		return winch.HoldResponse{}, winch.ErrOtherBoot
	}
	return resp, err
}

// Guards against a run that goes on at the next boot of a worker after the worker was reported as lost: its start was on
// its way when the boot ended, and the planner starts the task again elsewhere.
func TestStartsInFlightAreStoppedBeforeAnotherBootIsReported(t *testing.T) {
	for name, test := range map[string]struct{ age, holdWait time.Duration }{
		"next boot seen before the start":    {10 * time.Second, 50 * time.Millisecond},
		"clocks of both boots hardly differ": {2 * time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				ctx, cancel := context.WithCancel(t.Context())
				worker := &rebootingWorker{fakeWorker: &fakeWorker{begin: time.Now()}, holdWait: test.holdWait}
				r := &fixture{worker: worker.fakeWorker, session: proto.Session{Term: 1, Number: 1}}
				r.keeper = &Keeper{Client: worker, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 6 * time.Second}
				r.keeper.Prepare()
				r.keeper.group.Go(func() { r.poll(ctx) })
				r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 5}}})
				time.Sleep(test.age)
				r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 7}}})
				time.Sleep(5 * time.Second)
				is.True(r.count(proto.EventLost) > 0)
				worker.mu.Lock()
				is.Equal(len(worker.running), 0)
				worker.mu.Unlock()
				r.end(cancel)
			})
		})
	}
}

// Guards against a task that is started elsewhere while its run goes on at the next boot of a worker: a call for the earlier
// boot, carried out late, has given the next one the longest lease that it grants.
func TestNextBootIsLostAfterTheLongestLease(t *testing.T) {
	for name, test := range map[string]struct {
		nextBoot bool
		want     time.Duration
	}{
		"next boot":  {true, 6 * time.Second},
		"first boot": {false, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				ctx, cancel := context.WithCancel(t.Context())
				r := &fixture{worker: &fakeWorker{begin: time.Now()}, session: proto.Session{Term: 1, Number: 1}}
				r.keeper = &Keeper{
					Client: r.worker, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 5 * time.Second, WorkerLease: 6 * time.Second,
				}
				r.keeper.Prepare()
				r.keeper.group.Go(func() { r.poll(ctx) })
				r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{
					{VM: winch.WorkerVM{ID: "w", Born: 7}, Token: 6, Empty: true, NextBoot: test.nextBoot},
				}})
				for r.count(proto.EventListed) == 0 {
					time.Sleep(time.Millisecond)
				}
				listed := time.Now()
				r.setUnresponsive(true)
				for r.count(proto.EventLost) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				lost := time.Since(listed)
				is.True(lost >= ExpiryBound(test.want)-20*time.Millisecond)
				is.True(lost <= ExpiryBound(test.want)+minExpiryTimeout+20*time.Millisecond)
				r.end(cancel)
			})
		})
	}
}
