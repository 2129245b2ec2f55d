package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that run twice, or never again, after the return of a worker that does not name the start of its boot and
// whose clock shows an earlier time than before.
func TestReturnOfAWorkerThatNamesNoBoot(t *testing.T) {
	t.Parallel()
	testUnnamedReturn(t, -10*time.Minute)
}

// Guards against the same if its clock shows a later time, so that the numbers of its ends are taken for those of the boot before:
// ends are forgotten unseen, or never reported.
func TestReturnOfAWorkerThatNamesNoBootWithALaterClock(t *testing.T) {
	t.Parallel()
	for name, ahead := range map[string]time.Duration{"ahead": 10 * time.Minute, "nearly the same": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testUnnamedReturn(t, ahead)
		})
	}
}

func testUnnamedReturn(t *testing.T, ahead time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 114, 3, 3)
		x := w.bootUnnamed(simVM("u0", "u0", "d0"), time.Hour)
		settle()
		w.startLasting("00000000000000a1", 8)
		ids := w.submitJobs(0, 20)
		w.awaitAll(ids, 20*time.Second)
		is.True(len(x.runs) > 0 && x.lastEnded > 0)
		w.terminateBoot(x, false)
		time.Sleep(200 * time.Millisecond)
		next := w.bootUnnamed(x.vm, x.clock()+ahead)
		for i := range 3 {
			ids = w.submitJobs(100*(i+1), 100*(i+1)+20)
			w.awaitAll(ids, 20*time.Second)
		}
		is.True(next.starts > 0)
		time.Sleep(8 * time.Second)
		is.Equal(w.runningLasting(), 8)
		w.checkDownLasting()
		w.end()
	})
}

// Guards against a task that is started elsewhere while its run goes on at the next boot of a worker that does not name the start
// of its boot: a call for the former boot gave it the longest lease.
func TestNextBootThatNamesNoneIsLostAfterTheLongestLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 115, 3, 5)
		x := w.bootUnnamed(simVM("u0", "u0", "d0"), time.Hour)
		settle()
		w.startLasting("00000000000000a1", 24) // No worker has a free slot.
		w.acceptLasting("00000000000000a2", 4)
		time.Sleep(2 * time.Second)
		w.terminateBoot(x, false)
		next := w.bootUnnamed(x.vm, time.Minute)
		for end := time.Now().Add(8 * time.Second); w.runsAt("u0") == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		is.True(next.starts > 0)
		w.setUnresponsive("u0", true)
		for i := range 6 { // Some are for tasks that are suspected of having ended the former boot.
			w.addWorker(fmt.Sprintf("x%d", i), fmt.Sprintf("d%d", i%3))
		}
		time.Sleep(12 * time.Second)
		is.Equal(w.runningLasting(), 28)
		w.endWithoutDowntimeCheck()
	})
}
