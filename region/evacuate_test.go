package region

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// maxEvacuationDelay is how long after its evacuation work may still be started in a failure domain.
const maxEvacuationDelay = 5 * time.Second

// evacuate marks a failure domain as evacuated, as the platform's operator does.
func (w *world) evacuate(domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.put("op/evacuate/"+domain, []byte("{}"), 0)
	w.evacuatedAt[domain] = time.Now()
	w.log.note("failure domain %s is evacuated", domain)
}

// restore ends the evacuation of a failure domain.
func (w *world) restore(domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.remove("op/evacuate/" + domain)
	delete(w.evacuatedAt, domain)
	w.log.note("failure domain %s is restored", domain)
}

// checkEvacuated reports a violation if a run is started in a failure domain that was evacuated long
// ago. In the random tests a disturbance excuses the entries that may not have learned of it. The
// world's mutex is held.
func (w *world) checkEvacuated(x *simWorker, key runKey, by *Node) {
	at, evacuated := w.evacuatedAt[x.vm.Domain]
	if !evacuated || time.Since(at) <= maxEvacuationDelay {
		return
	}
	if w.downtimeChecks == nil || w.downtimeChecks.undisturbedTime() > recoveryTime {
		w.reportViolation("%v: %s starts %v at %s %v after the evacuation of %s",
			time.Since(w.log.startedAt), by.Name, key.task, x.vm.ID, time.Since(at), x.vm.Domain)
	}
}

// startsIn returns how many runs were started in a failure domain, as the workers saw it.
func (w *world) startsIn(domain string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, x := range w.workers {
		if x.vm.Domain == domain {
			n += x.starts
		}
	}
	return n
}

// startsWhile counts the starts in a failure domain while jobs are submitted for a time.
func (w *world) startsWhile(domain string, firstJob int, length time.Duration) int {
	before := w.startsIn(domain)
	for i, end := firstJob, time.Now().Add(length); time.Now().Before(end); i += 2 {
		w.submitJobs(i, i+2)
		time.Sleep(250 * time.Millisecond)
	}
	return w.startsIn(domain) - before
}

// reaction is how long the region may take to learn of an evacuation where nothing is disturbed.
const reaction = 500 * time.Millisecond

// Guards against work that is started in an evacuated failure domain: lasting tasks there go on, other
// work goes elsewhere, and the domain is used again after it is restored.
func TestNoStartInAnEvacuatedDomain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := lastingWorld(t, 51)
		running := w.runningLasting()
		w.evacuate("d1")
		time.Sleep(reaction)
		is.Equal(w.startsWhile("d1", 0, 4*time.Second), 0)
		is.Equal(w.runningLasting(), running)
		w.restore("d1")
		time.Sleep(reaction)
		is.True(w.startsWhile("d1", 1000, 4*time.Second) > 0)
		w.end()
	})
}

// Guards against a planner that does not know of an evacuation because it took over after it: the
// first one is killed as the operator evacuates a domain, and the one after it too.
func TestNextPlannersKnowOfAnEvacuation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 52, 3, 9)
		settle()
		w.submitJobs(0, 6)
		w.evacuate("d2")
		w.planner().kill()
		time.Sleep(reaction)
		is.Equal(w.startsWhile("d2", 100, 4*time.Second), 0)
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			n.start()
		}
		is.Equal(w.startsWhile("d2", 200, 5*time.Second), 0)
		w.end()
	})
}

// Guards against an evacuation that is missed because the store forgets its history: watches report
// nothing for a while, in which one domain is evacuated and another restored, and are then refused.
func TestEvacuationIsFoundAfterTheHistoryIsCompacted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 53, 3, 9)
		settle()
		w.evacuate("d0")
		time.Sleep(reaction)
		w.setStore(func(s *simStore) { s.silentWatches = true })
		w.evacuate("d1")
		w.restore("d0")
		time.Sleep(time.Second)
		w.setStore(func(s *simStore) { s.silentWatches = false; s.compact() })
		time.Sleep(reaction)
		is.Equal(w.startsWhile("d1", 0, 4*time.Second), 0)
		is.True(w.startsIn("d0") > 0)
		w.end()
	})
}

