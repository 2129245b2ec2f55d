package fleet

import (
	"testing"

	"github.com/matryer/is"

	"plantainwinch/proto"
)

// Guards against more starts on their way to one worker than its keeper queues: the others are reported as not
// started, and the worker is avoided.
func TestStartsOnTheirWayToAWorkerAreBounded(t *testing.T) {
	is := is.New(t)
	p := roomyPlanner(3)
	addPhased(p, "large", "mix", smallTasks(2000))
	var starts []proto.Order
	for range 10 {
		p.Schedule()
		starts = append(starts, p.Orders()...)
	}
	is.Equal(len(starts), 3*maxUnconfirmed)
	is.True(!p.Unfinished()) // a confirmation leads to the next decision
	for _, o := range starts[:50] {
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
	}
	_, n := decide(p)
	is.Equal(n, 50)
}
