package region

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/winch"
)

// callerDeadline is how long a caller waits for the answer to a submission.
const callerDeadline = 3 * time.Second

// submitTo submits a job to one entry.
func (w *world) submitTo(n *Node, id string) winch.Result {
	ctx, cancel := context.WithTimeout(w.ctx, callerDeadline)
	defer cancel()
	return n.Submit(ctx, &winch.PhasedJob{
		ID: id, Queue: "preview", Team: "choir", Command: "work", Accepted: time.Now(), Phases: []winch.Phase{simPhase(2)},
	})
}

// Guards against submissions that are refused although the store would take them from another entry: the
// store turns two entries away, and what their callers submit must be accepted at once.
func TestSubmissionIsPassedOnWhileTheStoreRefusesTheEntry(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 61, 3, 9)
		settle()
		n := w.nodes["d1-0"]
		w.setStore(func(s *simStore) { s.refusedHosts = map[string]bool{n.host: true, "d2-0": true} })
		for i := range 8 { // At first the entry does not know that the store refuses it, then it does.
			id := fmt.Sprintf("%016x", i)
			sent := time.Now()
			is.True(w.submitTo(n.node, id).OK())
			is.True(time.Since(sent) < 250*time.Millisecond)
			is.Equal(w.await(id, 10*time.Second), winch.JobDone)
			time.Sleep(400 * time.Millisecond)
		}
		w.end()
	})
}

// Guards against callers of a partitioned failure domain who wait for an unknown result: no other entry
// can take their submissions, so they must be refused soon and told to come back.
func TestSubmissionIsRefusedSoonInAPartitionedDomain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 62, 3, 9)
		settle()
		w.partition("d1", true)
		time.Sleep(1500 * time.Millisecond)
		for i := range 3 {
			sent := time.Now()
			result := w.submitTo(w.nodes["d1-0"].node, fmt.Sprintf("%016x", i))
			is.Equal(result.Outcome, winch.NotRun)
			is.True(result.RetryAfter > 0)
			is.True(time.Since(sent) < 250*time.Millisecond)
		}
		w.partition("d1", false)
		w.end()
	})
}

// Guards against a caller that is told that a submission does not run although it may, or that waits on, when the entry cancels the requests in
// progress as it stops: what was sent to the store, by this entry or by one that it was passed on to, has an unknown
// result, and what was not is refused.
func TestSubmissionThatAStopCancelsHasATruthfulResult(t *testing.T) {
	t.Parallel()
	const responseDelay = 400 * time.Millisecond
	for _, passedOn := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := newWorld(t, 63, 3, 9)
			settle()
			n := w.nodes["d1-0"]
			w.setStore(func(s *simStore) {
				s.commitDelay = func(string, winch.Txn) time.Duration { return responseDelay }
				if passedOn {
					s.refusedHosts = map[string]bool{n.host: true}
				}
			})
			var results [concurrentAccepts + 1]winch.Result
			var group conc.WaitGroup
			ctx, cancel := context.WithCancel(w.ctx)
			defer cancel()
			for i := range results {
				group.Go(func() {
					results[i] = n.node.Submit(ctx, &winch.PhasedJob{
						ID: fmt.Sprintf("%016x", i), Queue: "preview", Team: "choir", Command: "work", Accepted: time.Now(), Phases: []winch.Phase{simPhase(2)},
					})
				})
				time.Sleep(responseDelay / 10) // Each is sent by itself, and none is left to send the last.
			}
			cancelled := time.Now()
			cancel()
			group.Wait()
			is.True(time.Since(cancelled) < 50*time.Millisecond)
			is.Equal(results[0].Outcome, winch.Unknown)
			if !passedOn {
				is.Equal(results[concurrentAccepts].Outcome, winch.NotRun)
			}
			w.setStore(func(s *simStore) { s.refusedHosts = nil })
			time.Sleep(10 * time.Second)
			for i, result := range results {
				state, known := n.node.State(w.ctx, fmt.Sprintf("%016x", i))
				if result.Outcome == winch.NotRun {
					is.True(result.RetryAfter > 0)
					is.Equal(known.Reason, winch.UnknownJob) // It was refused.
				} else if !passedOn {
					is.Equal(state, winch.JobDone) // It was stored.
				}
			}
			w.end()
		})
	}
}
