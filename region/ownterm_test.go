package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a planner that no longer knows what it has started itself. The office's lease expires while the
// store is down, and the same entry takes the office again when the store is back. Meanwhile the standby's failure
// domain is partitioned, so the standby cannot take the office first, and the workers there report nothing to the
// new term. Tasks of jobs that were accepted before must not wait until the work there is guaranteed to have ended:
// the entry knows which tasks run there.
func TestPlannerTakesItsOwnOfficeAgainAfterAStoreOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 71, 3, 9)
		settle()
		w.startLasting("00000000000000a1", 18)
		time.Sleep(time.Second)
		p := w.planner()
		cut := w.standbyOf(p).domain
		is.True(cut != p.domain)
		w.submit("00000000000000b1", winch.Phase{Count: 4, Need: winch.Capacity{Milli: 500, Memory: 1 << 28}, Estimate: 6 * time.Second},
			winch.Phase{Count: 4, Need: winch.Capacity{Milli: 500, Memory: 1 << 28}, Estimate: time.Second, After: []int{0}})
		time.Sleep(500 * time.Millisecond)
		w.setStoreUnavailable(true)
		time.Sleep(3 * time.Second)
		w.partition(cut, true) // The planner's own domain keeps the path to the store.
		time.Sleep(2 * time.Second)
		w.setStoreUnavailable(false)
		back := time.Now()
		for w.planner() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(w.planner().host, p.host)
		l := w.planner().node.leadership.Load()
		adopting := true
		for adopting && time.Since(back) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
			_ = l.duty.Do(w.ctx, func() { adopting = l.planner.Adopting() })
		}
		t.Log("work of earlier planners is known", time.Since(back), "after the store responds again")
		is.True(time.Since(back) < 2*time.Second)
		w.partition(cut, false)
		w.await("00000000000000b1", 30*time.Second)
		w.endWithoutDowntimeCheck()
	})
}

// standbyOf returns the standby of the planner.
func (w *world) standbyOf(p *simNode) (standby *simNode) {
	l := p.node.leadership.Load()
	_ = l.duty.Do(w.ctx, func() {
		for _, n := range w.nodes {
			if n.node != nil && l.standby != nil && l.standby.name == n.node.Name {
				standby = n
			}
		}
	})
	return standby
}
