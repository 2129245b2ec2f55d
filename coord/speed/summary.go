package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Entry is what a summary says of a kind, or of a worker that differs from its kind.
type Entry struct {
	Worker  string // Worker is empty if the entry describes a kind.
	Kind    string
	Factor  float64
	Samples int
	// Age is how long ago the last sample was taken.
	Age time.Duration
}

// Summary returns the kinds that differ from the usual and the workers that differ from their kind,
// in the order of their names.
func (t *Table) Summary(now time.Time) []Entry {
	var out []Entry
	for kind, log := range t.kinds {
		out = append(out, Entry{Kind: kind, Factor: exp(log), Age: now.Sub(t.kindsAt)})
	}
	for id, w := range t.workers {
		if w.own && len(w.samples) >= minSamples {
			out = append(out, Entry{Worker: id, Kind: w.kind, Factor: exp(w.log), Samples: len(w.samples), Age: now.Sub(w.samples[len(w.samples)-1].at)})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Kind, b.Kind)) })
	return out
}

// restoredSamples is the number of samples that a worker of a summary starts with: enough to use the
// factor, and few enough that new runs soon outweigh it.
const restoredSamples = 8

// Restore starts from the summary of another planner, received at the given time. Workers with samples
// of their own and entries that are too old or not valid are left out.
func (t *Table) Restore(entries []Entry, received time.Time) {
	for _, e := range entries {
		log := math.Log(e.Factor)
		if math.IsNaN(log) || math.IsInf(log, 0) || e.Age < 0 || e.Age > sampleTTL {
			continue
		}
		log = clamp(log, maxLog)
		if e.Worker == "" {
			t.kinds[e.Kind] = log
			continue
		}
		if t.workers[e.Worker] != nil || e.Samples < minSamples {
			continue
		}
		w := &record{kind: e.Kind, log: log, own: true}
		for range min(e.Samples, restoredSamples) {
			w.samples = append(w.samples, sample{log: log, at: received.Add(-e.Age)})
		}
		t.workers[e.Worker] = w
	}
	t.kindsAt = received
}
