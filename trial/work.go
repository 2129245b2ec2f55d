// Package trial measures scheduling decisions on generated loads in simulated time. Play runs the
// planner of a region on a load pattern; Run runs the planner of one failure domain, or its baseline,
// on the arrivals of a fleet.
package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"plantainwinch/winch"
)

// Fleet describes the workers of one failure domain and the load on it.
type Fleet struct {
	Name         string
	Workers      int
	Size         winch.Resources
	Accelerators int // Accelerators is the number of workers that have two accelerators each.
	RackSize     int
	Teams        int
	Services     int     // Services is the number of long-running tasks.
	Load         float64 // Load is the arriving work as a fraction of the capacity that services leave free.
	Urgent       float64 // Urgent is the fraction of that work that is urgent.
	Length       time.Duration
	// Burst is the number of additional urgent jobs that arrive within one second, halfway through
	// the trial.
	Burst int
}

// Fleets returns the measured fleets: a failure domain of each user, one of the design size, and the
// whole region of the design size under one domain planner, as the worst case.
func Fleets() []Fleet {
	coros := Fleet{
		Name: "Coros domain", Workers: 17, Size: winch.Resources{Processors: 16, Memory: 32 << 30}, Accelerators: 3, RackSize: 8,
		Teams: 6, Services: 30, Load: 1.1, Urgent: 0.2, Length: time.Hour,
	}
	mahoe := coros
	mahoe.Name, mahoe.Size, mahoe.Urgent = "Blue Mahoe domain", winch.Resources{Processors: 32, Memory: 128 << 30}, 0.4
	domain := Fleet{
		Name: "design domain", Workers: 133, Size: winch.Resources{Processors: 24, Memory: 64 << 30}, Accelerators: 74, RackSize: 20,
		Teams: 51, Services: 333, Load: 1.1, Urgent: 0.25, Length: 30 * time.Minute, Burst: 500,
	}
	whole := domain
	whole.Name, whole.Workers, whole.Accelerators, whole.Services, whole.Length, whole.Burst = "design, one placer", 800, 445, 2000, 8*time.Minute, 3000
	return []Fleet{coros, mahoe, domain, whole}
}

// capacity returns the total resources of all workers.
func (f Fleet) capacity() winch.Resources {
	return winch.Resources{
		Processors: f.Workers * f.Size.Processors, Memory: winch.Bytes(f.Workers) * f.Size.Memory, Accelerators: 2 * f.Accelerators,
	}
}

// arrival is a job with its time of arrival and the true run times of its tasks.
type arrival struct {
	at       time.Duration
	job      winch.Job
	class    winch.Class
	runTimes []time.Duration
}

// Classes of the generated work.
var (
	classUrgent  = winch.Class{Name: "urgent", Wait: 4900 * time.Millisecond, Repeatable: true, MaxRun: 10 * time.Minute}
	classBatch   = winch.Class{Name: "batch", By: "06:00", Repeatable: true, Preemptible: true, MaxRun: 4 * time.Hour}
	classBilled  = winch.Class{Name: "billed", By: "06:00", MaxRun: 4 * time.Hour}
	classService = winch.Class{Name: "service", Wait: time.Minute, Repeatable: true, MaxRun: 24 * time.Hour}
)

// trialStart is the simulated time at which a trial begins.
var trialStart = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

// generator generates the arrivals of a trial.
type generator struct {
	fleet Fleet
	rnd   *rand.Rand
	bias  []float64 // bias is each team's ratio of true to declared run times.
	seq   int
	out   []arrival
}

// generate returns the arrivals of a trial, not in the order of their times.
func generate(f Fleet, seed uint64) []arrival {
	g := &generator{fleet: f, rnd: rand.New(rand.NewPCG(seed, 21))}
	for range f.Teams {
		g.bias = append(g.bias, math.Exp(g.rnd.NormFloat64()*0.7))
	}
	for range f.Services {
		g.add(0, classService, winch.LongRunning, 1, winch.Resources{Processors: 1, Memory: 2 << 30}, 24*time.Hour)
	}
	free := float64(f.capacity().Processors - f.Services)
	offered := free * f.Load * f.Length.Seconds() // processor seconds
	g.fill(offered*f.Urgent, g.addUrgent)
	g.fill(offered*(1-f.Urgent), g.addDeferred)
	for range f.Burst {
		at := f.Length/2 + time.Duration(g.rnd.Float64()*float64(time.Second))
		g.add(at, classUrgent, winch.Batch, 1, winch.Resources{Processors: 1, Memory: 1 << 30}, time.Duration(1+g.rnd.IntN(5))*time.Second)
	}
	return g.out
}

