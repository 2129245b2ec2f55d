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

// The bounds below are the promises to users: a lasting task has maxRestartDelay to run again, and
// counts as lost if it is down for another maxDowntime.
const (
	// maxDowntime is how long a lasting task may stay down beyond maxRestartDelay, while there is free
	// capacity for minSpareSlots such tasks and no disturbance.
	downMost = 3 * time.Second
	// recoveryTime is how long the region may need to recover from a disturbance; until then
	// downtime does not count.
	calmBefore = 4 * time.Second
	// minSpareSlots is the free capacity, in tasks, that must exist for a waiting task to count as late.
	roomOver = 2
	// maxDrainDelay is how long after its announcement a draining worker may still be given work.
	drainAim = 2 * time.Second
	// crashedRecordLifetime is how long the record of a worker that crashed stays listed.
	entryLives = 4500 * time.Millisecond
	// workerClockDrift is the fraction by which a worker's clock may be slower than the entries'.
	slowClock = 0.02
)

// downtimeChecker checks, in the random tests, that no lasting task is down for longer than users are
// promised. Kills, crashes, network partitions, pauses, unresponsive workers and store faults are
// disturbances, which excuse downtime. Planned stops of entries and announced departures of workers
// are not. The world's mutex guards it.
type lastingWindows struct {
	// disturbances counts the disturbances that go on; undisturbedSince is when the last one began or ended.
	disturbed int
	calm      time.Time
	// plannedAt is when the last planned stop or departure began.
	planned time.Time
	// spareSince is since when there has always been free capacity; zero if there is none.
	room time.Time
	// reported holds the tasks whose present downtime has been reported.
	told map[winch.RunID]bool
}

// addDisturbance records that a disturbance begins or ends. The world's mutex is held.
func (v *lastingWindows) disturb(on bool) {
	v.calm = time.Now()
	if on {
		v.disturbed++
	} else {
		v.disturbed--
	}
}

// undisturbedTime returns for how long there has been no disturbance.
func (v *lastingWindows) calmFor() time.Duration {
	if v.disturbed > 0 {
		return 0
	}
	return time.Since(v.calm)
}

// check checks all lasting tasks.
func (v *lastingWindows) look(w *world) {
	v.lookRoom(w)
	for task, at := range w.lasting.down {
		if at.IsZero() {
			delete(v.told, task)
			continue
		}
		late := time.Since(at) >= lastingAim+downMost && v.calmFor() >= calmBefore+downMost &&
			!v.room.IsZero() && time.Since(v.room) >= downMost
		if late && !v.told[task] {
			v.told[task] = true
			w.breaks("%v: lasting task %v has been down for %v, with free capacity for %v and no disturbance for %v",
				time.Since(w.log.begin), task, time.Since(at), time.Since(v.room), v.calmFor())
		}
	}
}

// updateSpare updates since when there has been free capacity. It is called whenever there may be less.
func (v *lastingWindows) lookRoom(w *world) {
	slots := int64(0)
	for _, x := range w.workers {
		if !x.over && !x.down && x.leaving.IsZero() && !w.cut[x.vm.Domain] {
			slots += (x.vm.Room.Milli - x.used) / simMilli
		}
	}
	if slots < roomOver {
		v.room = time.Time{}
	} else if v.room.IsZero() {
		v.room = time.Now()
	}
}

// runStarted checks the start of a run of a lasting task, and makes some runs fail by themselves later.
func (v *lastingWindows) begins(w *world, x *simWorker, r *simRun) {
	if v == nil {
		return
	}
	v.lookRoom(w)
	if w.intn(4) == 0 {
		r.end, r.fails = time.Now().Add(time.Duration(1+w.intn(30))*time.Second), true
	}
	if !x.leaving.IsZero() && time.Since(x.leaving) > drainAim && v.calmFor() > calmBefore {
		w.breaks("%v: draining worker %s is given work %v after its announcement", time.Since(w.log.begin), x.vm.ID, time.Since(x.leaving))
	}
}

// startDowntimeChecks starts the checks of downtime outside disturbances.
func (w *world) checksWindows() {
	w.mu.Lock()
	w.windows = &lastingWindows{calm: time.Now(), told: make(map[winch.RunID]bool)}
	w.mu.Unlock()
	w.group.Go(func() { w.windows.watch(w) })
}

// watch runs check until the world ends.
func (v *lastingWindows) watch(w *world) {
	for w.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		v.look(w)
		w.mu.Unlock()
	}
}

