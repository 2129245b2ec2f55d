package fleet

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// sizeScenario is a random run with jobs of all sizes and kinds, some of which can never run. Small jobs of another team are
// added all along.
type sizeScenario struct {
	*simRegion
	random *rand.Rand
	// urgentRuns is set if urgent work may run, for which capacity is then left free.
	urgentRuns bool
	// running holds the runs by their ends; watched holds since when a small job has waited with capacity for it.
	ends    map[runKey]time.Time
	orders  map[runKey]proto.Order
	starts  map[string]int
	watched map[string]time.Time
}

// logSize draws a number from 1 to limit by its logarithm.
func (c *sizeScenario) logSize(limit float64) int {
	return int(math.Exp(c.random.Float64() * math.Log(limit)))
}

// phase draws a phase, and whether anything of it can run.
func (c *sizeScenario) phase() (s winch.Phase, runs bool) {
	s = winch.Phase{
		Count: c.logSize(20_000), Need: winch.Capacity{Milli: int64(c.logSize(16_000)), Memory: winch.Bytes(c.logSize(32_000)) << 20},
		Estimate: time.Duration(c.logSize(8000)) * time.Millisecond,
		SameRack: c.random.IntN(8) == 0, Copies: c.random.IntN(8) == 0, Checkpoints: c.random.IntN(2) == 0, Lasting: c.random.IntN(12) == 0,
	}
	if c.random.IntN(4) == 0 {
		s.MostPerVM = c.logSize(100)
	}
	switch runs = true; c.random.IntN(12) {
	case 0:
		s.Label, runs = "unknown", false
	case 1:
		s.Need.Milli, runs = 16_001, false
	case 2:
		s.Need.Memory, runs = 33*gigabyte, false
	case 3:
		s.Gang, s.Count, s.Need.Milli, runs = true, 100+c.logSize(10_000), 2000, false
	case 4:
		s.Gang, s.Lasting, s.MostPerVM, s.Count, s.Need.Milli, s.Need.Memory = true, false, 0, c.logSize(2000), 10, 1<<20
	}
	return s, runs
}

// addRandom adds a job of one to three phases.
func (c *sizeScenario) addRandom(id string) {
	job := &winch.PhasedJob{ID: id, Queue: "mix", Team: "choir", Command: "work", Accepted: time.Now(), Revision: 7}
	runs := false
	for i := range 1 + c.random.IntN(3) {
		s, can := c.phase()
		if i > 0 && c.random.IntN(2) == 0 {
			s.After = []int{i - 1}
		}
		job.Phases = append(job.Phases, s)
		runs = runs || can
	}
	if c.random.IntN(2) == 0 && (c.urgentRuns || !runs) {
		job.Queue = "preview"
	}
	if c.random.IntN(5) == 0 {
		job.Times, job.First, job.Every = c.logSize(2000), time.Now(), time.Duration(c.logSize(1000))*time.Millisecond
		for i := range job.Phases {
			job.Phases[i].Count = min(job.Phases[i].Count, 10)
		}
	}
	c.planner.Add(job, nil, 0)
}

// step makes a decision, confirms most starts, and ends what is due.
func (c *sizeScenario) step() {
	p := c.planner
	p.Schedule()
	begun, largest := 0, 0
	orders := p.Orders()
	for _, o := range orders {
		key := runKey{o.Task, o.Run}
		switch o.Kind {
		case proto.OrderStart:
			begun++
			c.starts[o.Task.Job]++
			if s := p.task(o.Task).phase; s.spec.Gang {
				largest = max(largest, min(maxStarts, len(s.tasks)))
			}
			c.orders[key], c.ends[key] = o, time.Now().Add(p.task(o.Task).phase.spec.Estimate)
			p.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
		case proto.OrderStop:
			if c.orders[key].Worker != "" {
				c.end(c.orders[key], winch.CompletionStopped)
			}
		}
	}
	if begun > maxStarts+largest {
		c.t.Fatalf("one decision has started %d runs", begun)
	}
	for _, w := range p.workers {
		if free := w.free(); free.Milli < 0 || free.Memory < 0 {
			c.t.Fatalf("worker %s is over its capacity: %+v", w.vm.ID, free)
		}
	}
	now := time.Now()
	for key, at := range c.ends {
		if !at.After(now) && p.task(key.task) != nil && !p.task(key.task).phase.spec.Lasting {
			c.end(c.orders[key], winch.CompletionDone)
		}
	}
	c.saveRecords()
	p.JobSummaries()
}

// end has a worker report the end of a run.
func (c *sizeScenario) end(o proto.Order, kind winch.CompletionKind) {
	delete(c.ends, runKey{o.Task, o.Run})
	delete(c.orders, runKey{o.Task, o.Run})
	c.endRun(o, kind)
}

// checkSmall fails if a small job has not begun for three seconds during which it would have fitted, with less than half of
// the capacity in use.
func (c *sizeScenario) checkSmall() {
	load := c.planner.Load()
	fits := false
	for _, w := range c.planner.workers {
		free := w.free()
		fits = fits || w.usable() && free.Milli >= 200 && free.Memory >= 2*gigabyte
	}
	for id, since := range c.watched {
		switch {
		case c.starts[id] > 0:
			delete(c.watched, id)
		case !fits || 2*load.Used.Milli > load.Room.Milli || 2*load.Used.Memory > load.Room.Memory:
			c.watched[id] = time.Now()
		case time.Since(since) > 3*time.Second:
			c.t.Fatalf("%s has not begun for %v, reason %v, load %+v", id, time.Since(since), c.planner.jobs[id].phases[0].waitReason, load)
		}
	}
}

// decisionsPerStep is how many decisions are made in a tenth of a second at most: each goes on at once where the last one
// stopped.
const decisionsPerStep = 5

// sizeSeeds is the number of seeds of TestRandomSizes.
var sizeSeeds = flag.Uint64("seeds", 12, "number of seeds of the random test")

// Guards against jobs whose size, or whose work that can never run, keeps other work from being started while there is
// capacity for it.
func TestRandomSizes(t *testing.T) {
	for seed := range *sizeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playSizes(t, seed) })
		})
	}
}

func playSizes(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 74))
	c := &sizeScenario{
		simRegion: newSimRegion(t, 4+random.IntN(28), urgentQueue(), normalQueue()), random: random, urgentRuns: seed%2 == 1,
		ends: make(map[runKey]time.Time), orders: make(map[runKey]proto.Order), starts: make(map[string]int), watched: make(map[string]time.Time),
	}
	c.planner.teams["choir"].Cap.Milli = int64(random.IntN(2) * c.logSize(200_000))
	queue := "mix"
	if c.urgentRuns {
		queue = "preview" // Capacity may be left free for urgent work.
	}
	for n := range 300 {
		if random.IntN(8) == 0 {
			c.addRandom(fmt.Sprintf("random%03d", n))
		}
		if n%5 == 0 && n < 250 {
			id := fmt.Sprintf("small%03d", n)
			c.add(id, queue, "duct", tasks(2, 100))
			c.watched[id] = time.Now()
		}
		if random.IntN(30) == 0 {
			for _, id := range slices.Sorted(maps.Keys(c.planner.active)) {
				if id[:5] != "small" {
					c.planner.Cancel(id)
					break
				}
			}
		}
		c.step()
		for n := 1; n < decisionsPerStep && c.planner.Unfinished(); n++ {
			c.step()
		}
		c.checkSmall()
		time.Sleep(100 * time.Millisecond)
	}
}
