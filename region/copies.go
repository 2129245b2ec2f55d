package region

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/winch"
)

// maxCopyLines bounds the log lines about copies of one decision.
const maxCopyLines = 20

// reportCopies logs and counts the copies of straggling runs that were started, and those that have ended.
func (l *leadership) reportCopies() {
	n := l.node
	lines := maxCopyLines
	for _, c := range l.planner.CopyStarts() {
		metrics.GetOrRegisterCounter("Planner.Copies.Started", n.Metrics).Inc(1)
		if lines--; lines < 0 {
			continue
		}
		n.Log.Info("copy started", append(taskFields(c.Task), zap.Uint64("run", c.Run), zap.Uint64("of", c.Of),
			zap.String("worker", c.Worker), zap.String("ofWorker", c.OfWorker), zap.Duration("ofEnds", c.OfEnd),
			zap.Duration("ends", c.ExpectedEnd), zap.Duration("progressAge", c.ProgressAge))...)
	}
	for _, c := range l.planner.CopyEnds() {
		result := "Planner.Copies.Lost"
		if c.Won {
			result = "Planner.Copies.Won"
			histogram(n.Metrics, "Planner.Copies.GainMillis").Update(c.Gain.Milliseconds())
		}
		metrics.GetOrRegisterCounter(result, n.Metrics).Inc(1)
		if lines--; lines < 0 {
			continue
		}
		n.Log.Info("copy ended", append(taskFields(c.Task), zap.Uint64("run", c.Run), zap.String("worker", c.Worker),
			zap.Bool("won", c.Won), zap.Duration("gain", c.Gain), zap.Duration("lived", c.Age))...)
	}
}

// taskFields returns the log fields that identify a task.
func taskFields(id winch.RunID) []zap.Field {
	out := []zap.Field{zap.String("job", id.Job), zap.Int("phase", id.Phase), zap.Int("index", id.Index)}
	if id.K > 0 {
		out = append(out, zap.Int("k", id.K))
	}
	return out
}
