package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// unheard returns times after a worker is gone at which its keeper, whose last call
// the worker may still be answering, cannot yet know of it. The steps are small beside
// the half second after which an entry renews its own record.
func unheard() (out []time.Duration) {
	for after := 975 * time.Millisecond; after < 1600*time.Millisecond; after += 50 * time.Millisecond {
		out = append(out, after)
	}
	return append(out, 100*time.Millisecond, 600*time.Millisecond, 1900*time.Millisecond)
}

// A worker that the planner's own entry keeps leaves as it has said, and before its
// silence is noticed that entry is stopped as planned. Nothing but planned work
// happens. The entry gives the office up at once and goes on for two seconds; but if its
// own record is gone before the next planner has looked, that one begins no session
// with it, hears nothing of until when the worker's lease runs, and waits for the
// longest one. The listener of a room that should stay open all week finds it closed
// for more than nine seconds.
func TestPlannerThatKeepsAWorkerStopsBeforeItsSilenceIsNoticed(t *testing.T) {
	for _, after := range unheard() {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := lastingWorld(t, 41)
				p := w.planner()
				worker, _ := w.keptBy(p, true)
				w.leave(worker)
				time.Sleep(after)
				w.stopsAsPlanned(p, 2*time.Second, 300*time.Millisecond)
				w.checkLasting(is, 18)
			})
		})
	}
}

// The same with an entry that is not the planner: the planner takes its workers from
// it while it goes on, and hears until when their leases run.
func TestKeeperStopsBeforeTheSilenceOfItsWorkerIsNoticed(t *testing.T) {
	for _, after := range unheard() {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := lastingWorld(t, 42)
				worker, keeper := w.keptBy(w.planner(), false)
				w.leave(worker)
				time.Sleep(after)
				w.stopsAsPlanned(keeper, 2*time.Second, 300*time.Millisecond)
				w.checkLasting(is, 18)
			})
		})
	}
}

// A worker is gone, and before its silence is noticed the entry that keeps it is
// killed, the planner's or another, and its next process starts. What the lost process
// had allowed to run ends a lease after its end at the latest, but the longest
// authority that it could have had is waited for, counted from when others noticed.
// Long after all is calm again users still find the room closed.
func TestKeeperIsKilledBeforeTheSilenceOfItsWorkerIsNoticed(t *testing.T) {
	for _, own := range []bool{true, false} {
		for _, after := range unheard() {
			t.Run(fmt.Sprintf("planner %v %v", own, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := lastingWorld(t, 43)
					w.checksWindows()
					p := w.planner()
					worker, keeper := w.keptBy(p, own)
					w.leave(worker)
					time.Sleep(after)
					w.disturb(true)
					keeper.kill()
					time.Sleep(200 * time.Millisecond)
					keeper.start()
					w.disturb(false)
					w.checkLasting(is, 18)
				})
			})
		}
	}
}
