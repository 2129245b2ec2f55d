package region

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/coord/speed"
	"plantainwinch/proto"
)

const (
	// speedReportInterval is how often the speeds of workers are logged and measured.
	speedReportInterval = time.Second
	// speedsLifetime is how long after the planner's last message its standby may use the speeds: what a
	// worker did a minute ago says little about it.
	speedsLifetime = time.Minute
)

// speedKey identifies a worker or, with an empty worker, a kind of workers.
type speedKey struct{ worker, kind string }

// changedSpeeds returns what a message to the standby says of the speeds of workers.
func (l *leadership) changedSpeeds(full bool) []proto.MirrorSpeed {
	entries, ok := l.planner.SpeedSummary(full, time.Now())
	if !ok {
		return nil
	}
	out := make([]proto.MirrorSpeed, 0, len(entries))
	for _, e := range entries {
		out = append(out, proto.MirrorSpeed{
			Worker: e.Worker, Kind: e.Kind, Percent: int(math.Round(100 * e.Factor)), Samples: e.Samples, Age: e.Age.Round(time.Millisecond),
		})
	}
	return out
}

// applySpeeds applies what a message says of the speeds of workers. The caller holds the mutex.
func (m *mirror) applySpeeds(list []proto.MirrorSpeed) {
	for _, e := range list {
		key := speedKey{e.Worker, e.Kind}
		if e.Samples == 0 && e.Percent == 100 {
			delete(m.speeds, key)
			continue
		}
		m.speeds[key] = speed.Entry{Worker: e.Worker, Kind: e.Kind, Factor: float64(e.Percent) / 100, Samples: e.Samples, Age: e.Age}
	}
}

// listSpeeds returns the speeds known as standby, unless they are too old. The caller holds the mutex.
func (m *mirror) listSpeeds() []speed.Entry {
	if time.Since(m.speedsAt) > speedsLifetime {
		return nil
	}
	return slices.SortedFunc(maps.Values(m.speeds), func(a, b speed.Entry) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Kind, b.Kind))
	})
}

// inheritSpeeds starts from the speeds that this entry knew as standby. Without them the planner learns
// them anew.
func (l *leadership) inheritSpeeds(c mirrorCopy) {
	if len(c.speeds) == 0 {
		return
	}
	l.planner.RestoreSpeeds(c.speeds, c.speedsAt)
	l.node.Log.Info("worker speeds inherited", zap.Int("entries", len(c.speeds)), zap.Duration("age", time.Since(c.speedsAt)))
}

// reportSpeeds logs the workers whose speed has changed, and measures the speeds.
func (l *leadership) reportSpeeds() {
	if time.Since(l.speedsReportedAt) < speedReportInterval {
		return
	}
	l.speedsReportedAt = time.Now()
	for _, x := range l.planner.SpeedChanges() {
		l.node.Log.Info("worker speed changed", zap.String("worker", x.Worker), zap.String("kind", x.Kind),
			zap.Float64("factor", x.Factor), zap.Float64("before", x.Before), zap.Int("samples", x.Samples), zap.Duration("age", x.Age))
	}
	stats := l.planner.SpeedStats()
	reg := l.node.Metrics
	metrics.GetOrRegisterGauge("Planner.Speed.Known", reg).Update(int64(stats.Known))
	metrics.GetOrRegisterGauge("Planner.Speed.Slow", reg).Update(int64(stats.Slow))
	factors := histogram(reg, "Planner.Speed.FactorPercent")
	for _, f := range stats.Factors {
		factors.Update(int64(math.Round(100 * f)))
	}
}
