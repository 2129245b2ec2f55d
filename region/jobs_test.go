package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an outdated response to a state request. A caller requests the state of its job just
// as the last task ends, a few milliseconds before that is recorded. Told that the job runs, the
// caller would repeat the request only a quarter of a second later.
func TestStateRequestAtTheEndOfAJobReturnsTheFinalState(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 81, 3, 9)
		settle()
		const id = "00000000000000c1"
		w.submit(id, simPhase(1))
		entry := w.nodes["d0-0"].node
		for w.ctx.Err() == nil {
			l := w.planner().node.leadership.Load()
			ended := false
			_ = l.duty.Do(w.ctx, func() { ended = l.planner.HasUnsaved() || l.planner.Counts().Done+l.planner.Counts().Failed > 0 })
			begin := time.Now()
			state, result := entry.State(w.ctx, id)
			is.True(result.OK())
			is.True(time.Since(begin) < 100*time.Millisecond) // The request does not wait for long.
			if state.Final() {
				break
			}
			is.True(!ended) // A request after the end gets the final state.
			time.Sleep(time.Millisecond)
		}
		w.end()
	})
}

// Guards against a state request that waits for a completion that is not about to come: the state of a
// job with further phases or lasting tasks must be returned at once.
func TestStateOfARunningJobIsReturnedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 82, 3, 9)
		settle()
		w.startLasting("00000000000000c2", 3)
		begin := time.Now()
		state, result := w.nodes["d0-0"].node.State(w.ctx, "00000000000000c2")
		is.True(result.OK())
		is.True(!state.Final())
		is.True(time.Since(begin) < completionWait/2)
		w.end()
	})
}

// Guards against state requests that are forgotten as they begin: only those that have timed out are
// dropped, so that a caller that asks right before is still told of the end.
func TestOnlyTimedOutStateRequestsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &leadership{stateWaiters: make(map[string][]stateWaiter)}
		l.addWaiter("old")
		time.Sleep(waitersCleanupInterval)
		fresh := l.addWaiter("fresh")
		l.dropWaiters()
		is.Equal(len(l.stateWaiters), 1)
		l.notifyWaiters("fresh")
		select {
		case <-fresh:
		default:
			is.Fail() // The request is told of the end.
		}
	})
}
