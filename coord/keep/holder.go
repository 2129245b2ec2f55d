package keep

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

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
	// statusEvery bounds how often the state of runs is told to the planner.
	statusEvery = 400 * time.Millisecond
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
			h.emit(proto.KeepEvent{Kind: proto.EventNotStarted, Task: o.Task, Run: o.Run, Result: winch.StartRefused})
		}
	}
}

func (h *holder) emit(e proto.KeepEvent) {
	e.Worker, e.Token = h.vm.ID, h.token
	h.keeper.emit(h, e)
}

// renew holds the worker until it is surely gone, fenced off or given up.
func (h *holder) renew(ctx context.Context) {
	for ctx.Err() == nil {
		if h.keeper.authority() <= 0 {
			// Nothing may be kept without the planner; a new one sets new holders.
			duty.Pause(ctx, retryPause)
			continue
		}
		sent := time.Now()
		answer, err := h.call(ctx, sent)
		if ctx.Err() != nil {
			return
		}
		if err == nil && h.setClock(answer.Clock) {
			err = winch.ErrOtherBoot
		}
		if err == nil {
			h.answered(sent, answer)
			h.waitOpen(ctx)
			h.waitRecorded(ctx)
			continue
		}
		if h.doubt(err) {
			continue
		}
		if h.over(err) {
			return
		}
		duty.Pause(ctx, retryPause)
	}
}

// doubt reports whether the worker is to be asked once more before it counts as
// silent. An answer that is lost says nothing of the worker, and a silent one gets
// no work until planner and standby have heard that it answers.
func (h *holder) doubt(err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if isAnswer(err) || h.silent || h.doubted || !h.listed {
		return false
	}
	h.doubted = true
	return true
}

// waitRecorded waits until the ends that were told are recorded, not for long.
func (h *holder) waitRecorded(ctx context.Context) {
	duty.Pause(ctx, holdPause)
	h.mu.Lock()
	behind := h.forget < h.lastEnd
	h.mu.Unlock()
	if !behind {
		return
	}
	timer := time.NewTimer(recordTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.recorded:
	}
}

func (h *holder) call(ctx context.Context, sent time.Time) (winch.Holding, error) {
	call := winch.HoldCall{Token: h.token}
	lease := min(h.keeper.Lease, h.keeper.authority())
	h.mu.Lock()
	call.Forget = h.forget
	if h.listed {
		call.Wait = holdWait
		if h.closely {
			call.Wait = closeWait
		}
		if h.open && !h.closed && !h.doubted {
			h.until = h.clockNow(sent) + lease
			h.own = later(h.own, sent.Add(Surely(lease)))
		} else {
			call.Wait = min(call.Wait, shutWait)
		}
		call.Until = h.until
	}
	if h.silent || h.doubted {
		// Another boot may answer under the same ID, whose ends are numbered anew:
		// told the numbers of the last one it would drop ends that nobody has seen.
		// It is asked at once who it is, and told nothing.
		call.Forget, call.Wait = 0, 0
	}
	if h.keeper.trips.lossy() && len(h.runs) > 0 {
		call.Wait = min(call.Wait, lossyWait)
	}
	limit := call.Wait + h.keeper.trips.limit(h.unanswered)
	if !h.open {
		// No answer is waited for long beyond the loss: work waits for it.
		limit = min(limit, max(time.Until(h.lapse()), lapseLook))
	}
	h.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := h.keeper.Runner.Hold(callCtx, h.vm, call)
	h.noteCall(isAnswer(err))
	if err == nil && call.Wait == 0 {
		h.keeper.trips.answered(time.Since(sent))
	}
	return answer, err
}

// list asks for the worker's lists at once, beside the hold that waits for an end.
// It does not renew the lease.
func (h *holder) list(ctx context.Context) {
	h.mu.Lock()
	ask := winch.HoldCall{Token: h.token, Forget: h.forget, Until: h.until}
	ok := h.listed && !h.silent && !h.doubted
	h.mu.Unlock()
	if !ok {
		return // The next hold asks without waiting.
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, h.answerLimit())
	defer cancel()
	answer, err := h.keeper.Runner.Hold(callCtx, h.vm, ask)
	if err != nil || ctx.Err() != nil || h.setClock(answer.Clock) {
		return // The hold that waits finds out what is wrong.
	}
	h.answered(sent, answer)
}

// over reports whether an error ends the holding of the worker.
func (h *holder) over(err error) bool {
	h.mu.Lock()
	first := !h.silent
	if first {
		h.spell++
	}
	h.silent, h.open, h.doubted = true, false, false
	left := time.Until(h.lapse())
	lapsed := left <= 0
	state := h.describe(err)
	h.mu.Unlock()
	if first {
		h.emit(proto.KeepEvent{Kind: proto.EventSilent, Left: max(0, left)})
	}
	switch {
	case errors.Is(err, winch.ErrFenced):
		h.keeper.Log.Info("worker is held by a newer keeper", state...)
		h.mu.Lock()
		h.fenced = true
		h.mu.Unlock()
		h.emit(proto.KeepEvent{Kind: proto.EventFenced})
		return true
	case errors.Is(err, winch.ErrOtherBoot), lapsed:
		h.keeper.Log.Info("worker lost", append(state, zap.Bool("lapsed", lapsed))...)
		result := winch.StartOtherBoot
		if lapsed {
			result = winch.StartUncertain
		}
		h.emit(proto.KeepEvent{Kind: proto.EventLost, Result: result})
		h.keeper.Runner.Drop(h.vm)
		return true
	}
	if first {
		h.keeper.Log.Info("worker silent", state...)
	}
	h.keeper.count("Keep.HoldFailed")
	return false
}

