package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// complete adds the completion of a run that no entry of the world has ordered to a worker's list.
func (w *world) complete(worker string, task winch.RunID, run uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[worker]
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastEnded++
	x.ended = append(x.ended, winch.Completion{Number: x.lastEnded, Task: task, Run: run, Kind: winch.CompletionDone})
}

// listedCompletions returns how many completions a worker lists.
func (w *world) listedCompletions(worker string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[worker]
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.ended)
}

// Guards against completions of jobs that have ended and were removed which are listed for good, or acknowledged while
// the store cannot show that there is no such job.
func TestCompletionOfAnUnknownJobIsForgottenOnceTheStoreShowsItHasEnded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 92, 3, 9)
		settle()
		w.setStoreUnavailable(true)
		time.Sleep(100 * time.Millisecond)
		w.complete("w0", winch.RunID{Job: "00000000000000a1"}, 7)
		time.Sleep(800 * time.Millisecond)
		is.Equal(w.listedCompletions("w0"), 1)
		w.setStoreUnavailable(false)
		time.Sleep(4 * time.Second)
		is.Equal(w.listedCompletions("w0"), 0)
		w.end()
	})
}
