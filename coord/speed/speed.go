// Package speed estimates how long runs take at each worker relative to the usual, from how runs
// compare with the other runs of their phases. It opens no connection, starts no goroutine and reads
// no clock.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSamples bounds the samples of a worker. At one or two runs per second, they are those of
	// about a quarter of a minute.
	maxSamples = 24
	// minSamples is the number of samples from which a worker's factor may differ from that of its kind.
	minSamples = 5
	// sampleTTL is how long a sample counts. A worker that gets no runs for that long counts as usual
	// again, so that one which has recovered is tried again.
	sampleTTL = time.Minute
	// maxLog bounds a sample's log ratio. Runs of seven times the usual length count as such of four
	// times.
	maxLog = 1.4
	// threshold is the log factor from which a worker is slower than usual (1.25), fastThreshold the one
	// from which it is faster (1/1.5): only the slow ones delay the end of jobs. releaseThreshold is the
	// one below which it counts as usual again.
	threshold        = 0.2231
	fastThreshold    = 0.4055
	releaseThreshold = 0.15
	// An estimate must differ from its prior by strictSignificance standard errors. In a region in
	// which unequalShare of the known workers, and at least minUnequal of them, are slower by
	// unequalSignificance standard errors, which chance makes one of 700, workers are known to differ,
	// and that is enough.
	strictSignificance  = 5.0
	unequalSignificance = 3.0
	unequalShare        = 0.03
	minUnequal          = 4
	// A worker's speed has changed if its latest few or some samples differ from the earlier ones by
	// changeSignificance standard errors. The few are fewer than minSamples: they were selected for
	// being unusual, so at least one more has to confirm them.
	recentFew          = 4
	recentSome         = 8
	changeSignificance = 4.0
	// priorWeight is the weight of the prior in samples. It also keeps the factors of a region without
	// usual workers from drifting together.
	priorWeight = 1.0
	// keptAtBoot is the number of samples that a VM keeps when it returns with another boot.
	keptAtBoot = 6
	// The spread is the standard deviation of log ratios at one worker. It begins at initialSpread,
	// follows the samples with spreadWeight and stays above minSpread, since samples of one phase
	// are not independent.
	initialSpread = 0.4
	minSpread     = 0.12
	spreadWeight  = 1.0 / 400
	// meanToDeviation converts a mean absolute deviation into a standard deviation.
	meanToDeviation = 1.2533
	// minKindWorkers is the number of known workers of a kind from which it may serve as the prior.
	minKindWorkers = 6
	// kindInterval is how often the kinds are computed again.
	kindInterval = time.Second
)

// Sample is one comparison of a run with its siblings, the other runs of its phase.
type Sample struct {
	Worker string
	Kind   string
	// Run identifies the run at the worker. A later sample of the same run replaces the earlier one.
	Run uint64
	// Ratio is the run's time relative to that of its siblings, each divided by the factor of its own
	// worker.
	Ratio float64
	At    time.Time
}

// Estimate is what is known of a worker.
type Estimate struct {
	// Factor is how long runs take at the worker relative to the usual.
	Factor float64
	// Samples is the number of runs that the estimate is based on, At the time of the last of them.
	Samples int
	At      time.Time
	// Known is set if the samples suffice for an estimate of the worker itself; otherwise Factor is
	// that of the worker's kind.
	Known bool
}

// Table holds the factors of the workers of a region.
type Table struct {
	workers map[string]*record
	kinds   map[string]float64 // kinds holds the log factors of the kinds that differ from the usual.
	kindsAt time.Time
	spread  float64
	unequal bool // unequal is set while workers are known to differ.
}

// record holds the samples of one worker.
type record struct {
	kind    string
	samples []sample // samples are in the order of their arrival.
	// log is the worker's log factor, own whether it differs from that of its kind.
	log float64
	own bool
}

type sample struct {
	run uint64
	log float64
	at  time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{workers: make(map[string]*record), kinds: make(map[string]float64), spread: initialSpread}
}