// clockNow returns what the worker's clock shows at least. The mutex is held.
func (h *holder) clockNow(now time.Time) time.Duration {
	return h.clock + now.Sub(h.clockAt)
}

// setClock takes the worker's clock from an answer, and reports whether the
// answer is another boot's: a boot's clock starts anew and never goes back. Some
// answers do not say which boot they are from.
func (h *holder) setClock(clock time.Duration) (reborn bool) {
	if clock <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if clock < h.clock-overtaken {
		return true
	}
	h.clock, h.clockAt = clock, time.Now()
	return false
}

// answered takes the lists of a worker.
func (h *holder) answered(sent time.Time, answer winch.Holding) {
	for _, e := range h.compareAll(sent, answer) {
		h.emit(e)
	}
}

// compareAll returns what the lists tell. Events are not emitted here: the
// keeper's lock is never taken while the holder's is held.
func (h *holder) compareAll(sent time.Time, answer winch.Holding) []proto.KeepEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed && h.outdated(answer) {
		return nil
	}
	h.listsAt = max(h.listsAt, answer.Clock)
	back := h.silent
	h.silent = false
	now := time.Now()
	blind := time.Duration(0)
	if back || h.doubted {
		blind = now.Sub(h.heard)
	}
	h.doubted = false
	h.heard = now
	if back {
		h.keeper.Log.Info("worker answers again", zap.String("worker", h.vm.ID), zap.Uint64("token", h.token))
	}
	var fresh []winch.Ended
	h.told = answer.Ended
	for _, e := range answer.Ended {
		if e.Number > h.lastEnd {
			h.lastEnd = e.Number
			fresh = append(fresh, e)
		}
		delete(h.runs, runKey{e.Task, e.Run})
	}
	if !h.listed {
		return []proto.KeepEvent{h.first(answer, fresh)}
	}
	var out []proto.KeepEvent
	if back {
		out = append(out, proto.KeepEvent{Kind: proto.EventBack, Spell: h.spell})
	}
	if len(fresh) > 0 {
		out = append(out, proto.KeepEvent{Kind: proto.EventEnded, Ended: fresh, Blind: blind})
	}
	out = append(out, h.compare(sent, answer)...)
	return append(out, h.look(answer.Running)...)
}

// outdated reports whether newer lists have been taken: answers overtake each other.
// The mutex is held.
func (h *holder) outdated(answer winch.Holding) bool {
	last := uint64(0)
	for _, e := range answer.Ended {
		last = max(last, e.Number)
	}
	return answer.Clock > 0 && (answer.Clock < h.listsAt || answer.Clock == h.listsAt && last < h.lastEnd)
}

// first tells the first lists whole.
func (h *holder) first(answer winch.Holding, ends []winch.Ended) proto.KeepEvent {
	h.listed = true
	// Earlier holdings are fenced off from here on; what they renewed last ends after
	// a whole lease.
	if until := time.Now().Add(Surely(h.keeper.Lease)); until.Before(h.prior) {
		h.prior = until
	}
	for _, r := range answer.Running {
		h.runs[runKey{r.Task, r.Run}] = &known{acked: h.began}
	}
	return proto.KeepEvent{Kind: proto.EventListed, Running: answer.Running, Ended: ends, Spell: h.spell}
}

// compare finds runs that the worker does not have any more, or has against
// what is known. Only orders that were confirmed before the hold was sent count:
// answers on different connections overtake each other.
func (h *holder) compare(sent time.Time, answer winch.Holding) []proto.KeepEvent {
	var out []proto.KeepEvent
	running := make(map[runKey]bool, len(answer.Running))
	var found []winch.Running
	for _, r := range answer.Running {
		key := runKey{r.Task, r.Run}
		running[key] = true
		if h.runs[key] == nil {
			h.runs[key] = &known{acked: sent}
			found = append(found, r)
		}
	}
	if len(found) > 0 {
		out = append(out, proto.KeepEvent{Kind: proto.EventFound, Running: found})
	}
	if len(answer.Ended) >= mostListed {
		return out
	}
	for key, r := range h.runs {
		if running[key] || r.acked.IsZero() || r.acked.After(sent) {
			continue
		}
		delete(h.runs, key)
		if r.doubt {
			out = append(out, proto.KeepEvent{Kind: proto.EventNotStarted, Task: key.task, Run: key.run, Result: winch.StartUncertain})
			continue
		}
		h.keeper.count("Keep.Vanished")
		out = append(out, proto.KeepEvent{Kind: proto.EventVanished, Task: key.task, Run: key.run})
	}
	return out
}

// look tells how the runs go, not too often.
func (h *holder) look(running []winch.Running) []proto.KeepEvent {
	now := time.Now()
	if len(running) == 0 || now.Sub(h.statusAt) < statusEvery {
		return nil
	}
	h.statusAt = now
	return []proto.KeepEvent{{Kind: proto.EventStatus, Running: running}}
}
