package region

import (
	"context"
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

const (
	// wideJobTasks is the number of tasks of each lasting job in the tests with slow entries.
	wideJobTasks = 40
	// regionMilli is the capacity of all workers there.
	regionMilli = 192_000
	// visibleDelay is how long after its acceptance an entry may not know a job yet.
	visibleDelay = 3 * time.Second
	// maxStateDelay is how long the answer to a request for a job's state may take.
	maxStateDelay = 2 * time.Second
	// maxStandstill is how long a job may have nothing running, while there is capacity for it twice over.
	maxStandstill = 3 * time.Second
)

// wideSeeds returns the number of seeds of the tests with wide jobs, each of which takes longer than other random runs.
func wideSeeds() uint64 { return max(1, *seeds/4) }

// slowScenario plays slow entries, connections that fall silent and losses of whole racks beside the faults and the planned
// work of randomScenario.
type slowScenario struct {
	*randomScenario
	jobs map[string]*watchedJob // jobs holds the accepted jobs that have not ended. The world's mutex guards it.
	// roomySince is since when under half of the region has been in use.
	roomySince time.Time
}

// watchedJob is an accepted job.
type watchedJob struct {
	acceptedAt time.Time
	tasks      int // tasks is the number of its tasks; zero if they last.
	// idleSince is since when none of its tasks has run; zero while one runs.
	idleSince time.Time
	reported  bool
}

// newSlowScenario starts a region whose workers are few and large.
func newSlowScenario(t *testing.T, seed uint64) *slowScenario {
	w := newWorld(t, seed, 3, 0)
	w.enableLateness()
	workers := 3 << (seed / 2 % 3)
	w.workerMilli = int64(regionMilli / workers)
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		w.bootWorker(w.vm(id, id, fmt.Sprintf("d%d", i%3)), 0)
	}
	settle()
	w.startDowntimeChecks()
	r := &randomScenario{world: w, rand: rand.New(rand.NewPCG(seed, 12))}
	s := &slowScenario{randomScenario: r, jobs: make(map[string]*watchedJob)}
	for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
		w.submitLasting(id, wideJobTasks)
		s.accepted(id, 0)
	}
	w.group.Go(s.watchJobs)
	w.group.Go(s.askForStates)
	return s
}

// accepted records that a job was accepted.
func (s *slowScenario) accepted(id string, tasks int) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.jobs[id] = &watchedJob{acceptedAt: time.Now(), idleSince: time.Now(), tasks: tasks}
}

// ended records that a job has ended.
func (s *slowScenario) ended(id string) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	delete(s.jobs, id)
}

// submitJobsUntil submits a job every two seconds, each at a random entry, and waits for the end of each.
func (s *slowScenario) submitJobsUntil(over <-chan struct{}) {
	w := s.world
	var group conc.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		group.Go(func() {
			id, tasks := fmt.Sprintf("%016x", 0x1000+i), gangSize
			job := &winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: gangCommand, Phases: []winch.Phase{simPhase(gangSize)}}
			job.Phases[0].Gang = true
			if i%2 == 0 {
				tasks, job.Command, job.Phases = 7, "work", []winch.Phase{simPhase(4), simPhase(3, 0)}
			}
			w.submitJob(job)
			s.accepted(id, tasks)
			w.await(id, 60*time.Second)
			s.ended(id)
		})
		select {
		case <-over:
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// watchJobs reports jobs of which nothing runs for long while there is room, with no disturbance.
func (s *slowScenario) watchJobs() {
	w := s.world
	for w.ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		w.mu.Lock()
		s.checkStandstill()
		w.mu.Unlock()
	}
}

