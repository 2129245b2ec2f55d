package fleet

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// A completion of a run after which its task was started again is reported with the last run and with the reason why the
// earlier one counted as ended.
func TestCompletionAfterARestartIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		first := c.schedule()[0]
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventVanished, Worker: "w0", Task: first.Task, Run: first.Run})
		previous, ok := c.planner.PreviousRun(first.Task)
		is.True(ok)
		is.Equal(previous, RunEnd{Run: first.Run, Worker: "w0", How: endVanished})
		second := c.schedule()[0]
		is.Equal(len(c.planner.Anomalies()), 0)
		c.ended(first, 1)
		found := c.planner.Anomalies()
		is.Equal(len(found), 1)
		is.Equal(found[0].Kind, AnomalyStartedAgain)
		is.Equal(found[0].Completion.Run, first.Run)
		is.Equal(found[0].LatestRun, second.Run)
		is.Equal(found[0].Previous, previous)
	})
}

// Completions of unknown jobs, and those that a higher number has overtaken, are reported.
func TestUnusualCompletionsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 1, urgentQueue())
		gone := proto.Order{Worker: "w0", Task: winch.RunID{Job: "gone"}, Run: 3}
		c.ended(gone, 2)
		c.ended(gone, 1)
		var kinds []AnomalyKind
		for _, a := range c.planner.Anomalies() {
			kinds = append(kinds, a.Kind)
		}
		is.Equal(kinds, []AnomalyKind{AnomalyUnknownJob, AnomalyOvertaken, AnomalyUnknownJob})
		is.Equal(len(c.planner.Anomalies()), 0)
	})
}
