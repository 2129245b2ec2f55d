package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// drainBound is how long after a worker has begun to drain work may still be started there.
const drainBound = 2 * time.Second

// Guards against work on a worker that drains because the response to one poll of the worker list is lost: the poll
// before it had shown the worker as ready.
func TestDrainingWorkerIsKnownThoughAPollHangs(t *testing.T) {
	t.Parallel()
	const steps = 8
	for step := range steps {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := regionOf(t, 3)
			l := w.planner().node.leadership.Load()
			time.Sleep(time.Duration(step) * workersPollInterval / steps)
			var first time.Time
			w.setStore(func(s *simStore) {
				s.hangsWatch = func(_, prefix string, begin time.Time) bool {
					if prefix == (simCodec{}).WorkerPrefix() && first.IsZero() {
						first = begin
					}
					return prefix == (simCodec{}).WorkerPrefix() && begin.Equal(first)
				}
			})
			vm := w.workers["w0"].vm
			vm.Draining = true
			w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(vm), 0) })
			time.Sleep(drainBound)
			known := false
			_ = l.duty.Do(w.ctx, func() { known = l.workers[vm.ID].Draining })
			is.True(known) // the planner knows that the worker drains
			w.end()
		})
	}
}
