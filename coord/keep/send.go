package keep

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// sendOrders sends queued orders to the worker, one at a time.
func (h *holder) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-h.ring:
			h.execute(ctx, c)
		}
	}
}

func (h *holder) execute(ctx context.Context, c command) {
	switch c.Kind {
	case proto.OrderStart:
		h.start(ctx, c)
	case proto.OrderStop:
		h.stopUntilHeard(ctx, runKey{c.Task, c.Run}, false)
	case proto.OrderPace:
		callCtx, cancel := context.WithTimeout(ctx, h.answerLimit())
		defer cancel()
		if err := h.keeper.Runner.Pace(callCtx, h.vm, h.token, c.Task, c.Run, c.Percent); err != nil {
			h.keeper.count("Keep.PaceFailed")
		}
	}
}

func (h *holder) start(ctx context.Context, c command) {
	key := runKey{c.Task, c.Run}
	now := time.Now()
	until, ok := h.mayStart(key, now)
	if !ok {
		h.emit(proto.KeepEvent{Kind: proto.EventNotStarted, Task: c.Task, Run: c.Run, Result: winch.StartRefused})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, h.answerLimit())
	defer cancel()
	result, clock := h.keeper.Runner.Start(callCtx, h.vm, winch.StartCall{
		Token: h.token, Task: c.Task, Run: c.Run, Command: c.text,
		Checkpoint: c.Checkpoint, Ticket: c.Ticket, Until: until,
	})
	h.noteOrder(now, result != winch.StartUncertain)
	if otherBoot := h.setClock(clock); otherBoot {
		h.startedElsewhere(ctx, key)
		return
	}
	switch result {
	case winch.StartOK:
		h.confirm(key, false)
		h.emit(proto.KeepEvent{Kind: proto.EventStarted, Task: c.Task, Run: c.Run})
	case winch.StartUncertain:
		h.keeper.Log.Info("no response to a start, stopping the run", zap.String("job", c.Task.Job),
			zap.Any("task", c.Task), zap.Uint64("run", c.Run), zap.String("worker", h.vm.ID))
		h.stopUntilHeard(ctx, key, true)
	case winch.StartOtherBoot:
		h.emit(proto.KeepEvent{Kind: proto.EventLost, Result: winch.StartOtherBoot})
		h.cancel()
	default:
		h.mu.Lock()
		delete(h.runs, key)
		h.mu.Unlock()
		h.keeper.Log.Info("worker refused a start", zap.String("job", c.Task.Job), zap.Any("task", c.Task), zap.Uint64("run", c.Run),
			zap.String("worker", h.vm.ID), zap.Stringer("reason", result))
		h.emit(proto.KeepEvent{Kind: proto.EventNotStarted, Task: c.Task, Run: c.Run, Result: result})
	}
}

// recordOrder records whether an order was answered, and its round-trip time.
func (h *holder) noteOrder(sent time.Time, ok bool) {
	h.noteCall(ok)
	if ok {
		h.keeper.trips.answered(time.Since(sent))
	}
}

// startedOnOtherBoot stops a run that was started by another boot of the worker under the
// same ID. The planner knows nothing of that boot. It will restart all runs of the intended
// boot elsewhere, so this run would otherwise run twice.
func (h *holder) startedElsewhere(ctx context.Context, key runKey) {
	h.stopUntilHeard(ctx, key, true)
	h.emit(proto.KeepEvent{Kind: proto.EventLost, Result: winch.StartOtherBoot})
	h.cancel()
}

// prepareStart records a start that is about to be sent and returns until when the worker
// accepts it. A start extends the lease at the worker, so none is sent to a worker that
// doesn't respond to holds: it would run on after it counts as lost.
func (h *holder) mayStart(key runKey, now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.open {
		return 0, false
	}
	h.runs[key] = &known{}
	h.own = later(h.own, now.Add(Surely(startTime)))
	return h.clockNow(now) + startTime, true
}

// confirm records that the worker has responded to an order about a run.
func (h *holder) confirm(key runKey, doubt bool) {
	h.mu.Lock()
	r, listed := h.runs[key], h.listed
	if r != nil {
		r.acked = time.Now()
		r.doubt = doubt
	}
	h.mu.Unlock()
	if r == nil && listed {
		// Its completion was already listed, or the run belongs to an earlier session and
		// was not listed in this one. Before the first lists its state is unknown: they may
		// contain its completion, which must be reported to the planner first.
		h.emit(proto.KeepEvent{Kind: proto.EventVanished, Task: key.task, Run: key.run})
	}
}

// stopUntilAnswered stops a run and retries until the worker has responded. After the
// response the worker refuses a start of the run that is still in flight, so the next lists
// show definitively whether it was started.
func (h *holder) stopUntilHeard(ctx context.Context, key runKey, doubt bool) {
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, h.answerLimit())
		err := h.keeper.Runner.Stop(callCtx, h.vm, h.token, key.task, key.run)
		cancel()
		h.noteOrder(sent, isAnswer(err))
		switch {
		case err == nil:
			h.confirm(key, doubt)
			if doubt {
				h.list(ctx) // The task can't be placed again until it is known whether the run had begun.
			}
			return
		case errors.Is(err, winch.ErrFenced), errors.Is(err, winch.ErrOtherBoot):
			return // The next hold fails likewise and reports it.
		}
		h.keeper.count("Keep.StopFailed")
		duty.Pause(ctx, retryPause)
	}
}
