package keep

import (
	"context"
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

// fakeWorker simulates one worker VM, which the test can make unresponsive.
type fakeWorker struct {
	mu           sync.Mutex
	unresponsive bool
	begin        time.Time
	until        time.Duration
	forget       uint64
	token        uint64
	holds        int
	running      []winch.Running
	ended        []winch.Completion
	// loseStarts drops the responses to starts; late makes these starts take effect.
	loseStarts bool
	late       bool
	// maxForget is the largest Forget of the holds since the last boot.
	maxForget uint64
	stops     int
	stopped   uint64 // stopped counts the runs that were stopped, which numbers their completions.
	tries     int    // tries counts the holds, also those without a response.
	// loseThrottles is how many throttles get no response and have no effect; throttles counts all, percent is that of the last
	// one that had an effect.
	loseThrottles, throttles, percent int
	// orderDelay is how long the worker takes to respond to a start or stop.
	orderDelay time.Duration
	maxListed  int // maxListed bounds the completions of one response; zero means that there is no bound.
}

func (w *fakeWorker) clock() time.Duration { return time.Since(w.begin) }

func (w *fakeWorker) wait(ctx context.Context) (winch.HoldResponse, error) {
	<-ctx.Done()
	return winch.HoldResponse{}, winch.ErrUncertain
}

func (w *fakeWorker) Hold(ctx context.Context, _ winch.WorkerVM, c winch.HoldRequest) (winch.HoldResponse, error) {
	w.mu.Lock()
	w.tries++
	if w.unresponsive {
		w.mu.Unlock()
		return w.wait(ctx)
	}
	defer w.mu.Unlock()
	if c.Token < w.token {
		return winch.HoldResponse{}, winch.ErrFenced
	}
	w.token = c.Token
	w.holds++
	w.until = max(w.until, c.Until)
	w.forget = max(w.forget, c.Forget)
	w.maxForget = max(w.maxForget, c.Forget)
	var completions []winch.Completion
	for _, e := range w.ended {
		if e.Number > w.forget {
			completions = append(completions, e)
		}
	}
	w.ended = completions
	if len(completions) == 0 {
		w.mu.Unlock()
		time.Sleep(c.Wait)
		w.mu.Lock()
	}
	listed := w.ended
	if w.maxListed > 0 {
		listed = listed[:min(w.maxListed, len(listed))]
	}
	return winch.HoldResponse{Clock: w.clock(), Running: append([]winch.Running(nil), w.running...), Ended: append([]winch.Completion(nil), listed...)}, nil
}

func (w *fakeWorker) Start(ctx context.Context, _ winch.WorkerVM, c winch.StartRequest) (winch.StartResult, time.Duration) {
	time.Sleep(w.orderDelay)
	w.mu.Lock()
	lose := w.loseStarts
	if !lose || w.late {
		w.running = append(w.running, winch.Running{Task: c.Task, Run: c.Run})
	}
	w.mu.Unlock()
	if lose {
		<-ctx.Done()
		return winch.StartUncertain, 0
	}
	return winch.StartOK, w.clock()
}

func (w *fakeWorker) Stop(_ context.Context, _ winch.WorkerVM, _ uint64, task winch.RunID, run uint64) error {
	time.Sleep(w.orderDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops++
	for i, r := range w.running {
		if r.Task == task && r.Run == run {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			w.stopped++
			w.ended = append(w.ended, winch.Completion{Number: w.stopped, Task: task, Run: run, Kind: winch.CompletionStopped})
		}
	}
	return nil
}

func (w *fakeWorker) Throttle(ctx context.Context, _ winch.WorkerVM, _ uint64, _ winch.RunID, _ uint64, percent int) error {
	w.mu.Lock()
	lose := w.loseThrottles > 0
	w.throttles++
	if lose {
		w.loseThrottles--
	} else {
		w.percent = percent
	}
	w.mu.Unlock()
	if lose {
		<-ctx.Done()
		return winch.ErrUncertain
	}
	return nil
}

func (w *fakeWorker) Disconnect(winch.WorkerVM) {}

// fixture is a keeper with one worker and the planner's side of a session.
type fixture struct {
	keeper  *Keeper
	worker  *fakeWorker
	session proto.Session
	mu      sync.Mutex
	events  []proto.KeeperEvent
	// withholdRenewals keeps the planner's side from allowing lease renewals.
	withholdRenewals bool
}

func newFixture(ctx context.Context) *fixture {
	return newFixtureOf(ctx, &fakeWorker{begin: time.Now()})
}

func newFixtureOf(ctx context.Context, worker *fakeWorker) *fixture {
	r := &fixture{worker: worker, session: proto.Session{Term: 1, Number: 1}}
	r.keeper = &Keeper{Client: r.worker, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 6 * time.Second}
	r.keeper.Prepare()
	r.keeper.group.Go(func() { r.poll(ctx) })
	r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 5}}})
	return r
}

