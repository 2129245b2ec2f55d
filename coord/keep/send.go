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
func (h *holder) sendOrders(ctx context.Context) {
	for {
		c, ok := h.orders.next(ctx)
		if !ok {
			return
		}
		h.execute(ctx, c)
	}
}

// execute sends an order to the worker.
func (h *holder) execute(ctx context.Context, c queuedOrder) {
	switch c.Kind {
	case proto.OrderStart:
		h.start(ctx, c)
	case proto.OrderStop:
		h.stopUntilResponse(ctx, runKey{c.Task, c.Run}, false)
	case proto.OrderThrottle:
		h.throttle(ctx, c)
	}
}

// throttle sets the percentage of a run. The planner orders a percentage once, so an order without a response is
// queued again, unless the run has ended or another percentage was ordered since.
func (h *holder) throttle(ctx context.Context, c queuedOrder) {
	callCtx, cancel := duty.WithTimeout(ctx, h.callTimeout())
	defer cancel()
	if isResponse(h.keeper.Client.Throttle(callCtx, h.vm, h.token, c.Task, c.Run, c.Percent)) {
		return
	}
	h.keeper.count("Keep.PaceFailed")
	duty.Sleep(ctx, retryDelay)
	h.mu.Lock()
	r := h.runs[runKey{c.Task, c.Run}]
	wanted := r != nil && r.orderedPercent == c.Percent
	h.mu.Unlock()
	if wanted {
		h.orders.retry(c)
	}
}

// start sends a start to the worker and reports its result to the planner. A start without a
// response is stopped, so that its effect becomes known.
func (h *holder) start(ctx context.Context, c queuedOrder) {
	key := runKey{c.Task, c.Run}
	now := time.Now()
	if k := h.keeper; k.Evacuated != nil && k.Evacuated(h.vm.Domain) {
		k.count("Keep.Evacuated")
		k.Log.Info("start not sent: the worker's failure domain is evacuated", zap.String("job", c.Task.Job), zap.Any("task", c.Task),
			zap.Uint64("run", c.Run), zap.String("worker", h.vm.ID), zap.String("domain", h.vm.Domain))
		h.reportNotStarted(c.Order)
		return
	}
	if now.Sub(c.at) > startTimeout { // The planner decided by what was known when the order was queued.
		h.reportNotStarted(c.Order)
		return
	}
	until, ok := h.prepareStart(key, now)
	if !ok {
		h.reportNotStarted(c.Order)
		return
	}
	// A pause of this process counts: nextBootExpiry bounds how late a start may be sent.
	callCtx, cancel := context.WithTimeout(ctx, h.callTimeout())
	defer cancel()
	result, clock := h.keeper.Client.Start(callCtx, h.vm, winch.StartRequest{
		Token: h.token, Task: c.Task, Run: c.Run, Command: c.command,
		Checkpoint: c.Checkpoint, Ticket: c.Ticket, Until: until,
	})
	if result != winch.StartRefused || clock > 0 { // A start that is refused without a response was not sent.
		h.recordOrder(now, result != winch.StartUncertain)
	}
	err := h.checkBoot(ctx, clock)
	if errors.Is(err, winch.ErrOtherBoot) || err == nil && h.updateClock(now, clock) {
		h.keeper.Log.Info("another boot of the worker responded to a start", zap.String("job", c.Task.Job), zap.Any("task", c.Task),
			zap.Uint64("run", c.Run), zap.String("worker", h.vm.ID), zap.Int64("born", h.vm.Born), zap.Stringer("result", result))
		h.stopAtOtherBoot(ctx, key)
		return
	}
	if err != nil {
		result = winch.StartUncertain
	}
	switch result {
	case winch.StartOK:
		h.confirm(key, false, proto.KeeperEvent{Kind: proto.EventStarted, Task: c.Task, Run: c.Run})
	case winch.StartUncertain:
		h.keeper.Log.Info("no response to a start, stopping the run", zap.String("job", c.Task.Job),
			zap.Any("task", c.Task), zap.Uint64("run", c.Run), zap.String("worker", h.vm.ID))
		h.stopUntilResponse(ctx, key, true)
	case winch.StartOtherBoot:
		h.emit(proto.KeeperEvent{Kind: proto.EventLost, Result: winch.StartOtherBoot})
		h.cancel()
	default:
		h.keeper.Log.Info("worker refused a start", zap.String("job", c.Task.Job), zap.Any("task", c.Task), zap.Uint64("run", c.Run),
			zap.String("worker", h.vm.ID), zap.Stringer("reason", result))
		h.mu.Lock()
		delete(h.runs, key)
		h.addEvents(proto.KeeperEvent{Kind: proto.EventNotStarted, Task: c.Task, Run: c.Run, Result: result})
		h.mu.Unlock()
		h.keeper.collectEvents(h)
	}
}

