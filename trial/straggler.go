package trial

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"plantainwinch/winch"
)

// Stragglers describes why runs take longer than others of their phase. The zero value means that they do
// not.
type Stragglers struct {
	// Factors are the factors by which work takes longer at workers: the i-th worker of a service has the
	// i-th one, and the list is repeated.
	Factors []float64
	// LagFraction is the fraction of runs that lag: they take LagFactor times as long, wherever they run,
	// while another run of the same task probably does not.
	LagFraction, LagFactor float64
}

// factorOf returns the factor of a service's i-th worker.
func (s Stragglers) factorOf(i int) float64 {
	if len(s.Factors) == 0 {
		return 1
	}
	return s.Factors[i%len(s.Factors)]
}

// lag draws the factor by which the n-th run of a task lags. It depends on nothing else, so that the same runs
// lag under each policy.
func (s Stragglers) lag(task winch.RunID, n int) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, task.Job, "/", task.Phase, "/", task.Index, "/", n) // It never fails.
	if s.LagFraction > 0 && rand.New(rand.NewPCG(h.Sum64(), 1)).Float64() < s.LagFraction {
		return s.LagFactor
	}
	return 1
}

// CopyReport sums up the copies of straggling runs.
type CopyReport struct {
	Started, Won int
	// Gained sums the time by which tasks ended earlier, Used the run time of all copies.
	Gained, Used time.Duration
	// Violations counts the starts beside another run of the task where the phase does not permit that, or
	// beside two others.
	Violations int
}

// String returns the report as one line.
func (c CopyReport) String() string {
	return fmt.Sprintf("%d copies, %d of them ended first, %s gained, %s run by copies; %d starts beside runs that do not permit them",
		c.Started, c.Won, c.Gained.Round(100*time.Millisecond), c.Used.Round(100*time.Millisecond), c.Violations)
}

// overlaps counts the current runs of each task.
type overlaps map[winch.RunID]int

// runTimeAt returns how long a run takes that starts at a worker now with the given work.
func (r *simRegion) runTimeAt(w *workerState, task winch.RunID, work time.Duration) time.Duration {
	r.starts[task]++
	return time.Duration(r.pattern.Stragglers.lag(task, r.starts[task]) * float64(w.runTime(r.now, work)))
}

// noteOverlap counts a start and whether it was permitted.
func (r *simRegion) noteOverlap(task winch.RunID) {
	limit := 1
	if r.jobs[task.Job].job.Phases[task.Phase].Copies {
		limit = 2
	}
	r.overlaps[task]++
	if r.overlaps[task] > limit {
		r.copies.Violations++
	}
}

// countCopies adds the copies that have ended to the report.
func (r *simRegion) countCopies() {
	r.copies.Started += len(r.planner.CopyStarts())
	for _, e := range r.planner.CopyEnds() {
		r.copies.Used += e.Age
		if e.Won {
			r.copies.Won++
			r.copies.Gained += e.Gain
		}
	}
}

// withCopies returns the stream with all its phases permitting copies.
func (s Stream) withCopies() Stream {
	s.Copies = true
	return s
}

// withLongJobs returns the stream with the given fraction of its jobs taking seven times as long as estimated.
func (s Stream) withLongJobs(fraction float64) Stream {
	s.LongFraction = fraction
	return s
}

// longFactor is the factor by which the run times of long jobs exceed those of others.
const longFactor = 7

// drawLength draws the factor by which the work of a job of the stream is longer.
func (s Stream) drawLength(rnd *rand.Rand) float64 {
	if s.LongFraction > 0 && rnd.Float64() < s.LongFraction {
		return longFactor
	}
	return 1
}
