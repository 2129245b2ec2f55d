package region

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/winch"
)

// randomScenario plays the operator's planned work and faults, both as drawn from the seed.
type randomScenario struct {
	world *world
	rand  *rand.Rand
	// restarting says that a rolling restart of entries is in progress; there is one at a time. The
	// world's mutex guards it.
	restarting     bool
	workerIDs      int // workerIDs counts the worker IDs that were assigned.
	stoppedEntries int // stoppedEntries counts the entries of all rolling restarts.
	// partialFaultWeight is the weight of partial faults in playDisturbed, where all other events
	// together have a weight of seven.
	partialFaultWeight int
}

// randomDuration draws a duration from low up to high.
func (r *randomScenario) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rand.Int64N(int64(high-low)))
}

// oneIn draws whether an event with a probability of 1/n happens.
func (r *randomScenario) oneIn(n int) bool { return r.rand.IntN(n) == 0 }

// play alternates between periods in which all kinds of faults overlap with planned work, and periods
// of planned work alone, to which the promised bounds apply.
func (r *randomScenario) play(rounds int) {
	for range rounds {
		for end := time.Now().Add(r.randomDuration(time.Second, 8*time.Second)); time.Now().Before(end); {
			r.playDisturbed()
			time.Sleep(r.randomDuration(200*time.Millisecond, 3*time.Second))
		}
		for end := time.Now().Add(r.randomDuration(9*time.Second, 18*time.Second)); time.Now().Before(end); {
			r.playPlanned()
			time.Sleep(r.randomDuration(200*time.Millisecond, 3*time.Second))
		}
	}
}

// playPlanned draws and plays planned work, or nothing.
func (r *randomScenario) playPlanned() {
	switch r.rand.IntN(3) {
	case 0:
		r.rollingRestart()
	case 1:
		r.replaceWorkers()
	}
}

// playDisturbed draws and plays a fault or planned work.
func (r *randomScenario) playDisturbed() {
	switch r.rand.IntN(7 + r.partialFaultWeight) {
	case 0:
		r.killAndRestart(r.world.planner())
	case 1:
		r.killAndRestart(r.world.randomNode())
	case 2, 3:
		r.crashWorker()
	case 4, 5, 6:
		r.playPlanned()
	default:
		r.playPartialFault()
	}
}

// rollingRestart restarts several entries as planned, one after the other: either each entry in turn,
// or each time the current planner.
func (r *randomScenario) rollingRestart() {
	w := r.world
	w.mu.Lock()
	ongoing := r.restarting
	r.restarting = true
	w.mu.Unlock()
	if ongoing {
		return
	}
	count, interval, plannerFirst := 3+r.rand.IntN(8), r.randomDuration(1500*time.Millisecond, 3*time.Second), r.oneIn(2)
	grace, pause := r.randomDuration(time.Second, 2500*time.Millisecond), r.randomDuration(100*time.Millisecond, 400*time.Millisecond)
	first := r.stoppedEntries
	r.stoppedEntries += count
	w.log.note("rolling restart of %d entries, one every %v, each time the planner: %v", count, interval, plannerFirst)
	w.group.Go(func() {
		for i := range count {
			n := w.nodeAt(first + i)
			if p := w.planner(); plannerFirst && p != nil {
				n = p
			}
			w.stopAsPlanned(n, grace, pause)
			time.Sleep(interval)
		}
		w.mu.Lock()
		r.restarting = false
		w.mu.Unlock()
	})
}

// nodeAt returns the i-th entry, where consecutive entries are in different failure domains.
func (w *world) nodeAt(i int) *simNode {
	names := slices.Sorted(maps.Keys(w.nodes))
	return w.nodes[names[i*entriesPerDomain%len(names)+i*entriesPerDomain/len(names)%entriesPerDomain]]
}

// stopAsPlanned signals an entry to stop, kills its process after the grace period and restarts it after
// a pause.
func (w *world) stopAsPlanned(n *simNode, grace, pause time.Duration) {
	w.mu.Lock()
	node := n.node
	w.mu.Unlock()
	if node == nil || node.Stopping() {
		return
	}
	w.log.note("entry %s is signalled to stop", node.Name)
	w.noteEntryDisturbed()
	w.notePlanned()
	w.group.Go(func() { node.Stop(w.ctx) })
	w.group.Go(func() {
		time.Sleep(grace)
		if n.killBoot(node) { // A random fault may have killed it before.
			w.log.note("entry %s has ended as planned", node.Name)
			time.Sleep(pause)
			w.startUnlessEnded(n)
			w.noteEntryDisturbed()
		}
	})
}

// startUnlessEnded starts an entry unless the test is over.
func (w *world) startUnlessEnded(n *simNode) {
	if w.ctx.Err() == nil {
		n.start()
	}
}