// randomScenario plays the operator's planned work and faults, both as drawn from the seed.
type lastingRun struct {
	world *world
	rand  *rand.Rand
	// restarting says that a rolling restart of entries goes on; there is one at a time. The world's
	// mutex guards it.
	rolling bool
	named   int // workerIDs counts the worker IDs that were assigned.
	turn    int // stoppedEntries counts the entries of all rolling restarts.
	// partialFaultWeight is the weight of partial faults in draws in which all else together has seven.
	wide int
}

// randomDuration draws a duration from low up to high.
func (r *lastingRun) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rand.Int64N(int64(high-low)))
}

// oneIn draws whether an event with a probability of 1/n happens.
func (r *lastingRun) chance(n int) bool { return r.rand.IntN(n) == 0 }

// play alternates between periods in which all kinds of faults overlap with planned work, and periods
// of planned work alone, to which the promised bounds apply.
func (r *lastingRun) play(rounds int) {
	for range rounds {
		for end := time.Now().Add(r.between(time.Second, 8*time.Second)); time.Now().Before(end); {
			r.trouble()
			time.Sleep(r.between(200*time.Millisecond, 3*time.Second))
		}
		for end := time.Now().Add(r.between(9*time.Second, 18*time.Second)); time.Now().Before(end); {
			r.planned()
			time.Sleep(r.between(200*time.Millisecond, 3*time.Second))
		}
	}
}

// playPlanned draws and plays planned work, or nothing.
func (r *lastingRun) planned() {
	switch r.rand.IntN(3) {
	case 0:
		r.rolls()
	case 1:
		r.replaces()
	}
}

// playDisturbed draws and plays a fault or planned work.
func (r *lastingRun) trouble() {
	switch r.rand.IntN(7 + r.wide) {
	case 0:
		r.kills(r.world.planner())
	case 1:
		r.kills(r.world.anyNode())
	case 2, 3:
		r.crashes()
	case 4, 5, 6:
		r.planned()
	default:
		r.meddles()
	}
}

// rollingRestart restarts several entries as planned, one after the other: in turn, or each time the
// present planner.
func (r *lastingRun) rolls() {
	w := r.world
	w.mu.Lock()
	ongoing := r.rolling
	r.rolling = true
	w.mu.Unlock()
	if ongoing {
		return
	}
	count, interval, plannerFirst := 3+r.rand.IntN(8), r.between(1500*time.Millisecond, 3*time.Second), r.chance(2)
	grace, pause := r.between(time.Second, 2500*time.Millisecond), r.between(100*time.Millisecond, 400*time.Millisecond)
	first := r.turn
	r.turn += count
	w.log.note("rolling restart of %d entries, one every %v, each time the planner: %v", count, interval, plannerFirst)
	w.group.Go(func() {
		for i := range count {
			n := w.nodeAt(first + i)
			if p := w.planner(); plannerFirst && p != nil {
				n = p
			}
			w.stopsAsPlanned(n, grace, pause)
			time.Sleep(interval)
		}
		w.mu.Lock()
		r.rolling = false
		w.mu.Unlock()
	})
}

// nodeAt returns the i-th entry, where consecutive entries are in different failure domains.
func (w *world) nodeAt(i int) *simNode {
	names := slices.Sorted(maps.Keys(w.nodes))
	return w.nodes[names[i*perDomain%len(names)+i*perDomain/len(names)%perDomain]]
}

// stopAsPlanned asks an entry to stop, kills its process after the grace period and restarts it after
// a pause.
func (w *world) stopsAsPlanned(n *simNode, grace, pause time.Duration) {
	w.mu.Lock()
	node := n.node
	w.mu.Unlock()
	if node == nil || node.Stopping() {
		return
	}
	w.log.note("entry %s is asked to stop", node.Name)
	w.roughNow()
	w.plannedNow()
	w.group.Go(func() { node.Stop(w.ctx) })
	w.group.Go(func() {
		time.Sleep(grace)
		if n.killBoot(node) { // A random fault may have killed it before.
			w.log.note("entry %s has ended as planned", node.Name)
			time.Sleep(pause)
			w.startAgain(n)
			w.roughNow()
		}
	})
}

// startUnlessEnded starts an entry unless the test is over.
func (w *world) startAgain(n *simNode) {
	if w.ctx.Err() == nil {
		n.start()
	}
}

