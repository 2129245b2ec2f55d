package entry

import (
	"context"

	"github.com/sourcegraph/conc"
)

// backgroundQueueSize is the capacity of the queue of background work.
const backgroundRing = 4096

// backgroundWorkers is the number of goroutines that run background work.
const backgroundWorkers = 32

// background runs work that outlives the request that caused it, such as recording the result of a call.
type background struct {
	ring chan func(context.Context)
}

func (b *background) run(ctx context.Context) {
	var group conc.WaitGroup
	for range backgroundWorkers {
		group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case f := <-b.ring:
					f(ctx)
				}
			}
		})
	}
	group.Wait()
}

// submit queues work. If the queue is full, it runs the work itself: dropping it would lose, for example, the result of
// a call.
func (b *background) do(f func(context.Context)) {
	select {
	case b.ring <- f:
	default:
		f(context.Background())
	}
}
