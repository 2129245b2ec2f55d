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

// Flags of the randomised runs: how many schedules to run, and from which seed.
var (
	schedules = flag.Int("schedules", 200, "randomised schedules to run")
	firstSeed = flag.Uint64("first", 1, "seed of the first schedule")
)

// chaos is one randomised run: callers, operators and faults on two failure
// domains with two entries each.
type chaos struct {
	*world
	seed  uint64
	rnd   *rand.Rand
	names []string
	alive map[string]*node
	amu   sync.Mutex
	group conc.WaitGroup
	stop  chan struct{}
	rmu   sync.Mutex
	calls []chaosCall
	jobs  map[string]winch.Job
}

type chaosCall struct {
	id, class string
	got       result
}

// Entries die, restart, pause past their leases and lose the store; domains are
// cut from each other; the store goes down, is slow and loses replies; workers
// vanish and lose replies; executors hang; operators change limits and keys.
// All of it at once, in an order that a seed decides. Callers never see a broken
// promise, and once the faults are over all accepted work comes to its end.
func TestChaos(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed) })
			if t.Failed() {
				t.Logf("replay with: go test ./entry -run TestChaos -schedules 1 -first %d", seed)
			}
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	w := newWorld(t)
	defer w.end()
	c := &chaos{
		world: w, seed: seed, rnd: rand.New(rand.NewPCG(seed, 5)), alive: make(map[string]*node),
		stop: make(chan struct{}), jobs: make(map[string]winch.Job),
	}
	w.noFence = seed%4 == 0
	w.tune = func(s *conf.Settings) {
		s.Cell.FenceAtVM = !w.noFence
		s.Timing.Drain = 10 * time.Second
	}
	for _, d := range []string{"d1", "d2"} {
		for i := range 3 {
			w.worker(fmt.Sprintf("w%d-%s", i, d), d)
		}
		for i := range 2 {
			w.executor(fmt.Sprintf("e%d-%s", i, d), d, 3)
			name := fmt.Sprintf("%s-%d", d, i)
			c.names = append(c.names, name)
			c.alive[name] = w.entry(name, d)
		}
	}
	w.settle()
	w.configure(c.alive["d1-0"], 14, "choir", "guild")
	w.settle()
	for i := range 6 {
		c.group.Go(func() { c.caller(i) })
	}
	c.group.Go(c.operators)
	c.faults()
	close(c.stop)
	c.group.Wait()
	c.heal()
	c.verdict()
}

// pick returns a live entry.
func (c *chaos) pick(rnd *rand.Rand) *node {
	c.amu.Lock()
	defer c.amu.Unlock()
	for range 20 {
		if n := c.alive[c.names[rnd.IntN(len(c.names))]]; n != nil {
			return n
		}
	}
	return nil
}

func (c *chaos) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// caller makes calls and submits jobs, and sends some of them again elsewhere.
func (c *chaos) caller(i int) {
	rnd := rand.New(rand.NewPCG(c.seed, uint64(100+i)))
	team := []string{"choir", "guild"}[i%2]
	for n := 0; !c.stopped(); n++ {
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		at := c.pick(rnd)
		if at == nil {
			continue
		}
		id := fmt.Sprintf("c%d-%d", i, n)
		if rnd.IntN(3) == 0 {
			c.submitOne(rnd, at, team, id)
			continue
		}
		class := []string{"preview", "invoice"}[rnd.IntN(2)]
		body := fmt.Sprintf("take=%dms %s", rnd.IntN(3000), id)
		again := 1 + rnd.IntN(2)
		for range again {
			got := c.call(at, team, class, id, body)
			c.rmu.Lock()
			c.calls = append(c.calls, chaosCall{id, class, got})
			c.rmu.Unlock()
			if got.Outcome == winch.Done || class == "preview" {
				break
			}
			if at = c.pick(rnd); at == nil {
				break
			}
		}
	}
}

func (c *chaos) submitOne(rnd *rand.Rand, at *node, team, id string) {
	class := []string{"mix", "billed"}[rnd.IntN(2)]
	kind := []winch.JobKind{winch.Batch, winch.Gang}[rnd.IntN(2)]
	tasks, run := 1+rnd.IntN(5), time.Duration(rnd.IntN(20000))*time.Millisecond
	for range 2 {
		job, r := c.submit(at, team, class, id, kind, tasks, run)
		if r.OK() {
			c.rmu.Lock()
			c.jobs[job.ID] = job
			c.rmu.Unlock()
		}
		if rnd.IntN(3) > 0 {
			return
		}
		if rnd.IntN(4) == 0 && r.OK() {
			_, _ = at.CancelJob(context.Background(), c.keys[team], job.ID)
			return
		}
		if at = c.pick(rnd); at == nil {
			return
		}
	}
}

