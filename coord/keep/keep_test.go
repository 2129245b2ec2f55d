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

// fakeWorker is one worker VM. It answers, or is silent, as the test says.
type fakeWorker struct {
	mu      sync.Mutex
	silent  bool
	begin   time.Time
	until   time.Duration
	forget  uint64
	token   uint64
	holds   int
	running []winch.Running
	ended   []winch.Ended
	// loseStarts makes starts go unanswered; late says that they take effect.
	loseStarts bool
	late       bool
	// told is the largest number of an end that a hold named since told was reset.
	told  uint64
	stops int
}

func (w *fakeWorker) clock() time.Duration { return time.Since(w.begin) }

func (w *fakeWorker) wait(ctx context.Context) (winch.Holding, error) {
	<-ctx.Done()
	return winch.Holding{}, winch.ErrUncertain
}

func (w *fakeWorker) Hold(ctx context.Context, _ winch.WorkerVM, c winch.HoldCall) (winch.Holding, error) {
	w.mu.Lock()
	if w.silent {
		w.mu.Unlock()
		return w.wait(ctx)
	}
	defer w.mu.Unlock()
	if c.Token < w.token {
		return winch.Holding{}, winch.ErrFenced
	}
	w.token = c.Token
	w.holds++
	w.until = max(w.until, c.Until)
	w.forget = max(w.forget, c.Forget)
	w.told = max(w.told, c.Forget)
	var kept []winch.Ended
	for _, e := range w.ended {
		if e.Number > w.forget {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	if len(kept) == 0 {
		w.mu.Unlock()
		time.Sleep(c.Wait)
		w.mu.Lock()
	}
	return winch.Holding{Clock: w.clock(), Running: append([]winch.Running(nil), w.running...), Ended: append([]winch.Ended(nil), w.ended...)}, nil
}

func (w *fakeWorker) Start(ctx context.Context, _ winch.WorkerVM, c winch.StartCall) (winch.StartResult, time.Duration) {
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
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops++
	for i, r := range w.running {
		if r.Task == task && r.Run == run {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			w.ended = append(w.ended, winch.Ended{Number: 1, Task: task, Run: run, Kind: winch.EndStopped})
		}
	}
	return nil
}

func (w *fakeWorker) Pace(context.Context, winch.WorkerVM, uint64, winch.RunID, uint64, int) error {
	return nil
}

func (w *fakeWorker) Drop(winch.WorkerVM) {}

// rig is a keeper with one worker and the planner's side of a session.
type rig struct {
	keeper  *Keeper
	worker  *fakeWorker
	session proto.Session
	mu      sync.Mutex
	events  []proto.KeepEvent
	// deaf has the planner's side not answer that a worker answers.
	deaf bool
}

func newRig(ctx context.Context) *rig {
	r := &rig{worker: &fakeWorker{begin: time.Now()}, session: proto.Session{Term: 1, Number: 1}}
	r.keeper = &Keeper{Runner: r.worker, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Lease: 6 * time.Second}
	r.keeper.Prepare()
	r.keeper.group.Go(func() { r.poll(ctx) })
	r.keeper.Set(proto.KeepSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Kept{{VM: winch.WorkerVM{ID: "w"}, Token: 5}}})
	return r
}

func (r *rig) poll(ctx context.Context) {
	stamp := time.Duration(0)
	for ctx.Err() == nil {
		news := r.keeper.Poll(ctx, proto.KeepPoll{Session: r.session, Authority: 8 * time.Second, Wait: time.Second, Stamp: stamp})
		stamp = news.Stamp
		if news.Session != r.session {
			time.Sleep(10 * time.Millisecond)
		}
		r.mu.Lock()
		r.events = append(r.events, news.Events...)
		deaf := r.deaf
		r.mu.Unlock()
		if !deaf {
			r.allowRenewals(news)
		}
	}
}

// allowRenewals does what a planner does that hears that a worker answers.
func (r *rig) allowRenewals(news proto.KeepNews) {
	for _, e := range news.Events {
		if e.Kind == proto.EventListed || e.Kind == proto.EventBack {
			o := proto.Order{Kind: proto.OrderRenew, Worker: e.Worker, Token: e.Token, Spell: e.Spell}
			r.keeper.Orders(proto.KeepOrders{Session: news.Session, Orders: []proto.Order{o}})
		}
	}
}

// setSilent has the worker answer nothing, or answer again.
func (r *rig) setSilent(silent bool) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.worker.silent = silent
}

