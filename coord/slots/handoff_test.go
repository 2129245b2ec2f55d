package slots

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
)

// Guards against a handoff from long ago that is taken for the executor's present state: another home may
// have granted its slots since and may have ended without a handoff.
func TestHandoffFromLongAgoOpensNoSlots(t *testing.T) {
	withTable(t, 0, 0, func(b *rig) {
		is := is.New(b.T)
		is.NoErr(b.Adopt(proto.Handoff{Executor: "e0"}))
		time.Sleep(time.Minute)
		b.setExecutors(1, 4, 1)
		time.Sleep(2 * sweepInterval)
		is.Equal(b.Loads()[0].Slots, 1)
	})
}
