package region

import (
	"testing"
	"testing/synctest"
	"time"

	"plantainwinch/winch"
)

// Guards against starts beyond a worker's capacity after it was reduced. The workers' records in the
// store state less capacity while the store is down. Known work goes on for some seconds without the
// store, and the planner must still respect the new capacity.
func TestNothingIsStartedBeyondReducedCapacity(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 41, 3, 6)
		settle()
		phases := make([]winch.Phase, 24)
		for i := range phases {
			phases[i] = simPhase(2)
			if i > 0 {
				phases[i].After = []int{i - 1}
			}
		}
		w.submit("00000000000000b1", phases...)
		w.setStoreUnavailable(true)
		for _, x := range w.workers {
			w.setCapacity(x, 0, time.Now())
		}
		time.Sleep(8 * time.Second)
		for _, x := range w.workers {
			w.setCapacity(x, simVM("", "", "").Room.Milli, time.Time{})
		}
		w.setStoreUnavailable(false)
		w.await("00000000000000b1", 40*time.Second)
		w.end()
	})
}
