package speed

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// begin is an arbitrary time.
var begin = time.Date(2026, 5, 18, 20, 0, 0, 0, time.UTC)

// simFleet runs phases on workers of given speeds and feeds a table with them.
type simFleet struct {
	rnd     *rand.Rand
	table   *Table
	speeds  []float64
	kinds   []string
	runs    uint64
	now     time.Time
	spread  float64 // spread is the standard deviation of the log run times of one phase.
	longJob float64 // longJob is the share of phases whose tasks take seven times as long.
	outlier float64 // outlier is the share of tasks that take seven times as long as their siblings.
}

func newFleet(seed uint64, speeds []float64) *simFleet {
	return &simFleet{rnd: rand.New(rand.NewPCG(seed, 3)), table: New(), speeds: speeds, kinds: make([]string, len(speeds)), now: begin, spread: 0.3}
}

func worker(i int) string { return "w" + strconv.Itoa(i) }

// runPhases runs phases of ten tasks, so many that each worker gets one run per second in the mean.
func (f *simFleet) runPhases(length time.Duration) {
	n := int(length.Seconds() * float64(len(f.speeds)) / 10)
	for range n {
		f.now = f.now.Add(length / time.Duration(n))
		f.table.Refresh(f.now)
		f.runPhase()
	}
}

func (f *simFleet) runPhase() {
	base := 850 * time.Millisecond
	if f.rnd.Float64() < f.longJob {
		base *= 7
	}
	var runs []Run
	var at []int
	for range 10 {
		i := f.rnd.IntN(len(f.speeds))
		factor := math.Exp(f.rnd.NormFloat64()*f.spread) * f.speeds[i]
		if f.rnd.Float64() < f.outlier {
			factor *= 7
		}
		runs = append(runs, Run{time.Duration(float64(base) * factor), f.table.Factor(worker(i), f.kinds[i])})
		at = append(at, i)
	}
	for k, ratio := range Ratios(runs) {
		f.runs++
		f.table.Observe(Sample{Worker: worker(at[k]), Kind: f.kinds[at[k]], Run: f.runs, Ratio: ratio, At: f.now})
	}
}

// uneven returns the speeds of a fleet of which 30 % is slow.
func uneven(rnd *rand.Rand, n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 0.8 + 0.19*rnd.Float64()
		if i%10 < 3 {
			out[i] = 1.46 + 0.54*rnd.Float64()
		}
	}
	return out
}

// Workers whose speeds differ by a few percent must all count as exactly usual, although their runs
// differ by a third and some phases take seven times as long.
func TestEqualWorkersHaveFactorOne(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		speeds := make([]float64, 350)
		rnd := rand.New(rand.NewPCG(seed, 1))
		for i := range speeds {
			speeds[i] = 0.97 + 0.07*rnd.Float64()
		}
		f := newFleet(seed, speeds)
		f.longJob = 0.03
		for range 60 {
			f.runPhases(time.Second)
			for i := range speeds {
				is.Equal(f.table.Factor(worker(i), ""), 1.0)
			}
		}
	}
}

// A few tasks that take seven times as long as their siblings must not make their workers slow.
func TestOutliersDoNotMakeWorkersSlow(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, make([]float64, 350))
	for i := range f.speeds {
		f.speeds[i] = 1
	}
	f.outlier = 0.02
	f.runPhases(time.Minute)
	for i := range f.speeds {
		is.Equal(f.table.Factor(worker(i), ""), 1.0)
	}
}

// Of a fleet with 30 % slow workers, nearly all of these must be recognized after a dozen runs each, and
// hardly any usual worker may count as slow.
func TestSlowWorkersAreRecognized(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFleet(seed, uneven(rand.New(rand.NewPCG(seed, 1)), 350))
		f.runPhases(12 * time.Second)
		slow, recognized, mistaken, deviation := 0, 0, 0, 0.0
		for i, speed := range f.speeds {
			factor := f.table.Factor(worker(i), "")
			if speed < 1.2 {
				if factor > 1 {
					mistaken++
				}
				continue
			}
			slow++
			if factor > 1 {
				recognized++
				deviation += math.Abs(math.Log(factor / (speed / 0.9))) // 0.9 is the mean of the usual workers.
			}
		}
		is.True(mistaken <= 3)
		is.True(deviation <= 0.2*float64(recognized))
		is.True(float64(recognized) >= 0.9*float64(slow))
	}
}

// Kinds of which each has the same share of slow workers say nothing about a worker that has not run.
func TestKindIsNoPriorUnlessRunsShowIt(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, uneven(rand.New(rand.NewPCG(1, 1)), 350))
	for i := range f.kinds {
		f.kinds[i] = string(rune('a' + i%7%2))
	}
	f.runPhases(20 * time.Second)
	is.Equal(f.table.Factor("new", "a"), 1.0)
	is.Equal(f.table.Factor("new", "b"), 1.0)
}

// A new worker of a kind whose workers are slow must not be taken for usual until it has run.
func TestKindIsThePriorOfNewWorkers(t *testing.T) {
	is := is.New(t)
	speeds := make([]float64, 100)
	f := newFleet(1, speeds)
	for i := range speeds {
		speeds[i], f.kinds[i] = 1, "a"
		if i < 25 {
			speeds[i], f.kinds[i] = 1.8, "b"
		}
	}
	f.runPhases(20 * time.Second)
	is.Equal(f.table.Factor("new", "a"), 1.0)
	factor := f.table.Factor("new", "b")
	is.True(factor > 1.5 && factor < 2.1)
	is.True(!f.table.Estimate("new", "b").Known)
	for i := range uint64(12) {
		f.table.Observe(Sample{Worker: "new", Kind: "b", Run: i + 1, Ratio: 1, At: f.now})
	}
	is.Equal(f.table.Factor("new", "b"), 1.0) // what it runs itself outweighs its kind
}

