package entry

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/conf"
	"plantainwinch/stand"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// Flags of TestChaos: how many randomised schedules to run, and the seed of the first.
var (
	schedules = flag.Int("schedules", 200, "randomised schedules to run")
	firstSeed = flag.Uint64("first", 1, "seed of the first schedule")
)

// randomSchedule is one randomised schedule of calls, jobs, changes by operators and faults in a cell of two failure
// domains with two entries each.
type randomSchedule struct {
	*world
	seed       uint64
	rnd        *rand.Rand
	entryNames []string
	live       map[string]*node
	liveMu     sync.Mutex
	group      conc.WaitGroup
	stop       chan struct{}
	resultsMu  sync.Mutex
	calls      []callResult
	jobs       map[string]winch.Job
}

// callResult is the result of one call.
type callResult struct {
	id, class string
	result    result
}

// Guards against combinations of faults that break what callers rely on. Entries die, restart, are paused past their
// leases and lose the store; domains are partitioned; the store goes down, is slow and loses responses; workers go down
// and lose responses; executors hang; operators change limits. A seed determines the faults and their order. Outcomes
// must match what ran, and once the faults are over all accepted jobs must end.
func TestChaos(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
			if t.Failed() {
				t.Logf("replay with: go test ./entry -run TestChaos -schedules 1 -first %d", seed)
			}
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	w := newWorld(t)
	defer w.finish()
	c := &randomSchedule{
		world: w, seed: seed, rnd: rand.New(rand.NewPCG(seed, 5)), live: make(map[string]*node),
		stop: make(chan struct{}), jobs: make(map[string]winch.Job),
	}
	w.noFencing = seed%4 == 0
	w.adjust = func(s *conf.Settings) {
		s.Cell.FenceAtVM = !w.noFencing
		s.Timing.Drain = 10 * time.Second
	}
	for _, d := range []string{"d1", "d2"} {
		for i := range 3 {
			w.addWorker(fmt.Sprintf("w%d-%s", i, d), d)
		}
		for i := range 2 {
			w.addExecutor(fmt.Sprintf("e%d-%s", i, d), d, 3)
			name := fmt.Sprintf("%s-%d", d, i)
			c.entryNames = append(c.entryNames, name)
			c.live[name] = w.addEntry(name, d)
		}
	}
	w.settle()
	w.configure(c.live["d1-0"], 14, "choir", "guild")
	w.settle()
	for i := range 6 {
		c.group.Go(func() { c.runCaller(i) })
	}
	c.group.Go(c.runOperator)
	c.injectFaults()
	close(c.stop)
	c.group.Wait()
	c.endFaults()
	c.checkResults()
}

// randomEntry returns a random live entry, or nil if it finds none.
func (c *randomSchedule) randomEntry(rnd *rand.Rand) *node {
	c.liveMu.Lock()
	defer c.liveMu.Unlock()
	for range 20 {
		if n := c.live[c.entryNames[rnd.IntN(len(c.entryNames))]]; n != nil {
			return n
		}
	}
	return nil
}

func (c *randomSchedule) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// runCaller makes calls and submits jobs, and sends some of them again through other entries.
func (c *randomSchedule) runCaller(i int) {
	rnd := rand.New(rand.NewPCG(c.seed, uint64(100+i)))
	team := []string{"choir", "guild"}[i%2]
	for n := 0; !c.stopped(); n++ {
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		at := c.randomEntry(rnd)
		if at == nil {
			continue
		}
		id := fmt.Sprintf("c%d-%d", i, n)
		if rnd.IntN(3) == 0 {
			c.submitJob(rnd, at, team, id)
			continue
		}
		class := []string{"preview", "invoice"}[rnd.IntN(2)]
		body := fmt.Sprintf("take=%dms %s", rnd.IntN(3000), id)
		attempts := 1 + rnd.IntN(2)
		for range attempts {
			got := c.call(at, team, class, id, body)
			c.resultsMu.Lock()
			c.calls = append(c.calls, callResult{id, class, got})
			c.resultsMu.Unlock()
			if got.Outcome == winch.Done || class == "preview" {
				break
			}
			if at = c.randomEntry(rnd); at == nil {
				break
			}
		}
	}
}

