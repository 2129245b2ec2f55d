package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// The report of a lost worker must list its runs with the youngest first, and say whether the
// process ended or only contact was lost.
func TestLossListsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("old", "preview", "choir", tasks(1, 1000))
		c.schedule()
		time.Sleep(2 * time.Second)
		c.add("new", "preview", "choir", tasks(1, 1000))
		c.schedule()
		time.Sleep(10 * time.Millisecond)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: "w0"})
		c.planner.SetUnresponsive("w0")
		time.Sleep(3 * time.Second)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: "w0", Result: winch.StartOtherBoot})
		losses := c.planner.Losses()
		is.Equal(len(losses), 1)
		is.True(losses[0].Crashed)
		is.Equal(losses[0].Runs[0].Task.Job, "new")
		is.Equal(losses[0].Runs[0].Age, 10*time.Millisecond)
		is.Equal(losses[0].Runs[1].Age, 2010*time.Millisecond)
		is.Equal(len(c.planner.Losses()), 0)
	})
}