// killAndRestart kills an entry, possibly during a planned stop, and restarts it after a pause.
func (r *lastingRun) kills(n *simNode) {
	w := r.world
	pause := r.between(50*time.Millisecond, 3*time.Second)
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
	w.disturb(true)
	w.roughNow()
	w.group.Go(func() {
		time.Sleep(pause)
		w.startAgain(n)
		w.roughNow()
		w.disturb(false)
	})
}

// noteEntryDisturbed records that an entry is disturbed now; see crashCounter.
func (w *world) roughNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes.roughUntil(time.Now())
}

// addDisturbance records that a disturbance begins or ends.
func (w *world) disturb(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.windows.disturb(on)
}

// newWorker starts a worker under a new ID, half of them with a slow clock, and returns the ID.
func (r *lastingRun) newWorker(domain string) string {
	r.named++
	id := fmt.Sprintf("x%d", r.named)
	drift := slowClock * float64(r.rand.IntN(2))
	r.world.boot(simVM(id, id, domain), drift)
	r.world.log.note("worker %s is added", id)
	return id
}

// pickWorker returns a worker that neither drains nor has ended: half of the time the busiest, else a
// random one.
func (r *lastingRun) pick() *simWorker {
	busiest := r.chance(2)
	w := r.world
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*simWorker
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if x := w.workers[id]; !x.over && x.leaving.IsZero() {
			all = append(all, x)
		}
	}
	if len(all) == 0 {
		return nil
	}
	if busiest {
		return slices.MaxFunc(all, func(a, b *simWorker) int { return int(a.used - b.used) })
	}
	return all[r.rand.IntN(len(all))]
}

// replaceWorkers replaces workers one after the other: a new one is added, and then an old one
// announces that it leaves and ends some seconds later.
func (r *lastingRun) replaces() {
	count := 1 + r.rand.IntN(4)
	interval := r.between(500*time.Millisecond, 1500*time.Millisecond)
	for range count {
		x := r.pick()
		if x == nil {
			return
		}
		r.newWorker(x.vm.Domain)
		drainTime := r.between(3*time.Second, 9*time.Second)
		r.world.drains(x)
		r.world.group.Go(func() {
			time.Sleep(drainTime)
			r.world.ends(x, true)
		})
		time.Sleep(interval)
	}
}

// drainBoot makes a boot of a worker announce that it leaves.
func (w *world) drains(x *simWorker) {
	w.mu.Lock()
	x.leaving, w.windows.planned = time.Now(), time.Now()
	w.windows.lookRoom(w)
	vm := x.vm
	w.mu.Unlock()
	vm.Draining = true
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.put("workers/"+vm.ID, mustJSON(vm), 0)
	w.log.note("worker %s announces that it leaves", vm.ID)
}

// notePlanned records that planned work begins.
func (w *world) plannedNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.windows != nil {
		w.windows.planned = time.Now()
	}
}

// terminateBoot ends a boot of a worker, unless it has ended before: its runs end and it responds to
// nothing. If that is planned its record is removed too.
func (w *world) ends(x *simWorker, planned bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return false
	}
	for key := range x.runs {
		x.end(w, key, winch.EndLapsed)
	}
	x.down, x.over = true, true
	if w.windows != nil {
		w.windows.lookRoom(w)
	}
	w.log.note("worker %s, boot %d, is terminated, as planned: %v", x.vm.ID, x.vm.Born, planned)
	if planned {
		w.windows.planned = time.Now()
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
func (r *lastingRun) crashes() {
	w := r.world
	x := r.pick()
	if x == nil || !w.ends(x, false) {
		return
	}
	w.disturb(true)
	w.disturb(false)
	pause, successor := r.between(100*time.Millisecond, 9*time.Second), r.rand.IntN(3)
	r.named++
	id := fmt.Sprintf("x%d", r.named)
	w.group.Go(func() {
		time.Sleep(entryLives)
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
		w.boot(simVM(id, address, x.vm.Domain), 0)
	})
}

// submitLasting submits a job with lasting tasks that have a response time target.
func (w *world) lasts(id string, count int) {
	phase := winch.Phase{
		Count: count, Need: winch.Room{Milli: simMilli}, Estimate: simWork,
		Lasting: true, Image: "serves", Target: servingTarget,
	}
	w.hand(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: lastingWork, Phases: []winch.Phase{phase}})
}