// recordOrder records whether an order got a response, and its round-trip time.
func (h *holder) recordOrder(sent time.Time, ok bool) {
	h.recordCall(ok)
	if ok {
		h.keeper.roundTrips.observe(time.Since(sent))
	}
}

// stopAtOtherBoot stops a run that was started by another boot of the worker under the
// same ID. The planner knows nothing of that boot. It will restart all tasks of the intended
// boot elsewhere, so this task would otherwise run twice.
func (h *holder) stopAtOtherBoot(ctx context.Context, key runKey) {
	h.stopUntilResponse(ctx, key, true)
	h.emit(proto.KeeperEvent{Kind: proto.EventLost, Result: winch.StartOtherBoot})
	h.cancel()
}

// stopUnlisted stops the runs that the worker has not listed, after another boot has responded: their starts may have
// reached that boot, or still reach it, while the planner restarts all tasks of the intended one elsewhere. If that boot
// does not respond any more, they wait until its leases have expired.
func (h *holder) stopUnlisted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*h.keeper.Lease)
	defer cancel()
	h.mu.Lock()
	h.renewalAllowed = false // No further start is sent.
	var pending []runKey
	for key, r := range h.runs {
		if !r.listed {
			pending = append(pending, key)
		}
	}
	h.mu.Unlock()
	for _, key := range pending {
		h.stopUntilResponse(ctx, key, true)
	}
}

// prepareStart records a start that is about to be sent and returns until when the worker
// accepts it. A start extends the lease at the worker, so none is sent to a worker that
// doesn't respond to holds, or without the planner's authority: its tasks would run on after
// it counts as lost.
func (h *holder) prepareStart(key runKey, now time.Time) (time.Duration, bool) {
	timeout := min(startTimeout, h.keeper.authorityLeft())
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.renewalAllowed || timeout <= 0 {
		return 0, false
	}
	h.runs[key] = &runState{sentAt: now}
	h.ownExpiry = later(h.ownExpiry, now.Add(ExpiryBound(timeout)))
	return h.workerTime(now) + timeout, true
}

// confirm records that the worker has responded to an order about a run, and reports events;
// startUncertain says that the run's start got no response.
func (h *holder) confirm(key runKey, startUncertain bool, events ...proto.KeeperEvent) {
	h.mu.Lock()
	if r := h.runs[key]; r != nil {
		r.confirmedAt = time.Now()
		r.startUncertain = startUncertain
	} else if h.listed {
		// Its completion was already listed, or the run belongs to an earlier session and
		// was not listed in this one. Before the first lists its state is unknown: they may
		// contain its completion, which must be reported to the planner first.
		h.addEvents(proto.KeeperEvent{Kind: proto.EventVanished, Task: key.task, Run: key.run})
	}
	h.addEvents(events...)
	h.mu.Unlock()
	h.keeper.collectEvents(h)
}

// stopUntilResponse stops a run and retries until the worker has responded. After the
// response the worker refuses a start of the run that is still in flight, so the next lists
// show definitively whether it was started.
func (h *holder) stopUntilResponse(ctx context.Context, key runKey, startUncertain bool) {
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := duty.WithTimeout(ctx, h.callTimeout())
		err := h.keeper.Client.Stop(callCtx, h.vm, h.token, key.task, key.run)
		cancel()
		h.recordOrder(sent, isResponse(err))
		switch {
		case err == nil:
			h.confirm(key, startUncertain)
			if startUncertain {
				h.requestLists(ctx) // The task can't be placed again until it is known whether the run had begun.
			}
			return
		case errors.Is(err, winch.ErrFenced), errors.Is(err, winch.ErrOtherBoot):
			return // The next hold fails likewise and reports it.
		}
		h.keeper.count("Keep.StopFailed")
		duty.Sleep(ctx, retryDelay)
	}
}
