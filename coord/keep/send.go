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

// send passes queued orders to the worker, one after the other.
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
	if reborn := h.setClock(clock); reborn {
		h.startedElsewhere(ctx, key)
		return
	}
	switch result {
	case winch.StartOK:
		h.confirm(key, false)
		h.emit(proto.KeepEvent{Kind: proto.EventStarted, Task: c.Task, Run: c.Run})
	case winch.StartUncertain:
		h.keeper.Log.Info("start not answered", zap.String("job", c.Task.Job), zap.Any("task", c.Task), zap.Uint64("run", c.Run), zap.String("worker", h.vm.ID))
		h.stopUntilHeard(ctx, key, true)
	case winch.StartOtherBoot:
		h.emit(proto.KeepEvent{Kind: proto.EventLost, Result: winch.StartOtherBoot})
		h.cancel()
	default:
		h.mu.Lock()
		delete(h.runs, key)
		h.mu.Unlock()
		h.keeper.Log.Info("start refused", zap.String("job", c.Task.Job), zap.Any("task", c.Task), zap.Uint64("run", c.Run),
			zap.String("worker", h.vm.ID), zap.Stringer("reason", result))
		h.emit(proto.KeepEvent{Kind: proto.EventNotStarted, Task: c.Task, Run: c.Run, Result: result})
	}
}

// noteOrder takes whether an order was answered, and its round trip.
func (h *holder) noteOrder(sent time.Time, ok bool) {
	h.noteCall(ok)
	if ok {
		h.keeper.trips.answered(time.Since(sent))
	}
}

// startedElsewhere ends a run that another boot of the worker began, which
// answered under the same ID. Nothing of that boot is known: started again
// elsewhere, as all that ran on the boot that was meant, it would run twice.
func (h *holder) startedElsewhere(ctx context.Context, key runKey) {
	h.stopUntilHeard(ctx, key, true)
	h.emit(proto.KeepEvent{Kind: proto.EventLost, Result: winch.StartOtherBoot})
	h.cancel()
}

// mayStart notes a start that is about to be sent and returns until when it is
// good at the worker. A start prolongs the lease there, so none is sent to a
// worker that does not answer holds: it would run on after it counts as lost.
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

// confirm notes that the worker has answered an order about a run.
func (h *holder) confirm(key runKey, doubt bool) {
	h.mu.Lock()
	r, listed := h.runs[key], h.listed
	if r != nil {
		r.acked = time.Now()
		r.doubt = doubt
	}
	h.mu.Unlock()
	if r == nil && listed {
		// Its end was listed already, or it is of an earlier session and was not
		// listed in this one. Before the first lists nothing is known of it: they may
		// hold its end, which the planner has to hear of first.
		h.emit(proto.KeepEvent{Kind: proto.EventVanished, Task: key.task, Run: key.run})
	}
}

// stopUntilHeard stops a run, again and again until the worker has answered.
// After the answer a start of the run that is still on its way is refused, so
// the next lists tell for good whether it was started.
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
				h.list(ctx) // The task waits until it is known whether the run had begun.
			}
			return
		case errors.Is(err, winch.ErrFenced), errors.Is(err, winch.ErrOtherBoot):
			return // The next hold learns the same and tells it.
		}
		h.keeper.count("Keep.StopFailed")
		duty.Pause(ctx, retryPause)
	}
}
