package keep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
)

// Guards against ten looks a second at each worker of a partitioned failure domain: the pauses between
// holds must grow, and the worker must still be found soon after it responds again, or be lost when its
// lease has expired.
func TestHoldsAtAnUnresponsiveWorkerBecomeRarer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(3 * time.Second)
		r.setUnresponsive(true)
		r.worker.mu.Lock()
		r.worker.tries = 0
		r.worker.mu.Unlock()
		time.Sleep(4 * time.Second)
		r.worker.mu.Lock()
		is.True(r.worker.tries <= 8)
		r.worker.mu.Unlock()
		r.setUnresponsive(false)
		time.Sleep(maxRetryDelay + maxCallTimeout)
		is.Equal(r.count(proto.EventResponsive), 1)
		r.end(cancel)
	})
}

// Guards against workers of a healed domain that are found one by one, each after its own pause: once one
// responds again, the others are tried at once.
func TestOtherWorkersAreTriedWhenOneOfTheDomainResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(time.Second)
		woken := make(chan time.Duration, 1)
		begin := time.Now()
		h := r.keeper.holders["w"]
		r.keeper.group.Go(func() {
			h.waitForRetry(ctx, 4)
			woken <- time.Since(begin)
		})
		time.Sleep(100 * time.Millisecond)
		r.keeper.notifyDomainBack(h.vm.Domain)
		is.Equal(<-woken, 100*time.Millisecond)
		r.end(cancel)
	})
}
