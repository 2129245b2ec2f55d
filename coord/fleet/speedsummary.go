package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"plantainwinch/coord/speed"
)

const (
	// summaryInterval is the least time between two summaries for the standby.
	summaryInterval = time.Second
	// summaryChange is the relative change of a factor from which it is sent again.
	summaryChange = 0.1
	// maxSpeedChanges bounds the changes that are kept for the log.
	maxSpeedChanges = 32
	// loggedChange is the relative change of a worker's factor from which it is logged.
	loggedChange = 0.2
)

// speedKey identifies a worker of a summary or, with an empty worker, a kind.
type speedKey struct{ worker, kind string }

// SpeedChange is a change of a worker's factor.
type SpeedChange struct {
	Worker, Kind   string
	Before, Factor float64
	// Samples is the number of runs that the factor is based on, Age the age of the last of them.
	Samples int
	Age     time.Duration
}

// noteSpeedChange keeps a change for the log if it is large.
func (p *Planner) noteSpeedChange(w *worker, before float64, e speed.Estimate, now time.Time) {
	logged := w.loggedFactor
	if logged == 0 {
		logged = 1
	}
	if len(p.speeds.changes) >= maxSpeedChanges || e.Factor != 1 && math.Abs(e.Factor/logged-1) < loggedChange || e.Factor == logged {
		return
	}
	w.loggedFactor = e.Factor
	x := SpeedChange{Worker: w.vm.ID, Kind: w.vm.Kind(), Before: before, Factor: e.Factor, Samples: e.Samples}
	if !e.At.IsZero() {
		x.Age = now.Sub(e.At)
	}
	p.speeds.changes = append(p.speeds.changes, x)
}

// SpeedChanges returns the changes of workers' factors since the last call, at most maxSpeedChanges.
func (p *Planner) SpeedChanges() []SpeedChange {
	out := p.speeds.changes
	p.speeds.changes = nil
	return out
}

// Speeds returns the kinds and the workers of unusual speed.
func (p *Planner) Speeds(now time.Time) []speed.Entry {
	return p.speeds.table.Summary(now)
}

// SpeedSummary returns what a standby has to know of the speeds of workers, and whether there is
// anything to send: all of it if full is set, otherwise, at most once per second, what has changed by
// more than summaryChange since it was last returned. A factor of 1 says that a worker or a kind no
// longer differs.
func (p *Planner) SpeedSummary(full bool, now time.Time) ([]speed.Entry, bool) {
	if full {
		clear(p.speeds.sent)
	} else if now.Sub(p.speeds.sentAt) < summaryInterval {
		return nil, false
	}
	p.speeds.sentAt = now
	if !p.Policy.Speeds {
		return nil, full
	}
	var out []speed.Entry
	listed := make(map[speedKey]bool)
	for _, e := range p.Speeds(now) {
		key := speedKey{e.Worker, e.Kind}
		listed[key] = true
		if sent, ok := p.speeds.sent[key]; !ok || math.Abs(e.Factor/sent-1) > summaryChange {
			p.speeds.sent[key] = e.Factor
			out = append(out, e)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(p.speeds.sent), compareSpeedKeys) {
		if !listed[key] {
			delete(p.speeds.sent, key)
			out = append(out, speed.Entry{Worker: key.worker, Kind: key.kind, Factor: 1})
		}
	}
	return out, full || len(out) > 0
}

func compareSpeedKeys(a, b speedKey) int {
	return cmp.Or(cmp.Compare(a.worker, b.worker), cmp.Compare(a.kind, b.kind))
}

// RestoreSpeeds starts from what an earlier planner's summaries, received at the given time, say of the
// speeds of workers.
func (p *Planner) RestoreSpeeds(entries []speed.Entry, received time.Time) {
	if !p.Policy.Speeds {
		return
	}
	p.speeds.table.Restore(entries, received)
	for _, w := range p.workers {
		p.updateSpeed(w, received)
	}
}

// SpeedStats describes the speeds of workers for metrics.
type SpeedStats struct {
	Known, Slow int
	// Factors holds the factors of the known workers.
	Factors []float64
}

// SpeedStats returns how many workers have a known speed, and their factors.
func (p *Planner) SpeedStats() SpeedStats {
	var out SpeedStats
	for _, w := range p.byID {
		e := p.speeds.table.Estimate(w.vm.ID, w.vm.Kind())
		if !e.Known {
			continue
		}
		out.Known++
		if p.factor(w) > 1 {
			out.Slow++
		}
		out.Factors = append(out.Factors, p.factor(w))
	}
	return out
}
