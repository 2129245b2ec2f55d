package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Jobs end all the time, the store is slow, and old jobs are removed every few seconds. A caller that is
// shown the end of its job may ask for it as long as jobs are kept. It asked a moment
// before that time was over and was told that there is no such job: it was counted
// from when the planner had heard of the end, and not from when it was shown.
func TestEndedJobIsKnownForAsLongAsPromised(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 51, 3, 9)
		settle()
		w.store.mu.Lock()
		w.store.slow = 300 * time.Millisecond
		w.store.mu.Unlock()
		for i := range 60 {
			id := fmt.Sprintf("%016x", i)
			w.group.Go(func() {
				w.submit(id, simPhase(1))
				shown := w.shownAt(id)
				time.Sleep(time.Until(shown.Add(time.Minute - 2*time.Millisecond)))
				_, result := w.nodes["d0-0"].node.State(w.ctx, id)
				is.True(result.OK() || w.ctx.Err() != nil)
			})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(75 * time.Second)
		w.end()
	})
}

// shownAt waits until a job is shown as ended, and returns when that was.
func (w *world) shownAt(id string) time.Time {
	for w.ctx.Err() == nil {
		if state, result := w.nodes["d0-0"].node.State(w.ctx, id); result.OK() && state.Final() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Now()
}