// last returns the last event of a kind.
func (r *rig) last(kind proto.EventKind) (out proto.KeepEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Kind == kind {
			out = e
		}
	}
	return out
}

func (r *rig) count(kind proto.EventKind) int {
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

func (r *rig) end(cancel context.CancelFunc) {
	cancel()
	r.keeper.mu.Lock()
	for _, h := range r.keeper.holders {
		h.cancel()
	}
	r.keeper.mu.Unlock()
	r.keeper.group.Wait()
}

var oneTask = winch.RunID{Job: "0123456789abcdef"}

// A worker loses power for good. Holds that get no answer may arrive late, so
// each could prolong the lease; if each did, the worker would never count as
// lost, and what ran there would never run again.
func TestSilentWorkerIsLostAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(3 * time.Second)
		is.Equal(r.count(proto.EventListed), 1)
		r.worker.mu.Lock()
		r.worker.silent = true
		r.worker.mu.Unlock()
		time.Sleep(5 * time.Second)
		is.Equal(r.count(proto.EventLost), 0) // the lease may still run
		time.Sleep(5 * time.Second)
		is.Equal(r.count(proto.EventLost), 1)
		r.end(cancel)
	})
}

// The planner is lost. Its keepers go on for the authority that they have and
// no longer: another planner starts the work elsewhere after that time.
func TestKeeperStopsWithItsAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(2 * time.Second)
		cancel() // no more polls
		lost := time.Now()
		time.Sleep(30 * time.Second)
		r.worker.mu.Lock()
		end := r.worker.begin.Add(r.worker.until)
		r.worker.mu.Unlock()
		is.True(end.Sub(lost) > 4*time.Second)             // what runs is kept for a while
		is.True(end.Sub(lost) < 8*time.Second+time.Second) // and ends with the authority
		r.end(cancel)
	})
}

// A start gets no answer and did take effect. The run is stopped and its end is
// told, so that the task can be started again; it never runs twice.
func TestUnansweredStartIsStopped(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			r := newRig(ctx)
			time.Sleep(time.Second)
			r.worker.mu.Lock()
			r.worker.loseStarts, r.worker.late = true, late
			r.worker.mu.Unlock()
			r.keeper.Orders(proto.KeepOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
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

// A planner that was replaced and is cut off from the store goes on asking a
// keeper that serves the next planner. The keeper takes none of its orders and
// tells it the later term.
func TestKeeperTellsAnOlderPlannerTheLaterTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		r.keeper.Set(proto.KeepSet{Session: proto.Session{Term: 2, Number: 1}, Authority: time.Second})
		r.keeper.Set(proto.KeepSet{Session: proto.Session{Term: 1, Number: 9}, Authority: time.Second})
		news := r.keeper.Poll(ctx, proto.KeepPoll{Session: r.session, Wait: time.Second})
		is.Equal(news.Session, proto.Session{})
		is.Equal(news.Term, uint64(2))
		r.end(cancel)
	})
}

// A worker is given to another keeper and back while a start waits. The start
// was decided under an earlier holding; if it went out, it could take effect
// after the worker's new lists, and the task would be started twice.
func TestStartOfAnEarlierHoldingIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(time.Second)
		r.keeper.Set(proto.KeepSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Kept{{VM: winch.WorkerVM{ID: "w"}, Token: 6}}})
		r.keeper.Orders(proto.KeepOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
		time.Sleep(5 * time.Second)
		r.worker.mu.Lock()
		is.Equal(len(r.worker.running), 0)
		r.worker.mu.Unlock()
		is.Equal(r.count(proto.EventListed), 2)
		r.end(cancel)
	})
}

