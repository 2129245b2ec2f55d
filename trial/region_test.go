package trial

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// patternLength is long enough for the first burst of each pattern and its aftermath.
const patternLength = 30 * time.Second

// outcomes caches the outcomes by pattern and policy, since several tests check the queues of one.
var outcomes sync.Map

// outcomeOf returns the outcome of a pattern under a policy. It simulates each combination once.
func outcomeOf(pattern string, policy winch.Policy) Outcome {
	type key struct {
		pattern string
		policy  winch.Policy
	}
	simulate := func() Outcome {
		for _, p := range Patterns() {
			if p.Name == pattern {
				p.Length = patternLength
				return Play(p, policy, 1)
			}
		}
		return Outcome{}
	}
	out, _ := outcomes.LoadOrStore(key{pattern, policy}, sync.OnceValue(simulate))
	return out.(func() Outcome)()
}

// queueOutcome returns the outcome of one queue of a pattern, with some mechanisms switched off.
func queueOutcome(t *testing.T, pattern, queue string, without ...string) QueueOutcome {
	t.Helper()
	policy := winch.DefaultPolicy()
	for _, name := range without {
		var err error
		if policy, err = policy.Without(name); err != nil {
			t.Fatal(err)
		}
	}
	for _, q := range outcomeOf(pattern, policy).Queues {
		if q.Queue == queue {
			return q
		}
	}
	t.Fatalf("no queue %s in pattern %s", queue, pattern)
	return QueueOutcome{}
}

// Small tasks must not starve gangs. They do if they take every accelerator that becomes free, so
// that no worker is ever wholly free for a gang.
func TestSmallTasksDoNotStarveGangs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	with := queueOutcome(t, "gangs", "gang")
	is.True(with.Within >= 0.97)
	is.True(queueOutcome(t, "gangs", "gang", "Reserve").OnTime < with.OnTime)
	// The order of shares puts gangs that wait beside begun work, so that all of them end in time even
	// without reservations. By slack alone, some do not.
	is.True(queueOutcome(t, "gangs", "gang", "FairShares", "Reserve").Within < queueOutcome(t, "gangs", "gang", "FairShares").Within)
	is.True(queueOutcome(t, "gangs", "gang", "AskAll").OnTime < with.OnTime)
}

// The load of advice requests is close to the capacity of the lanes. Urgent requests must not wait
// behind slow ones, and slow ones must not be sent again for the same phase.
func TestUrgentAdviceRequestsAreServedWithFewLanes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(queueOutcome(t, "lanes", "lookup").OnTime >= 0.95)
	small := queueOutcome(t, "lanes", "small")
	is.True(small.OnTime >= 0.99)
	is.True(queueOutcome(t, "lanes", "small", "AskAll").P50 > small.P50)
}

// A team that submits five times its share must not delay the jobs of the other teams.
func TestTeamAboveItsShareDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(queueOutcome(t, "hot-team", "batch").Within >= 0.99)
	is.True(queueOutcome(t, "hot-team", "lookup", "UrgentRoom").OnTime < queueOutcome(t, "hot-team", "lookup").OnTime)
}

// Jobs that miss their objective in an overload must still complete soon after it, instead of
// waiting until their callers have given up.
func TestLateJobsCompleteAfterOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	gangs := queueOutcome(t, "overload", "gang")
	is.True(gangs.Within >= 0.98)
	// While shares bind, work that can be on time goes before late work, so what LastCall adds is seen
	// by slack alone. More gangs must be on time in return.
	bySlack := queueOutcome(t, "overload", "gang", "FairShares")
	is.True(queueOutcome(t, "overload", "gang", "FairShares", "LastCall").Lateness > bySlack.Lateness)
	is.True(gangs.OnTime > bySlack.OnTime)
}

// A burst arrives at a large region whose planner runs on a slow VM. If the cost of a decision grows
// with the backlog, decisions come later and later, and the backlog grows although workers are free.
func TestSlowPlannerClearsBurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(queueOutcome(t, "slow-planner", "lookup").Within >= 0.97)
	is.True(queueOutcome(t, "slow-planner", "batch").Within >= 0.97)
}