// The likely factors of equal workers must be exactly 1 as well, those of slow workers must not stay at 1
// while their own runs are few, and usual ones must not seem fast.
func TestLikelyFactorFollowsFewRuns(t *testing.T) {
	is := is.New(t)
	equal := newFleet(1, make([]float64, 100))
	for i := range equal.speeds {
		equal.speeds[i] = 1
	}
	equal.runPhases(20 * time.Second)
	for i := range equal.speeds {
		is.Equal(equal.table.Likely(worker(i), ""), 1.0)
	}
	f := newFleet(1, uneven(rand.New(rand.NewPCG(1, 1)), 100))
	f.runPhases(20 * time.Second)
	for i := range f.speeds {
		is.True(f.table.Likely(worker(i), "") >= 1)
	}
	observe(f.table, f.now, 1_000_000, 3, 1.5)
	is.Equal(f.table.Factor("w", ""), 1.0)
	likely := f.table.Likely("w", "")
	is.True(likely > 1.2 && likely < 1.5)
}

// observe adds n samples of the same ratio, with run numbers from first on.
func observe(t *Table, at time.Time, first, n int, ratio float64) {
	for i := range n {
		t.Observe(Sample{Worker: "w", Run: uint64(first + i), Ratio: ratio, At: at})
	}
}

// A worker that becomes slow, or recovers, must be recognized within a few runs, however many runs
// it had before.
func TestChangeOfSpeedIsRecognizedWithinSomeRuns(t *testing.T) {
	is := is.New(t)
	x := New()
	observe(x, begin, 1, 100, 1)
	observe(x, begin, 101, 9, 1.8)
	is.True(x.Factor("w", "") > 1.5)
	observe(x, begin, 201, 9, 1)
	is.Equal(x.Factor("w", ""), 1.0)
}

// Progress of an active run must count once, however often it is reported.
func TestSamplesOfOneRunCountOnce(t *testing.T) {
	is := is.New(t)
	x := New()
	for range 50 {
		x.Observe(Sample{Worker: "w", Run: 7, Ratio: 3, At: begin})
	}
	is.Equal(x.Estimate("w", ""), Estimate{Factor: 1, Samples: 1, At: begin})
}

// A worker that gets no runs because it was slow must be tried again some time.
func TestOldSamplesAreDropped(t *testing.T) {
	is := is.New(t)
	x := New()
	observe(x, begin, 1, 20, 1.8)
	is.True(x.Refresh(begin.Add(sampleTTL)))
	is.True(x.Factor("w", "") > 1.5)
	is.True(x.Refresh(begin.Add(sampleTTL + time.Second)))
	is.Equal(x.Factor("w", ""), 1.0)
	known, slow := x.Counts()
	is.Equal(known+slow, 0)
}

// A VM that returns with another boot keeps its factor, which a few runs can then change.
func TestRebootedWorkerStartsFromWhatIsKnown(t *testing.T) {
	is := is.New(t)
	x := New()
	observe(x, begin, 1, 24, 1.8)
	before := x.Factor("w", "")
	x.Rebooted("w")
	after := x.Factor("w", "")
	is.True(after > 1.4 && after < before)
	observe(x, begin, 101, 9, 1)
	is.Equal(x.Factor("w", ""), 1.0)
}

// A planner that takes over must start from the summary, and give up what its own runs contradict.
func TestSummaryIsRestored(t *testing.T) {
	is := is.New(t)
	x := New()
	observe(x, begin, 1, 24, 1.8)
	now := begin.Add(5 * time.Second)
	summary := x.Summary(now)
	is.Equal(len(summary), 1)
	next := New()
	next.Restore(summary, now)
	is.Equal(next.Factor("w", ""), x.Factor("w", ""))
	observe(next, now, 101, 10, 1)
	is.Equal(next.Factor("w", ""), 1.0)
}

// Entries that no planner would send must not change anything.
func TestInvalidSummaryIsIgnored(t *testing.T) {
	is := is.New(t)
	x := New()
	x.Restore([]Entry{
		{Worker: "a", Factor: 0, Samples: 9},
		{Worker: "b", Factor: math.NaN(), Samples: 9},
		{Worker: "c", Factor: 2, Samples: 9, Age: 2 * sampleTTL},
		{Worker: "d", Factor: 2, Samples: 1},
		{Worker: "e", Factor: -2, Samples: 9},
		{Worker: "f", Factor: 2, Samples: 9, Age: -time.Second},
	}, begin)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		is.Equal(x.Factor(id, ""), 1.0)
	}
	x.Observe(Sample{Worker: "a", Ratio: math.NaN(), At: begin})
	x.Observe(Sample{Worker: "a", Ratio: -1, At: begin})
	x.Observe(Sample{Worker: "a", Ratio: math.Inf(1), At: begin})
	is.Equal(x.Estimate("a", ""), Estimate{Factor: 1})
}

// Runs of phases with fewer than three tasks have too few siblings to be compared with.
func TestRatiosNeedSiblings(t *testing.T) {
	is := is.New(t)
	is.Equal(Ratios([]Run{{time.Second, 1}, {time.Second, 1}}), nil)
	is.Equal(Ratios(nil), nil)
	ratios := Ratios([]Run{{time.Second, 1}, {2 * time.Second, 2}, {time.Second, 1}})
	is.True(math.Abs(ratios[0]-1) < 1e-9)
	is.True(math.Abs(ratios[1]-2) < 1e-9)
}
