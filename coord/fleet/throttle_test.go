package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a filling task that never continues after a takeover. A planner throttles the task
// to zero because of a serving task beside it, and is then killed. If its successor assumed full
// speed, it would see no reason for a change and never send the worker a throttle percentage.
func TestFillingTaskThrottledByEarlierPlannerContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fill := tasks(1, 1000)
		fill.Fills = true
		c := newSimRegion(t, 1, normalQueue())
		c.add("a", "mix", "choir", fill)
		start := c.schedule()
		is.Equal(len(start), 1)

		next := newSimRegion(t, 1, normalQueue())
		next.add("a", "mix", "choir", fill)
		run := winch.Running{Task: start[0].Task, Run: start[0].Run}
		next.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: "w0", Running: []winch.Running{run}})
		speed := 0 // As the earlier planner left it.
		for range 10 {
			time.Sleep(time.Second)
			next.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: "w0", Running: []winch.Running{run}})
			for _, o := range next.planner.Orders() {
				if o.Kind == proto.OrderThrottle {
					speed = o.Percent
				}
			}
		}
		is.Equal(speed, 100)
	})
}
