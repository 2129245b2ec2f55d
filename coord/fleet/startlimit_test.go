package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// decide makes one decision, confirms its starts and returns their number by job.
func decide(p *Planner) (starts map[string]int, total int) {
	p.Schedule()
	starts = make(map[string]int)
	for _, o := range p.Orders() {
		if o.Kind == proto.OrderStart {
			starts[o.Task.Job]++
			total++
			p.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
		}
	}
	return starts, total
}

// Guards against a decision that starts so many tasks that the planner is taken for lost meanwhile.
func TestDecisionStartsABoundedNumberOfTasks(t *testing.T) {
	is := is.New(t)
	p := roomyPlanner(48)
	const count = 5000
	addPhased(p, "large", "mix", smallTasks(count))
	begun, decisions := 0, 0
	for begun < count {
		_, n := decide(p)
		is.True(n > 0)
		is.True(n <= maxStarts)
		begun += n
		decisions++
		is.Equal(p.Unfinished(), begun < count) // the rest is started without waiting for an event
	}
	is.True(decisions <= 2*count/maxStarts)
}

// Guards against wide phases that rank first and keep the phases behind them from being started until
// all their own tasks are.
func TestWidePhasesDoNotKeepOthersWaiting(t *testing.T) {
	for _, wide := range []int{1, 3, 10} {
		t.Run(fmt.Sprint(wide), func(t *testing.T) {
			is := is.New(t)
			p := roomyPlanner(48)
			for i := range wide {
				addPhased(p, fmt.Sprintf("large%d", i), "preview", smallTasks(9000))
			}
			for i := range 20 {
				addPhased(p, fmt.Sprintf("small%d", i), "mix", smallTasks(2))
			}
			waiting := 40
			for range 12 {
				starts, _ := decide(p)
				for id, n := range starts {
					if id[:5] == "small" {
						waiting -= n
					}
				}
			}
			is.True(p.Unfinished()) // the wide phases still have tasks to start
			is.Equal(waiting, 0)
		})
	}
}

// Guards against a wide phase whose start goes on in further decisions and delays urgent work that is submitted
// meanwhile.
func TestUrgentWorkStartsWhileAWidePhaseIsBeingStarted(t *testing.T) {
	is := is.New(t)
	p := roomyPlanner(48)
	addPhased(p, "large", "mix", smallTasks(9000))
	decide(p)
	addPhased(p, "urgent", "preview", smallTasks(40))
	starts, _ := decide(p)
	is.Equal(starts["urgent"], 40)
}

// Guards against a burst of narrow jobs that is slowed down by the limit on starts.
func TestBurstIsStartedInOneDecision(t *testing.T) {
	is := is.New(t)
	p := roomyPlanner(48)
	for i := range 40 {
		addPhased(p, fmt.Sprintf("burst%02d", i), "preview", smallTasks(10))
	}
	_, n := decide(p)
	is.Equal(n, 400)
	is.True(!p.Unfinished())
}

// Guards against a gang that is started in part because other work has used up a decision's starts, and
// against a decision that starts a very wide gang.
func TestGangIsStartedAsAWhole(t *testing.T) {
	is := is.New(t)
	gang := func(count int) winch.Phase {
		phase := smallTasks(count)
		phase.Gang = true
		return phase
	}
	p := roomyPlanner(48)
	addPhased(p, "large", "preview", smallTasks(9000))
	addPhased(p, "gang", "mix", gang(maxStarts))
	begun := 0
	for range 10 {
		starts, _ := decide(p)
		is.True(starts["gang"] == 0 || starts["gang"] == maxStarts)
		begun += starts["gang"]
	}
	is.Equal(begun, maxStarts)

	p = roomyPlanner(48)
	addPhased(p, "gang", "mix", gang(3*maxStarts))
	begun = 0
	for range 6 {
		_, n := decide(p)
		is.True(n <= maxStarts)
		begun += n
	}
	is.Equal(begun, 3*maxStarts)
}
