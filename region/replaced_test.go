package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/fleet"
)

// replacedWithStart has another boot found at a worker to which a start is on its way. The list does not name that boot.
func (w *world) replacedWithStart(is *is.I) (x, next *simWorker) {
	sent := w.lateStart(700 * time.Millisecond)
	w.acceptLasting("00000000000000a1", 18)
	x = (<-sent).to
	next = w.bootUnlisted(x)
	time.Sleep(300 * time.Millisecond)
	w.setUnresponsive(x.vm.ID, true)
	l := w.planner().node.leadership.Load()
	is.True(w.awaitLeadState(l, time.Second, func() bool {
		return l.keepers[x.vm.ID] == "" && len(l.planner.RunsAt(x.vm.ID)) > 0 && l.roster[x.vm.ID].Settled
	}))
	return x, next
}

// Guards against a planner that cannot tell the next boot of a worker, or does not know which starts may reach it, since the
// store's roster has lost the former boot; and against records and keepers of workers that do not return.
func TestRosterNamesAReplacedBootUntilItsWorkerIsGone(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"start unconfirmed", "nothing unconfirmed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 113, 3, 9)
				settle()
				x := w.workers["w2"]
				if name == "start unconfirmed" {
					x, _ = w.replacedWithStart(is)
				} else {
					w.startLasting("00000000000000a1", 36)
					w.bootUnlisted(x)
				}
				time.Sleep(200 * time.Millisecond)
				id := x.vm.ID
				record := w.rosterRecord(id)
				is.Equal(record.VM.Address, x.vm.Address)
				is.Equal(record.VM.Born, x.vm.Born)
				is.True(record.Settled)
				is.True(record.NextBoot)
				is.Equal(len(record.Runs) > 0, name == "start unconfirmed")
				for _, r := range record.Runs {
					is.True(r.Unlisted())
				}
				l := w.planner().node.leadership.Load()
				for range 50 { // No keeper gets the worker.
					time.Sleep(10 * time.Millisecond)
					is.NoErr(l.duty.Do(w.ctx, func() {
						is.Equal(l.keepers[id], "")
						for _, vm := range l.planner.WorkersToHold() {
							is.True(vm.ID != id)
						}
					}))
				}
				w.unlist(x)
				is.True(w.awaitLeadState(l, 8500*time.Millisecond, func() bool {
					_, known := l.planner.WorkerVM(id)
					return !known
				}))
				time.Sleep(500 * time.Millisecond)
				is.Equal(w.rosterRecord(id).VM.ID, "")
				w.endWithoutDowntimeCheck()
			})
		})
	}
}

// Guards against the same as TestStartOfTheLastTermAtABootThatWasReplacedIsNotRepeated if the next planner as well finds the boot
// before the list names it, whether the list still names the former one or none.
func TestStartAtABootThatTwoPlannersFoundReplacedIsNotRepeated(t *testing.T) {
	t.Parallel()
	for name, change := range officeChanges {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, listed %t", name, listed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.NewRelaxed(t)
					w := newWorld(t, 112, 3, 9)
					settle()
					p := w.planner()
					l := p.node.leadership.Load()
					x, next := w.replacedWithStart(is)
					if !listed {
						w.unlist(x)
					}
					change(w, p)
					l = w.awaitNextTerm(l.term)
					w.cutOff(next, false)
					is.True(w.awaitLeadState(l, 3*time.Second, func() bool { return len(l.planner.ReplacedWorkers()) == 1 }))
					w.setStore(func(s *simStore) { s.put("workers/"+x.vm.ID, mustJSON(next.vm), 0) })
					time.Sleep(10 * time.Second)
					is.Equal(w.log.count("is carried out late"), 1)
					is.Equal(w.runningLasting(), 18)
					w.endWithoutDowntimeCheck()
				})
			})
		}
	}
}

// Guards against a record that goes on naming a start at a replaced boot that is no longer waited for.
func TestRecordIsChangedOnceAStartAtAReplacedBootIsGivenUp(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 112, 3, 9)
		settle()
		l := w.planner().node.leadership.Load()
		x, _ := w.replacedWithStart(is)
		time.Sleep(fleet.NextBootTimeout - 500*time.Millisecond)
		is.NoErr(l.duty.Do(w.ctx, func() {
			is.True(len(l.desired[x.vm.ID].Runs) > 0)
			l.reassign()
			for end := time.Now().Add(time.Second); len(l.planner.RunsAt(x.vm.ID)) > 0 && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
				l.decide()
			}
			is.Equal(len(l.planner.RunsAt(x.vm.ID)), 0)
			is.True(l.reassignPending)
			l.reassign()
			is.Equal(len(l.desired[x.vm.ID].Runs), 0)
		}))
		w.endWithoutDowntimeCheck()
	})
}
