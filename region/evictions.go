package region

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Metrics of evictions.
const (
	metricEvictions    = "Planner.Evictions"            // runs stopped for urgent work
	metricEvictionLost = "Planner.Evictions.LostMillis" // processor-milliseconds lost by their stops
)

// logEvictions logs and counts the runs that the last decisions stopped for urgent work.
func (l *leadership) logEvictions() {
	for _, e := range l.planner.Evictions() {
		metrics.GetOrRegisterCounter(metricEvictions, l.node.Metrics).Inc(1)
		l.node.Log.Info("run evicted", zap.String("job", e.Task.Job), zap.Int("phase", e.Task.Phase), zap.Int("index", e.Task.Index),
			zap.Uint64("run", e.Run), zap.String("worker", e.Worker), zap.String("for", e.For.Job), zap.Bool("forecast", e.For.Job == ""),
			zap.Duration("loss", e.AtRisk), zap.Duration("slack", e.Slack), zap.Duration("remaining", e.Remaining), zap.Int("stops", e.Stops),
			zap.Duration("stop", e.Stop), zap.Duration("progressAge", e.ProgressAge))
	}
	if lost := l.planner.EvictionLost(); lost > l.evictionLost {
		metrics.GetOrRegisterCounter(metricEvictionLost, l.node.Metrics).Inc(lost.Milliseconds() - l.evictionLost.Milliseconds())
		l.evictionLost = lost
	}
}