func (r *fixture) poll(ctx context.Context) {
	stamp := time.Duration(0)
	for ctx.Err() == nil {
		resp := r.keeper.Poll(ctx, proto.KeeperPollRequest{Session: r.session, Authority: 8 * time.Second, Wait: time.Second, Stamp: stamp})
		stamp = resp.Stamp
		if resp.Session != r.session {
			time.Sleep(10 * time.Millisecond)
		}
		r.mu.Lock()
		r.events = append(r.events, resp.Events...)
		withhold := r.withholdRenewals
		r.mu.Unlock()
		if !withhold {
			r.allowRenewals(resp)
		}
	}
}

// allowRenewals sends the orders by which a planner allows the renewal of leases after the
// events that report a responsive worker.
func (r *fixture) allowRenewals(resp proto.KeeperPollResponse) {
	for _, e := range resp.Events {
		if e.Kind == proto.EventListed || e.Kind == proto.EventResponsive {
			o := proto.Order{Kind: proto.OrderAllowRenewal, Worker: e.Worker, Token: e.Token, Spell: e.Spell}
			r.keeper.QueueOrders(proto.KeeperOrders{Session: resp.Session, Orders: []proto.Order{o}})
		}
	}
}

// setUnresponsive makes the worker unresponsive or responsive.
func (r *fixture) setUnresponsive(unresponsive bool) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.worker.unresponsive = unresponsive
}

// last returns the last event of a kind.
func (r *fixture) last(kind proto.EventKind) (out proto.KeeperEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Kind == kind {
			out = e
		}
	}
	return out
}

func (r *fixture) count(kind proto.EventKind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func (r *fixture) end(cancel context.CancelFunc) {
	cancel()
	r.keeper.mu.Lock()
	for _, h := range r.keeper.holders {
		h.cancel()
	}
	r.keeper.mu.Unlock()
	r.keeper.group.Wait()
}

var oneTask = winch.RunID{Job: "0123456789abcdef"}

// Guards against a failed worker that never counts as lost, so that its tasks are never
// restarted. A hold without a response may still arrive and extend the lease; if each of
// them were assumed to do so, the lease would never expire.
func TestUnresponsiveWorkerIsLostAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		is.Equal(r.count(proto.EventListed), 1)
		r.worker.mu.Lock()
		r.worker.unresponsive = true
		r.worker.mu.Unlock()
		time.Sleep(5 * time.Second)
		is.Equal(r.count(proto.EventLost), 0) // the lease may still run
		time.Sleep(5 * time.Second)
		is.Equal(r.count(proto.EventLost), 1)
		r.end(cancel)
	})
}

// Guards against a keeper that renews leases after its authority has ended. When the planner
// fails, another planner restarts the work elsewhere after that time.
func TestKeeperStopsWithItsAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(2 * time.Second)
		cancel() // No more polls.
		lost := time.Now()
		time.Sleep(30 * time.Second)
		r.worker.mu.Lock()
		end := r.worker.begin.Add(r.worker.until)
		r.worker.mu.Unlock()
		is.True(end.Sub(lost) > 4*time.Second)             // Leases are renewed for a while,
		is.True(end.Sub(lost) < 8*time.Second+time.Second) // until the authority ends.
		r.end(cancel)
	})
}

// Guards against a task that runs twice, or never again, after a start without a response,
// whether or not the start took effect. The run is stopped and its completion reported, so
// that the task can be restarted.
func TestStartWithoutResponseIsStopped(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			r := newFixture(ctx)
			time.Sleep(time.Second)
			r.worker.mu.Lock()
			r.worker.loseStarts, r.worker.late = true, late
			r.worker.mu.Unlock()
			r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
			time.Sleep(6 * time.Second)
			is.Equal(r.count(proto.EventStarted), 0)
			is.Equal(r.count(proto.EventEnded)+r.count(proto.EventNotStarted), 1)
			r.worker.mu.Lock()
			is.Equal(len(r.worker.running), 0)
			r.worker.mu.Unlock()
			r.end(cancel)
		})
	}
}

// Guards against a planner that does not learn that it was replaced. Partitioned from the store,
// it goes on polling a keeper that already serves its successor. The keeper must ignore its
// assignments and return the later term.
func TestKeeperReportsTheLaterTermToAnOlderPlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		r.keeper.SetAssignments(proto.AssignmentSet{Session: proto.Session{Term: 2, Number: 1}, Authority: time.Second})
		r.keeper.SetAssignments(proto.AssignmentSet{Session: proto.Session{Term: 1, Number: 9}, Authority: time.Second})
		resp := r.keeper.Poll(ctx, proto.KeeperPollRequest{Session: r.session, Wait: time.Second})
		is.Equal(resp.Session, proto.Session{})
		is.Equal(resp.Term, uint64(2))
		r.end(cancel)
	})
}

