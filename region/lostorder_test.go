package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against orders that are lost with a link that another one replaces while no poll is in progress:
// the session with the keeper goes on, and a lost start would never be carried out.
func TestOrdersLostWithinASessionAreNoticed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 71, 3, 9)
		settle()
		lost := 0
		w.setNotifyDelay(func(_, _ string, kind winch.Kind) (time.Duration, bool) {
			if kind == proto.KindKeeperOrders && lost < 1 {
				lost++
				return 0, false
			}
			return 0, true
		})
		for i := range 6 {
			id := fmt.Sprintf("%016x", i)
			is.True(w.submitTo(w.nodes["d1-0"].node, id).OK())
			is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		}
		is.Equal(lost, 1)
		w.end()
	})
}
