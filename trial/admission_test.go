package trial

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against refusals that cost more than they bring: at twice the capacity for eight seconds, with
// callers that come back, about as many urgent jobs must be on time and end while their callers wait as
// without refusals, and all batch jobs must end in time.
func TestRefusalsInOverloadCostNoJobs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	with, without := queueOutcome(t, "twice-capacity", "lookup"), queueOutcome(t, "twice-capacity", "lookup", "Admit")
	t.Logf("with: on time %.3f, within %.3f, refused %d, abandoned %d", with.OnTime, with.Within, with.Refused, with.Abandoned)
	t.Logf("without: on time %.3f, within %.3f, refused %d, abandoned %d", without.OnTime, without.Within, without.Refused, without.Abandoned)
	is.Equal(without.Refused, 0)
	is.True(with.OnTime >= without.OnTime-0.03)
	is.True(with.Within >= without.Within-0.03)
	is.True(queueOutcome(t, "twice-capacity", "batch").Within >= 0.99)
}

// Guards against refusals in a region with capacity to spare: with and without the mechanism the outcomes
// must be the same.
func TestNothingChangesWithCapacityToSpare(t *testing.T) {
	t.Parallel()
	for _, x := range [][2]string{{"lanes", "lookup"}, {"lanes", "small"}, {"shrinks", "lookup"}, {"unheard", "lookup"}, {"unheard", "batch"}} {
		is := is.New(t)
		is.Equal(queueOutcome(t, x[0], x[1]), queueOutcome(t, x[0], x[1], "Admit"))
	}
}