// Guards against a planner that the store turns away while it serves the others. The evacuation must
// reach it through another entry, and no keeper may carry out what it still orders.
func TestPlannerThatTheStoreRefusesLearnsOfAnEvacuation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 54, 3, 9)
		settle()
		w.submitJobs(0, 6)
		host := w.planner().host
		w.setStore(func(s *simStore) { s.refusedHosts = map[string]bool{host: true} })
		w.evacuate("d1")
		time.Sleep(reaction)
		is.Equal(w.startsWhile("d1", 100, 3*time.Second), 0)
		w.end()
	})
}

// Guards against jobs that are lost or refused while all failure domains are evacuated: they wait, and
// run once a domain is restored.
func TestJobsWaitWhileAllDomainsAreEvacuated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 55, 3, 9)
		settle()
		for _, d := range []string{"d0", "d1", "d2"} {
			w.evacuate(d)
		}
		time.Sleep(reaction)
		before := w.startsIn("d0") + w.startsIn("d1") + w.startsIn("d2")
		ids := w.submitJobs(0, 4)
		time.Sleep(8 * time.Second)
		is.Equal(w.startsIn("d0")+w.startsIn("d1")+w.startsIn("d2"), before)
		waiting, result := w.planner().node.Waiting(w.ctx, "preview")
		is.True(result.OK())
		is.Equal(waiting, 4)
		w.restore("d2")
		w.awaitAll(ids, 20*time.Second)
		w.end()
	})
}

// Guards against an evacuation that is forgotten because an entry learns of an older state from a
// peer: only a newer state replaces what an entry knows.
func TestEvacuationsNeverRevert(t *testing.T) {
	is := is.NewRelaxed(t)
	var e evacuations
	apply := func(asOf uint64, domains ...string) bool {
		return e.replace(winch.Evacuations{Domains: domains, AsOf: asOf})
	}
	is.True(apply(10, "d1"))
	is.True(!apply(9))
	is.True(!apply(10))
	is.True(e.load().Contains("d1"))
	is.True(apply(11))
	is.True(!e.load().Contains("d1"))
	is.True(!apply(10, "d1"))
	is.Equal(len(e.load().Domains), 0)
}

// An entry that asks a peer for settings must receive the evacuations that it does not know yet, and
// not an older state.
func TestEvacuationsArePassedOnToPeers(t *testing.T) {
	is := is.NewRelaxed(t)
	n := &Node{}
	n.settings.prepare(n)
	n.evacuations.replace(winch.Evacuations{Domains: []string{"d1"}, AsOf: 20})
	response := n.settings.respond(proto.SettingsRequest{EvacuationsAsOf: 19})
	is.True(response.Evacuations != nil)
	is.Equal(response.Evacuations.Domains, []string{"d1"})
	is.True(n.settings.respond(proto.SettingsRequest{EvacuationsAsOf: 20}).Evacuations == nil)
}

// evacuateDomains evacuates failure domains one after the other, each for a time, until the world's
// time is over. Lasting tasks that fail meanwhile must find capacity in the other domains.
func (r *randomScenario) evacuateDomains(until <-chan struct{}) {
	w := r.world
	for {
		domain, length := fmt.Sprintf("d%d", r.rand.IntN(3)), r.randomDuration(2*time.Second, 14*time.Second)
		w.evacuate(domain)
		time.Sleep(length)
		w.restore(domain)
		select {
		case <-until:
			return
		case <-time.After(r.randomDuration(500*time.Millisecond, 6*time.Second)):
		}
	}
}

// Guards against starts in evacuated failure domains, and against the failures of TestRandomLasting,
// while domains are evacuated and restored during faults of all kinds.
func TestRandomEvacuations(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 12)
				settle()
				w.startDowntimeChecks()
				w.submitLasting("00000000000000a1", 7)
				r := &randomScenario{world: w, rand: rand.New(rand.NewPCG(seed, 6)), partialFaultWeight: int(seed % 2 * 7)}
				evacuating := &randomScenario{world: w, rand: rand.New(rand.NewPCG(seed, 7))}
				over := make(chan struct{})
				w.group.Go(func() { evacuating.evacuateDomains(over) })
				jobs := w.startBackgroundJobs(24)
				r.play(3)
				close(over)
				r.awaitRecovery()
				jobs.Wait()
				w.checkAllLasting(7)
				w.end()
			})
		})
	}
}
