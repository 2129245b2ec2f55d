package region

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/fleet"
	"plantainwinch/winch"
)

func simPhase(count int, after ...int) winch.Phase {
	return winch.Phase{Count: count, Need: winch.Room{Milli: simMilli}, Estimate: simWork, After: after}
}

// settle gives the entries time to find each other and to choose a planner.
func settle() { time.Sleep(3 * time.Second) }

// jobs hands some jobs in and returns their IDs.
func (w *world) jobs(from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		id := fmt.Sprintf("%016x", i)
		out = append(out, id)
		w.submit(id, simPhase(4), simPhase(3, 0))
	}
	return out
}

func (w *world) awaitAll(ids []string, limit time.Duration) {
	for _, id := range ids {
		w.await(id, limit)
	}
}

// A region without faults: jobs that are accepted at any entry run and are
// shown as done at any other.
func TestCalmRegion(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1, 3, 9)
		settle()
		ids := w.jobs(0, 10)
		w.awaitAll(ids, 20*time.Second)
		is.True(w.planner() != nil)
		w.end()
	})
}

// The planner is killed while work runs. Another takes over within two seconds
// or so; what runs goes on, and no job is lost or run twice.
func TestPlannerKilled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 3, 9)
		settle()
		ids := w.jobs(0, 8)
		p := w.planner()
		p.kill()
		lost := time.Now()
		for w.planner() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(lost) < 2*time.Second)
		w.awaitAll(ids, 20*time.Second)
		w.end()
	})
}

// The planner's process is killed and started again at once. Its next process
// knows that the office's holder has ended and frees the office, so the standby
// takes over long before the lease lapses: callers notice next to nothing.
func TestPlannerKilledAndStartedAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 3, 9)
		settle()
		ids := w.jobs(0, 8)
		p := w.planner()
		p.kill()
		time.Sleep(50 * time.Millisecond)
		p.start()
		again := time.Now()
		for w.planner() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(again) < officeTTL/2)
		is.True(w.planner() != p) // The standby, which knows what runs.
		w.awaitAll(ids, 20*time.Second)
		w.end()
	})
}

// A worker goes silent, and a moment later all entries lose power: nobody is left
// who knows what ran there. The store tells it, so the jobs that ran elsewhere go on
// as soon as the other workers have answered. Waiting until everything at the
// silent worker had surely ended would take them eight seconds.
func TestSilentWorkerHoldsNothingUpAfterAPowerLoss(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 9, 3, 9)
		settle()
		w.silence("w0", true)
		time.Sleep(3 * time.Second)
		ids := w.jobs(0, 12)
		time.Sleep(100 * time.Millisecond)
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			n.start()
		}
		w.awaitAll(ids, 6*time.Second)
		w.silence("w0", false)
		time.Sleep(3 * time.Second)
		var usable int
		l := w.planner().node.lead.Load()
		is.NoErr(l.duty.Do(w.ctx, func() { usable = l.planner.Load().Usable }))
		is.Equal(usable, 9) // It gets work again.
		w.end()
	})
}

// The large VMs are killed, and a small one takes the office over. Once a large
// one is back the office goes there, and the small one plans no longer: it was
// seen to fall behind for as long as it did, and all work was late.
func TestOfficeGoesBackToAStrongEntry(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 8, 3, 9)
		w.mu.Lock()
		w.share = map[string]int{"d0-0": 1000, "d1-0": 1000}
		w.mu.Unlock()
		large := []*simNode{w.nodes["d0-0"], w.nodes["d1-0"]}
		for _, n := range large {
			n.kill()
		}
		settle()
		small := w.planner()
		is.True(small != nil)
		ids := w.jobs(0, 8)
		for _, n := range large {
			n.start()
		}
		time.Sleep(5 * time.Second)
		is.True(slices.Contains(large, w.planner()))
		w.awaitAll(ids, 20*time.Second)
		w.end()
	})
}

// All entries lose power, and the weak VMs are back a moment before the strong
// ones, while a worker does not answer. The office still goes to a strong entry
// soon: a weak one was seen to need five seconds until it knew what runs, and all
// that time nothing was started.
func TestStrongEntriesTakeTheOfficeAfterAPowerLoss(t *testing.T) {
	t.Parallel()
	for name, later := range map[string]time.Duration{"at once": 300 * time.Millisecond, "later": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 10, 3, 9)
				w.mu.Lock()
				w.share = map[string]int{"d0-0": 1000, "d1-0": 1000}
				w.mu.Unlock()
				large := []*simNode{w.nodes["d0-0"], w.nodes["d1-0"]}
				for _, n := range large {
					n.kill()
					n.start()
				}
				settle()
				for _, n := range w.nodes {
					n.kill()
				}
				w.silence("w0", true)
				time.Sleep(time.Second)
				for _, n := range w.nodes {
					if !slices.Contains(large, n) {
						n.start()
					}
				}
				time.Sleep(later)
				for _, n := range large {
					n.start()
				}
				time.Sleep(4 * time.Second)
				is.True(slices.Contains(large, w.planner()))
				w.end()
			})
		})
	}
}

