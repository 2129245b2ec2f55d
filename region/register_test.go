package region

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a live entry that counts as ended, with all leases that it has granted: the store executes the
// registration of an earlier process of its VM after its own.
func TestRegistrationOfAnEarlierBootThatTakesEffectLateIsRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 97, 3, 9)
		settle()
		p := w.planner()
		var n *simNode
		for i := range len(w.nodes) {
			if x := w.nodeAt(i); x.domain != p.domain && x != w.namedStandby() {
				n = x
			}
		}
		var late atomic.Pointer[winch.Txn]
		w.setStore(func(s *simStore) {
			s.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
				registers := slices.ContainsFunc(txn.Writes, func(x winch.Write) bool { return x.Key == prefixNode+n.host })
				if registers {
					late.Store(&txn)
				}
				return !registers, !registers
			}
		})
		n.kill()
		n.start()
		time.Sleep(100 * time.Millisecond)
		registration := late.Load()
		is.True(registration != nil)
		is.Equal(len(registration.Writes), 1)
		n.kill()
		w.setStore(func(s *simStore) { s.commitOutcome = nil })
		n.start()
		time.Sleep(time.Second)
		is.True(p.node.cell.addressOf(n.node.Name) != "")
		_, _ = p.node.Table.Commit(w.ctx, *registration) // An error is the outcome that is wanted.
		time.Sleep(200 * time.Millisecond)
		_, ended := p.node.cell.endedBy(n.node.Name)
		is.True(!ended)
		is.True(p.node.cell.addressOf(n.node.Name) != "")
		w.end()
	})
}
