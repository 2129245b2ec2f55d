package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/conf"
	"plantainwinch/stand"
	"plantainwinch/winch"
)

// Guards against tasks that are lost or run twice when the planner is killed while tasks run and wait. Its successor
// must adopt the running tasks and start the waiting ones.
func TestSuccessorAdoptsTasksOfAKilledPlanner(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		newPair(w)
		old := w.planner("d1")
		var other *node
		for _, n := range w.entries {
			if n != old {
				other = n
			}
		}
		job, r := w.submit(other, "choir", "mix", "j1", winch.Batch, 30, 10*time.Second)
		is.True(r.OK())
		billed, r := w.submit(other, "choir", "billed", "j2", winch.Batch, 2, 25*time.Second)
		is.True(r.OK())
		time.Sleep(12 * time.Second)
		old.kill()
		v := w.awaitJob(other, "choir", job.ID, 2*time.Minute)
		is.Equal(v.State, winch.JobDone)
		is.Equal(len(v.EndedTasks), 30)
		b := w.awaitJob(other, "choir", billed.ID, time.Minute)
		is.Equal(b.State, winch.JobDone)
		is.Equal(w.planner("d1"), other)
		again := 0
		for _, n := range w.startCounts() {
			again += n - 1
		}
		is.Equal(again, 0) // no task was started twice
	})
}

// Guards against a paused planner that still starts tasks: it is paused for longer than its lease while its start calls
// are under way, and resumes after its successor has taken over. The workers must reject its old epoch, it must give up
// the office, and no task may run twice.
func TestPlannerPausedPastItsLeaseIsFenced(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		newPair(w)
		old := w.planner("d1")
		other := w.otherEntry(old)
		job, r := w.submit(other, "choir", "mix", "j1", winch.Batch, 16, 20*time.Second)
		is.True(r.OK())
		time.Sleep(time.Second)
		second, r := w.submit(other, "choir", "billed", "j2", winch.Batch, 4, 5*time.Second)
		is.True(r.OK())
		old.pause()
		time.Sleep(20 * time.Second)
		is.Equal(w.planner("d1") != nil, true)
		old.resume()
		is.Equal(w.awaitJob(other, "choir", job.ID, 2*time.Minute).State, winch.JobDone)
		is.Equal(w.awaitJob(other, "choir", second.ID, 2*time.Minute).State, winch.JobDone)
		is.Equal(old.office.IsHolder(), false)
		is.Equal(other.office.IsHolder(), true)
	})
}

// Guards against a paused planner that still starts tasks where workers do not compare epochs. A planner that was paused
// for longer than its lease must detect by its own clock that it may not act any more.
func TestPlannerPausedPastItsLeaseStopsWithoutFencing(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.adjust = func(s *conf.Settings) { s.Cell.FenceAtVM = false }
		w.noFencing = true
		newPair(w)
		old := w.planner("d1")
		other := w.otherEntry(old)
		old.pause()
		time.Sleep(500 * time.Millisecond)
		job, r := w.submit(other, "choir", "billed", "j1", winch.Batch, 6, 5*time.Second)
		is.True(r.OK())
		time.Sleep(30 * time.Second)
		old.resume()
		is.Equal(w.awaitJob(other, "choir", job.ID, 2*time.Minute).State, winch.JobDone)
	})
}

// Guards against a planned stop of the planner that delays new jobs until the office's lease expires: the stopped
// planner must free the office at once, so that its successor starts new jobs without delay.
func TestPlannedStopHandsTheOfficeOverAtOnce(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		newPair(w)
		old := w.planner("d1")
		other := w.otherEntry(old)
		running, r := w.submit(other, "choir", "billed", "j1", winch.Batch, 4, 10*time.Second)
		is.True(r.OK())
		time.Sleep(time.Second)
		old.Stop(context.Background())
		old.kill()
		stopped := time.Now()
		job, r := w.submit(other, "choir", "mix", "j2", winch.Batch, 1, time.Second)
		is.True(r.OK())
		is.Equal(w.awaitJob(other, "choir", job.ID, time.Minute).State, winch.JobDone)
		is.True(time.Since(stopped) < 3*time.Second)
		is.Equal(w.awaitJob(other, "choir", running.ID, time.Minute).State, winch.JobDone)
		for _, n := range w.startCounts() {
			is.Equal(n, 1)
		}
	})
}

// Guards against a task that never runs again because its worker mistakes a new start for an earlier one: the worker
// still holds the result of the task under an earlier planner when the new planner starts the task there.
func TestNewPlannerStartsTheTaskAtTheSameWorker(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.addWorker("w1", "d1")
		w.addEntry("a", "d1")
		w.addEntry("b", "d1")
		w.settle()
		old := w.planner("d1")
		other := w.otherEntry(old)
		w.configure(other, 20, "choir")
		w.settle()
		job, r := w.submit(other, "choir", "mix", "j1", winch.Batch, 2, 30*time.Second)
		is.True(r.OK())
		time.Sleep(2 * time.Second)
		old.pause() // the leases of the tasks expire, since nobody renews them
		w.platform.SetFaults(platformDown)
		time.Sleep(20 * time.Second)
		w.platform.SetFaults(stand.Faults{})
		old.kill()
		is.Equal(w.awaitJob(other, "choir", job.ID, 10*time.Minute).State, winch.JobDone)
	})
}

// Guards against tasks that run twice while the successor cannot reach a worker. The old planner is separated from the
// store but still reaches that worker and renews its tasks' leases. The successor must not assume that these leases have
// expired while the worker is on the platform's list.
func TestSuccessorKeepsTasksOfAWorkerItCannotReach(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		newPair(w)
		old := w.planner("d1")
		other := w.otherEntry(old)
		job, r := w.submit(other, "choir", "mix", "j1", winch.Batch, 8, 2*time.Minute)
		is.True(r.OK())
		time.Sleep(2 * time.Second)
		busy, free := "w1", "w2"
		if w.workers["w2"].Counts().Running > 0 {
			busy, free = free, busy
		}
		is.Equal(w.workers[busy].Counts().Running, 8)
		w.partition(true, []string{other.Name()}, []string{busy})
		w.partition(true, []string{old.Name()}, []string{free}) // that worker would make the old planner give up the office
		w.partition(true, []string{"a"}, []string{"b"})
		old.partitionStore(true)
		time.Sleep(time.Minute)
		is.True(other.office.IsHolder())
		is.Equal(w.workers[busy].Counts().Running, 8) // the old planner still renews their leases
		w.partition(false, []string{other.Name()}, []string{busy})
		w.partition(false, []string{old.Name()}, []string{free})
		w.partition(false, []string{"a"}, []string{"b"})
		old.partitionStore(false)
		is.Equal(w.awaitJob(other, "choir", job.ID, 10*time.Minute).State, winch.JobDone)
		is.Equal(old.office.IsHolder(), false)
	})
}
