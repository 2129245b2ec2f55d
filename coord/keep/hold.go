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

// renewLoop sends holds to the worker until its lease is guaranteed to have expired, a
// newer token has fenced it off, another boot responds, or the assignment ends.
func (h *holder) renew(ctx context.Context) {
	for ctx.Err() == nil {
		if h.keeper.authority() <= 0 {
			// No lease may be renewed without the planner's authority. A new planner
			// sends new assignments.
			duty.Pause(ctx, retryPause)
			continue
		}
		sent := time.Now()
		resp, err := h.call(ctx, sent)
		if ctx.Err() != nil {
			return
		}
		if err == nil && h.setClock(resp.Clock) {
			err = winch.ErrOtherBoot
		}
		if err == nil {
			h.answered(sent, resp)
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

// shouldRetry reports whether the hold is to be retried once before the worker counts as
// unresponsive. A lost response says nothing about the worker, and an unresponsive worker
// gets no work until the planner and the standby know that it responds again.
func (h *holder) doubt(err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if isAnswer(err) || h.silent || h.doubted || !h.listed {
		return false
	}
	h.doubted = true
	return true
}

// waitForRecording waits until all reported completions are recorded, or until a timeout.
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
		// Another boot may respond under the same ID. It numbers its completions from
		// the start again, so a Forget meant for the previous boot would make it drop
		// completions that nobody has seen. The call therefore carries no Forget, and no
		// Wait, to learn at once which boot responds.
		call.Forget, call.Wait = 0, 0
	}
	if h.keeper.trips.lossy() && len(h.runs) > 0 {
		call.Wait = min(call.Wait, lossyWait)
	}
	limit := call.Wait + h.keeper.trips.limit(h.unanswered)
	if !h.open {
		// The call must not last much beyond the lease expiry: the worker's work waits
		// until the worker counts as lost.
		limit = min(limit, max(time.Until(h.lapse()), lapseLook))
	}
	h.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := h.keeper.Runner.Hold(callCtx, h.vm, call)
	h.noteCall(isAnswer(err))
	if err == nil && call.Wait == 0 {
		h.keeper.trips.answered(time.Since(sent))
	}
	return resp, err
}

// requestLists requests the worker's lists at once, in parallel to the hold that waits for a
// completion. It does not renew the lease.
func (h *holder) list(ctx context.Context) {
	h.mu.Lock()
	req := winch.HoldCall{Token: h.token, Forget: h.forget, Until: h.until}
	ok := h.listed && !h.silent && !h.doubted
	h.mu.Unlock()
	if !ok {
		return // The next hold is sent without a wait.
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, h.answerLimit())
	defer cancel()
	resp, err := h.keeper.Runner.Hold(callCtx, h.vm, req)
	if err != nil || ctx.Err() != nil || h.setClock(resp.Clock) {
		return // The pending hold handles the failure.
	}
	h.answered(sent, resp)
}

// handleFailure marks the worker as unresponsive after a failed hold and reports whether
// the failure ends its assignment.
func (h *holder) over(err error) bool {
	h.mu.Lock()
	first := !h.silent
	if first {
		h.spell++
	}
	h.silent, h.open, h.doubted = true, false, false
	left := time.Until(h.lapse())
	expired := left <= 0
	state := h.describe(err)
	h.mu.Unlock()
	if first {
		h.emit(proto.KeepEvent{Kind: proto.EventSilent, Left: max(0, left)})
	}
	switch {
	case errors.Is(err, winch.ErrFenced):
		h.keeper.Log.Info("worker has a newer fencing token, assignment ended", state...)
		h.mu.Lock()
		h.fenced = true
		h.mu.Unlock()
		h.emit(proto.KeepEvent{Kind: proto.EventFenced})
		return true
	case errors.Is(err, winch.ErrOtherBoot), expired:
		h.keeper.Log.Info("worker lost, assignment ended", append(state, zap.Bool("lapsed", expired))...)
		result := winch.StartOtherBoot
		if expired {
			result = winch.StartUncertain
		}
		h.emit(proto.KeepEvent{Kind: proto.EventLost, Result: result})
		h.keeper.Runner.Drop(h.vm)
		return true
	}
	if first {
		h.keeper.Log.Info("worker unresponsive", state...)
	}
	h.keeper.count("Keep.HoldFailed")
	return false
}

// workerTime returns a lower bound of the worker's clock. The caller holds the mutex.
func (h *holder) clockNow(now time.Time) time.Duration {
	return h.clock + now.Sub(h.clockAt)
}

// updateClock stores the worker's clock from a response, and reports whether the response
// came from another boot. Some responses don't identify their boot, but a boot's clock
// starts anew and never goes back.
func (h *holder) setClock(clock time.Duration) (otherBoot bool) {
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
