package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a worker that never gets work again: its record disappeared and came back before the keepers were chosen
// anew, so that its assignment goes on and its lists are not reported again.
func TestWorkerThatComesBackBeforeTheNextAssignmentIsUsable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 93, 3, 9)
		settle()
		l := w.planner().node.leadership.Load()
		is.NoErr(l.duty.Do(w.ctx, func() {
			vm := l.workers["w0"]
			delete(l.workers, "w0")
			l.setWorkers()
			l.listWorker(vm)
			l.setWorkers()
		}))
		time.Sleep(5 * time.Second)
		is.NoErr(l.duty.Do(w.ctx, func() { is.Equal(l.planner.Load().Usable, 9) }))
		w.end()
	})
}

// Guards against a task that is started a second time while its run goes on: the record of its worker lacks the start of
// the boot for a moment, or is one that an earlier boot wrote late.
func TestRunIsNotStartedAgainWhenItsWorkersRecordIsWrong(t *testing.T) {
	t.Parallel()
	for name, wrong := range map[string]func(vm *winch.WorkerVM){
		"start of the boot missing": func(vm *winch.WorkerVM) { vm.Born = 0 },
		"record of an earlier boot": func(vm *winch.WorkerVM) { vm.Born -= 5 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 94, 3, 9)
				settle()
				w.startLasting("00000000000000b1", 1)
				vm := w.workerOfOnlyRun()
				record := vm
				wrong(&record)
				w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(record), 0) })
				time.Sleep(time.Second)
				w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(vm), 0) })
				time.Sleep(5 * time.Second)
				l := w.planner().node.leadership.Load()
				is.NoErr(l.duty.Do(w.ctx, func() { is.Equal(l.planner.Load().Usable, 9) }))
				w.end()
			})
		})
	}
}

// Guards against a task that is started a second time while its run goes on: a planner takes over while the record of its
// worker lacks the start of the boot, or is one that an earlier boot wrote late.
func TestRunIsNotStartedAgainWhenItsWorkersRecordIsWrongAtATakeover(t *testing.T) {
	t.Parallel()
	for name, wrong := range map[string]func(vm *winch.WorkerVM){
		"start of the boot missing": func(vm *winch.WorkerVM) { vm.Born = 0 },
		"record of an earlier boot": func(vm *winch.WorkerVM) { vm.Born -= 5 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 95, 3, 9)
				settle()
				w.startLasting("00000000000000b1", 1)
				vm := w.workerOfOnlyRun()
				record := vm
				wrong(&record)
				w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(record), 0) })
				old := w.planner()
				old.kill()
				w.awaitOtherPlanner(old)
				time.Sleep(2 * time.Second)
				w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(vm), 0) })
				time.Sleep(5 * time.Second)
				l := w.planner().node.leadership.Load()
				is.NoErr(l.duty.Do(w.ctx, func() { is.Equal(l.planner.Load().Usable, 9) }))
				w.end()
			})
		})
	}
}

// workerOfOnlyRun returns the worker at which the only run of the world goes on.
func (w *world) workerOfOnlyRun() (out winch.WorkerVM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.workers {
		x.mu.Lock()
		if len(x.runs) > 0 {
			out = x.vm
		}
		x.mu.Unlock()
	}
	return out
}
