package trial

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// playStragglers plays the pattern of stragglers after a change of it.
func playStragglers(seed uint64, policy winch.Policy, change func(*Pattern)) Outcome {
	for _, p := range Patterns() {
		if p.Name == "stragglers" {
			p.Length = patternLength
			change(&p)
			return Play(p, policy, seed)
		}
	}
	return Outcome{}
}

func withoutCopies(is *is.I) winch.Policy {
	off, err := winch.DefaultPolicy().Without("Copies")
	is.NoErr(err)
	return off
}

// A phase must not wait for a run that lags, or that is on a slow worker, while other workers are free.
func TestStragglersAreCopied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	onTime, ratio := make(map[bool]float64), make(map[bool]float64) // By whether copies are started; ratio is that of the batch jobs.
	const seeds = 3
	for seed := range uint64(seeds) {
		for on, policy := range map[bool]winch.Policy{true: winch.DefaultPolicy(), false: withoutCopies(is)} {
			out := playStragglers(seed, policy, func(*Pattern) {})
			is.Equal(out.Copies.Violations, 0)
			is.True(!on || 4*out.Copies.Won > 3*out.Copies.Started)
			for _, q := range out.Queues {
				if q.Queue == "lookup" {
					onTime[on] += q.OnTime / seeds
					continue
				}
				for _, x := range q.Ratios {
					ratio[on] += x / float64(seeds*len(q.Ratios))
				}
			}
		}
	}
	is.True(onTime[true] >= onTime[false]+0.03)
	is.True(ratio[true] < 0.95*ratio[false])
}

// A job whose tasks are all long, on any worker, gains nothing from copies: its long runs are no stragglers.
func TestLongJobsAreNotCopied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	out := playStragglers(1, winch.DefaultPolicy(), func(p *Pattern) {
		p.Stragglers = Stragglers{}
		p.Streams = []Stream{lookupStream(9).withCopies().withLongJobs(0.2)}
	})
	is.True(out.Queues[0].Jobs > 200)
	is.True(out.Copies.Started <= out.Queues[0].Jobs/50)
}

// Guards against copies that take the capacity that other work needs: on full workers, jobs must not be later
// than without copies.
func TestCopiesDoNotDelayWorkOnFullWorkers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	full := func(p *Pattern) {
		p.Streams = []Stream{lookupStream(8).withCopies(), batchStream(2.2).withCopies()}
	}
	lateness := func(policy winch.Policy) (sum time.Duration) {
		for seed := range uint64(3) {
			for _, q := range playStragglers(seed, policy, full).Queues {
				sum += q.Lateness
			}
		}
		return sum
	}
	with, without := lateness(winch.DefaultPolicy()), lateness(withoutCopies(is))
	is.True(with <= without+without/10)
}

// Where no phase permits copies, the outcome must be exactly that without the mechanism.
func TestOutcomeWithoutPermittedCopiesIsUnchanged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, name := range []string{"bursts", "crashes"} {
		is.Equal(outcomeOf(name, winch.DefaultPolicy()), outcomeOf(name, withoutCopies(is)))
	}
}
