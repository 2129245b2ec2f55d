package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// newPair starts two entries in one failure domain that has two executors and two workers.
func newPair(w *world) (*node, *node) {
	w.addExecutor("e1", "d1", 4)
	w.addExecutor("e2", "d1", 4)
	w.addWorker("w1", "d1")
	w.addWorker("w2", "d1")
	a := w.addEntry("a", "d1")
	b := w.addEntry("b", "d1")
	w.settle()
	w.configure(a, 20, "choir", "guild")
	w.settle()
	return a, b
}

// Guards against calls or jobs that only one entry of a domain can serve, for example because the executors' home or the
// planner is another entry: they must be served through each entry.
func TestCallsAndJobsAreServedThroughEachEntry(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := newPair(w)
		for i, n := range []*node{a, b, a, b} {
			r := w.call(n, "choir", "preview", "p", "part")
			is.Equal(r.Outcome, winch.Done) // each entry serves calls
			is.Equal(r.body, "part")
			_ = i
		}
		job, r := w.submit(b, "choir", "mix", "j1", winch.Batch, 12, time.Second)
		is.True(r.OK())
		v := w.awaitJob(a, "choir", job.ID, time.Minute)
		is.Equal(v.State, winch.JobDone)
		is.Equal(len(v.EndedTasks), 12)
	})
}