// Observe adds a sample. Samples without a positive ratio are ignored.
func (t *Table) Observe(s Sample) {
	if !(s.Ratio > 0) || math.IsInf(s.Ratio, 0) {
		return
	}
	w := t.workers[s.Worker]
	if w == nil {
		w = &record{}
		t.workers[s.Worker] = w
	}
	w.kind = s.Kind
	x := sample{s.Run, clamp(math.Log(s.Ratio), maxLog), s.At}
	i := slices.IndexFunc(w.samples, func(y sample) bool { return y.run == s.Run && s.Run != 0 })
	if i >= 0 {
		w.samples[i] = x
	} else {
		t.updateSpread(w, x.log)
		if len(w.samples) == maxSamples {
			w.samples = slices.Delete(w.samples, 0, 1)
		}
		w.samples = append(w.samples, x)
		t.dropBeforeChange(w)
	}
	t.update(w)
}

// updateSpread counts a new sample's deviation from the worker's samples.
func (t *Table) updateSpread(w *record, log float64) {
	if len(w.samples) < minSamples {
		return
	}
	deviation := math.Abs(log-location(w.samples, t.spread)) * meanToDeviation
	t.spread = max(minSpread, t.spread+spreadWeight*(min(deviation, 3*t.spread)-t.spread))
}

// dropBeforeChange drops the earlier samples of a worker if the latest ones differ from them by more
// than chance explains.
func (t *Table) dropBeforeChange(w *record) {
	for _, recent := range []int{recentFew, recentSome} {
		n := len(w.samples) - recent
		if n < recentFew {
			return
		}
		difference := location(w.samples[n:], t.spread) - location(w.samples[:n], t.spread)
		if math.Abs(difference) > changeSignificance*t.spread*math.Sqrt(1/float64(recent)+1/float64(n)) {
			w.samples = slices.Delete(w.samples, 0, n)
			return
		}
	}
	n := len(w.samples) - recentSome
	if w.own && n > 0 && math.Abs(location(w.samples[n:], t.spread)-t.kinds[w.kind]) < releaseThreshold/2 {
		w.samples = slices.Delete(w.samples, 0, n) // It is as usual again.
	}
}

// update computes a worker's factor.
func (t *Table) update(w *record) {
	prior := t.kinds[w.kind]
	n := float64(len(w.samples))
	if len(w.samples) < minSamples {
		w.log, w.own = prior, false
		return
	}
	measured := location(w.samples, t.spread)
	difference := math.Abs(measured - prior)
	switch {
	case w.own:
		w.own = difference >= releaseThreshold
	default:
		w.own = differs(measured-prior) && difference >= t.significance(measured-prior)*t.spread/math.Sqrt(n)
	}
	w.log = prior
	if w.own {
		w.log = (n*measured + priorWeight*prior) / (n + priorWeight)
		if math.Abs(w.log) < releaseThreshold {
			w.log = 0
		}
	}
}

// significance returns how many standard errors a difference must have.
func (t *Table) significance(difference float64) float64 {
	if t.unequal && difference > 0 {
		return unequalSignificance
	}
	return strictSignificance
}

// differs reports whether a log factor is one of a slower or faster worker.
func differs(log float64) bool {
	return log >= threshold || log <= -fastThreshold
}

// Factor returns how long runs take at a worker relative to the usual.
func (t *Table) Factor(worker, kind string) float64 {
	if w := t.workers[worker]; w != nil && w.kind == kind {
		return exp(w.log)
	}
	return exp(t.kinds[kind])
}

// likelyWeight is the weight of the prior of Likely, in samples: the variance of samples at one worker
// relative to that between workers.
const likelyWeight = 1.5

// Likely returns the most likely factor of a worker: other than Factor also if chance could explain the
// difference, as long as workers are known to differ at all. It suits sums over many runs, while
// decisions need Factor.
func (t *Table) Likely(worker, kind string) float64 {
	w := t.workers[worker]
	if !t.unequal || w == nil || w.own || w.kind != kind || len(w.samples) == 0 {
		return t.Factor(worker, kind)
	}
	n := float64(len(w.samples))
	// The usual workers are the measure, so those that seem faster than usual count as usual.
	return max(1, exp((n*location(w.samples, t.spread)+likelyWeight*t.kinds[kind])/(n+likelyWeight)))
}

