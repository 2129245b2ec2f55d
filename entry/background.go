package entry

import (
	"context"

	"github.com/sourcegraph/conc"
)

// backgroundQueueSize is the capacity of the queue of background work.
const backgroundQueueSize = 4096

// backgroundWorkers is the number of goroutines that run background work.
const backgroundWorkers = 32

// background runs work that outlives the request that caused it, such as recording the result of a call.
type background struct {
	queue chan func(context.Context)
}

func (b *background) run(ctx context.Context) {
	var group conc.WaitGroup
	for range backgroundWorkers {
		group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case f := <-b.queue:
					f(ctx)
				}
			}
		})
	}
	group.Wait()
}

// submit queues work. If the queue is full, it runs the work itself: dropping it would lose, for example, the result of
// a call.
func (b *background) submit(f func(context.Context)) {
	select {
	case b.queue <- f:
	default:
		f(context.Background())
	}
}
