package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// cutEntry cuts an entry off from the store and all other entries, but not from the workers, or ends that. Unless it is cut
// off in both directions, only what it sends to other entries is lost.
func (w *world) cutEntry(n *simNode, bothWays, on bool) {
	w.log.note("entry %s is cut off: %v, both ways: %v", n.host, on, bothWays)
	w.setStore(func(s *simStore) {
		if s.refusedHosts == nil {
			s.refusedHosts = make(map[string]bool)
		}
		s.refusedHosts[n.host] = on
	})
	delta := -1
	if on {
		delta = 1
	}
	for host := range w.nodes {
		if path := (simPath{n.host, host}); host != n.host && bothWays {
			w.changeLink(path, delta)
		} else if host != n.host {
			w.mu.Lock()
			w.blockedPaths[path] += delta
			w.mu.Unlock()
		}
	}
	w.noteLinks()
}

// Guards against tasks of a crashed worker that never start again: the entry that kept the worker for the earlier planner
// was cut off while another boot replaced it, and reports its runs to a planner that knows that they have ended.
func TestRunsOfAReplacedBootDoNotComeBackWithTheirEarlierKeeper(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 101)
		w.startLasting("00000000000000a2", 18) // No slot is free, so that the tasks wait for the next boot.
		for w.runningLasting() < 36 {
			time.Sleep(10 * time.Millisecond)
		}
		earlier := w.planner()
		worker, _ := w.workerKeptBy(earlier, true)
		x := w.workers[worker]
		w.cutEntry(earlier, true, true)
		w.terminateBoot(x, false)
		successor := w.planner()
		for successor == nil || successor == earlier {
			time.Sleep(5 * time.Millisecond)
			successor = w.planner()
		}
		l := successor.node.leadership.Load()
		time.Sleep(time.Second)
		next := x.vm
		next.ID, next.Draining = "x1", true
		w.bootWorker(next, 0)
		is.True(w.awaitLeadState(l, 6*time.Second, func() bool { return len(l.planner.RunsAt(worker)) == 0 }))
		w.cutEntry(earlier, true, false)
		is.NoErr(l.duty.Do(w.ctx, func() { l.sendAssignments(earlier.node.Name) }))
		time.Sleep(time.Second)
		w.unlist(x)
		next = w.workers["x1"].vm
		next.Draining = false
		w.setStore(func(s *simStore) { s.put("workers/x1", mustJSON(next), 0) })
		w.checkLasting(is, 36)
	})
}
