package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that are started a second time by a planner that takes over without a copy while the list holds a
// record of their worker that an earlier boot wrote late: the roster names the later boot.
func TestNewPlannerDoesNotTakeAnEarlierRecordForAnotherBoot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 98, 3, 9)
		settle()
		w.startLasting("00000000000000b1", 1)
		vm := w.workerOfOnlyRun()
		record := vm
		record.Born -= 5
		p, standby := w.planner(), w.namedStandby()
		is.True(standby != nil)
		p.kill()
		standby.kill()
		w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(record), 0) })
		w.awaitOtherPlanner(p)
		time.Sleep(2 * time.Second)
		w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(vm), 0) })
		time.Sleep(5 * time.Second)
		l := w.planner().node.leadership.Load()
		is.NoErr(l.duty.Do(w.ctx, func() { is.Equal(l.planner.Load().Usable, 9) }))
		w.end()
	})
}

// Guards against a worker that never gets work again: it booted again while the planner and its standby were lost, and its
// clock was set back before, so that the roster names a later start.
func TestNewPlannerUsesABootWhoseClockWasSetBack(t *testing.T) {
	t.Parallel()
	for name, respondsLate := range map[string]bool{"responds at once": false, "responds late": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 99, 3, 9)
				settle()
				w.startLasting("00000000000000b1", 1)
				vm := w.workerOfOnlyRun()
				p, standby := w.planner(), w.namedStandby()
				is.True(standby != nil)
				p.kill()
				standby.kill()
				w.terminateWorker(vm.ID)
				w.mu.Lock()
				w.bootCount -= 20
				w.mu.Unlock()
				w.bootWorker(vm, 0)
				w.setUnresponsive(vm.ID, respondsLate)
				w.awaitOtherPlanner(p)
				time.Sleep(12 * time.Second)
				w.setUnresponsive(vm.ID, false)
				time.Sleep(5 * time.Second)
				l := w.planner().node.leadership.Load()
				is.NoErr(l.duty.Do(w.ctx, func() { is.Equal(l.planner.Load().Usable, 9) }))
				is.Equal(w.runningLasting(), 1)
				w.endWithoutDowntimeCheck()
			})
		})
	}
}
