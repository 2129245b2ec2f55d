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

// renewLoop sends holds to the worker until the worker's lease is guaranteed to have expired, the
// worker knows a newer token, another boot responds, or the assignment ends.
func (h *holder) renewLoop(ctx context.Context) {
	failures := 0 // failures counts the failed holds in a row.
	for ctx.Err() == nil {
		if h.keeper.authorityLeft() <= 0 {
			// No lease may be renewed without the planner's authority. A new planner
			// sends new assignments.
			duty.Sleep(ctx, retryDelay)
			continue
		}
		sent := time.Now()
		resp, err := h.sendHold(ctx, sent)
		if ctx.Err() != nil {
			return
		}
		if err == nil && h.updateClock(sent, resp.Clock) {
			err = winch.ErrOtherBoot
		}
		if err == nil {
			failures = 0
			h.handleResponse(sent, resp)
			h.waitForRenewal(ctx)
			h.waitForRecording(ctx)
			continue
		}
		if h.shouldRetry(err) {
			continue
		}
		if errors.Is(err, winch.ErrOtherBoot) {
			h.stopUnlisted(ctx)
		}
		if h.handleFailure(err) {
			return
		}
		failures++
		h.waitForRetry(ctx, failures)
	}
}

// waitForRetry waits before the next hold at an unresponsive worker: longer with each failure, but not
// beyond the expiry of its lease, and not once another worker of its failure domain responds again.
func (h *holder) waitForRetry(ctx context.Context, failures int) {
	delay := min(retryDelay<<min(failures-1, maxRetryDoublings), maxRetryDelay)
	h.mu.Lock()
	if left := time.Until(h.leaseExpiry()); left > 0 {
		delay = min(delay, left+time.Millisecond)
	}
	h.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.keeper.domainBack(h.vm.Domain):
	}
}

// maxRetryDoublings bounds how often retryDelay is doubled.
const maxRetryDoublings = 5

// domainBack returns a channel that is closed when an unresponsive worker of a failure domain responds
// again: the domain may have been partitioned, and then all its workers respond again.
func (k *Keeper) domainBack(domain string) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.back[domain] == nil {
		k.back[domain] = make(chan struct{})
	}
	return k.back[domain]
}

// notifyDomainBack wakes the holders that wait for a failure domain.
func (k *Keeper) notifyDomainBack(domain string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if ch := k.back[domain]; ch != nil {
		close(ch)
		delete(k.back, domain)
	}
}

// shouldRetry reports whether the hold is to be retried once before the worker counts as
// unresponsive. A lost response says nothing about the worker, and an unresponsive worker
// gets no work until the planner and the standby know that it responds again.
func (h *holder) shouldRetry(err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if isResponse(err) || h.unresponsive || h.retrying || !h.listed {
		return false
	}
	h.retrying = true
	return true
}

// waitForRecording waits until all reported completions are recorded, or until a timeout.
func (h *holder) waitForRecording(ctx context.Context) {
	duty.Sleep(ctx, holdDelay)
	h.mu.Lock()
	behind := h.recordedUpTo < h.lastCompletion
	h.mu.Unlock()
	if !behind {
		return
	}
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.completionsRecorded:
	}
}

// sendHold sends a hold, which renews the lease if that is allowed, and returns the response.
func (h *holder) sendHold(ctx context.Context, sent time.Time) (winch.HoldResponse, error) {
	call := winch.HoldRequest{Token: h.token}
	lease := min(h.keeper.Lease, h.keeper.authorityLeft())
	h.mu.Lock()
	if h.recordedUpTo > h.forgottenUpTo {
		call.Forget = h.recordedUpTo
	}
	if h.listed {
		call.Wait = holdWait
		if h.reportOften {
			call.Wait = frequentHoldWait
		}
		if h.renewalAllowed && !h.closed && !h.retrying {
			h.leaseUntil = h.workerTime(sent) + lease
			h.ownExpiry = later(h.ownExpiry, sent.Add(ExpiryBound(lease)))
		} else {
			call.Wait = min(call.Wait, noRenewalHoldWait)
		}
		call.Until = h.leaseUntil
	}
	if h.unresponsive || h.retrying {
		// Another boot may respond under the same ID, which the client can't refuse if the worker does not say
		// when its boot began, or if a relay holds connections through a restart. It numbers its completions from
		// the start again, so a Forget meant for the previous boot would make it drop completions that nobody has
		// seen, and a limit on the previous boot's clock may mean its longest lease. The call therefore carries
		// neither, and no Wait, to learn at once which boot responds.
		call.Forget, call.Until, call.Wait = 0, 0, 0
	}
	if h.keeper.roundTrips.lossy() && len(h.runs) > 0 {
		call.Wait = min(call.Wait, lossyHoldWait)
	}
	limit := call.Wait + h.keeper.roundTrips.timeout(h.failedCalls)
	if !h.renewalAllowed {
		// The call must not last much beyond the lease expiry: the worker's work waits
		// until the worker counts as lost.
		limit = min(limit, max(time.Until(h.leaseExpiry()), minExpiryTimeout))
	}
	h.mu.Unlock()
	callCtx, cancel := duty.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := h.keeper.Client.Hold(callCtx, h.vm, call)
	h.recordCall(isResponse(err))
	if err == nil {
		h.mu.Lock()
		h.forgottenUpTo = max(h.forgottenUpTo, call.Forget)
		h.mu.Unlock()
	}
	if err == nil && call.Wait == 0 {
		h.keeper.roundTrips.observe(time.Since(sent))
	}
	return resp, err
}