// submitJob submits a random job, sometimes twice, and sometimes cancels it.
func (c *randomSchedule) submitJob(rnd *rand.Rand, at *node, team, id string) {
	class := []string{"mix", "billed"}[rnd.IntN(2)]
	kind := []winch.JobKind{winch.Batch, winch.Gang}[rnd.IntN(2)]
	tasks, run := 1+rnd.IntN(5), time.Duration(rnd.IntN(20000))*time.Millisecond
	for range 2 {
		job, r := c.submit(at, team, class, id, kind, tasks, run)
		if r.OK() {
			c.resultsMu.Lock()
			c.jobs[job.ID] = job
			c.resultsMu.Unlock()
		}
		if rnd.IntN(3) > 0 {
			return
		}
		if rnd.IntN(4) == 0 && r.OK() {
			_, _ = at.CancelJob(context.Background(), c.keys[team], job.ID)
			return
		}
		if at = c.randomEntry(rnd); at == nil {
			return
		}
	}
}

// runOperator changes a limit from time to time. The harness checks against the largest limit so far, since a lowered
// limit takes effect only as work ends.
func (c *randomSchedule) runOperator() {
	rnd := rand.New(rand.NewPCG(c.seed, 77))
	for !c.stopped() {
		time.Sleep(time.Duration(3+rnd.IntN(10)) * time.Second)
		at := c.randomEntry(rnd)
		if at == nil {
			continue
		}
		limit := 8 + rnd.IntN(8)
		c.mu.Lock()
		c.limits["choir"] = max(c.limits["choir"], limit)
		c.mu.Unlock()
		d := config.Declared{Teams: map[string]winch.Team{"choir": {Name: "choir", Share: 1, Limit: limit, CutOffTrust: time.Minute}}}
		_, _ = at.Change(context.Background(), operator, 0, d.Change())
	}
}

// injectFaults injects random faults one after the other. A fault may last beyond the start of the next ones.
func (c *randomSchedule) injectFaults() {
	for range 25 {
		time.Sleep(time.Duration(500+c.rnd.IntN(4000)) * time.Millisecond)
		name := c.entryNames[c.rnd.IntN(len(c.entryNames))]
		c.liveMu.Lock()
		n := c.live[name]
		c.liveMu.Unlock()
		switch c.rnd.IntN(12) {
		case 0:
			c.restartEntry(name)
		case 1:
			if n != nil {
				n.pause()
				c.undoLater(20, n.resume)
			}
		case 2:
			if n != nil {
				n.partitionStore(true)
				c.undoLater(20, func() { n.partitionStore(false) })
			}
		case 3:
			if n != nil {
				n.loseResponses(1 + c.rnd.IntN(4))
			}
		case 4:
			c.platform.SetFaults(stand.Faults{Down: true})
			c.undoLater(20, func() { c.platform.SetFaults(stand.Faults{}) })
		case 5:
			c.platform.SetFaults(stand.Faults{Latency: time.Duration(c.rnd.IntN(1500)) * time.Millisecond})
			c.undoLater(10, func() { c.platform.SetFaults(stand.Faults{}) })
		case 6:
			c.partition(true, c.entryNames[:2], c.entryNames[2:])
			c.undoLater(20, func() { c.partition(false, c.entryNames[:2], c.entryNames[2:]); c.reconnect() })
		case 7, 8:
			s := c.randomWorker()
			s.SetFaults(stand.WorkerFaults{Down: true})
			c.undoLater(40, func() { s.SetFaults(stand.WorkerFaults{}) })
		case 9:
			c.randomWorker().SetFaults(stand.WorkerFaults{LoseReplies: 1 + c.rnd.IntN(3)})
		case 10:
			c.undoLater(20, c.executors.block(fmt.Sprintf("e%d-d%d", c.rnd.IntN(2), 1+c.rnd.IntN(2))))
		case 11:
			c.stopEntry(name)
		}
	}
}

// randomWorker returns a random worker.
func (c *randomSchedule) randomWorker() *stand.Worker {
	return c.fleet()[fmt.Sprintf("w%d-d%d", c.rnd.IntN(3), 1+c.rnd.IntN(2))]
}

