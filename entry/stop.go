package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"plantainwinch/coord/quota"
	"plantainwinch/winch"
)

// stopPollInterval is the interval at which Stop checks whether calls are still in progress.
const stopPollInterval = 20 * time.Millisecond

// Ready reports whether the load balancer should send callers to this entry.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && !e.draining.Load() && e.config.Get() != nil
}

// Stop performs a planned stop that interrupts no request: the entry is no longer ready, hands over its executors and
// its office, waits until all calls have ended and returns its units. Calls that are still in progress at the drain
// timeout are answered with an unknown outcome.
func (e *Entry) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Timing.Drain)
	defer cancel()
	e.Log.Info("entry stopping", zap.String("Entry", e.Name()))
	e.draining.Store(true)
	e.members.Leave(ctx)
	e.updateHomes(ctx)
	_ = e.table.Close(ctx, winch.RefuseFor(winch.Stopping, "the executor's home entry is stopping", time.Second))
	e.office.Leave(ctx)
	sleep(ctx, e.Settings.Timing.Ready)
	e.stopping.Store(true)
	for e.inProgress.Load() > 0 {
		if !sleep(ctx, stopPollInterval) {
			e.Log.Warn("drain timeout reached; calls still in progress are answered with an unknown outcome", zap.Int64("Running", e.inProgress.Load()))
			e.endDrain()
			return
		}
	}
	e.returnUnits(ctx)
	e.Log.Info("entry stopped", zap.String("Entry", e.Name()))
}

// returnUnits returns the units to the pool unless work started with them may still be running.
func (e *Entry) returnUnits(ctx context.Context) {
	use, err := e.units.Usage(ctx)
	if err != nil {
		return
	}
	for _, n := range use {
		if n[0] > 0 {
			return // The planner reclaims the units once the maximum run time has passed.
		}
	}
	_ = quota.Reclaim(ctx, e.Store, []string{e.holderName()})
}
