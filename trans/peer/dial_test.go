package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

// Guards against entries that know each other's addresses and have no links for half a second, in which
// their region does nothing: a change of the addresses must be looked at soon.
func TestChangedAddressesAreDialledSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		var looks []time.Duration
		m := &Mesh{Metrics: metrics.NewRegistry(), Addresses: func() []string {
			looks = append(looks, time.Since(begin))
			return nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() { m.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		m.DialSoon()
		m.DialSoon() // Changes that come together are looked at together.
		time.Sleep(time.Second)
		cancel()
		group.Wait()
		is.Equal(looks[:3], []time.Duration{0, 100*time.Millisecond + dialGatherDelay, 100*time.Millisecond + dialGatherDelay + redialInterval})
	})
}
