package trial

import (
	"testing"

	"github.com/matryer/is"

	"plantainwinch/coord/place"
)

// With the same arrivals on a small domain, the planner must start more of the urgent tasks in time
// than the baseline, at little cost in deferred work. One seed must always give the same result.
func TestPlannerIsBetterThanBaseline(t *testing.T) {
	is := is.New(t)
	f := Fleets()[0]
	f.Length /= 2
	base := Run(f, 1, place.Packing, true)
	planner := Run(f, 1, place.Packing, false)
	is.True(planner.Met > base.Met)
	is.True(planner.Done*10 > base.Done*8) // preempted runs lose their work
	again := Run(f, 1, place.Packing, false)
	is.Equal(again.Met, planner.Met)
	is.Equal(again.Decisions, planner.Decisions)
}