// A session of a later planner begins while workers answer. Both sides take the
// keeper's and a worker's lock; taken in different orders, the entry would stand
// still for good and its workers' leases lapse.
func TestSessionsBeginWhileWorkersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		for i := range uint64(200) {
			r.worker.mu.Lock()
			r.worker.ended = []winch.Ended{{Number: i + 1, Task: oneTask, Run: i}}
			r.worker.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			r.keeper.Set(proto.KeepSet{Session: proto.Session{Term: i + 2}, Authority: time.Second, Workers: []proto.Kept{{VM: winch.WorkerVM{ID: "w"}, Token: i + 6}}})
		}
		is.Equal(r.keeper.session.Term, uint64(201))
		r.end(cancel)
	})
}

// A worker stops answering, so its lease is about to count as lapsed, while a
// start for it still waits. Sent now, the start would prolong the lease there:
// the task would run on while it is started elsewhere.
func TestNoStartAtASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(2 * time.Second)
		r.worker.mu.Lock()
		r.worker.silent = true
		r.worker.mu.Unlock()
		time.Sleep(4 * time.Second)
		r.keeper.Orders(proto.KeepOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		is.Equal(len(r.worker.running), 0)
		r.worker.mu.Unlock()
		is.Equal(r.count(proto.EventNotStarted), 1)
		r.end(cancel)
	})
}

// reboot makes the worker another boot under the same ID: it knows nothing, and
// its clock and the numbers of its ends start anew.
func (w *fakeWorker) reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin, w.until, w.forget, w.token, w.told = time.Now(), 0, 0, 0, 0
	w.running, w.ended, w.silent = nil, nil, false
}

// A worker crashes and comes back under the same ID. The next hold must not tell
// the new boot which ends of the old one are recorded: it would drop ends that
// nobody has seen, and tasks that are done would run again.
func TestNextBootIsToldNoNumbersOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		r.keeper.Orders(proto.KeepOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderForget, Worker: "w", Token: 5, Forget: 40}}})
		time.Sleep(5 * time.Second)
		r.worker.mu.Lock()
		r.worker.silent = true
		r.worker.mu.Unlock()
		time.Sleep(3 * time.Second)
		r.worker.reboot()
		time.Sleep(3 * time.Second)
		r.worker.mu.Lock()
		is.Equal(r.worker.told, uint64(0))
		r.worker.mu.Unlock()
		is.Equal(r.count(proto.EventLost), 1) // its clock tells it from the last boot
		r.end(cancel)
	})
}

// A worker comes back under the same ID so soon that a start reaches the new boot
// before any hold has noticed. Its answer shows a clock that has gone back: the run
// is stopped there before the task may be started elsewhere.
func TestStartAtTheNextBootIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(5 * time.Second)
		r.worker.reboot()
		time.Sleep(time.Millisecond)
		r.keeper.Orders(proto.KeepOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStart, Worker: "w", Token: 5, Task: oneTask, Run: 3}}})
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

// A planner takes over and stops a run at once, before the worker has listed anything
// to it. The run has ended well by then, which only the lists tell. Said to have
// vanished, it would be taken off the standby's copy though its end is not recorded,
// and be started a second time if the planner were lost while the store is away.
func TestRunThatIsStoppedBeforeTheListsHasNotVanished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx)
		time.Sleep(time.Second)
		r.setSilent(true)
		r.keeper.Set(proto.KeepSet{Session: r.session, Authority: 8 * time.Second, Workers: []proto.Kept{{VM: winch.WorkerVM{ID: "w"}, Token: 6, Left: 6 * time.Second}}})
		r.keeper.Orders(proto.KeepOrders{Session: r.session, Orders: []proto.Order{{Kind: proto.OrderStop, Worker: "w", Token: 6, Task: oneTask, Run: 3}}})
		time.Sleep(time.Second)
		is.Equal(r.count(proto.EventVanished), 0)
		r.worker.mu.Lock()
		is.Equal(r.worker.stops, 1)
		r.worker.ended = []winch.Ended{{Number: 1, Task: oneTask, Run: 3, Kind: winch.EndDone}}
		r.worker.mu.Unlock()
		r.setSilent(false)
		time.Sleep(2 * time.Second)
		is.Equal(r.count(proto.EventVanished), 0)
		is.Equal(len(r.last(proto.EventListed).Ended), 1)
		r.end(cancel)
	})
}