// requestLists requests the worker's lists at once, in parallel to the hold that waits for a
// completion. It does not renew the lease.
func (h *holder) requestLists(ctx context.Context) {
	h.mu.Lock()
	ok := h.listed && !h.unresponsive && !h.retrying
	h.mu.Unlock()
	if !ok {
		return // The next hold is sent without a wait.
	}
	sent := time.Now()
	callCtx, cancel := duty.WithTimeout(ctx, h.callTimeout())
	defer cancel()
	resp, err := h.keeper.Client.Hold(callCtx, h.vm, winch.HoldRequest{Token: h.token})
	if err != nil || ctx.Err() != nil || h.updateClock(sent, resp.Clock) {
		return // The pending hold handles the failure.
	}
	h.handleResponse(sent, resp)
}

// handleFailure marks the worker as unresponsive after a failed hold and reports whether
// the failure ends its assignment.
func (h *holder) handleFailure(err error) bool {
	h.mu.Lock()
	first := !h.unresponsive
	if first {
		h.unresponsivePeriods++
	}
	h.unresponsive, h.renewalAllowed, h.retrying = true, false, false
	left, nextBootLeft := time.Until(h.leaseExpiry()), time.Until(h.nextBootExpiry())
	expired := left <= 0
	state := h.logFields(err)
	if first {
		h.addEvents(proto.KeeperEvent{Kind: proto.EventUnresponsive, Left: max(0, left)})
	}
	h.mu.Unlock()
	h.keeper.collectEvents(h)
	switch {
	case errors.Is(err, winch.ErrFenced):
		h.keeper.Log.Info("worker has a newer fencing token, assignment ended", state...)
		h.mu.Lock()
		h.fenced = true
		h.mu.Unlock()
		h.emit(proto.KeeperEvent{Kind: proto.EventFenced})
		return true
	case errors.Is(err, winch.ErrOtherBoot), expired:
		h.keeper.Log.Info("worker lost, assignment ended", append(state, zap.Bool("lapsed", expired))...)
		lost := proto.KeeperEvent{Kind: proto.EventLost, Result: winch.StartOtherBoot}
		if expired {
			lost.Result, lost.Left = winch.StartUncertain, max(0, nextBootLeft)
		}
		h.emit(lost)
		h.keeper.Client.Disconnect(h.vm)
		return true
	}
	if first {
		h.keeper.Log.Info("worker unresponsive", state...)
	}
	h.keeper.count("Keep.HoldFailed")
	return false
}

// workerTime returns a lower bound of the worker's clock. The caller holds the mutex.
func (h *holder) workerTime(now time.Time) time.Duration {
	return h.workerClock + now.Sub(h.clockReadAt)
}

// clockTolerance is how far a worker's clock may be ahead of what is expected before its boot is checked.
const clockTolerance = time.Second

// clockAhead reports whether a worker's clock shows a time that its boot can't have reached yet. The caller holds the mutex.
func (h *holder) clockAhead(clock time.Duration) bool {
	return !h.clockReadAt.IsZero() && clock > h.latestClock()+clockTolerance
}

// latestClock returns the latest time that the worker's clock can show now. The caller holds the mutex.
func (h *holder) latestClock() time.Duration {
	return h.workerClock + elapsed(h.clockReadAt, time.Now())
}

// checkBoot sends a hold that changes nothing if the clock in the response to an order, which does not name its boot, is ahead of
// what the intended one can show. It returns winch.ErrOtherBoot if another boot responds. Without that, limits on the other
// boot's clock would be sent, and it would accept starts.
func (h *holder) checkBoot(ctx context.Context, clock time.Duration) error {
	h.mu.Lock()
	ahead := h.clockAhead(clock)
	h.mu.Unlock()
	if !ahead {
		return nil
	}
	ctx, cancel := duty.WithTimeout(ctx, h.callTimeout())
	defer cancel()
	_, err := h.keeper.Client.Hold(ctx, h.vm, winch.HoldRequest{Token: h.token})
	return err
}

// updateClock stores the worker's clock from the response to a call that was sent at the given time, and reports whether
// the response came from another boot. Some responses don't identify their boot, but a boot's clock never goes back; that of
// another boot may show any time. A call that was sent before the newest reading was received may have been carried out before it.
func (h *holder) updateClock(sent time.Time, clock time.Duration) (otherBoot bool) {
	if clock <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	overlap := max(0, elapsed(sent, h.clockReadAt))
	if clock < h.workerClock-overlap-time.Duration(maxClockDrift*float64(overlap))-clockResolution {
		return true
	}
	if h.clockAhead(clock) {
		h.keeper.count("Keep.ClockAhead")
		h.keeper.Log.Warn("worker's clock is ahead of what its boot can show", zap.String("worker", h.vm.ID), zap.Int64("born", h.vm.Born),
			zap.Duration("clock", clock), zap.Duration("expected", h.latestClock()))
	}
	if clock > h.workerClock {
		h.workerClock, h.clockReadAt = clock, time.Now()
	}
	return false
}

// elapsed returns how much time may have passed from one moment to a later one. The monotonic clock stands still while the
// VM is suspended, and the time of day may be set.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
