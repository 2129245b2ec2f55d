package region

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/duty"
)

const (
	// busyCheckInterval is how often the planner is checked for a step that takes long.
	busyCheckInterval = 50 * time.Millisecond
	// longStep is how long one step of the planner may take before it is logged: during a step it
	// sends nothing, and after maxPlannerSilence its standby replaces it.
	longStep = maxPlannerSilence / 2
)

// runBusyMonitor logs the steps of the planner's goroutine that take long, also those that do not end.
func (l *leadership) runBusyMonitor(ctx context.Context) {
	longest := metrics.GetOrRegisterGauge("Planner.LongestStep.Milliseconds", l.node.Metrics)
	longest.Update(0)
	reported := uint64(0)
	for ctx.Err() == nil {
		duty.Sleep(ctx, busyCheckInterval)
		step, took := l.duty.Busy()
		longest.Update(max(longest.Value(), took.Milliseconds()))
		if took < longStep || step == reported {
			continue
		}
		reported = step
		l.node.Log.Info("planner busy with one step", zap.Uint64("term", l.term), zap.Bool("deciding", l.deciding.Load()), zap.Duration("since", took))
	}
}

// logLongDecision logs a decision that took long.
func (l *leadership) logLongDecision(orders int) {
	if l.decisionTime >= longStep {
		l.node.Log.Info("long decision", zap.Uint64("term", l.term), zap.Duration("took", l.decisionTime), zap.Int("orders", orders))
	}
}