// The planner is stopped as planned while the store takes 300 ms for each call. It
// gives the office up with one call, since its standby knows all runs. Writing
// everything down before would take longer than its lease, and nothing would start
// for seconds.
func TestPlannerStopsWhileTheStoreIsSlow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 7, 3, 9)
		settle()
		w.store.mu.Lock()
		w.store.slow = 300 * time.Millisecond
		w.store.mu.Unlock()
		ids := w.jobs(0, 8)
		p := w.planner()
		begin := time.Now()
		p.stop()
		for w.planner() == nil || w.planner() == p {
			time.Sleep(5 * time.Millisecond)
		}
		is.True(time.Since(begin) < 2*time.Second) // five calls to the store, one after the other
		w.awaitAll(ids, 30*time.Second)
		w.end()
	})
}

// The store is silent for some seconds, the planner's failure domain is cut off,
// and then the store is back for the other domains. Calls that were sent into the
// outage are never answered. The others see within a second that the store is
// back and the office free; waiting for their old calls to time out would add four.
func TestStoreBackIsSeenSoon(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 6, 3, 9)
		settle()
		p := w.planner()
		w.store.mu.Lock()
		w.store.down, w.store.swallow = true, true
		w.store.mu.Unlock()
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		w.cut[p.domain] = true
		w.mu.Unlock()
		time.Sleep(4 * time.Second)
		w.store.mu.Lock()
		w.store.down = false
		w.store.mu.Unlock()
		back := time.Now()
		for next := w.planner(); next == nil || next == p; next = w.planner() {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(back) < time.Second)
		w.mu.Lock()
		w.cut[p.domain] = false
		w.mu.Unlock()
		w.store.mu.Lock()
		w.store.swallow = false
		w.store.mu.Unlock()
		w.end()
	})
}

// The store turns one entry away and serves the others, while the operator
// withdraws a key. The entry hears of it from its peers, and the key stops working
// there within the two seconds that the operator was promised. What is passed on
// is one copy for the entry that lacks it, not one for each pair of entries.
func TestSettingsReachAnEntryThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 5, 3, 9)
		settle()
		n := w.nodes["d1-1"]
		w.mu.Lock()
		before := w.copies
		w.mu.Unlock()
		w.store.mu.Lock()
		w.store.refused = map[string]bool{n.host: true}
		w.store.put("op/config", mustJSON(simConfig(2)), 0)
		w.store.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, x := range w.nodes {
			is.Equal(x.node.Config().Version, uint64(2))
		}
		w.mu.Lock()
		is.Equal(w.copies-before, 1)
		w.mu.Unlock()
		w.store.mu.Lock()
		w.store.refused = nil
		w.store.mu.Unlock()
		w.end()
	})
}

// The planner's failure domain is cut off from the store and the other domains.
// The standby takes over and knows what runs there, so jobs that were accepted
// before go on at once in the other domains, and no task runs on both sides.
func TestPlannerCutOffWithItsDomain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, 3, 9)
		settle()
		ids := w.jobs(0, 30)
		p := w.planner()
		w.mu.Lock()
		w.cut[p.domain] = true
		w.mu.Unlock()
		cut := time.Now()
		time.Sleep(4 * time.Second)
		next := w.planner()
		is.True(next != nil)
		is.True(next.domain != p.domain)
		var started int64
		w.mu.Lock()
		l := next.node.lead.Load()
		w.mu.Unlock()
		is.NoErr(l.duty.Do(w.ctx, func() { started = l.planner.Counts().Started }))
		is.True(started > 0) // within the cut, long before the barrier
		time.Sleep(8*time.Second - time.Since(cut))
		w.mu.Lock()
		w.cut[p.domain] = false
		w.mu.Unlock()
		w.awaitAll(ids, 30*time.Second)
		w.end()
	})
}

// All entries lose power at once and start again. Nothing that was accepted is
// lost, and what still runs at the workers is found and not started again.
func TestAllEntriesKilled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 3, 9)
		settle()
		ids := w.jobs(0, 12)
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			n.start()
		}
		w.awaitAll(ids, 30*time.Second)
		w.end()
	})
}

