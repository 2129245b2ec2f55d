package trial

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// The load is that of an exercise runner on a quiet day, with 30 % slow workers and over half of the
// capacity free. Urgent tasks on slow workers make their jobs late, and their restarts waste work. With
// the speeds known, urgent jobs must be on time without delaying the batch jobs.
func TestUrgentJobsAreOnTimeWithSlowWorkers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	with := queueOutcome(t, "uneven", "lookup")
	is.True(with.OnTime >= 0.9)
	is.True(with.OnTime >= queueOutcome(t, "uneven", "lookup", "Speeds").OnTime+0.15)
	is.True(queueOutcome(t, "uneven", "batch").OnTime >= 0.98)
	off, err := winch.DefaultPolicy().Without("Speeds")
	is.NoErr(err)
	is.True(2*outcomeOf("uneven", winch.DefaultPolicy()).Restarted < outcomeOf("uneven", off).Restarted)
}

// Late jobs must be counted as their callers see them: by the objective of healthy workers, not of the
// slow ones that the jobs ran on. Each task of a job runs on another worker and few workers are allowed,
// so that slow ones have to be used. Without the speeds, most of the late jobs are not counted.
func TestLateJobsAreCountedAsCallersSeeThem(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := unevenPattern(Patterns()[0], "uneven", "", 0.3)
	p.Length = patternLength
	p.AllowedShare = map[string]float64{queueUrgent.Name: 0.15, queueBatch.Name: 0.35}
	for i := range p.Streams {
		if p.Streams[i].Queue == queueUrgent.Name {
			p.Streams[i].MostPerVM = 1
		}
	}
	count := func(policy winch.Policy) (callers, planner float64) {
		for seed := range uint64(3) {
			r := play(p, policy, seed, nil)
			for _, e := range r.completed {
				if e.Queue != queueUrgent.Name {
					continue
				}
				if e.Took > p.objective(r.jobs[e.Job]) {
					callers++
				}
				if e.Took > e.Objective {
					planner++
				}
			}
		}
		return callers, planner
	}
	callers, planner := count(winch.DefaultPolicy())
	is.True(callers > 60)
	is.True(math.Abs(planner/callers-1) <= 0.15)
	off, err := winch.DefaultPolicy().Without("Speeds")
	is.NoErr(err)
	callers, planner = count(off)
	is.True(planner < callers/2)
}

// A region in which all workers are equally fast must decide exactly as without the speeds: the same
// orders and advice requests in the same order, although tasks of one phase differ by 0.3 and
// estimates by 0.9.
func TestEqualWorkersChangeNoDecision(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	decisions := func(without ...string) []string {
		p := unevenPattern(Patterns()[0], "even", "", 0)
		p.Length = patternLength
		policy := winch.DefaultPolicy()
		for _, name := range without {
			var err error
			policy, err = policy.Without(name)
			is.NoErr(err)
		}
		var out []string
		play(p, policy, 1, func(decision any) { out = append(out, fmt.Sprintf("%+v", decision)) })
		return out
	}
	with := decisions()
	is.True(len(with) > 1000)
	is.Equal(with, decisions("Speeds"))
}

// Workers become slow, one after the other, and recover. That must be recognized within seconds, so that
// more urgent jobs are on time than without the speeds, while the batch jobs still end in time.
func TestWorkersThatBecomeSlowAreRecognized(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(queueOutcome(t, "slowdown", "lookup").OnTime >= queueOutcome(t, "slowdown", "lookup", "Speeds").OnTime+0.1)
	is.True(queueOutcome(t, "slowdown", "batch").Within >= 0.99)
}