// killAndRestart kills an entry, possibly during a planned stop, and restarts it after a pause.
func (r *randomScenario) killAndRestart(n *simNode) {
	w := r.world
	pause := r.randomDuration(50*time.Millisecond, 3*time.Second)
	if n == nil {
		return
	}
	w.mu.Lock()
	node := n.node
	w.mu.Unlock()
	if !n.killBoot(node) {
		return
	}
	w.log.note("entry %s is killed", node.Name)
	w.addDisturbance(true)
	w.noteEntryDisturbed()
	w.group.Go(func() {
		time.Sleep(pause)
		w.startUnlessEnded(n)
		w.noteEntryDisturbed()
		w.addDisturbance(false)
	})
}

// noteEntryDisturbed records that an entry is disturbed now; see crashCounter.
func (w *world) noteEntryDisturbed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes.addDisturbance(time.Now())
}

// addDisturbance records that a disturbance begins or ends.
func (w *world) addDisturbance(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.downtimeChecks.addDisturbance(on)
}

// newWorker starts a worker under a new ID, half of them with a slow clock, and returns the ID.
func (r *randomScenario) newWorker(domain string) string {
	r.workerIDs++
	id := fmt.Sprintf("x%d", r.workerIDs)
	drift := workerClockDrift * float64(r.rand.IntN(2))
	r.world.bootWorker(r.world.vm(id, id, domain), drift)
	r.world.log.note("worker %s is added", id)
	return id
}

// pickWorker returns a worker that neither drains nor has ended: half of the time the busiest, else a
// random one.
func (r *randomScenario) pickWorker() *simWorker {
	busiest := r.oneIn(2)
	w := r.world
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*simWorker
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if x := w.workers[id]; !x.terminated && x.drainingSince.IsZero() {
			all = append(all, x)
		}
	}
	if len(all) == 0 {
		return nil
	}
	if busiest {
		return slices.MaxFunc(all, func(a, b *simWorker) int { return int(a.usedMilli - b.usedMilli) })
	}
	return all[r.rand.IntN(len(all))]
}

// replaceWorkers replaces workers one after the other: a new one is added, and then an old one
// announces that it leaves and ends some seconds later.
func (r *randomScenario) replaceWorkers() {
	count := 1 + r.rand.IntN(4)
	interval := r.randomDuration(500*time.Millisecond, 1500*time.Millisecond)
	for range count {
		x := r.pickWorker()
		if x == nil {
			return
		}
		r.newWorker(x.vm.Domain)
		drainTime := r.randomDuration(3*time.Second, 9*time.Second)
		r.world.drainBoot(x)
		r.world.group.Go(func() {
			time.Sleep(drainTime)
			r.world.terminateBoot(x, true)
		})
		time.Sleep(interval)
	}
}

// drainBoot makes a boot of a worker announce that it leaves.
func (w *world) drainBoot(x *simWorker) {
	w.mu.Lock()
	x.drainingSince, w.downtimeChecks.plannedAt = time.Now(), time.Now()
	w.downtimeChecks.updateSpare(w)
	vm := x.vm
	w.mu.Unlock()
	vm.Draining = true
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.put("workers/"+vm.ID, mustJSON(vm), 0)
	w.log.note("worker %s announces that it leaves", vm.ID)
}

// notePlanned records that planned work begins.
func (w *world) notePlanned() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.downtimeChecks != nil {
		w.downtimeChecks.plannedAt = time.Now()
	}
}

// terminateBoot ends a boot of a worker, unless it has ended before: its runs end and it responds to
// nothing. If that is planned its record is removed too.
func (w *world) terminateBoot(x *simWorker, planned bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.terminated {
		return false
	}
	for key := range x.runs {
		x.endRun(w, key, winch.CompletionLeaseExpired)
	}
	x.unresponsive, x.terminated = true, true
	if w.downtimeChecks != nil {
		w.downtimeChecks.updateSpare(w)
	}
	w.log.note("worker %s, boot %d, is terminated, as planned: %v", x.vm.ID, x.vm.Born, planned)
	if planned {
		w.downtimeChecks.plannedAt = time.Now()
		w.unlist(x)
	}
	return true
}

// unlist removes the record of a boot, unless another boot has replaced it.
func (w *world) unlist(x *simWorker) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var vm winch.WorkerVM
	key := "workers/" + x.vm.ID
	if v, listed := w.store.items[key]; listed && json.Unmarshal(v.Data, &vm) == nil && vm.Born == x.vm.Born {
		w.store.remove(key)
	}
}

