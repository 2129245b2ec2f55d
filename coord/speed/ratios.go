package speed

import (
	"math"
	"time"
)

const (
	// minSiblings is the number of siblings from which a run is compared with them.
	minSiblings = 2
	// siblingLimit bounds by how much a sibling's log time may differ from the median of its phase.
	siblingLimit = 0.7
)

// Run is one run of a phase, as input to Ratios.
type Run struct {
	// Took is how long the run took, or would take by its progress.
	Took time.Duration
	// Factor is the factor of the run's worker.
	Factor float64
}

// Ratios returns the ratio of each run's time to the time that its siblings took after division by
// the factors of their workers, or nil if there are too few runs. All runs must be given: a run that
// ends late compared only with those that ended before it would seem slow.
func Ratios(runs []Run) []float64 {
	if len(runs) <= minSiblings {
		return nil
	}
	logs := make([]float64, 0, len(runs))
	for _, r := range runs {
		logs = append(logs, math.Log(max(r.Took, time.Millisecond).Seconds()/r.Factor))
	}
	sorted := append([]float64(nil), logs...)
	middle := robustMean(sorted, 0)
	sum := 0.0
	for i, x := range logs {
		logs[i] = middle + clamp(x-middle, siblingLimit)
		sum += logs[i]
	}
	out := make([]float64, 0, len(runs))
	for i, r := range runs {
		siblings := (sum - logs[i]) / float64(len(runs)-1)
		out = append(out, max(r.Took, time.Millisecond).Seconds()/math.Exp(siblings))
	}
	return out
}
