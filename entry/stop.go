package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"plantainwinch/coord/quota"
	"plantainwinch/winch"
)

// stopPoll is the pause between two looks at what still runs.
const stopPoll = 20 * time.Millisecond

// Ready reports whether the balancer should send callers here.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && !e.draining.Load() && e.held.Get() != nil
}

// Stop ends the entry as planned, without cutting a request short: it stops
// being ready, hands its executors and its office over, lets what runs end and
// gives its units back. Calls that still run after the drain time are answered
// as unknown.
func (e *Entry) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Timing.Drain)
	defer cancel()
	e.Log.Info("stopping", zap.String("Entry", e.Name()))
	e.draining.Store(true)
	e.members.Leave(ctx)
	e.settleHomes(ctx)
	_ = e.table.Close(ctx, winch.RefuseFor(winch.Stopping, "the executor's home entry is stopping", time.Second))
	e.office.Leave(ctx)
	wait(ctx, e.Settings.Timing.Ready)
	e.stopping.Store(true)
	for e.running.Load() > 0 {
		if !wait(ctx, stopPoll) {
			e.Log.Warn("drain time is over", zap.Int64("Running", e.running.Load()))
			e.expire()
			return
		}
	}
	e.leaveUnits(ctx)
	e.Log.Info("stopped", zap.String("Entry", e.Name()))
}

// leaveUnits gives the units back unless work started with them may still run.
func (e *Entry) leaveUnits(ctx context.Context) {
	use, err := e.units.Usage(ctx)
	if err != nil {
		return
	}
	for _, n := range use {
		if n[0] > 0 {
			return // The placer reclaims the row once the longest run time has passed.
		}
	}
	_ = quota.Reclaim(ctx, e.Store, []string{e.holderName()})
}
