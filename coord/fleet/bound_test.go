package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// With 40,000 tasks waiting a decision took a second, and starts came when their tickets
// were over.
func TestDecisionIsBoundedHoweverMuchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := waitingPlanner(1100, 40_000, true)
		for range 30 {
			time.Sleep(10 * time.Millisecond)
			p.Schedule()
			// The last step may look at all workers of its pool once for each of four reasons.
			is.True(p.looks <= mostLooks+4*1100)
			answerAll(p)
		}
	})
}

// What a decision did not get to is never looked at, since those of higher rank take all
// that a decision may cost.
func TestWhatADecisionDidNotGetToComesNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := waitingPlanner(1100, 8000, false)
		for _, w := range p.workers {
			w.vm.Room = winch.Room{Milli: 17_000, Memory: 64 * gigabyte} // room, but for no task that waits
		}
		for _, j := range p.jobs {
			for _, s := range j.steps {
				s.spec.Label = "none" // no shape covers another of the same label
				s.spec.MostPerVM = 1  // and no miss is remembered
				s.spec.Need.Milli = 500
			}
		}
		tried := make(map[*step]bool)
		for range 40 {
			time.Sleep(10 * time.Millisecond)
			p.Schedule()
			for _, e := range p.ready {
				if e.step.judged.Equal(p.now()) {
					tried[e.step] = true
				}
			}
		}
		is.Equal(len(tried), len(p.ready))
	})
}

// All lanes are taken by questions of higher rank, which are asked again as soon as their
// tickets end, and a step that nobody asked about yet never runs.
func TestStepThatWaitsLongGetsAQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := usualQueue()
		queue.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: 50 * time.Millisecond}
		c := newCell(t, 20, queue)
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			c.add(id, "mix", "choir", tasks(4, 15_000))
		}
		late := tasks(1, 1000)
		c.add("late", "mix", "choir", late)
		c.planner.jobs["late"].excess = true
		asked := false
		for range 100 {
			c.planner.Openings = Openings{Urgent: 8, Usual: 8}
			c.planner.Schedule()
			for _, a := range c.planner.Asks() {
				asked = asked || a.Phase.Job == "late"
				c.planner.Advice(a, nil, 0, time.Now())
				c.planner.jobs[a.Phase.Job].steps[0].known.denied = nil // Others are asked about again.
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.True(asked)
	})
}
