package region

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// retained is longer than an ended job is known: the retention period with its margin, and two sweeps.
const retained = time.Minute + retentionMargin + 2*sweepInterval

// allStarts returns how many runs all workers have started.
func (w *world) allStarts() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.workers {
		x.mu.Lock()
		n += x.starts
		x.mu.Unlock()
	}
	return n
}

// forgetTasks lets the tasks of earlier jobs be started again.
func (w *world) forgetTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.acknowledged)
}

// Guards against a job whose ID is sent again and that takes the state of the one before: within the retention period it is that
// job and does not run again, afterwards it is another one and runs.
func TestJobThatIsSentAgainRunsOnceItsEarlierOneIsForgotten(t *testing.T) {
	t.Parallel()
	for name, cancel := range map[string]bool{"done": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				const id = "00000000000000a1"
				w := newWorld(t, 611, 3, 9)
				settle()
				want := winch.JobDone
				w.submit(id, simPhase(1))
				if cancel {
					want = winch.JobCancelled
					is.True(w.planner().node.Cancel(w.ctx, id).OK())
				}
				is.Equal(w.await(id, 20*time.Second), want)
				time.Sleep(5 * time.Second)
				starts := w.allStarts()
				w.submit(id, simPhase(1))
				time.Sleep(5 * time.Second)
				is.Equal(w.await(id, time.Second), want)
				is.Equal(w.allStarts(), starts)
				time.Sleep(retained)
				w.forgetTasks()
				w.submit(id, simPhase(1))
				is.Equal(w.await(id, 20*time.Second), winch.JobDone)
				is.True(w.allStarts() > starts)
				w.end()
			})
		})
	}
}

// Guards against a job that never runs, and is shown as ended: its ID is sent again while the planner does not know yet that the record of
// the job before has been removed.
func TestJobThatIsSentAgainRunsBeforeThePlannerForgetsItsEarlierOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id = "00000000000000a1"
		w := newWorld(t, 612, 3, 9)
		settle()
		w.submit(id, simPhase(1))
		is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		removed := make(chan struct{}, 1)
		w.setStore(func(s *simStore) {
			s.commitDelay = func(_ string, txn winch.Txn) time.Duration {
				for _, key := range txn.Remove {
					if key == keyEnded(id) {
						removed <- struct{}{}
						return 500 * time.Millisecond
					}
				}
				return 0
			}
		})
		<-removed
		w.forgetTasks()
		starts := w.allStarts()
		w.submit(id, simPhase(1))
		time.Sleep(20 * time.Second)
		is.True(w.allStarts() > starts)
		w.end()
	})
}

// Guards against a cancellation that the store executes late, and that reaches the next job of the same ID.
func TestCancellationOfAnEarlierJobDoesNotReachTheNextOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id = "00000000000000a1"
		w := newWorld(t, 614, 3, 9)
		settle()
		w.submit(id, simPhase(1))
		var late atomic.Pointer[winch.Txn]
		w.setStore(func(s *simStore) {
			s.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
				cancels := len(txn.Writes) == 1 && txn.Writes[0].Key == keyCancel(id)
				if cancels {
					late.Store(&txn)
				}
				return !cancels, !cancels
			}
		})
		is.True(!w.planner().node.Cancel(w.ctx, id).OK())
		is.True(late.Load() != nil)
		is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		time.Sleep(retained)
		w.forgetTasks()
		w.submit(id, simPhase(1))
		w.setStore(func(s *simStore) { s.commitOutcome = nil })
		_, err := w.planner().node.Table.Commit(w.ctx, *late.Load())
		is.True(errors.Is(err, winch.ErrConflict))
		is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		w.end()
	})
}