// undoLater undoes a fault after a random time of at most maxSeconds.
func (c *randomSchedule) undoLater(maxSeconds int, undo func()) {
	d := time.Duration(1+c.rnd.IntN(maxSeconds)) * time.Second
	c.group.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// restartEntry kills an entry and later starts a new process under its name.
func (c *randomSchedule) restartEntry(name string) {
	c.liveMu.Lock()
	n := c.live[name]
	c.live[name] = nil
	c.liveMu.Unlock()
	if n == nil {
		return
	}
	n.kill()
	c.undoLater(8, func() { c.startEntry(name) })
}

// stopEntry performs a planned stop of an entry and starts a new process under its name.
func (c *randomSchedule) stopEntry(name string) {
	c.liveMu.Lock()
	n := c.live[name]
	c.live[name] = nil
	c.liveMu.Unlock()
	if n == nil {
		return
	}
	c.group.Go(func() {
		n.Stop(context.Background())
		n.kill()
		c.startEntry(name)
	})
}

// startEntry starts a new process of an entry.
func (c *randomSchedule) startEntry(name string) {
	n := c.addEntry(name, name[:2])
	c.liveMu.Lock()
	c.live[name] = n
	c.liveMu.Unlock()
	c.reconnect()
}

// reconnect sends the first messages of new connections between all entries that reach each other.
func (c *randomSchedule) reconnect() {
	for _, a := range c.entryNames {
		for _, b := range c.entryNames {
			if from, _ := c.reach(b, a); from != nil && a != b {
				kind, body := from.First(b)
				_ = fakePeers{from}.Notify(b, kind, body)
			}
		}
	}
}

// endFaults ends all faults and waits until the cell has recovered.
func (c *randomSchedule) endFaults() {
	c.platform.SetFaults(stand.Faults{})
	c.partition(false, c.entryNames[:2], c.entryNames[2:])
	for _, s := range c.fleet() {
		s.SetFaults(stand.WorkerFaults{})
	}
	c.executors.unblockAll()
	for _, n := range c.live {
		n.resume()
		n.partitionStore(false)
		n.loseResponses(0)
	}
	c.reconnect()
	time.Sleep(2 * time.Minute)
}

// checkResults compares the outcomes that callers got with what ran.
func (c *randomSchedule) checkResults() {
	results := make(map[string][]result)
	for _, call := range c.calls {
		results[call.id] = append(results[call.id], call.result)
		if call.class == "invoice" && c.executors.runCount(call.id) > 1 {
			c.t.Errorf("invoice %s ran %d times", call.id, c.executors.runCount(call.id))
		}
	}
	for id, attempts := range results {
		done, unknown := false, false
		for _, r := range attempts {
			done = done || r.Outcome == winch.Done
			unknown = unknown || r.Outcome == winch.Unknown
		}
		runs := c.executors.runCount(id)
		if runs > 0 && !done && !unknown {
			c.t.Errorf("request %s ran %d times, but its callers got the outcome NotRun only", id, runs)
		}
		if runs == 0 && done {
			c.t.Errorf("request %s has the outcome Done but did not run", id)
		}
	}
	at := c.live["d1-0"]
	for id, job := range c.jobs {
		v := c.awaitJob(at, job.Team, id, 10*time.Minute)
		if !v.State.Final() {
			if n := c.planner(job.Domain); n != nil {
				_ = n.office.Duty.Do(context.Background(), func() { c.t.Log(n.planner.Dump(id)) })
			}
			c.t.Errorf("job %s (%s %s) of domain %s did not end: state %s, reason for waiting: %s", id, job.Class, job.Spec.Kind, job.Domain, v.State, v.Why)
		}
		if v.State == winch.JobUnknown && job.Class == "mix" {
			c.t.Errorf("repeatable job %s ended as unknown", id)
		}
	}
	for _, team := range []string{"choir", "guild"} {
		if n := c.executors.running(team); n != 0 {
			c.t.Errorf("%d requests of team %s are still running", n, team)
		}
	}
}
