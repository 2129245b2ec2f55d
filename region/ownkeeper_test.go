package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against lasting tasks that stay down for the longest possible lease although the planner's own entry knows when it
// expires: that entry has no record after an outage of the store, and is given no workers.
func TestPlannerAsksItsOwnEntryForExpiriesWithoutItsRecord(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 104, 3, 9)
		settle()
		l := w.planner().node.leadership.Load()
		own := l.node.Name
		is.NoErr(l.duty.Do(w.ctx, func() {
			if session := l.proxies[own]; session != nil {
				l.dropKeeper(session)
			}
			l.reassignPending = false
			l.expiries.add("w0", assignment{keeper: own, generation: 1, expiry: time.Now().Add(8 * time.Second)})
			l.askEarlierKeepers()
			p := l.proxies[own]
			is.True(p != nil)
			if p == nil {
				return
			}
			l.dropKeeper(p)
			l.keeperBackoff[own] = true // Its last session broke a moment ago.
			l.askEarlierKeepers()
			is.True(l.proxies[own] == nil)
		}))
		w.end()
	})
}