// Lasting tasks run while entries are restarted as planned, the planner is killed, and workers leave,
// crash and return as other boots, all at once, beside gangs and filling tasks. A lasting task may be
// down for a moment, but not for long once the region has recovered, and it must never run twice at
// once.
func TestRandomLasting(t *testing.T) {
	t.Parallel()
	randomLasting(t, 0)
}

// The same as TestRandomLasting with partial faults too: workers that are unresponsive for a while and
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
				w.checksWindows()
				w.lasts("00000000000000a1", 7)
				w.lasts("00000000000000a2", 5)
				r := &lastingRun{world: w, rand: rand.New(rand.NewPCG(seed, 2)), wide: partialFaultWeight}
				jobs := w.jobsMeanwhile(24)
				r.play(4)
				r.rests()
				jobs.Wait()
				w.allLast(12)
				w.end()
			})
		})
	}
}

// startBackgroundJobs submits a job every three seconds and waits for the end of each.
func (w *world) jobsMeanwhile(count int) *conc.WaitGroup {
	group := conc.NewWaitGroup()
	group.Go(func() {
		for i := range count {
			group.Go(func() { w.await(w.someJob(i), 60*time.Second) })
			time.Sleep(3 * time.Second)
		}
	})
	return group
}

// awaitRecovery waits until no rolling restart goes on, and then long enough for the region to recover.
func (r *lastingRun) rests() {
	for restarting := true; restarting; {
		time.Sleep(time.Second)
		r.world.mu.Lock()
		restarting = r.rolling
		r.world.mu.Unlock()
	}
	time.Sleep(20 * time.Second)
}

// checkAllLasting checks, long after the last disturbance, that all lasting tasks run. A task whose run
// has just failed by itself counts as running.
func (w *world) allLast(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 0
	for task, at := range w.lasting.down {
		if at.IsZero() || time.Since(at) < lastingAim {
			running++
			continue
		}
		w.log.note("lasting task %v has been down for %v", task, time.Since(at))
	}
	if running != count {
		w.breaks("%d of %d lasting tasks run long after the last disturbance", running, count)
	}
}

// gangTimedOut checks that the gang of a member that waited in vain was not left incomplete without a
// disturbance. Planned work counts as one here, since the entry that starts the members may have been
// stopped. The world's mutex is held.
func (v *lastingWindows) alone(w *world, key simKey) {
	w.log.note("gang member %v, run %d, ends because its gang was not complete in time", key.task, key.run)
	if v != nil && v.calmFor() > calmBefore+gangTime && time.Since(v.planned) > calmBefore+gangTime {
		w.breaks("%v: gang of %v was not complete in time, with no disturbance for %v", time.Since(w.log.begin), key.task, v.calmFor())
	}
}

// playPartialFault plays a fault that leaves some of the region's connections working.
func (r *lastingRun) meddles() {
	w := r.world
	length := r.between(300*time.Millisecond, 9*time.Second)
	switch r.rand.IntN(7) {
	case 0, 1:
		r.silences(length)
	case 6:
		r.freezes(length)
	case 2:
		r.cutsOneWay(length)
	case 3:
		r.cutsWorker(length)
	case 4:
		domain := fmt.Sprintf("d%d", r.rand.IntN(3))
		w.log.note("failure domain %s is partitioned for %v", domain, length)
		w.troubles(length, func(on bool) { w.cut[domain] = on })
	case 5:
		lossy := r.chance(2)
		w.log.note("the store is faulty for %v, losing responses instead of being down: %v", length, lossy)
		w.troubles(length, func(on bool) {
			w.store.mu.Lock()
			defer w.store.mu.Unlock()
			if lossy {
				w.store.lossy = on
			} else {
				w.store.down = on
			}
		})
	}
}

// disturbFor plays a disturbance for a time.
func (w *world) troubles(length time.Duration, set func(on bool)) {
	w.during(length, func(on bool) {
		set(on)
		w.windows.disturb(on)
		if on {
			w.crashes.roughUntil(time.Now().Add(length))
		}
	})
}

// makeUnresponsive makes a worker stop responding for a time. Its runs go on until the lease expires.
func (r *lastingRun) silences(length time.Duration) {
	x := r.pick()
	if x == nil {
		return
	}
	w := r.world
	w.log.note("worker %s is unresponsive for %v", x.vm.ID, length)
	w.troubles(length, func(on bool) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.down = on || x.over
	})
}

