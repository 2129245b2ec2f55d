package region

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// playRandomFaults injects faults of all kinds, several at a time, and ends each after a random time.
func (w *world) playRandomFaults(steps int) {
	for range steps {
		time.Sleep(time.Duration(300+w.intn(2000)) * time.Millisecond)
		length := time.Duration(500+w.intn(7000)) * time.Millisecond
		kind := w.intn(8)
		w.log.note("injecting fault of kind %d for %v", kind, length)
		switch kind {
		case 0:
			if p := w.planner(); p != nil {
				w.killAndRestart(p, length/4)
			}
		case 1:
			w.killAndRestart(w.randomNode(), length/4)
		case 2:
			for _, n := range w.nodes {
				if w.intn(2) == 0 {
					w.killAndRestart(n, length/4)
				}
			}
		case 3:
			domain := w.randomNode().domain
			w.injectFor(length, func(on bool) { w.partitioned[domain] = on })
		case 4:
			w.injectFor(length, func(on bool) { w.setStoreUnavailable(on) })
		case 5:
			w.injectFor(length, func(on bool) {
				w.setStore(func(s *simStore) { s.losesResponses = on })
			})
		case 6:
			x := w.workers[fmt.Sprintf("w%d", w.intn(len(w.workers)))]
			w.injectFor(length, func(on bool) {
				x.mu.Lock()
				x.losesResponses = on
				x.mu.Unlock()
			})
		case 7:
			if p := w.planner(); p != nil {
				p.stop()
				w.killAndRestart(p, length/4)
			}
		}
	}
}

// randomNode returns a random entry.
func (w *world) randomNode() *simNode {
	return w.nodes[fmt.Sprintf("d%d-%d", w.intn(len(w.nodes)/entriesPerDomain), w.intn(entriesPerDomain))]
}

// killAndRestart kills an entry, if it runs, and restarts it after a delay.
func (w *world) killAndRestart(n *simNode, delay time.Duration) {
	w.mu.Lock()
	running := n.node != nil
	w.mu.Unlock()
	if !running {
		return
	}
	n.kill()
	w.group.Go(func() {
		time.Sleep(delay)
		if w.ctx.Err() == nil {
			n.start()
		}
	})
}

// injectFor turns a fault on and, after a time, off again. It calls set with the world's mutex held.
func (w *world) injectFor(length time.Duration, set func(on bool)) {
	w.mu.Lock()
	set(true)
	w.mu.Unlock()
	w.group.Go(func() {
		time.Sleep(length)
		w.mu.Lock()
		set(false)
		w.mu.Unlock()
	})
}

// Flags that choose the seeds of the random tests.
var (
	firstSeed = flag.Uint64("first", 0, "first seed of the random tests")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of the random tests")
)

// Guards against jobs that never end, tasks that run more often at once than their phase permits, and
// starts beyond a worker's capacity. With odd seeds, workers of two speeds take part. Faults of all kinds overlap: entries are killed, domains
// partitioned, the store is down or loses responses, and workers carry out calls without responding.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				if seed%2 == 1 {
					w.setSlow(2, "w1", "w5")
				}
				settle()
				w.group.Go(func() { w.playRandomFaults(12) })
				ids := w.submitJobs(0, 40)
				for i := range 10 {
					ids = append(ids, w.submitCopied(fmt.Sprintf("%016x", 0xd000+i)))
					time.Sleep(3 * time.Second)
				}
				w.awaitAll(ids, 60*time.Second)
				w.end()
			})
		})
	}
}
