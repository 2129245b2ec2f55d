package region

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/winch"
)

const (
	// maxStartAfterLoss is how long after the return of the last entry the last accepted job may begin: until the longest
	// authority of the lost planner and its keepers has ended, and a second for the takeover.
	maxStartAfterLoss = 9 * time.Second
	// finishDelay is how long after the loss of all entries each has to respond to each request for a state.
	finishDelay = 14 * time.Second
	// maxReturnDelay is how long after the loss the last entry starts again at the latest.
	maxReturnDelay = 3 * time.Second
)

// cancelStage says whether a job was cancelled.
type cancelStage int

const (
	notCancelled cancelStage = iota
	cancelSent
	cancelled
)

// lossScenario loses all entries right after jobs, cancels and a configuration were accepted.
type lossScenario struct {
	*world
	mu        sync.Mutex
	known     map[string]cancelStage // known holds the accepted jobs.
	waiting   map[string]bool        // waiting holds the accepted jobs that have not begun since.
	lastStart time.Time              // lastStart is when the last of them began.
	lostAt    time.Time
}

// someNode returns the process of a random entry, or nil if it does not run.
func (s *lossScenario) someNode() *Node {
	n := s.randomNode()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return n.node
}

// accept submits a job and records it, unless all entries are lost before it is accepted.
func (s *lossScenario) accept(ctx context.Context, id string, phases ...winch.Phase) {
	node := s.someNode()
	if node == nil {
		return
	}
	result := node.Submit(ctx, &winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: "work", Accepted: time.Now(), Phases: phases})
	if result.OK() && s.alive(node) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.known[id], s.waiting[id] = notCancelled, true
	}
}

// cancel cancels an accepted job at an entry and records that.
func (s *lossScenario) cancel(ctx context.Context, id string) {
	node := s.someNode()
	if node == nil {
		return
	}
	s.mu.Lock()
	_, accepted := s.known[id]
	if accepted {
		s.known[id] = cancelSent
		delete(s.waiting, id)
	}
	s.mu.Unlock()
	if result := node.Cancel(ctx, id); accepted && result.OK() && s.alive(node) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.known[id] = cancelled
	}
}

func (s *lossScenario) alive(node *Node) bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.liveNodes()[node.Name] == node
}

// acceptWork submits and cancels jobs at all entries until they are lost.
func (s *lossScenario) acceptWork(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%016x", 0x2000+i)
		group.Go(func() {
			s.accept(ctx, id, simPhase(4), simPhase(3, 0))
			if i%5 == 4 {
				s.cancel(ctx, id)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
}

// loseAll ends all entries at once and starts each again after a time of its own.
func (s *lossScenario) loseAll() {
	s.lostAt = time.Now()
	s.log.note("all entries are lost")
	s.addDisturbance(true)
	defer s.addDisturbance(false)
	for _, n := range s.nodes {
		n.kill()
	}
	together := s.intn(2) == 0
	delay := time.Duration(200+s.intn(int(maxReturnDelay/time.Millisecond)-200)) * time.Millisecond
	var group conc.WaitGroup
	for _, host := range slices.Sorted(maps.Keys(s.nodes)) {
		if !together {
			delay = time.Duration(200+s.intn(int(maxReturnDelay/time.Millisecond)-200)) * time.Millisecond
		}
		after := delay
		group.Go(func() {
			time.Sleep(after)
			s.nodes[host].start()
		})
	}
	group.Wait()
}

// watchStarts records when the jobs that wait begin, until all have or ctx ends.
func (s *lossScenario) watchStarts(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		s.world.mu.Lock()
		for task, count := range s.running {
			if count > 0 && s.waiting[task.Job] {
				delete(s.waiting, task.Job)
				s.lastStart = time.Now()
			}
		}
		s.world.mu.Unlock()
		s.mu.Unlock()
	}
}

// askAll asks each entry for each accepted job at once. Every answer must know the job, and from finishDelay after the loss
// on each must come in time.
func (s *lossScenario) askAll() {
	s.mu.Lock()
	known := maps.Clone(s.known)
	s.mu.Unlock()
	s.world.mu.Lock()
	nodes := s.liveNodes()
	s.world.mu.Unlock()
	var group conc.WaitGroup
	for _, node := range nodes {
		for id, stage := range known {
			group.Go(func() { s.ask(node, id, stage) })
		}
	}
	group.Wait()
}

func (s *lossScenario) ask(node *Node, id string, stage cancelStage) {
	if node.Config() == nil {
		return
	}
	due := time.Since(s.lostAt) >= finishDelay
	ctx, cancel := context.WithTimeout(s.ctx, maxStateDelay)
	defer cancel()
	state, result := node.State(ctx, id)
	wrong := state == winch.JobCancelled && stage == notCancelled || due && result.OK() && stage == cancelled && !state.Final()
	if result.Reason == winch.UnknownJob || due && !result.OK() || wrong {
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		s.reportViolation("%v after the loss: %s responds to a request for job %s with %q, %q", time.Since(s.lostAt), node.Name, id, state, result.Reason)
	}
}

// Guards against accepted jobs that are not known, or begin late, after all entries were lost at once, right after jobs, cancels
// and a configuration were accepted. All entries are asked for all jobs at once meanwhile. In some runs the store is slow, or
// workers are lost with the entries.
func TestRandomFinalLoss(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+wideSeeds(); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 0)
				w.workerMilli = regionMilli / 12
				for i := range 12 {
					id := fmt.Sprintf("w%d", i)
					w.bootWorker(w.vm(id, id, fmt.Sprintf("d%d", i%3)), 0)
				}
				settle()
				w.startDowntimeChecks()
				w.submitLasting("00000000000000a1", wideJobTasks)
				s := &lossScenario{world: w, known: map[string]cancelStage{"00000000000000a1": notCancelled}, waiting: make(map[string]bool)}
				if w.intn(3) == 0 {
					delay := time.Duration(w.intn(150)) * time.Millisecond
					w.setStore(func(x *simStore) { x.extraDelay = delay })
				}
				traffic, end := context.WithCancel(w.ctx)
				watched, over := context.WithCancel(w.ctx)
				w.group.Go(func() { s.watchStarts(watched) })
				var callers conc.WaitGroup
				callers.Go(func() { s.acceptWork(traffic) })
				time.Sleep(time.Duration(500+w.intn(2500)) * time.Millisecond)
				if w.intn(2) == 0 {
					w.setStore(func(x *simStore) { x.put("op/config", mustJSON(simConfig(2)), 0) })
					time.Sleep(time.Duration(w.intn(300)) * time.Millisecond)
				}
				if w.intn(3) == 0 {
					for range 1 + w.intn(3) {
						w.terminateBoot(w.workers[fmt.Sprintf("w%d", w.intn(12))], false)
					}
					time.Sleep(time.Duration(w.intn(300)) * time.Millisecond)
				}
				end()
				s.loseAll()
				callers.Wait()
				returnedAt := time.Now()
				for time.Since(s.lostAt) < finishDelay+2*time.Second {
					s.askAll()
					time.Sleep(500 * time.Millisecond)
				}
				over()
				s.mu.Lock()
				took := max(0, s.lastStart.Sub(returnedAt))
				t.Logf("%d jobs, the last one began after %v", len(s.known), took)
				if took > maxStartAfterLoss || len(s.waiting) > 0 {
					w.mu.Lock()
					w.reportViolation("the last job began %v after the return of the entries, %d have not begun", took, len(s.waiting))
					w.mu.Unlock()
				}
				s.mu.Unlock()
				w.checkAllLasting(wideJobTasks)
				w.end()
			})
		})
	}
}
