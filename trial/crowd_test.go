package trial

import (
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// crowdOutcomes caches the outcomes of whole patterns by pattern and policy.
var crowdOutcomes sync.Map

// batchOutcome returns the outcome of the batch queue of a whole pattern, and that of the pattern.
func batchOutcome(t *testing.T, pattern string, policy winch.Policy) (QueueOutcome, Outcome) {
	t.Helper()
	type key struct {
		pattern string
		policy  winch.Policy
	}
	i := slices.IndexFunc(Patterns(), func(p Pattern) bool { return p.Name == pattern })
	play, _ := crowdOutcomes.LoadOrStore(key{pattern, policy}, sync.OnceValue(func() Outcome { return Play(Patterns()[i], policy, 1) }))
	out := play.(func() Outcome)()
	j := slices.IndexFunc(out.Queues, func(q QueueOutcome) bool { return q.Queue == "batch" })
	return out.Queues[j], out
}

// Guards against an order under which fewer jobs are on time in a full region than by slack alone, or
// less value is earned, for all teams or for the worst tenth of them. The worst tenth are two teams of
// some twenty jobs, so a difference of a hundredth says nothing.
func TestOrdersServeFullRegionBetterThanSlackAlone(t *testing.T) {
	t.Parallel()
	for _, pattern := range []string{"hot-crowd", "mixed-overload"} {
		off, err := winch.DefaultPolicy().Without("FairShares")
		is.New(t).NoErr(err)
		for _, o := range winch.Orders() {
			t.Run(pattern+"/"+string(o), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				policy := winch.DefaultPolicy()
				policy.Order = o
				before, all := batchOutcome(t, pattern, off)
				after, fair := batchOutcome(t, pattern, policy)
				t.Logf("on time %.3f to %.3f, within three objectives %.3f to %.3f, value %.3f to %.3f, worst teams %.3f to %.3f",
					before.OnTime, after.OnTime, before.Within, after.Within, all.Value, fair.Value, all.WorstTeams(), fair.WorstTeams())
				is.True(after.OnTime > before.OnTime+0.1)
				is.True(fair.Value > all.Value)
				is.True(fair.WorstTeams() > all.WorstTeams()-0.01)
				if o == winch.DefaultPolicy().Order {
					is.True(fair.WorstTeams() > all.WorstTeams())
				}
			})
		}
	}
}

// Guards against large jobs being served less than half as often as the queue as a whole by the default
// order, since small jobs are worth more for their work.
func TestLargeJobsAreServedInOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	q, _ := batchOutcome(t, "mixed-overload", winch.DefaultPolicy())
	is.True(q.Sizes.Largest >= q.Sizes.All/2)
	is.True(q.Sizes.Large >= q.Sizes.All/2)
}

// Guards against the pattern with a hot team not being one: with the usual rates, all jobs are on time.
func TestCrowdIsServedWithoutHotTeam(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := Pattern{Name: "crowd", Length: patternLength}
	p.crowd(10, 1)
	out := Play(p, winch.DefaultPolicy(), 1)
	for _, q := range out.Queues {
		is.True(q.OnTime >= 0.99)
	}
	is.True(out.WorstTeams() >= 0.95)
}
