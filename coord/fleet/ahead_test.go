package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against requesting advice about a job's second phase only when the first has ended, so that
// the job's caller waits for a response that could have been there by then.
func TestAdviceAboutNextPhaseIsRequestedWhileFirstRuns(t *testing.T) {
	for _, ahead := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue := urgentQueue()
			queue.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: 2500 * time.Millisecond}
			c := newSimRegion(t, 4, queue)
			c.planner.Policy.Ahead = ahead
			second := tasks(1, 1000)
			second.After = []int{0}
			c.add("a", "preview", "choir", tasks(2, 1000), second)
			c.planner.Schedule()
			respondForPhase(c, 0)
			first := c.schedule()
			is.Equal(len(first), 2)
			c.schedule()
			respondForPhase(c, 1)
			time.Sleep(time.Second)
			for _, o := range first {
				c.endRun(o, winch.CompletionDone)
			}
			is.Equal(len(c.schedule()) == 1, ahead)
		})
	}
}

// respondForPhase allows all workers named in the requests about a phase.
func respondForPhase(c *simRegion, phase int) {
	for _, a := range c.planner.AdviceRequests() {
		if a.Phase.Phase != phase {
			continue
		}
		var tickets []winch.Ticket
		for _, id := range a.Workers {
			tickets = append(tickets, winch.Ticket{Worker: id, Value: "t"})
		}
		c.planner.AdviceReceived(a, tickets, 0, time.Now())
	}
}

// Advice about the phase after a long one must be requested only when the end of the long one is
// near: tickets requested earlier would expire before the phase starts.
func TestAdviceAboutNextPhaseIsNotRequestedTooEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := urgentQueue()
		queue.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: 2500 * time.Millisecond}
		c := newSimRegion(t, 4, queue)
		long, second := tasks(2, 1000), tasks(1, 1000)
		long.Estimate = 10 * time.Second
		second.After = []int{0}
		c.add("a", "preview", "choir", long, second)
		c.planner.Schedule()
		respondForPhase(c, 0)
		c.schedule()
		time.Sleep(8 * time.Second)
		c.schedule()
		is.Equal(len(c.planner.AdviceRequests()), 0)
		time.Sleep(time.Second)
		c.schedule()
		is.Equal(len(c.planner.AdviceRequests()), 1)
	})
}
