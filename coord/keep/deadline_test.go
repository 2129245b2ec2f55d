package keep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// suspend lets the keeper's monotonic clock stand still while the time of day and the worker's clock go on.
func (r *fixture) suspend(d time.Duration) {
	r.keeper.mu.Lock()
	r.keeper.authority.Wall = r.keeper.authority.Wall.Add(-d) // It lies that much closer on the time of day.
	r.keeper.mu.Unlock()
	r.worker.mu.Lock()
	r.worker.begin = r.worker.begin.Add(-d)
	r.worker.mu.Unlock()
}

// Guards against leases that outlast the authority that the planner has granted, so that tasks run twice: the keeper's VM is
// suspended while it is cut off from the planner, and its monotonic clock doesn't count that time.
func TestSuspendedKeeperRenewsNoLeaseBeyondItsAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cut := context.WithCancel(t.Context())
		r := newFixture(ctx)
		time.Sleep(2 * time.Second)
		cut()
		r.worker.mu.Lock()
		granted := r.worker.clock() + 8*time.Second
		r.worker.mu.Unlock()
		time.Sleep(2 * time.Second)
		r.suspend(4 * time.Second)
		time.Sleep(4 * time.Second)
		r.worker.mu.Lock()
		is.True(r.worker.clock() > granted)
		is.True(r.worker.until <= granted)
		r.worker.mu.Unlock()
		r.keeper.mu.Lock()
		r.keeper.authority = Deadline{}
		r.keeper.mu.Unlock()
		r.end(cut)
	})
}