// fill adds jobs at random times until their work reaches the given processor seconds. The given
// function adds a job and returns its work.
func (g *generator) fill(work float64, add func(at time.Duration) float64) {
	for work > 0 {
		work -= add(time.Duration(g.rnd.Float64() * float64(g.fleet.Length)))
	}
}

// addUrgent adds an urgent job and returns its work.
func (g *generator) addUrgent(at time.Duration) float64 {
	cpu := 1 + g.rnd.IntN(2)
	runTime := time.Duration(2+g.rnd.ExpFloat64()*20) * time.Second
	g.add(at, classUrgent, winch.Batch, 1, winch.Resources{Processors: cpu, Memory: winch.Bytes(cpu) << 30}, runTime)
	return float64(cpu) * runTime.Seconds()
}

// addDeferred adds a gang, a billed job or a batch job, and returns its work by the declared run time.
func (g *generator) addDeferred(at time.Duration) float64 {
	runTime := time.Duration(30+g.rnd.ExpFloat64()*300) * time.Second
	need := g.randomNeed()
	switch x := g.rnd.IntN(100); {
	case x < 8:
		tasks := 4 + g.rnd.IntN(max(1, min(12, g.fleet.Workers/3)))
		g.add(at, classBatch, winch.Gang, tasks, need, runTime)
		return float64(tasks*need.Processors) * runTime.Seconds()
	case x < 16:
		g.add(at, classBilled, winch.Batch, 1, need, runTime)
		return float64(need.Processors) * runTime.Seconds()
	default:
		tasks := 1 + g.rnd.IntN(8)
		g.add(at, classBatch, winch.Batch, tasks, need, runTime)
		return float64(tasks*need.Processors) * runTime.Seconds()
	}
}

// randomNeed draws the resources that a task needs; some tasks need much memory, some an accelerator.
func (g *generator) randomNeed() winch.Resources {
	cpu := 1 << g.rnd.IntN(4)
	perCPU := g.fleet.Size.Memory / winch.Bytes(g.fleet.Size.Processors)
	out := winch.Resources{Processors: cpu, Memory: winch.Bytes(float64(cpu) * float64(perCPU) * (0.4 + 1.4*g.rnd.Float64()))}
	out.Memory = min(out.Memory, g.fleet.Size.Memory)
	if g.rnd.IntN(12) == 0 {
		out.Accelerators = 1
	}
	return out
}

// add adds a job of a random team. Classes without a target for the waiting time get true run times
// that differ from the declared one.
func (g *generator) add(at time.Duration, class winch.Class, kind winch.JobKind, tasks int, need winch.Resources, runTime time.Duration) {
	g.seq++
	team := g.rnd.IntN(g.fleet.Teams)
	if g.rnd.IntN(3) == 0 {
		team = g.rnd.IntN(max(1, g.fleet.Teams/10)) // A tenth of the teams submit more than the others.
	}
	a := arrival{at: at, class: class, job: winch.Job{
		ID: fmt.Sprintf("j%07d", g.seq), Team: teamName(team), Class: class.Name, State: winch.JobQueued, Submitted: trialStart.Add(at),
		Spec: winch.JobSpec{Kind: kind, Tasks: tasks, Need: need, RunTime: runTime},
	}}
	for range tasks {
		trueRunTime := runTime
		if class.Wait == 0 {
			trueRunTime = time.Duration(float64(runTime) * g.bias[team] * math.Exp(g.rnd.NormFloat64()*0.3))
		}
		a.runTimes = append(a.runTimes, min(trueRunTime, class.MaxRun))
	}
	g.out = append(g.out, a)
}

const teamPrefix = "team-"

// teamName returns the name of the team with an index.
func teamName(i int) string { return teamPrefix + strconv.Itoa(i) }

// teamShare returns a team's share: four for a tenth of the teams, one for the others.
func teamShare(f Fleet, name string) int {
	if i, err := strconv.Atoi(strings.TrimPrefix(name, teamPrefix)); err == nil && i < max(1, f.Teams/10) {
		return 4
	}
	return 1
}