// A planned stop of the planner: the office changes hands at once, nothing that
// runs is stopped and nothing waits.
func TestPlannerStopsAsPlanned(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 5, 3, 9)
		settle()
		ids := w.jobs(0, 8)
		p := w.planner()
		begin := time.Now()
		p.stop()
		for w.planner() == nil || w.planner() == p {
			time.Sleep(5 * time.Millisecond)
		}
		is.True(time.Since(begin) < 500*time.Millisecond)
		w.awaitAll(ids, 20*time.Second)
		w.end()
	})
}

// The store is down for some seconds while the answers to some writes are lost
// before and after. Submissions are refused or uncertain meanwhile, and those
// that were accepted are done exactly once.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, 3, 9)
		settle()
		w.store.mu.Lock()
		w.store.lossy = true
		w.store.mu.Unlock()
		ids := w.jobs(0, 8)
		w.setDown(true)
		time.Sleep(5 * time.Second)
		w.setDown(false)
		ids = append(ids, w.jobs(8, 12)...)
		w.awaitAll(ids, 40*time.Second)
		w.end()
	})
}

func (w *world) setDown(down bool) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.down = down
}

// The store is down, and nothing else. Work that was accepted before goes on:
// its next phases start, through the same planner, until the store is back.
func TestWorkGoesOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 7, 3, 3)
		settle()
		ids := w.jobs(0, 12)
		p := w.planner()
		l := p.node.lead.Load()
		w.setDown(true)
		time.Sleep(2 * time.Second) // the lease on the office has run out
		var before, after fleet.Counts
		is.NoErr(l.duty.Do(w.ctx, func() { before = l.planner.Counts() }))
		time.Sleep(2 * time.Second)
		is.NoErr(l.duty.Do(w.ctx, func() { after = l.planner.Counts() }))
		is.True(after.Started > before.Started)
		w.setDown(false)
		w.awaitAll(ids, 40*time.Second)
		w.end()
	})
}

// randomFaults plays faults of all kinds, several at a time, and mends them.
func (w *world) randomFaults(steps int) {
	for range steps {
		time.Sleep(time.Duration(300+w.intn(2000)) * time.Millisecond)
		length := time.Duration(500+w.intn(7000)) * time.Millisecond
		kind := w.intn(8)
		w.log.note("fault %d for %v", kind, length)
		switch kind {
		case 0:
			if p := w.planner(); p != nil {
				w.restart(p, length/4)
			}
		case 1:
			w.restart(w.anyNode(), length/4)
		case 2:
			for _, n := range w.nodes {
				if w.intn(2) == 0 {
					w.restart(n, length/4)
				}
			}
		case 3:
			domain := w.anyNode().domain
			w.during(length, func(on bool) { w.cut[domain] = on })
		case 4:
			w.during(length, func(on bool) { w.setDown(on) })
		case 5:
			w.during(length, func(on bool) {
				w.store.mu.Lock()
				w.store.lossy = on
				w.store.mu.Unlock()
			})
		case 6:
			x := w.workers[fmt.Sprintf("w%d", w.intn(len(w.workers)))]
			w.during(length, func(on bool) {
				x.mu.Lock()
				x.mute = on
				x.mu.Unlock()
			})
		case 7:
			if p := w.planner(); p != nil {
				p.stop()
				w.restart(p, length/4)
			}
		}
	}
}

func (w *world) anyNode() *simNode {
	return w.nodes[fmt.Sprintf("d%d-%d", w.intn(len(w.nodes)/perDomain), w.intn(perDomain))]
}

func (w *world) restart(n *simNode, after time.Duration) {
	w.mu.Lock()
	up := n.node != nil
	w.mu.Unlock()
	if !up {
		return
	}
	n.kill()
	w.group.Go(func() {
		time.Sleep(after)
		if w.ctx.Err() == nil {
			n.start()
		}
	})
}

func (w *world) during(length time.Duration, set func(on bool)) {
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

// The seeds of the random runs: more can be asked for by hand.
var (
	firstSeed = flag.Uint64("first", 0, "first seed of the random runs")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of the random runs")
)

// Faults of all kinds overlap: entries killed, domains cut off, the store down
// or losing answers, workers that carry orders out without an answer. Afterwards
// every accepted job ends, and at no time did a task run twice or a worker hold
// more than its room.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				settle()
				w.group.Go(func() { w.randomFaults(12) })
				ids := w.jobs(0, 40)
				time.Sleep(30 * time.Second)
				w.awaitAll(ids, 60*time.Second)
				w.end()
			})
		})
	}
}
