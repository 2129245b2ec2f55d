package region

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// entryFaults is the number of kinds of faults of entries, the store and the network between failure domains, allFaults
	// that of all kinds, of which the last one counts for six.
	entryFaults = 8
	allFaults   = 16
)

// playRandomFaults injects faults of the first kinds, several at a time, and ends each after a random time.
func (w *world) playRandomFaults(steps, kinds int) {
	for range steps {
		time.Sleep(time.Duration(300+w.intn(2000)) * time.Millisecond)
		length := time.Duration(500+w.intn(7000)) * time.Millisecond
		kind := w.intn(kinds)
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
			x := w.randomFirstBoot()
			if x == nil {
				continue // More workers than before: some have crashed and are back under other IDs.
			}
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
		case 8:
			w.crashWorkers(1+w.intn(3), length/4)
		case 9:
			w.cutPlanner(length)
		default:
			// Workers crash right after a cut begins or right before it ends.
			at := 50 * time.Millisecond
			if w.intn(2) == 0 {
				at = length - at
			}
			w.cutPlanner(length)
			count, pause := 1+w.intn(4), time.Duration(100+w.intn(3000))*time.Millisecond
			w.group.Go(func() {
				time.Sleep(at)
				w.crashWorkers(count, pause)
			})
		}
	}
}

// cutPlanner cuts the planner's entry off from the store and all other entries, but not from the workers: in both
// directions, or only what it sends to other entries.
func (w *world) cutPlanner(length time.Duration) {
	p := w.planner()
	if p == nil {
		return
	}
	oneWay := w.intn(3) == 0
	w.cutEntry(p, !oneWay, true)
	w.group.Go(func() {
		time.Sleep(length)
		w.cutEntry(p, !oneWay, false)
	})
}

// crashWorkers ends healthy workers without an announcement. After a pause another boot follows, under the same ID or under
// a new one at the same address.
func (w *world) crashWorkers(count int, pause time.Duration) {
	for range count {
		w.mu.Lock()
		ids := slices.Sorted(maps.Keys(w.workers))
		x := w.workers[ids[w.intn(len(ids))]]
		w.mu.Unlock()
		if !w.terminateBoot(x, false) {
			continue
		}
		next := x.vm
		if w.intn(2) == 0 {
			next.ID = fmt.Sprintf("%s+", x.vm.ID)
		}
		w.group.Go(func() {
			time.Sleep(crashedRecordLifetime)
			w.unlist(x)
		})
		w.group.Go(func() {
			time.Sleep(pause)
			w.bootWorker(next, 0)
		})
	}
}

// randomFirstBoot returns a random worker under one of the IDs that there were in the beginning, or nil if the ID drawn is not
// among them.
func (w *world) randomFirstBoot() *simWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[fmt.Sprintf("w%d", w.intn(len(w.workers)))]
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
	randomFaults(t, entryFaults)
}

// Guards against the failures of TestRandomFaults when, besides, healthy workers crash and the planner's entry alone is cut
// off: it goes on managing workers for a while, and what it knows of them becomes outdated.
func TestRandomCuts(t *testing.T) {
	t.Parallel()
	randomFaults(t, allFaults, 27, 34, 44, 186, 187)
}

// randomFaults plays one scenario with faults of the first kinds per seed, and checks the jobs. Seeds of earlier failures
// are played besides.
func randomFaults(t *testing.T, kinds int, earlierFailures ...uint64) {
	all := earlierFailures
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		all = append(all, seed)
	}
	slices.Sort(all)
	for _, seed := range slices.Compact(all) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				if seed%2 == 1 {
					w.setSlow(2, "w1", "w5")
				}
				settle()
				w.group.Go(func() { w.playRandomFaults(12, kinds) })
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
