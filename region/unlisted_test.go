package region

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a task that is started again after it has completed: the completion is not recorded yet when the record
// of its worker disappears, and the next planner does not look for the run there, though the worker is alive.
func TestUnrecordedCompletionSurvivesItsWorkersRecord(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 96, 3, 9)
		settle()
		const id = "00000000000000b1"
		w.submit(id, winch.Phase{Count: 1, Need: winch.Capacity{Milli: taskMilli}, Estimate: taskDuration})
		time.Sleep(100 * time.Millisecond)
		vm := w.workerOfOnlyRun()
		is.True(vm.ID != "")
		w.setStore(func(s *simStore) {
			s.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
				ok := !slices.ContainsFunc(txn.Writes, func(x winch.Write) bool { return x.Key == keyProgress(id) || x.Key == keyEnded(id) })
				return ok, ok
			}
			s.remove("workers/" + vm.ID)
		})
		time.Sleep(workerReturnTimeout + 700*time.Millisecond)
		is.Equal(w.listedCompletions(vm.ID), 1)
		w.planner().kill()
		w.setStore(func(s *simStore) { s.commitOutcome = nil })
		time.Sleep(500 * time.Millisecond)
		w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(vm), 0) })
		is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		time.Sleep(3 * time.Second)
		w.end()
	})
}
