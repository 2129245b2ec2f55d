package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a call of Schedule that takes longer the more tasks wait. With 40,000 waiting tasks
// and no limit on the workers examined, it took a second, and starts were ordered after their
// tickets had expired.
func TestScheduleIsBoundedForAnyBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := waitingPlanner(1100, 40_000, true)
		for range 30 {
			time.Sleep(10 * time.Millisecond)
			p.Schedule()
			// The last phase may examine all workers of its pool once for each of four reasons.
			is.True(p.examined <= maxExamined+4*1100)
			respondToAll(p)
		}
	})
}

// Schedule examines a limited number of workers. If phases of higher rank always used up that
// limit, those behind them would never be tried.
func TestScheduleResumesWhereItStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := waitingPlanner(1100, 8000, false)
		for _, w := range p.workers {
			w.vm.Room = winch.Capacity{Milli: 17_000, Memory: 64 * gigabyte} // has capacity, but for no waiting task
		}
		for _, j := range p.jobs {
			for _, s := range j.phases {
				s.spec.Label = "none" // no shape covers another with the same label
				s.spec.MostPerVM = 1  // and no miss is remembered
				s.spec.Need.Milli = 500
			}
		}
		tried := make(map[*phase]bool)
		for range 40 {
			time.Sleep(10 * time.Millisecond)
			p.Schedule()
			for _, e := range p.ready {
				if e.phase.accountedAt.Equal(p.now()) {
					tried[e.phase] = true
				}
			}
		}
		is.Equal(len(tried), len(p.ready))
	})
}

// Phases of higher rank take all lanes and request advice again whenever their tickets expire. A
// phase of lower rank that never got advice would never run.
func TestPhaseThatWaitsLongGetsAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := normalQueue()
		queue.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: 50 * time.Millisecond}
		c := newSimRegion(t, 20, queue)
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			c.add(id, "mix", "choir", tasks(4, 15_000))
		}
		late := tasks(1, 1000)
		c.add("late", "mix", "choir", late)
		c.planner.jobs["late"].excess = true
		requested := false
		for range 100 {
			c.planner.Quota = RequestQuota{Urgent: 8, Normal: 8}
			c.planner.Schedule()
			for _, a := range c.planner.AdviceRequests() {
				requested = requested || a.Phase.Job == "late"
				c.planner.AdviceReceived(a, nil, 0, time.Now())
				c.planner.jobs[a.Phase.Job].phases[0].advice.denied = nil // The others request advice again.
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.True(requested)
	})
}