// checkStandstill checks all accepted jobs. The world's mutex is held.
func (s *slowScenario) checkStandstill() {
	w := s.world
	used, all := int64(0), int64(0)
	for _, x := range w.workers {
		_, evacuated := w.evacuatedAt[x.vm.Domain]
		if !x.terminated && !x.unresponsive && x.drainingSince.IsZero() && !evacuated {
			used, all = used+x.usedMilli, all+x.vm.Room.Milli
		}
	}
	if 2*used >= all {
		s.roomySince = time.Time{}
	} else if s.roomySince.IsZero() {
		s.roomySince = time.Now()
	}
	roomy := !s.roomySince.IsZero() && time.Since(s.roomySince) >= maxStandstill
	running, done := make(map[string]int), make(map[string]int)
	for task, count := range w.running {
		running[task.Job] += count
	}
	for task, runs := range w.completed {
		if len(runs) > 0 {
			done[task.Job]++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		switch {
		case running[id] > 0 || j.tasks > 0 && done[id] >= j.tasks:
			j.idleSince = time.Time{}
		case j.idleSince.IsZero():
			j.idleSince = time.Now()
		case roomy && !j.reported && time.Since(j.idleSince) >= maxStandstill && w.downtimeChecks.undisturbedTime() >= recoveryTime+maxStandstill:
			j.reported = true
			w.reportViolation("%v: nothing of job %s has run for %v, with room for %v and no disturbance for %v", time.Since(w.log.startedAt), id,
				time.Since(j.idleSince), time.Since(s.roomySince), w.downtimeChecks.undisturbedTime())
		}
	}
}

// askForStates asks random entries for the states of accepted jobs.
func (s *slowScenario) askForStates() {
	w := s.world
	for w.ctx.Err() == nil {
		time.Sleep(300 * time.Millisecond)
		host := w.randomNode()
		w.mu.Lock()
		node, id := host.node, ""
		if all := slices.Sorted(maps.Keys(s.jobs)); len(all) > 0 {
			id = all[w.intn(len(all))]
		}
		known := id != "" && time.Since(s.jobs[id].acceptedAt) > visibleDelay
		w.mu.Unlock()
		if node != nil && known && !node.Stopping() && node.Config() != nil {
			w.group.Go(func() { s.checkState(node, id) })
		}
	}
}

// checkState asks an entry for the state of a job, which it must know. A lasting job must not have ended.
func (s *slowScenario) checkState(node *Node, id string) {
	w := s.world
	ctx, cancel := context.WithTimeout(w.ctx, maxStateDelay)
	defer cancel()
	state, result := node.State(ctx, id)
	w.mu.Lock()
	defer w.mu.Unlock()
	job, live := s.jobs[id], w.liveNodes()[node.Name] == node
	if job == nil || !live || w.ctx.Err() != nil || node.Stopping() {
		return
	}
	unanswered := !result.OK() && w.downtimeChecks.undisturbedTime() > recoveryTime
	if result.Reason == winch.UnknownJob || unanswered || result.OK() && job.tasks == 0 && state.Final() {
		w.reportViolation("%v: %s responds to a request for job %s with %q, %q", time.Since(w.log.startedAt), node.Name, id, state, result.Reason)
	}
}

// slowEntry returns the planner, its standby or any entry.
func (s *slowScenario) slowEntry() *simNode {
	w := s.world
	p := w.planner()
	if p == nil {
		return w.randomNode()
	}
	switch s.rand.IntN(3) {
	case 0:
		return p
	case 1:
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, host := range slices.Sorted(maps.Keys(w.nodes)) {
			if n := w.nodes[host]; n.node != nil && n.node.cell.standbyName() == n.node.Name {
				return n
			}
		}
	}
	return w.randomNode()
}

// standbyName returns the name of the standby that the store names, as far as this entry knows.
func (c *cellView) standbyName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standby.Name
}

// slowDown makes entries slow for a time: what they send and handle is late, and their planner decides late.
func (s *slowScenario) slowDown(length, low, high time.Duration, entries ...*simNode) {
	w := s.world
	for _, n := range entries {
		w.mu.Lock()
		_, slowAlready := w.late.slow[n.host]
		w.mu.Unlock()
		if slowAlready {
			continue
		}
		w.log.note("messages from and to entry %s are late by %v to %v for %v", n.host, low, high, length)
		w.disturbFor(length, func(on bool) {
			if on {
				w.late.slow[n.host] = latenessRange{low, high}
			} else {
				delete(w.late.slow, n.host)
			}
		})
		w.group.Go(func() {
			// Of six parts of the time its planner has one.
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(low / 5) {
				w.mu.Lock()
				node := n.node
				w.mu.Unlock()
				if node != nil {
					node.occupy(low)
				}
			}
		})
	}
}

