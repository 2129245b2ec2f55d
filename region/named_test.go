package region

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// The answer to the planner's record of its standby is lost, though the store holds it, and
// then the standby is given up while the store is away. The planner believed that nobody was
// named, and started work that the standby, taking over, started a second time.
func TestStandbyWhoseRecordWasNotAnsweredCountsAsNamed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 91, 3, 9)
		lost := false
		w.store.mu.Lock()
		w.store.fate = func(txn winch.Txn) (applied, answered bool) {
			for _, x := range txn.Writes {
				var r standbyRecord
				if x.Key != keyStandby || decode(x.Data, &r) != nil || len(txn.Writes) > 1 {
					continue
				}
				if lost {
					return false, false
				}
				lost = r.Name != ""
				return true, false
			}
			return true, true
		}
		w.store.mu.Unlock()
		settle()
		l := w.planner().node.lead.Load()
		var second string
		_ = l.duty.Do(w.ctx, func() {
			second = l.standby.name
			l.dropStandby()
			l.tired = map[string]time.Time{} // Nobody else is chosen meanwhile.
			for name := range l.live() {
				l.tired[name] = time.Now().Add(time.Hour)
			}
		})
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			released := true
			_ = l.duty.Do(w.ctx, func() { released = l.released() })
			is.True(!released)
		}
		is.True(strings.HasPrefix(second, "d"))
		w.end()
	})
}