// Guards against a start sent under a later assignment than the one it was ordered for. The
// worker is reassigned while the start is queued. Sent under the new token, the start could take
// effect after the worker's new lists, and the task would be started twice.
func TestStartOfAnEarlierAssignmentIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(time.Second)
		r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 6}}})
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
		time.Sleep(5 * time.Second)
		r.worker.mu.Lock()
		is.Equal(len(r.worker.running), 0)
		r.worker.mu.Unlock()
		is.Equal(r.count(proto.EventListed), 2)
		r.end(cancel)
	})
}

// Guards against a deadlock between the start of a later planner's session and a worker's
// response. Both acquire the keeper's and a holder's lock; in different orders they would
// deadlock, and the workers' leases would expire.
func TestSessionsBeginWhileWorkersRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		for i := range uint64(200) {
			r.worker.mu.Lock()
			r.worker.ended = []winch.Completion{{Number: i + 1, Task: oneTask, Run: i}}
			r.worker.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			r.keeper.SetAssignments(proto.AssignmentSet{Session: proto.Session{Term: i + 2}, Authority: time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: i + 6}}})
		}
		is.Equal(r.keeper.session.Term, uint64(201))
		r.end(cancel)
	})
}

// Guards against a start sent to an unresponsive worker. The worker's lease is about to count as
// expired. The start would extend it at the worker, and tasks there would run on while they are
// restarted elsewhere.
func TestNoStartAtAnUnresponsiveWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(2 * time.Second)
		r.worker.mu.Lock()
		r.worker.unresponsive = true
		r.worker.mu.Unlock()
		time.Sleep(4 * time.Second)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		is.Equal(len(r.worker.running), 0)
		r.worker.mu.Unlock()
		is.Equal(r.count(proto.EventNotStarted), 1)
		r.end(cancel)
	})
}

// reboot replaces the worker by another boot with the same ID: its state is empty, and its
// clock and completion numbers start from the beginning.
func (w *fakeWorker) reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin, w.until, w.forget, w.token, w.maxForget = time.Now(), 0, 0, 0, 0
	w.running, w.ended, w.unresponsive = nil, nil, false
}

// Guards against a hold that carries the completion numbers of the previous boot. A worker
// crashes and returns under the same ID. The new boot would drop completions that nobody has
// seen, and finished tasks would run again.
func TestNextBootGetsNoCompletionNumbersOfThePreviousBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixtureOf(ctx, &fakeWorker{begin: time.Now(), ended: completionsUpTo(40)})
		time.Sleep(time.Second)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderForget, Worker: "w", Token: 5, Forget: 40}}})
		time.Sleep(5 * time.Second)
		r.worker.mu.Lock()
		is.Equal(r.worker.maxForget, uint64(40))
		r.worker.unresponsive = true
		r.worker.mu.Unlock()
		time.Sleep(3 * time.Second)
		r.worker.reboot()
		time.Sleep(3 * time.Second)
		r.worker.mu.Lock()
		is.Equal(r.worker.maxForget, uint64(0))
		r.worker.mu.Unlock()
		is.Equal(r.count(proto.EventLost), 1) // The clock shows that it is another boot.
		r.end(cancel)
	})
}

// Guards against a run that is left at a new boot. A worker returns under the same ID so quickly
// that a start reaches the new boot before any hold detects it. The clock in the response is
// lower than before, so the keeper must stop the run before the task can be started elsewhere.
func TestStartAtTheNextBootIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(5 * time.Second)
		r.worker.reboot()
		time.Sleep(time.Millisecond)
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		is.Equal(len(r.worker.running), 0)
		is.Equal(r.worker.stops, 1)
		r.worker.mu.Unlock()
		is.Equal(r.count(proto.EventStarted), 0)
		is.Equal(r.count(proto.EventLost), 1)
		r.end(cancel)
	})
}

// Guards against EventVanished for a run whose completion is still to be listed. A planner
// takes over and stops a run before the worker's first lists; the run has already succeeded,
// which only the lists show. Reported as vanished, it would be removed from the standby's
// replica although its completion is not recorded, and be started again if the planner failed
// during a store outage.
func TestRunStoppedBeforeFirstListsHasNotVanished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(time.Second)
		r.setUnresponsive(true)
		r.keeper.SetAssignments(proto.AssignmentSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Assignment{{VM: winch.WorkerVM{ID: "w"}, Token: 6, Left: 6 * time.Second}}})
		r.keeper.QueueOrders(proto.KeeperOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStop, Worker: "w", Token: 6, Task: oneTask, Run: 3}}})
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventVanished), 0)
		r.worker.mu.Lock()
		is.Equal(r.worker.stops, 1)
		r.worker.ended = []winch.Completion{{Number: 1, Task: oneTask, Run: 3, Kind: winch.CompletionDone}}
		r.worker.mu.Unlock()
		r.setUnresponsive(false)
		time.Sleep(2 * time.Second)
		is.Equal(r.count(proto.EventVanished), 0)
		is.Equal(len(r.last(proto.EventListed).Ended), 1)
		r.end(cancel)
	})
}
