package region

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/fleet"
	"plantainwinch/winch"
)

// simPhase returns a phase of simulated tasks that starts after the given phases.
func simPhase(count int, after ...int) winch.Phase {
	return winch.Phase{Count: count, Need: winch.Capacity{Milli: taskMilli}, Estimate: taskDuration, After: after}
}

// settle waits until the entries have found each other and elected a planner.
func settle() { time.Sleep(3 * time.Second) }

// submitJobs submits jobs with the given range of numbers, and returns their IDs.
func (w *world) submitJobs(from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		id := fmt.Sprintf("%016x", i)
		out = append(out, id)
		w.submit(id, simPhase(4), simPhase(3, 0))
	}
	return out
}

// awaitAll waits until the jobs have ended.
func (w *world) awaitAll(ids []string, limit time.Duration) {
	for _, id := range ids {
		w.await(id, limit)
	}
}

// Guards against jobs that do not complete although there are no faults. Jobs are submitted to any
// entry, and every other entry must report them as done.
func TestJobsRunWithoutFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1, 3, 9)
		settle()
		ids := w.submitJobs(0, 10)
		w.awaitAll(ids, 20*time.Second)
		is.True(w.planner() != nil)
		w.end()
	})
}

// Guards against a slow takeover and against work that is lost or run twice in it. The planner is
// killed while work runs. Another entry must take over within two seconds, and running work must go
// on.
func TestStandbyTakesOverFromKilledPlanner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 3, 9)
		settle()
		ids := w.submitJobs(0, 8)
		p := w.planner()
		p.kill()
		killedAt := time.Now()
		for w.planner() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(killedAt) < 2*time.Second)
		w.awaitAll(ids, 20*time.Second)
		w.end()
	})
}

// Guards against waiting for the lease on the office (the planner's leadership lease in the store) of
// a process that is known to have ended. The planner's process is killed and restarted at once. The
// new process knows that the holder of the office has ended and must free the office, so that the
// standby takes over long before the lease expires.
func TestRestartedPlannerFreesItsOffice(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 3, 9)
		settle()
		ids := w.submitJobs(0, 8)
		p := w.planner()
		p.kill()
		time.Sleep(50 * time.Millisecond)
		p.start()
		restartedAt := time.Now()
		for w.planner() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(restartedAt) < officeTTL/2)
		is.True(w.planner() != p) // The standby has the office; it knows the runs.
		w.awaitAll(ids, 20*time.Second)
		w.end()
	})
}

// Guards against one unresponsive worker that delays all jobs by eight seconds. A worker becomes
// unresponsive, and soon after that all entries lose power, so no process is left that knows what ran
// there. The roster in the store holds it, so jobs on other workers must go on as soon as those have
// responded, without waiting until everything at the unresponsive worker is guaranteed to have ended.
func TestUnresponsiveWorkerDoesNotDelayJobsAfterAPowerLoss(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 9, 3, 9)
		settle()
		w.setUnresponsive("w0", true)
		time.Sleep(3 * time.Second)
		ids := w.submitJobs(0, 12)
		time.Sleep(100 * time.Millisecond)
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			n.start()
		}
		w.awaitAll(ids, 6*time.Second)
		w.setUnresponsive("w0", false)
		time.Sleep(3 * time.Second)
		var usable int
		l := w.planner().node.leadership.Load()
		is.NoErr(l.duty.Do(w.ctx, func() { usable = l.planner.Load().Usable }))
		is.Equal(usable, 9) // The worker is given work again.
		w.end()
	})
}

// Guards against a planner on a small VM that keeps the office. The large entry VMs are killed, and a
// small one takes over. Once the large ones are running again, the office must move to one of them: a
// small VM cannot keep up, and all work is late for as long as it holds the office.
func TestOfficeReturnsToAStrongEntry(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 8, 3, 9)
		w.mu.Lock()
		w.shares = map[string]int{"d0-0": 1000, "d1-0": 1000}
		w.mu.Unlock()
		large := []*simNode{w.nodes["d0-0"], w.nodes["d1-0"]}
		for _, n := range large {
			n.kill()
		}
		settle()
		small := w.planner()
		is.True(small != nil)
		ids := w.submitJobs(0, 8)
		for _, n := range large {
			n.start()
		}
		time.Sleep(5 * time.Second)
		is.True(slices.Contains(large, w.planner()))
		w.awaitAll(ids, 20*time.Second)
		w.end()
	})
}

// Guards against a weak planner after a power loss. All entries lose power, and the weak VMs restart a
// moment before the strong ones, while a worker is unresponsive. The office must still move to a
// strong entry soon: a weak one needs five seconds to find out what runs, and starts nothing in that
// time.
func TestStrongEntriesTakeTheOfficeAfterAPowerLoss(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"at once": 300 * time.Millisecond, "later": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 10, 3, 9)
				w.mu.Lock()
				w.shares = map[string]int{"d0-0": 1000, "d1-0": 1000}
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
				w.setUnresponsive("w0", true)
				time.Sleep(time.Second)
				for _, n := range w.nodes {
					if !slices.Contains(large, n) {
						n.start()
					}
				}
				time.Sleep(delay)
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