// playSlow makes one entry slow, or all of them less so.
func (s *slowScenario) playSlow() {
	length := s.randomDuration(10*time.Second, 16*time.Second)
	if s.oneIn(3) {
		low := s.randomDuration(30*time.Millisecond, 200*time.Millisecond)
		s.slowDown(length, low, s.randomDuration(low, 500*time.Millisecond), slices.Collect(maps.Values(s.world.nodes))...)
		return
	}
	low := s.randomDuration(25*time.Millisecond, 300*time.Millisecond)
	for range 1 + s.rand.IntN(2) {
		s.slowDown(length, low, s.randomDuration(low, 900*time.Millisecond), s.slowEntry())
	}
}

// playSilence has the connections from one entry to all workers, to the store or to another entry fall silent.
func (s *slowScenario) playSilence() {
	w := s.world
	n := s.slowEntry()
	count := 1 + s.rand.IntN(4)
	kind := s.rand.IntN(3)
	w.log.note("%d connections of entry %s fall silent, kind %d", count, n.host, kind)
	switch kind {
	case 0:
		w.disturbFor(time.Millisecond, func(on bool) {
			for address := range w.addresses {
				if on {
					w.late.silentConns[simPath{n.host, address}] += count
				}
			}
		})
	case 1:
		w.disturbFor(time.Millisecond, func(on bool) {
			if on {
				w.late.silentConns[simPath{n.host, storeHost}] += count
			}
		})
	default:
		s.blockEntries(s.randomDuration(300*time.Millisecond, 1500*time.Millisecond))
	}
}

// loseRack ends all workers of a failure domain but one, or one of them, without an announcement.
func (s *slowScenario) loseRack() {
	w := s.world
	domain := fmt.Sprintf("d%d", s.rand.IntN(3))
	w.mu.Lock()
	var all []*simWorker
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if x := w.workers[id]; !x.terminated && x.vm.Domain == domain {
			all = append(all, x)
		}
	}
	w.mu.Unlock()
	pause := s.randomDuration(time.Second, 9*time.Second)
	for _, x := range all[:min(len(all), 1+s.rand.IntN(4))] {
		if !w.terminateBoot(x, false) {
			continue
		}
		w.addDisturbance(true)
		w.addDisturbance(false)
		next := x.vm
		if s.oneIn(2) {
			next.ID += "+"
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

// playWithSlowEntries alternates between periods in which entries are slow, connections fall silent, racks and entries are
// lost, and periods of planned work alone.
func (s *slowScenario) playWithSlowEntries(rounds int) {
	for range rounds {
		s.playSlow()
		for end := time.Now().Add(s.randomDuration(6*time.Second, 16*time.Second)); time.Now().Before(end); {
			switch s.rand.IntN(8) {
			case 0:
				s.loseRack()
			case 1:
				s.playSilence()
			case 2:
				s.killAndRestart(s.slowEntry())
			case 3:
				s.crashWorker()
			case 4:
				s.playSlow()
			default:
				s.playPlanned()
			}
			time.Sleep(s.randomDuration(200*time.Millisecond, 3*time.Second))
		}
		for end := time.Now().Add(s.randomDuration(16*time.Second, 26*time.Second)); time.Now().Before(end); {
			s.playPlanned()
			time.Sleep(s.randomDuration(200*time.Millisecond, 3*time.Second))
		}
	}
}

// runStalls stalls the whole region again and again, for a part of the time, until the world ends.
func (s *slowScenario) runStalls(seed uint64) {
	stalls := rand.New(rand.NewPCG(seed, 13))
	longest := 150 + stalls.IntN(350)
	for s.world.ctx.Err() == nil {
		time.Sleep(time.Duration(300+stalls.IntN(3000)) * time.Millisecond)
		length := time.Duration(100+stalls.IntN(longest-100)) * time.Millisecond
		s.world.log.note("everything stalls for %v", length)
		s.world.stall(length)
	}
}

// Guards against lasting tasks that stay down, jobs that stand still, and jobs that an entry does not know, with entries that
// are slow without being lost, connections that fall silent, and workers and racks that take dozens of lasting tasks with them.
func TestRandomSlowEntries(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+wideSeeds(); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSlowScenario(t, seed)
				w, over := s.world, make(chan struct{})
				jobs := conc.NewWaitGroup()
				jobs.Go(func() { s.submitJobsUntil(over) })
				if seed%3 == 0 {
					w.group.Go(func() { s.runStalls(seed) })
				}
				s.playWithSlowEntries(2)
				close(over)
				s.awaitRecovery()
				jobs.Wait()
				w.checkAllLasting(2 * wideJobTasks)
				w.end()
			})
		})
	}
}