// operators change a limit now and then. The harness checks against the larger
// of the old and the new one, since a lowered limit takes effect as work ends.
func (c *chaos) operators() {
	rnd := rand.New(rand.NewPCG(c.seed, 77))
	for !c.stopped() {
		time.Sleep(time.Duration(3+rnd.IntN(10)) * time.Second)
		at := c.pick(rnd)
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

// faults brings faults about, one after the other and on top of each other.
func (c *chaos) faults() {
	for range 25 {
		time.Sleep(time.Duration(500+c.rnd.IntN(4000)) * time.Millisecond)
		name := c.names[c.rnd.IntN(len(c.names))]
		c.amu.Lock()
		n := c.alive[name]
		c.amu.Unlock()
		switch c.rnd.IntN(12) {
		case 0:
			c.restart(name)
		case 1:
			if n != nil {
				n.pause()
				c.later(20, n.resume)
			}
		case 2:
			if n != nil {
				n.cutStore(true)
				c.later(20, func() { n.cutStore(false) })
			}
		case 3:
			if n != nil {
				n.loseReplies(1 + c.rnd.IntN(4))
			}
		case 4:
			c.platform.Set(stand.Faults{Down: true})
			c.later(20, func() { c.platform.Set(stand.Faults{}) })
		case 5:
			c.platform.Set(stand.Faults{Latency: time.Duration(c.rnd.IntN(1500)) * time.Millisecond})
			c.later(10, func() { c.platform.Set(stand.Faults{}) })
		case 6:
			c.cut(true, c.names[:2], c.names[2:])
			c.later(20, func() { c.cut(false, c.names[:2], c.names[2:]); c.relink() })
		case 7, 8:
			s := c.anyWorker()
			s.Set(stand.WorkerFaults{Down: true})
			c.later(40, func() { s.Set(stand.WorkerFaults{}) })
		case 9:
			c.anyWorker().Set(stand.WorkerFaults{LoseReplies: 1 + c.rnd.IntN(3)})
		case 10:
			c.later(20, c.execs.freeze(fmt.Sprintf("e%d-d%d", c.rnd.IntN(2), 1+c.rnd.IntN(2))))
		case 11:
			c.stopOne(name)
		}
	}
}

func (c *chaos) anyWorker() *stand.Worker {
	return c.fleet()[fmt.Sprintf("w%d-d%d", c.rnd.IntN(3), 1+c.rnd.IntN(2))]
}

// later undoes a fault after up to that many seconds.
func (c *chaos) later(seconds int, undo func()) {
	d := time.Duration(1+c.rnd.IntN(seconds)) * time.Second
	c.group.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// restart kills an entry and starts a new process under its name.
func (c *chaos) restart(name string) {
	c.amu.Lock()
	n := c.alive[name]
	c.alive[name] = nil
	c.amu.Unlock()
	if n == nil {
		return
	}
	n.kill()
	c.later(8, func() { c.startAgain(name) })
}

// stopOne stops an entry as planned and starts a new one in its place.
func (c *chaos) stopOne(name string) {
	c.amu.Lock()
	n := c.alive[name]
	c.alive[name] = nil
	c.amu.Unlock()
	if n == nil {
		return
	}
	c.group.Go(func() {
		n.Stop(context.Background())
		n.kill()
		c.startAgain(name)
	})
}

func (c *chaos) startAgain(name string) {
	n := c.entry(name, name[:2])
	c.amu.Lock()
	c.alive[name] = n
	c.amu.Unlock()
	c.relink()
}

// relink sends the first messages of new links between all that reach each other.
func (c *chaos) relink() {
	for _, a := range c.names {
		for _, b := range c.names {
			if from, _ := c.reach(b, a); from != nil && a != b {
				kind, body := from.First(b)
				_ = fakePeers{from}.Notify(b, kind, body)
			}
		}
	}
}

func (c *chaos) heal() {
	c.platform.Set(stand.Faults{})
	c.cut(false, c.names[:2], c.names[2:])
	for _, s := range c.fleet() {
		s.Set(stand.WorkerFaults{})
	}
	c.execs.thawAll()
	for _, n := range c.alive {
		n.resume()
		n.cutStore(false)
		n.loseReplies(0)
	}
	c.relink()
	time.Sleep(2 * time.Minute)
}

// verdict checks what the callers were told against what really happened.
func (c *chaos) verdict() {
	told := make(map[string][]result)
	for _, call := range c.calls {
		told[call.id] = append(told[call.id], call.got)
		if call.class == "invoice" && c.execs.count(call.id) > 1 {
			c.t.Errorf("invoice %s ran %d times", call.id, c.execs.count(call.id))
		}
	}
	for id, results := range told {
		done, unknown := false, false
		for _, r := range results {
			done = done || r.Outcome == winch.Done
			unknown = unknown || r.Outcome == winch.Unknown
		}
		runs := c.execs.count(id)
		if runs > 0 && !done && !unknown {
			c.t.Errorf("request %s ran %d times, its callers were told it was not run", id, runs)
		}
		if runs == 0 && done {
			c.t.Errorf("request %s was answered but did not run", id)
		}
	}
	at := c.alive["d1-0"]
	for id, job := range c.jobs {
		v := c.await(at, job.Team, id, 10*time.Minute)
		if !v.State.Final() {
			if n := c.placer(job.Domain); n != nil {
				_ = n.office.Duty.Do(context.Background(), func() { c.t.Log(n.planner.Dump(id)) })
			}
			c.t.Errorf("job %s (%s %s) of %s never ended: state %s, %s", id, job.Class, job.Spec.Kind, job.Domain, v.State, v.Why)
		}
		if v.State == winch.JobUnknown && job.Class == "mix" {
			c.t.Errorf("repeatable job %s ended as unknown", id)
		}
	}
	for _, team := range []string{"choir", "guild"} {
		if n := c.execs.running(team); n != 0 {
			c.t.Errorf("%d requests of %s are still running", n, team)
		}
	}
}