// pauseEntry pauses an entry as seen from outside: it reaches no one, and what is sent to it is handled
// when it is resumed, unless it has been killed. Its own clocks go on, as in a suspended process.
func (r *lastingRun) freezes(length time.Duration) {
	w := r.world
	n := w.nodeAt(r.rand.IntN(len(w.nodes)))
	if p := w.planner(); p != nil && r.chance(3) {
		n = p
	}
	w.mu.Lock()
	node, alreadyPaused := n.node, w.frozen[n.host] != nil
	w.mu.Unlock()
	if node == nil || alreadyPaused {
		return
	}
	w.log.note("entry %s is paused for %v", node.Name, length)
	var held *simFrozen
	w.troubles(length, func(on bool) {
		if on {
			w.frozen[n.host] = &simFrozen{}
			return
		}
		held = w.frozen[n.host]
		delete(w.frozen, n.host)
	})
	w.group.Go(func() {
		time.Sleep(length + time.Microsecond)
		w.mu.Lock()
		running := n.node == node
		w.mu.Unlock()
		if !running || held == nil {
			return
		}
		for _, handle := range held.asks {
			w.group.Go(handle)
		}
		for _, handle := range held.tells {
			handle()
		}
	})
}

// blockEntries drops all messages that one entry sends to another. After some time both find that the
// link is broken.
func (r *lastingRun) cutsOneWay(length time.Duration) {
	w := r.world
	a, b := w.nodeAt(r.rand.IntN(len(w.nodes))), w.nodeAt(r.rand.IntN(len(w.nodes)))
	detected := r.between(300*time.Millisecond, 1500*time.Millisecond)
	if a == b {
		return
	}
	path := simPath{a.host, b.host}
	w.log.note("messages to %s from %s are lost for %v; the link breaks after %v", b.host, a.host, length, detected)
	w.troubles(length, w.blocks(w.paths, path))
	w.group.Go(func() {
		time.Sleep(min(length, detected))
		w.linkChanged(path, 1)
		time.Sleep(max(0, length-detected) + 200*time.Millisecond)
		w.linkChanged(path, -1)
	})
}

// blockPath returns a function that blocks a path, or ends that.
func (w *world) blocks(paths map[simPath]int, path simPath) func(on bool) {
	return func(on bool) {
		if on {
			paths[path]++
		} else {
			paths[path]--
		}
	}
}

// changeLink adds delta to the number of faults that break the link between two entries, and notifies
// both entries.
func (w *world) linkChanged(path simPath, delta int) {
	w.mu.Lock()
	w.links[path] += delta
	var nodes []*Node
	for _, host := range []string{path.from, path.to} {
		if n := w.nodes[host].node; n != nil {
			nodes = append(nodes, n)
		}
	}
	w.mu.Unlock()
	for _, n := range nodes {
		n.LinkChanged()
	}
}

// blockWorker blocks the path between an entry and a worker, in one direction or both.
func (r *lastingRun) cutsWorker(length time.Duration) {
	w := r.world
	n, x, directions := w.nodeAt(r.rand.IntN(len(w.nodes))), r.pick(), 1+r.rand.IntN(3)
	if x == nil {
		return
	}
	w.log.note("path between entry %s and worker %s is blocked, directions %d (1: requests, 2: responses, 3: both), for %v", n.host, x.vm.ID, directions, length)
	requests, responses := w.blocks(w.paths, simPath{n.host, x.vm.Address}), w.blocks(w.paths, simPath{x.vm.Address, n.host})
	w.troubles(length, func(on bool) {
		if directions&1 != 0 {
			requests(on)
		}
		if directions&2 != 0 {
			responses(on)
		}
	})
}

// submitSomeJob submits an ordinary job, a gang or filling tasks, in turn, and returns the job's ID.
func (w *world) someJob(i int) string {
	id := fmt.Sprintf("%016x", i)
	job := &winch.PhasedJob{ID: id, Queue: "preview", Team: "choir"}
	switch i % 3 {
	case 0:
		return w.jobs(i, i+1)[0]
	case 1:
		gang := simPhase(gangSize)
		gang.Gang = true
		job.Command, job.Phases = gangWork, []winch.Phase{gang}
	case 2:
		fill := simPhase(5)
		fill.Fills, fill.Image = true, "fills"
		job.Command, job.Phases = fillingWork, []winch.Phase{fill}
	}
	w.hand(job)
	return id
}
