package place

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"plantainwinch/winch"
)

// TestMain fixes the seed of the randomized tests, so that their result is
// reproducible. The flag -rapid.seed=0 selects a new seed for each run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "150")
	flag.Parse()
	os.Exit(m.Run())
}

var startTime = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

var (
	urgent        = winch.Class{Name: "preview", Wait: 4 * time.Second, Repeatable: true, MaxRun: time.Minute}
	deferred      = winch.Class{Name: "mix", By: "06:00", Repeatable: true, Preemptible: true, MaxRun: time.Hour}
	nonRepeatable = winch.Class{Name: "billed", By: "06:00", MaxRun: time.Hour}
	longRunning   = winch.Class{Name: "room", Wait: 30 * time.Second, Repeatable: true, MaxRun: 24 * time.Hour}
)

// fakeLimits implements Limits with fixed limits and no checks in Charge.
type fakeLimits struct {
	limit map[string]int
	used  map[string]int
	// returned counts the units that were returned.
	returned int
}

func (l *fakeLimits) TryTake(team string, n int) bool {
	if l.used[team]+n > l.limit[team] {
		return false
	}
	l.used[team] += n
	return true
}

func (l *fakeLimits) Charge(team string, n int) { l.used[team] += n }

func (l *fakeLimits) Return(team string, n int) {
	l.used[team] -= n
	l.returned += n
}

// rig drives a planner with simulated workers that carry out each decision at once.
type rig struct {
	*Planner
	limits  *fakeLimits
	now     time.Time
	running map[winch.TaskID]string
	attempt map[winch.TaskID]int
	starts  map[winch.TaskID]int
	results map[string]Completion
}

func newRig(workers int, size winch.Resources) *rig {
	r := &rig{
		limits: &fakeLimits{limit: make(map[string]int), used: make(map[string]int)}, now: startTime,
		running: make(map[winch.TaskID]string), attempt: make(map[winch.TaskID]int), starts: make(map[winch.TaskID]int), results: make(map[string]Completion),
	}
	r.Planner = NewPlanner(r.limits, func(name string) winch.Team { return winch.Team{Name: name, Share: 1} })
	for i := range workers {
		r.addWorker(i, size)
	}
	r.OpenBarrier()
	return r
}

func (r *rig) addWorker(i int, size winch.Resources) {
	id := fmt.Sprint("w", i)
	r.SetVM(winch.VM{ID: id, Rack: fmt.Sprint("r", i%3), Size: size})
	r.Reconcile(id, nil, r.now)
}

func (r *rig) submit(id, team string, class winch.Class, kind winch.JobKind, tasks, cpu int, run time.Duration) {
	if _, ok := r.limits.limit[team]; !ok {
		r.limits.limit[team] = 1000
	}
	r.Submit(winch.Job{
		ID: id, Team: team, Class: class.Name, Submitted: r.now, State: winch.JobQueued,
		Spec: winch.JobSpec{Kind: kind, Tasks: tasks, Need: winch.Resources{Processors: cpu, Memory: winch.Bytes(cpu)}, RunTime: run},
	}, class, false, r.now)
}

// plan calls Plan and carries the decisions out until there are no more.
func (r *rig) plan() (started []winch.TaskID, evicted int) {
	for {
		out := r.Plan(r.now, 100)
		if len(out) == 0 {
			r.collect()
			return started, evicted
		}
		for _, d := range out {
			r.do(d)
			switch d.Action {
			case Start:
				started = append(started, d.Task.ID)
			case Evict:
				evicted++
			}
		}
	}
}

func (r *rig) do(d Decision) {
	if d.Action == Start {
		r.running[d.Task.ID], r.attempt[d.Task.ID] = d.VM.ID, d.Task.Attempt
		r.starts[d.Task.ID]++
		r.StartConfirmed(d.Task.Ref())
		return
	}
	r.end(d.Task.ID, winch.TaskStopped)
}

func (r *rig) end(id winch.TaskID, state winch.TaskState) {
	vm, ok := r.running[id]
	if !ok {
		return
	}
	delete(r.running, id)
	for _, d := range r.TaskEnded(vm, winch.Task{ID: id, Attempt: r.attempt[id], State: state}, r.now) {
		r.do(d)
	}
	r.collect()
}

func (r *rig) collect() {
	for _, f := range r.TakeCompletions() {
		r.results[f.Job] = f
	}
}

// ids lists the running tasks in a reproducible order.
func (r *rig) ids() []winch.TaskID {
	return slices.SortedFunc(maps.Keys(r.running), compareIDs)
}

func (r *rig) count(job string) (n int) {
	for id := range r.running {
		if id.Job == job {
			n++
		}
	}
	return n
}

var size8 = winch.Resources{Processors: 8, Memory: 8}
