package fleet

import (
	"testing"

	"github.com/matryer/is"

	"plantainwinch/proto"
)

// Guards against the end of a wide job that stops all its runs in one step, and against runs that are left when it is
// done in several.
func TestRunsOfAWideJobAreStoppedInParts(t *testing.T) {
	is := is.New(t)
	p := roomyPlanner(48)
	const count = 5*maxStops + 7
	addPhased(p, "large", "mix", smallTasks(count))
	addPhased(p, "other", "mix", smallTasks(20))
	is.Equal(len(startAll(p)), count+20)
	p.Cancel("large")
	p.Cancel("other")
	stops := make(map[proto.Order]bool)
	for steps := 0; ; steps++ {
		is.True(steps < 10)
		orders := p.Orders()
		is.True(len(orders) <= maxStops+1)
		for _, o := range orders {
			is.Equal(o.Kind, proto.OrderStop)
			stops[o] = true
		}
		if steps > 0 && !p.Unfinished() {
			break
		}
		p.Schedule()
	}
	is.Equal(len(stops), count+20)
}
