package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a job with very many repetitions all of which each decision ranks, and against repetitions that are
// forgotten, start too early or late, or are not started again, because only some are ranked.
func TestOnlyTheNextRepetitionsOfAJobAreRanked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const times = 3 * maxEnqueued
		c := newSimRegion(t, 8, normalQueue())
		second := tasks(1, 10)
		second.After, second.Need.Memory = []int{0}, 1<<20
		first := second
		first.After = nil
		job := &winch.PhasedJob{
			ID: "timed", Queue: "mix", Team: "choir", Phases: []winch.Phase{first, second}, Accepted: time.Now(), Revision: 7,
			Times: times, First: time.Now().Add(time.Minute), Every: 10 * time.Millisecond,
		}
		c.planner.Add(job, nil, 0)
		is.Equal(len(c.schedule()), 0) // none is due
		is.True(len(c.planner.ready) <= maxEnqueued)
		time.Sleep(time.Minute)
		failed := make(map[int]bool)
		for range 2 * times {
			for _, o := range c.schedule() {
				due := job.First.Add(time.Duration(o.Task.K) * job.Every)
				is.True(!time.Now().Before(due))
				kind := winch.CompletionDone
				if o.Task.K%700 == 3 && !failed[o.Task.K] {
					failed[o.Task.K], kind = true, winch.CompletionFailed
				} else if !failed[o.Task.K] && o.Task.Phase == 0 {
					is.True(time.Since(due) <= time.Second)
				}
				c.endRun(o, kind)
			}
			is.True(len(c.planner.ready) <= 2*maxEnqueued)
			c.saveRecords()
			if c.state("timed") == winch.JobDone {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(c.state("timed"), winch.JobDone)
		c.schedule()
		is.Equal(len(c.planner.ready), 0)
	})
}
