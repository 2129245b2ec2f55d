package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an ended job that becomes unknown before its retention period is over. The period
// begins when a caller can first see that the job has ended. While the store is slow, that is later
// than the time at which the planner learned of it. If the period is counted from the latter, a caller
// that requests the job's state shortly before the end of the period is told that there is no such
// job.
func TestEndedJobIsKnownForRetentionPeriod(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 51, 3, 9)
		settle()
		w.setStore(func(s *simStore) { s.extraDelay = 300 * time.Millisecond })
		for i := range 60 {
			id := fmt.Sprintf("%016x", i)
			w.group.Go(func() {
				w.submit(id, simPhase(1))
				shown := w.shownAt(id)
				time.Sleep(time.Until(shown.Add(time.Minute - 2*time.Millisecond)))
				_, result := w.nodes["d0-0"].node.State(w.ctx, id)
				is.True(result.OK() || w.ctx.Err() != nil)
			})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(75 * time.Second)
		w.end()
	})
}

// shownAt waits until a job is reported as ended, and returns the time of that report.
func (w *world) shownAt(id string) time.Time {
	for w.ctx.Err() == nil {
		if state, result := w.nodes["d0-0"].node.State(w.ctx, id); result.OK() && state.Final() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Now()
}