// Guards against a planned stop that leaves the region without a planner for seconds. Each store call
// takes 300 ms. Storing all runs first would take longer than the planner's lease, so the planner must
// give the office up with one call: its standby knows all runs.
func TestPlannerStopsWhileTheStoreIsSlow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 7, 3, 9)
		settle()
		w.setStore(func(s *simStore) { s.extraDelay = 300 * time.Millisecond })
		ids := w.submitJobs(0, 8)
		p := w.planner()
		begin := time.Now()
		p.stop()
		for w.planner() == nil || w.planner() == p {
			time.Sleep(5 * time.Millisecond)
		}
		is.True(time.Since(begin) < 2*time.Second) // Time for about five consecutive store calls.
		w.awaitAll(ids, 30*time.Second)
		w.end()
	})
}

// Guards against waiting for store calls that never get a response. The store is unresponsive for some
// seconds, the planner's failure domain is partitioned, and then the store responds again in the other
// domains. The entries there must find within a second that the store responds and the office is free.
// Waiting for their earlier calls to time out would add four seconds.
func TestStoreRecoveryIsDetectedWithinASecond(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 6, 3, 9)
		settle()
		p := w.planner()
		w.setStore(func(s *simStore) { s.down, s.hangs = true, true })
		time.Sleep(2 * time.Second)
		w.partition(p.domain, true)
		time.Sleep(4 * time.Second)
		w.setStoreUnavailable(false)
		recoveredAt := time.Now()
		for successor := w.planner(); successor == nil || successor == p; successor = w.planner() {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(recoveredAt) < time.Second)
		w.partition(p.domain, false)
		w.setStore(func(s *simStore) { s.hangs = false })
		w.end()
	})
}

// Guards against an entry that keeps an outdated configuration. The store refuses the calls of one
// entry and serves the others, while the operator withdraws a key. The entry must get the new
// configuration from its peers, so that the key stops working there within the two seconds that
// operators are promised. Exactly one copy may be sent to each entry that lacks it, and not one
// between each pair of entries.
func TestConfigReachesAnEntryThatTheStoreRefuses(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 5, 3, 9)
		settle()
		n := w.nodes["d1-1"]
		w.setStore(func(s *simStore) {
			s.refusedHosts = map[string]bool{n.host: true}
			s.put("op/config", mustJSON(simConfig(2)), 0)
		})
		time.Sleep(2 * time.Second)
		for _, x := range w.nodes {
			is.Equal(x.node.Config().Version, uint64(2))
		}
		w.mu.Lock()
		is.Equal(w.configCopies[n.node.Name], 1)
		for _, copies := range w.configCopies {
			is.True(copies <= 1) // copies to one entry
		}
		w.mu.Unlock()
		w.setStore(func(s *simStore) { s.refusedHosts = nil })
		w.end()
	})
}

// Guards against jobs that wait during a network partition, and against tasks that run on both sides
// of it. The planner's failure domain is partitioned from the store and the other domains. The standby
// takes over and knows what runs there, so jobs accepted before must go on at once in the other
// domains.
func TestStandbyTakesOverFromPartitionedPlanner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, 3, 9)
		settle()
		ids := w.submitJobs(0, 30)
		p := w.planner()
		w.partition(p.domain, true)
		partitionedAt := time.Now()
		time.Sleep(4 * time.Second)
		successor := w.planner()
		is.True(successor != nil)
		is.True(successor.domain != p.domain)
		var started int64
		w.mu.Lock()
		l := successor.node.leadership.Load()
		w.mu.Unlock()
		is.NoErr(l.duty.Do(w.ctx, func() { started = l.planner.Counts().Started }))
		// Runs are started during the partition, long before the old leases are guaranteed to have expired.
		is.True(started > 0)
		time.Sleep(8*time.Second - time.Since(partitionedAt))
		w.partition(p.domain, false)
		w.awaitAll(ids, 30*time.Second)
		w.end()
	})
}

// Guards against losing accepted jobs or starting runs again after all entries lose power at once and
// restart. Runs that go on at the workers must be found.
func TestJobsSurviveThePowerLossOfAllEntries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 3, 9)
		settle()
		ids := w.submitJobs(0, 12)
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

// Guards against a planned stop of the planner that delays jobs or stops runs. The office must pass to
// another entry at once.
func TestPlannerStopsAsPlanned(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 5, 3, 9)
		settle()
		ids := w.submitJobs(0, 8)
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

// Guards against jobs that are lost or run twice because of the store. It is down for some seconds,
// and the responses to some writes are lost before and after that. Submissions are refused or
// uncertain meanwhile, and accepted jobs must run exactly once.
func TestAcceptedJobsRunOnceAfterAStoreOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, 3, 9)
		settle()
		w.setStore(func(s *simStore) { s.losesResponses = true })
		ids := w.submitJobs(0, 8)
		w.setStoreUnavailable(true)
		time.Sleep(5 * time.Second)
		w.setStoreUnavailable(false)
		ids = append(ids, w.submitJobs(8, 12)...)
		w.awaitAll(ids, 40*time.Second)
		w.end()
	})
}

// Guards against work that stops while only the store is down. The same planner must start the next
// phases of jobs accepted before until the store responds again.
func TestWorkContinuesWithoutTheStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 7, 3, 3)
		settle()
		ids := w.submitJobs(0, 12)
		p := w.planner()
		l := p.node.leadership.Load()
		w.setStoreUnavailable(true)
		time.Sleep(2 * time.Second) // Longer than the lease on the office.
		var before, after fleet.Counts
		is.NoErr(l.duty.Do(w.ctx, func() { before = l.planner.Counts() }))
		time.Sleep(2 * time.Second)
		is.NoErr(l.duty.Do(w.ctx, func() { after = l.planner.Counts() }))
		is.True(after.Started > before.Started)
		w.setStoreUnavailable(false)
		w.awaitAll(ids, 40*time.Second)
		w.end()
	})
}
