package fleet

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a task that runs twice: an earlier planner's start is on its way to a worker whose next boot is listed before the
// planner has looked the task's job up.
func TestUnconfirmedRunOfAnUnknownJobIsCarriedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 2, urgentQueue())
		p := nextPlanner(c)
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventKnownRuns, Worker: "w0", Running: []winch.Running{
			{Task: winch.RunID{Job: "a"}, Run: 1, Percent: winch.PercentUnlisted},
		}})
		is.Equal(len(p.RunsAt("w0")), 1)
		list := p.WorkersToHold()
		for i := range list {
			if list[i].ID == "w0" {
				list[i].Born++
			}
		}
		p.SetWorkers(list)
		is.Equal(len(p.RunsAt("w0")), 1)
	})
}

// Guards against the same if the job is looked up before the next boot is listed: the run must not count as confirmed then.
func TestUnconfirmedRunStaysSoWhenItsJobIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 2, urgentQueue())
		p := nextPlanner(c)
		c.add("a", "preview", "choir", tasks(1, 1000))
		run := winch.Running{Task: winch.RunID{Job: "a"}, Run: 1, Percent: winch.PercentUnlisted}
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventKnownRuns, Worker: "w0", Running: []winch.Running{run}})
		p.Add(c.planner.jobs["a"].rec, nil, 0)
		is.Equal(p.RunsAt("w0"), []winch.Running{run})
	})
}
