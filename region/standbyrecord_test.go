package region

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against work that is started twice, by a planner and by its former standby. The store applies
// the record that names the standby, but its response is lost. Then the planner drops the standby
// while the store is unresponsive. If the planner assumes that the store names no standby, it starts
// work that the standby starts again when it takes over. The store turns the standby away meanwhile, so
// that it does not take over at once.
func TestStandbyWithUnconfirmedRecordCountsAsNamed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 91, 3, 9)
		responseLost := false
		w.store.mu.Lock()
		w.store.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
			for _, x := range txn.Writes {
				var r standbyRecord
				if x.Key != keyStandby || decode(x.Data, &r) != nil || len(txn.Writes) > 1 {
					continue
				}
				if responseLost {
					return false, false
				}
				responseLost = r.Name != ""
				return true, false
			}
			return true, true
		}
		w.store.mu.Unlock()
		settle()
		l := w.planner().node.leadership.Load()
		var second string
		_ = l.duty.Do(w.ctx, func() {
			second = l.standby.name
			w.refuseEntry(second)
			l.dropStandby()
			l.standbyBackoff = map[string]time.Time{} // No other standby is chosen meanwhile.
			for name := range l.liveEntries() {
				l.standbyBackoff[name] = time.Now().Add(time.Hour)
			}
		})
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			released := true
			_ = l.duty.Do(w.ctx, func() { released = l.releasable() })
			is.True(!released)
		}
		is.True(strings.HasPrefix(second, "d"))
		w.end()
	})
}
