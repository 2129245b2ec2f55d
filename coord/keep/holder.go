package keep

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// holdWait is how long a worker may wait for an end before it answers. Each
	// answer is a look that costs both sides; ends are answered at once.
	holdWait = 1500 * time.Millisecond
	// closeWait is used while the planner paces runs by what the worker reports: a
	// target may be missed for a few seconds only.
	closeWait = 500 * time.Millisecond
	// holdPause is the pause between an answer and the next hold.
	holdPause = 15 * time.Millisecond
	// recordTime is how long the next hold waits until the ends that were listed
	// are recorded. A worker answers at once as long as it lists ends, so a hold
	// sent before would only list the same ends again.
	recordTime = 140 * time.Millisecond
	// lossyWait is used while answers are lost: nothing is heard of a worker's ends
	// from the loss of an answer until the next hold.
	lossyWait = 300 * time.Millisecond
	// shutWait is how long a worker may wait for an end while its lease may not be
	// renewed yet, and openTime how long the next hold waits for that.
	shutWait = 300 * time.Millisecond
	openTime = 150 * time.Millisecond
	// retryPause is the pause after a call that was not answered.
	retryPause = 100 * time.Millisecond
	// startTime is how long a start is good for at the worker. It is short, so
	// that one that is held up on its way is refused when it arrives.
	startTime = 1200 * time.Millisecond
	// senders is how many orders to one worker may be on their way at once, each
	// on a connection of its own.
	senders = 2
	// clockDrift is how much slower than ours a worker's clock may be.
	clockDrift = 0.02
	// lapseMargin is added when a lease counts as lapsed: a message may be that
	// long on its way, and the worker ends runs a moment after the time.
	lapseMargin = 300 * time.Millisecond
	// lapseLook is the shortest that an answer is waited for when a worker is about to
	// count as lost.
	lapseLook = 150 * time.Millisecond
	// overtaken is by how much a clock in one answer may be behind that in another
	// which was given later: answers on different connections overtake each other,
	// and none is waited for longer.
	overtaken = 3 * time.Second
	// statusEvery bounds how often the state of runs is told to the planner, closeEvery
	// while it paces them by it.
	statusEvery = time.Second
	closeEvery  = 400 * time.Millisecond
	// mostListed is how many ends a worker lists at a time; with so many, runs may
	// have ended that are not listed yet.
	mostListed = 500
)

type runKey struct {
	task winch.RunID
	run  uint64
}

// known is what a holder knows of a run that was ordered or listed.
type known struct {
	// acked is when the worker last confirmed an order about the run; zero while
	// the first order is on its way.
	acked time.Time
	// doubt says that the start was not answered and the run is being stopped.
	doubt bool
	// told says that its state was told to the planner, percent and checkpoint what was.
	told       bool
	percent    float64
	checkpoint string
}

// command is an order with what its start needs.
type command struct {
	proto.Order
	text string
}

// holder keeps one boot of one worker.
type holder struct {
	keeper *Keeper
	vm     winch.WorkerVM
	token  uint64
	turn   uint64
	empty  bool // empty says that nothing ran there when the holder began.
	cancel context.CancelFunc
	ring   chan command
	began  time.Time
	// recorded wakes the next hold once all ends that were told are recorded.
	recorded chan struct{}

	mu     sync.Mutex
	runs   map[runKey]*known
	forget uint64
	told   []winch.Ended // told holds the ends that the worker listed last.
	// clock is the worker's clock at the moment clockAt of ours.
	clock   time.Duration
	clockAt time.Time
	// until is the end of the lease last asked for, on the worker's clock, and own
	// when that has surely passed there. Neither moves while the worker does not
	// answer: a call that gets no answer may be carried out all the same, and a
	// worker that is gone has to count as lost some time.
	until time.Duration
	own   time.Time
	// prior is when the leases that earlier holdings gave have surely passed.
	prior  time.Time
	silent bool
	// doubted says that the last hold was not answered: the worker is asked once more,
	// at once, before it counts as silent.
	doubted bool
	// open says that the lease may be renewed: the planner knows that the worker
	// answers in this spell. Otherwise, were this keeper lost, the planner would have
	// to count the longest lease from then on, for a worker that never answered too.
	open     bool
	spell    uint64        // spell counts the times of silence.
	opened   chan struct{} // opened wakes the next hold once the lease may be renewed.
	heard    time.Time     // heard is when the worker last answered; zero if it never did.
	listed   bool
	closed   bool // closed says that no start may be sent any more.
	fenced   bool // fenced says that another holding has begun since.
	closely  bool // closely says that the planner paces runs by what is reported.
	lastEnd  uint64
	statusAt time.Time
	// unanswered counts the calls in a row that were not answered, missed is when the
	// last was given up.
	unanswered int
	missed     time.Time
	// listsAt is the worker's clock in the newest lists that were taken.
	listsAt time.Duration
}

func (h *holder) run(ctx context.Context) {
	var group conc.WaitGroup
	for range senders {
		group.Go(func() { h.send(ctx) })
	}
	group.Go(func() {
		defer h.cancel()
		h.renew(ctx)
	})
	group.Wait()
}

// known returns the runs that may exist at the worker, or whose ends are not
// recorded yet, and whether that is all. The holding has been closed.
func (h *holder) known() ([]winch.Running, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []winch.Running
	for key := range h.runs {
		out = append(out, winch.Running{Task: key.task, Run: key.run})
	}
	for _, e := range h.told {
		if e.Number > h.forget {
			out = append(out, winch.Running{Task: e.Task, Run: e.Run})
		}
	}
	return out, (h.listed || h.empty) && !h.fenced
}

// take queues an order; what goes with the next hold needs no message of its own.
func (h *holder) take(o proto.Order, text string) {
	switch o.Kind {
	case proto.OrderForget:
		h.mu.Lock()
		h.forget = max(h.forget, o.Forget)
		caughtUp := h.forget >= h.lastEnd
		h.mu.Unlock()
		if caughtUp {
			duty.Signal(h.recorded)
		}
		return
	case proto.OrderLook:
		h.mu.Lock()
		h.closely = o.Closely
		h.mu.Unlock()
		return
	case proto.OrderRenew:
		h.mu.Lock()
		h.open = h.open || o.Spell == h.spell && !h.silent
		h.mu.Unlock()
		duty.Signal(h.opened)
		return
	}
	select {
	case h.ring <- command{o, text}:
	default:
		h.keeper.count("Keep.RingFull")
		if o.Kind == proto.OrderStart {
			h.refuse(o)
		}
	}
}

// refuse tells the planner of a start that was not sent.
func (h *holder) refuse(o proto.Order) {
	h.emit(proto.KeepEvent{Kind: proto.EventNotStarted, Task: o.Task, Run: o.Run, Result: winch.StartRefused})
}

func (h *holder) emit(e proto.KeepEvent) {
	e.Token = h.token
	h.keeper.emit(h, e)
}