// Estimate returns the factor of a worker and how well it is known.
func (t *Table) Estimate(worker, kind string) Estimate {
	out := Estimate{Factor: t.Factor(worker, kind)}
	if w := t.workers[worker]; w != nil && len(w.samples) > 0 {
		out.Samples, out.At = len(w.samples), w.samples[len(w.samples)-1].at
		out.Known = len(w.samples) >= minSamples
	}
	return out
}

// exp returns the factor of a log factor. A log factor of zero gives exactly 1.
func exp(log float64) float64 {
	if log == 0 {
		return 1
	}
	return math.Exp(log)
}

// Rebooted notes that a worker's VM has another boot: all but the latest samples are dropped, so that
// the estimate moves towards the kind and follows new runs soon.
func (t *Table) Rebooted(worker string) {
	if w := t.workers[worker]; w != nil {
		w.samples = slices.Delete(w.samples, 0, max(0, len(w.samples)-keptAtBoot))
		t.update(w)
	}
}

// Refresh drops samples that are too old and computes the kinds again. It is meant to be called
// often, and does nothing until kindInterval has passed. It reports whether it did anything.
func (t *Table) Refresh(now time.Time) bool {
	if !t.kindsAt.IsZero() && now.Sub(t.kindsAt) < kindInterval {
		return false
	}
	t.kindsAt = now
	for id, w := range t.workers {
		w.samples = slices.DeleteFunc(w.samples, func(x sample) bool { return now.Sub(x.at) > sampleTTL })
		if len(w.samples) == 0 {
			delete(t.workers, id)
		}
	}
	t.updateKinds()
	t.updateUnequal()
	for _, w := range t.workers {
		t.update(w)
	}
	return true
}

// updateKinds computes the log factor of each kind: the median of its known workers if it differs
// from 1 by more than the differences between the workers of the kind explain.
func (t *Table) updateKinds() {
	logs := make(map[string][]float64)
	for _, w := range t.workers {
		if len(w.samples) >= minSamples {
			logs[w.kind] = append(logs[w.kind], location(w.samples, t.spread))
		}
	}
	clear(t.kinds)
	if len(logs) < 2 {
		return // There is no other kind to differ from.
	}
	for kind, values := range logs {
		if len(values) < minKindWorkers {
			continue
		}
		slices.Sort(values)
		middle := values[len(values)/2]
		deviation := 0.0
		for _, x := range values {
			deviation += math.Abs(x - middle)
		}
		deviation *= meanToDeviation / float64(len(values))
		if differs(middle) && math.Abs(middle) >= strictSignificance*max(deviation, minSpread)/math.Sqrt(float64(len(values))) {
			t.kinds[kind] = middle * float64(len(values)) / (float64(len(values)) + priorWeight)
		}
	}
}

// updateUnequal determines whether workers are known to differ.
func (t *Table) updateUnequal() {
	known, slower := 0, 0
	for _, w := range t.workers {
		if len(w.samples) < minSamples {
			continue
		}
		known++
		if x := location(w.samples, t.spread) - t.kinds[w.kind]; x >= threshold && x >= unequalSignificance*t.spread/math.Sqrt(float64(len(w.samples))) {
			slower++
		}
	}
	t.unequal = slower >= minUnequal && float64(slower) >= unequalShare*float64(known)
}

// Counts returns the numbers of workers that are known, and of those that are slower than usual.
func (t *Table) Counts() (known, slow int) {
	for _, w := range t.workers {
		if len(w.samples) < minSamples {
			continue
		}
		known++
		if w.log > 0 {
			slow++
		}
	}
	return known, slow
}

// location returns a robust mean of samples: those that are further from the median than two standard
// deviations count as if they were there.
func location(samples []sample, spread float64) float64 {
	var buffer [maxSamples]float64
	logs := buffer[:0]
	for _, x := range samples {
		logs = append(logs, x.log)
	}
	return robustMean(logs, 2*spread)
}

// robustMean returns the mean of values, which it sorts, with each moved to within limit of their
// median.
func robustMean(values []float64, limit float64) float64 {
	slices.SortFunc(values, cmp.Compare[float64])
	n := len(values)
	middle := (values[n/2] + values[(n-1)/2]) / 2
	sum := 0.0
	for _, x := range values {
		sum += clamp(x-middle, limit)
	}
	return middle + sum/float64(n)
}

func clamp(x, limit float64) float64 {
	return max(-limit, min(limit, x))
}
