package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that are stopped by a new planner because the roster lists earlier runs of them at a worker that the
// last planner had lost, after which it had started them elsewhere.
func TestRosterListsNoRunsOfALostWorker(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 101)
		p, standby := w.planner(), w.namedStandby()
		is.True(standby != nil)
		worker, _ := w.workerKeptBy(p, false)
		is.True(worker != "")
		w.setUnresponsive(worker, true)
		time.Sleep(9 * time.Second)
		is.Equal(w.runningLasting(), 18)
		p.kill()
		standby.kill()
		w.awaitOtherPlanner(p)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if w.runningLasting() < 18 {
				t.Error("tasks that ran were stopped")
				break
			}
		}
		w.checkLasting(is, 18)
	})
}
