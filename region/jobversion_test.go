package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a job that is planned by an older configuration than the one by which it was allowed: its queue may have
// another service since.
func TestJobWaitsForTheConfigurationThatAllowedIt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 91, 3, 3)
		other := simVM("other", "other", "d0")
		other.Service = "elsewhere"
		w.bootWorker(other, 0)
		settle()
		old := simConfig(2)
		old.Queues[0].Service = other.Service
		w.setStore(func(s *simStore) { s.put("op/config", mustJSON(old), 0) })
		time.Sleep(5 * time.Second)
		planner := w.planner()
		w.hangOperatorWatches(time.Time{}, time.Now().Add(time.Minute), func(host string) bool { return host == planner.host })
		time.Sleep(50 * time.Millisecond)
		w.writeConfig(3)
		time.Sleep(20 * time.Millisecond)
		f := w.follower()
		is.Equal(f.node.Config().Version, uint64(3))
		is.True(f.node.Submit(w.ctx, &winch.PhasedJob{
			ID: "00000000000000a1", Queue: "preview", Team: "choir", Settings: 3, Command: "work",
			Phases: []winch.Phase{{Count: 1, Need: winch.Capacity{Milli: taskMilli}}},
		}).OK())
		is.Equal(w.await("00000000000000a1", 5*time.Second), winch.JobDone)
		is.Equal(w.startsAt("other"), 0) // it ran at the service of version 3
		w.end()
	})
}

// startsAt returns how many runs a worker has started.
func (w *world) startsAt(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[id]
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.starts
}