// crashWorker ends a worker without an announcement. After a pause another boot follows: under the same
// ID, under a new ID at the same address, or under a new ID and address.
func (r *randomScenario) crashWorker() {
	w := r.world
	x := r.pickWorker()
	if x == nil || !w.terminateBoot(x, false) {
		return
	}
	w.addDisturbance(true)
	w.addDisturbance(false)
	pause, successor := r.randomDuration(100*time.Millisecond, 9*time.Second), r.rand.IntN(3)
	r.workerIDs++
	id := fmt.Sprintf("x%d", r.workerIDs)
	w.group.Go(func() {
		time.Sleep(crashedRecordLifetime)
		w.unlist(x)
	})
	w.group.Go(func() {
		time.Sleep(pause)
		address := x.vm.Address
		switch successor {
		case 0:
			id = x.vm.ID
		case 1:
			address = id
		}
		w.log.note("worker %s is added at %s", id, address)
		w.bootWorker(w.vm(id, address, x.vm.Domain), 0)
	})
}

// submitLasting submits a job with lasting tasks that have a response time target.
func (w *world) submitLasting(id string, count int) {
	phase := winch.Phase{
		Count: count, Need: winch.Capacity{Milli: taskMilli}, Estimate: taskDuration,
		Lasting: true, Image: "serves", Target: servingTarget,
	}
	w.submitJob(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: lastingCommand, Phases: []winch.Phase{phase}})
}

// Guards against lasting tasks that stay down long after the region has recovered, or that run twice
// at once. Entries are restarted as planned, the planner is killed, and workers leave, crash and
// return as other boots, all at the same time, while gangs and filling tasks run too.
func TestRandomLasting(t *testing.T) {
	t.Parallel()
	randomLasting(t, 0)
}

// Guards against the failures of TestRandomLasting, with partial faults as well: workers that are unresponsive for a while and
// then respond again, possibly to another keeper; paused entries; entries of which one does not receive
// what the other sends; entries that do not reach a worker or get no response from it; partitioned
// failure domains; and a store that is down or loses responses.
func TestRandomLastingWide(t *testing.T) {
	t.Parallel()
	randomLasting(t, 7)
}

// randomLasting plays one random scenario per seed and checks the lasting tasks and the other jobs.
func randomLasting(t *testing.T, partialFaultWeight int) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				settle()
				w.startDowntimeChecks()
				w.submitLasting("00000000000000a1", 7)
				w.submitLasting("00000000000000a2", 5)
				r := &randomScenario{world: w, rand: rand.New(rand.NewPCG(seed, 2)), partialFaultWeight: partialFaultWeight}
				jobs := w.startBackgroundJobs(24)
				r.play(4)
				r.awaitRecovery()
				jobs.Wait()
				w.checkAllLasting(12)
				w.end()
			})
		})
	}
}

// startBackgroundJobs submits a job every three seconds and waits for the end of each.
func (w *world) startBackgroundJobs(count int) *conc.WaitGroup {
	group := conc.NewWaitGroup()
	group.Go(func() {
		for i := range count {
			group.Go(func() { w.await(w.submitSomeJob(i), 60*time.Second) })
			time.Sleep(3 * time.Second)
		}
	})
	return group
}

// awaitRecovery waits until no rolling restart is in progress, and then long enough for the region to
// recover.
func (r *randomScenario) awaitRecovery() {
	for restarting := true; restarting; {
		time.Sleep(time.Second)
		r.world.mu.Lock()
		restarting = r.restarting
		r.world.mu.Unlock()
	}
	time.Sleep(20 * time.Second)
}

// checkAllLasting checks, long after the last disturbance, that all lasting tasks run. A task whose run
// has just failed by itself counts as running.
func (w *world) checkAllLasting(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 0
	for task, at := range w.lasting.downSince {
		if at.IsZero() || time.Since(at) < maxRestartDelay {
			running++
			continue
		}
		w.log.note("lasting task %v has been down for %v", task, time.Since(at))
	}
	if running != count {
		w.reportViolation("%d of %d lasting tasks run long after the last disturbance", running, count)
	}
}

// submitSomeJob submits an ordinary job, a gang, filling tasks or tasks that may have copies, depending on
// i, and returns the job's ID.
func (w *world) submitSomeJob(i int) string {
	id := fmt.Sprintf("%016x", i)
	job := &winch.PhasedJob{ID: id, Queue: "preview", Team: "choir"}
	switch i % 4 {
	case 0:
		return w.submitJobs(i, i+1)[0]
	case 1:
		gang := simPhase(gangSize)
		gang.Gang = true
		job.Command, job.Phases = gangCommand, []winch.Phase{gang}
	case 2:
		fill := simPhase(5)
		fill.Fills, fill.Image = true, "fills"
		job.Command, job.Phases = fillingCommand, []winch.Phase{fill}
	case 3:
		return w.submitCopied(id)
	}
	w.submitJob(job)
	return id
}
