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
