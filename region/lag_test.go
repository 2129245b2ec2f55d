package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a planner that is slow but keeps the office (the planner's leadership lease in the
// store). Its VM becomes slow without stopping. Its lease is renewed all the while, and each decision
// is a third of a second late for as long as that lasts.
func TestSlowPlannerYieldsTheOfficeToItsStandby(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 71, 3, 9)
		settle()
		w.startLasting("00000000000000a1", 12)
		time.Sleep(5 * time.Second)
		first := w.planner()
		l := first.node.leadership.Load()
		replaced := false
		for range 20 {
			l.post(func() { time.Sleep(300 * time.Millisecond) })
			time.Sleep(310 * time.Millisecond)
			if replaced = w.planner() != first; replaced {
				break
			}
		}
		is.True(replaced)
		time.Sleep(3 * time.Second)
		is.True(w.planner() != first)
		is.Equal(w.runningLasting(), 12)
		w.end()
	})
}

// Guards against counting the first decision as late. It was not scheduled, and a planner that decides
// in time would yield the office.
func TestFirstDecisionIsNotLate(t *testing.T) {
	is := is.New(t)
	var l lag
	l.note(time.Now())
	is.Equal(l.mean, time.Duration(0))
}

// Guards against a planner that yields the office because of one pause: on a machine where entries share processors, all of them
// may be paused at once, and its successor is no faster. A planner that is late again and again still yields soon.
func TestOnePauseDoesNotMakeThePlannerSlow(t *testing.T) {
	is := is.New(t)
	at := clockAt()
	var l lag
	decide := func(due, late int) {
		l.due = at(due)
		l.note(at(due + late))
	}
	for i := range 20 {
		decide(100*i, 1)
	}
	for _, pause := range []int{200, 900, 3000} {
		began := 10 * pause
		decide(began, pause)
		is.True(l.mean <= maxLag)
		for i := range 20 {
			decide(began+pause+100*(i+1), 1)
			is.True(l.mean <= maxLag)
		}
	}
	slow := 0
	for ; l.mean <= maxLag && slow < 10; slow++ {
		decide(100_000+400*slow, 300)
	}
	is.True(slow <= 3)
}
