package region

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/winch"
)

// maxCallerAttempts is how often a caller submits a job, with the same ID.
const maxCallerAttempts = 5

// burstJobs is the number of jobs of each of two bursts, of two seconds.
const burstJobs = 360

// overloadCallers submit jobs as callers do, and remember what they were told.
type overloadCallers struct {
	world *world
	mu    sync.Mutex
	// accepted counts the jobs that were accepted, refused holds those that were only ever refused.
	accepted int
	refused  []string
}

// awaitEnd asks for the state of an accepted job until it has ended, at most for two minutes.
func (x *overloadCallers) awaitEnd(id string) {
	x.mu.Lock()
	x.accepted++
	x.mu.Unlock()
	for range 120 {
		time.Sleep(time.Second)
		n := x.world.randomNode()
		x.world.mu.Lock()
		node := n.node
		x.world.mu.Unlock()
		if x.world.ctx.Err() != nil {
			return
		}
		if node == nil {
			continue
		}
		if state, result := node.State(x.world.ctx, id); result.OK() && state.Final() {
			return
		}
	}
	x.world.t.Errorf("job %s was accepted but has not ended", id)
}

// call submits a job to random entries until it is accepted, and comes back as it is told.
func (x *overloadCallers) call(id string) {
	w := x.world
	onlyRefused := true
	for range maxCallerAttempts {
		n := w.randomNode()
		w.mu.Lock()
		node := n.node
		w.mu.Unlock()
		if node == nil || node.Config() == nil {
			time.Sleep(time.Second)
			continue
		}
		result := w.submitTo(node, id)
		switch {
		case result.OK():
			x.awaitEnd(id)
			return
		case result.Reason != winch.Overloaded:
			onlyRefused = false // The result may be unknown, also that of an entry that was killed meanwhile.
		}
		time.Sleep(max(time.Second, result.RetryAfter))
		if w.ctx.Err() != nil {
			return
		}
	}
	if onlyRefused {
		x.mu.Lock()
		x.refused = append(x.refused, id)
		x.mu.Unlock()
	}
}

// checkRefused reports a violation for each refused job that is stored or has run.
func (x *overloadCallers) checkRefused() {
	for _, id := range x.refused {
		s, ended, err := x.world.anyNode().readJob(x.world.ctx, id)
		if err != nil || s.job != nil || ended != nil {
			x.world.t.Errorf("job %s was refused but is stored: %v", id, err)
		}
		x.world.mu.Lock()
		for index := range 2 {
			if task := (winch.RunID{Job: id, Index: index}); len(x.world.completed[task])+x.world.running[task] > 0 {
				x.world.t.Errorf("job %s was refused but has run", id)
			}
		}
		x.world.mu.Unlock()
	}
}

// Guards against accepted jobs that are dropped, refused jobs that run, and refusals that never end, while
// four times the capacity arrives in bursts and faults of all kinds overlap.
func TestRandomFaultsInOverload(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				settle()
				w.group.Go(func() { w.playRandomFaults(12, entryFaults) })
				x := &overloadCallers{world: w}
				var callers conc.WaitGroup
				for i := range 2 * burstJobs {
					callers.Go(func() { x.call(fmt.Sprintf("%016x", i)) })
					time.Sleep(time.Second / 180) // Four times the capacity, as these jobs have two tasks.
					if i == burstJobs {
						time.Sleep(6 * time.Second)
					}
				}
				callers.Wait()
				t.Logf("accepted %d, only refused %d, refusals %d", x.accepted, len(x.refused), w.counter("Admission.Refused"))
				x.checkRefused()
				w.end()
			})
		})
	}
}