// Jobs of the lookup queue must be on time while some responses are lost for ten seconds.
func TestLookupsAreOnTimeWhileResponsesAreLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(queueOutcome(t, "unheard", "lookup").OnTime >= 0.95)
}

// Bursts of short urgent tasks must be on time although long batch tasks fill the workers.
func TestBurstsAreServedWhileBatchesFillWorkers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(queueOutcome(t, "bursts", "lookup").OnTime >= 0.95)
	is.True(queueOutcome(t, "bursts", "batch").Within >= 0.99)
}

// Long batch tasks that save their progress fill a region when a burst of urgent jobs arrives. The
// urgent jobs must not wait until the batch tasks end. What evictions take from the batch jobs must
// be small: a tenth of the capacity at most, and hardly any job misses its objective because of it.
func TestBurstIsServedWhileLongTasksHoldCapacity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	off, err := winch.DefaultPolicy().Without("Evict")
	is.NoErr(err)
	with, without := outcomeOf("held", winch.DefaultPolicy()), outcomeOf("held", off)
	is.True(queueOutcome(t, "held", "lookup").OnTime >= queueOutcome(t, "held", "lookup", "Evict").OnTime+0.1)
	is.True(queueOutcome(t, "held", "lookup").Within >= 0.99)
	is.True(queueOutcome(t, "held", "batch").OnTime >= queueOutcome(t, "held", "batch", "Evict").OnTime-0.05)
	is.True(with.Evicted > 100)
	capacity := float64(smallWorkers.Workers) * float64(smallWorkers.Room.Milli) / 1000
	is.True(with.EvictionLost.Seconds() <= 0.1*capacity*patternLength.Seconds())
	is.Equal(without.Evicted, int64(0))
}

// Some jobs crash their workers; other workers crash on their own, one at a time and eight at once.
// The crashes under each task must be bounded, and no other job may fail. Without the mechanism
// Isolate other jobs do fail, since a crash then counts against every task on the worker.
func TestOnlyJobsThatCrashWorkersFail(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	with := outcomeOf("crashes", winch.DefaultPolicy())
	is.True(with.Harm.GivenUp > 0)
	is.True(with.Harm.Most <= 5)
	is.Equal(with.Harm.Wronged, 0)
	is.True(queueOutcome(t, "crashes", "batch").Within >= 0.99)
	off, err := winch.DefaultPolicy().Without("Isolate")
	is.NoErr(err)
	is.True(outcomeOf("crashes", off).Harm.Wronged > 0)
}

// The capacity of some workers is reduced for a while. Starts must not exceed the reduced capacity.
func TestStartsFitReducedCapacity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(outcomeOf("shrinks", winch.DefaultPolicy()).Harm.Over, 0)
	is.True(queueOutcome(t, "shrinks", "lookup").OnTime >= 0.95)
}

// The pattern is a third of the workers that is evacuated and returns empty and cold, three times. New work
// must not all go there, where it takes three times as long, while other workers have capacity.
func TestColdWorkersGetWorkLast(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	off, err := winch.DefaultPolicy().Without("WarmFirst")
	is.NoErr(err)
	with, without := 0.0, 0.0
	for _, q := range outcomeOf("returns", winch.DefaultPolicy()).Queues {
		with += q.OnTime
		is.True(q.Within >= 0.99)
	}
	for _, q := range outcomeOf("returns", off).Queues {
		without += q.OnTime
	}
	is.True(with >= without+0.02)
}

// Two simulations with one seed must not differ, since outcomes could not be compared otherwise.
func TestSameSeedGivesSameOutcome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := Patterns()[2]
	p.Length = 20 * time.Second
	is.Equal(Play(p, winch.DefaultPolicy(), 1), Play(p, winch.DefaultPolicy(), 1))
}

// Plot must write an SVG file named after the pattern and the disabled mechanisms.
func TestPlotIsWritten(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	out := Outcome{Pattern: "gangs", Without: []string{"Reserve"}, Queues: []QueueOutcome{{Queue: "gang", Jobs: 2, Ratios: []float64{0.5, 5}}}}
	is.NoErr(Plot(folder, []Outcome{out}))
	data, err := os.ReadFile(filepath.Join(folder, "gangs-without-Reserve.svg"))
	is.NoErr(err)
	is.True(strings.Contains(string(data), "<svg"))
}
