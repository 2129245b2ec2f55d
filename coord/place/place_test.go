package place

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// TestMain fixes the seed of the randomized runs, so that the verdict is the
// same each time; -rapid.seed=0 takes another one each run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "150")
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

var (
	urgent = winch.Class{Name: "preview", Wait: 4 * time.Second, Repeatable: true, MaxRun: time.Minute}
	mix    = winch.Class{Name: "mix", By: "06:00", Repeatable: true, Preemptible: true, MaxRun: time.Hour}
	billed = winch.Class{Name: "billed", By: "06:00", MaxRun: time.Hour}
	room   = winch.Class{Name: "room", Wait: 30 * time.Second, Repeatable: true, MaxRun: 24 * time.Hour}
)

// purse is a fake of the teams' units.
type purse struct {
	limit map[string]int
	used  map[string]int
	// returned counts the units that were given back.
	returned int
}

func (p *purse) TryTake(team string, n int) bool {
	if p.used[team]+n > p.limit[team] {
		return false
	}
	p.used[team] += n
	return true
}

func (p *purse) Charge(team string, n int) { p.used[team] += n }

func (p *purse) Return(team string, n int) {
	p.used[team] -= n
	p.returned += n
}

// rig drives a planner with workers that do what they are told.
type rig struct {
	*Planner
	purse   *purse
	now     time.Time
	running map[winch.TaskID]string
	starts  map[winch.TaskID]int
	finals  map[string]Final
}

func newRig(workers int, size winch.Resources) *rig {
	r := &rig{
		purse: &purse{limit: make(map[string]int), used: make(map[string]int)}, now: epoch,
		running: make(map[winch.TaskID]string), starts: make(map[winch.TaskID]int), finals: make(map[string]Final),
	}
	r.Planner = NewPlanner(r.purse, func(name string) winch.Team { return winch.Team{Name: name, Share: 1} })
	for i := range workers {
		r.addWorker(i, size)
	}
	r.OpenBarrier()
	return r
}

func (r *rig) addWorker(i int, size winch.Resources) {
	id := fmt.Sprint("w", i)
	r.SetVM(winch.VM{ID: id, Rack: fmt.Sprint("r", i%3), Size: size})
	r.Known(id, nil, r.now)
}

func (r *rig) submit(id, team string, class winch.Class, kind winch.JobKind, tasks, cpu int, run time.Duration) {
	if _, ok := r.purse.limit[team]; !ok {
		r.purse.limit[team] = 1000
	}
	r.Submit(winch.Job{
		ID: id, Team: team, Class: class.Name, Submitted: r.now, State: winch.JobQueued,
		Spec: winch.JobSpec{Kind: kind, Tasks: tasks, Need: winch.Resources{Processors: cpu, Memory: winch.Bytes(cpu)}, RunTime: run},
	}, class, false, r.now)
}

// plan plans until nothing more can be decided, and does what was decided.
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
		r.running[d.Task.ID] = d.VM.ID
		r.starts[d.Task.ID]++
		r.Confirmed(d.Task.Ref())
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
	for _, d := range r.Ended(vm, winch.Task{ID: id, State: state}, r.now) {
		r.do(d)
	}
	r.collect()
}

func (r *rig) collect() {
	for _, f := range r.Finals() {
		r.finals[f.Job] = f
	}
}

// ids lists the running tasks in an order that does not change from run to run.
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

var eight = winch.Resources{Processors: 8, Memory: 8}

// A gang waits behind a stream of small work that would always fill the gaps.
// Room is reserved for it, so that it starts by its forecast; small work that
// ends before runs in the gaps meanwhile.
func TestGangIsNotStarved(t *testing.T) {
	is := is.New(t)
	r := newRig(4, eight)
	for i := range 8 {
		r.submit(fmt.Sprint("old", i), "choir", mix, winch.Batch, 4, 1, time.Minute)
	}
	r.plan()
	r.submit("gang", "guild", mix, winch.Gang, 4, 8, time.Minute)
	r.plan()
	st, _ := r.Status("gang", r.now)
	is.Equal(st.Forecast, time.Minute)
	r.submit("long", "choir", mix, winch.Batch, 8, 1, time.Hour)
	r.submit("short", "choir", mix, winch.Batch, 8, 1, 5*time.Second)
	r.now = r.now.Add(30 * time.Second)
	for i := range 4 {
		r.end(winch.TaskID{Job: "old0", Index: i}, winch.TaskDone)
	}
	r.plan()
	is.Equal(r.count("long"), 0)  // it would delay the gang
	is.Equal(r.count("short"), 4) // it fits in before
	r.now = r.now.Add(30 * time.Second)
	for _, id := range r.ids() {
		r.end(id, winch.TaskDone)
	}
	r.plan()
	is.Equal(r.count("gang"), 4)
}

// The placer died after the last task's end was recorded and before the job's
// was. Its successor must notice that nothing is left to do.
func TestAllTasksEndedBefore(t *testing.T) {
	is := is.New(t)
	r := newRig(1, eight)
	r.purse.limit["choir"] = 5
	r.Submit(winch.Job{
		ID: "j", Team: "choir", State: winch.JobQueued, EndedTasks: []int{1, 0}, Submitted: r.now,
		Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 2, Need: winch.Resources{Processors: 1, Memory: 1}},
	}, mix, true, r.now)
	r.plan()
	is.Equal(r.finals["j"].State, winch.JobDone)
}

// A billed gang is taken back since one start was refused. A task of it that the
// worker had begun, though its start was not acknowledged yet, may have billed:
// the job ends as unknown and the task is not started again.
func TestBilledGangTakenBack(t *testing.T) {
	is := is.New(t)
	r := newRig(2, eight)
	r.submit("gang", "choir", billed, winch.Gang, 2, 8, time.Minute)
	out := r.Plan(r.now, 10)
	is.Equal(len(out), 2)
	r.Refused(out[0].Task.Ref(), r.now)
	r.Ended(out[1].VM.ID, winch.Task{ID: out[1].Task.ID, State: winch.TaskStopped}, r.now)
	r.collect()
	is.Equal(r.finals["gang"].State, winch.JobUnknown)
}

// A worker still runs a task of a job that has ended, when a new placer meets it.
// The task is stopped; until it has, its room is given to nobody else.
func TestForeignTaskKeepsRoom(t *testing.T) {
	is := is.New(t)
	r := newRig(0, eight)
	r.SetVM(winch.VM{ID: "w0", Size: eight})
	old := winch.Task{ID: winch.TaskID{Job: "gone"}, Team: "choir", Attempt: 3, Need: winch.Resources{Processors: 6, Memory: 6}, State: winch.TaskRunning}
	out := r.Known("w0", []winch.Task{old}, r.now)
	is.Equal(out[0].Action, Stop)
	is.Equal(r.purse.used["choir"], 1)
	r.submit("j", "choir", mix, winch.Batch, 1, 4, time.Minute)
	r.plan()
	is.Equal(r.count("j"), 0)
	old.State = winch.TaskStopped
	r.Ended("w0", old, r.now)
	r.plan()
	is.Equal(r.count("j"), 1)
}

// The earlier placer took note of a task's end, gave its unit back and started
// another task with it. Then it died, before the first task's end was recorded,
// so the worker lists that end to its successor. If that gave the unit back once
// more, the team would run one task more than its limit.
func TestEndOfEarlierPlacerFreesNoUnit(t *testing.T) {
	is := is.New(t)
	r := newRig(0, eight)
	r.SetVM(winch.VM{ID: "w0", Size: eight})
	r.Submit(winch.Job{
		ID: "j", Team: "choir", State: winch.JobQueued, Submitted: r.now,
		Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 3, Need: winch.Resources{Processors: 1, Memory: 1}},
	}, mix, true, r.now)
	task := func(index int, state winch.TaskState) winch.Task {
		return winch.Task{ID: winch.TaskID{Job: "j", Index: index}, Team: "choir", Attempt: 1, Need: winch.Resources{Processors: 1, Memory: 1}, State: state}
	}
	r.purse.limit["choir"] = 1
	r.Ended("w0", task(0, winch.TaskDone), r.now)
	is.Equal(r.purse.returned, 0)
	r.Known("w0", []winch.Task{task(1, winch.TaskRunning)}, r.now)
	is.Equal(r.purse.used["choir"], 1)
	r.OpenBarrier()
	r.plan()
	is.Equal(r.count("j"), 0) // The limit is reached by the task that runs.
	r.Ended("w0", task(1, winch.TaskDone), r.now)
	is.Equal(r.purse.returned, 1)
	r.plan()
	is.Equal(r.count("j"), 1)
}

// A start is held up for so long that its worker is taken for lost, and the task
// is placed elsewhere. The held-up start must not go out any more, and what is
// heard of it must not touch the task's new run: it would run twice.
func TestHeldUpStartOfALostWorker(t *testing.T) {
	is := is.New(t)
	r := newRig(2, eight)
	r.submit("j", "choir", mix, winch.Batch, 1, 1, time.Minute)
	first := r.Plan(r.now, 10)
	is.Equal(len(first), 1)
	is.True(r.Stands(first[0].Task.Ref()))
	r.Gone(first[0].VM.ID, r.now)
	second := r.Plan(r.now, 10)
	is.Equal(len(second), 1)
	is.Equal(r.Stands(first[0].Task.Ref()), false)
	is.Equal(len(r.Refused(first[0].Task.Ref(), r.now)), 0)
	is.True(r.Stands(second[0].Task.Ref()))
	is.Equal(r.purse.used["choir"], 1)
	r.now = r.now.Add(time.Minute)
	is.Equal(len(r.Plan(r.now, 10)), 0)
}

// A job ends, or is cancelled, while a start of it is still under way, and the
// worker then refuses that start. Nothing of the job may be started again; its
// caller has been told that it is over.
func TestStartRefusedAfterTheEnd(t *testing.T) {
	for _, end := range []string{"cancelled", "failed"} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			r := newRig(2, eight)
			r.submit("gang", "choir", billed, winch.Gang, 2, 8, time.Minute)
			out := r.Plan(r.now, 10)
			is.Equal(len(out), 2)
			if end == "cancelled" {
				r.Cancel("gang")
			} else {
				r.Ended(out[1].VM.ID, winch.Task{ID: out[1].Task.ID, State: winch.TaskFailed}, r.now)
			}
			r.Refused(out[0].Task.Ref(), r.now)
			if end == "cancelled" {
				r.Refused(out[1].Task.Ref(), r.now)
			}
			r.now = r.now.Add(time.Minute)
			is.Equal(len(r.Plan(r.now, 10)), 0)
			r.collect()
			is.True(r.finals["gang"].State.Final())
		})
	}
}

// Some of a gang's tasks have ended when a worker with others is lost. What is
// left starts again together; it must not be forgotten.
func TestGangPartEnded(t *testing.T) {
	is := is.New(t)
	r := newRig(3, eight)
	r.submit("gang", "choir", mix, winch.Gang, 3, 8, time.Minute)
	r.plan()
	lost := r.running[winch.TaskID{Job: "gang", Index: 1}]
	delete(r.running, winch.TaskID{Job: "gang", Index: 1})
	r.Gone(lost, r.now)
	r.end(winch.TaskID{Job: "gang", Index: 0}, winch.TaskDone)
	r.end(winch.TaskID{Job: "gang", Index: 2}, winch.TaskStopped)
	r.now = r.now.Add(time.Second)
	r.plan()
	is.Equal(r.count("gang"), 2)
}

// One start of a gang is refused by its worker. The whole gang is taken back and
// starts again as a whole.
func TestGangTakenBack(t *testing.T) {
	is := is.New(t)
	r := newRig(2, eight)
	r.submit("gang", "choir", mix, winch.Gang, 4, 2, time.Minute)
	out := r.Plan(r.now, 10)
	is.Equal(len(out), 4)
	for _, d := range out[1:] {
		r.do(d)
	}
	for _, d := range r.Refused(out[0].Task.Ref(), r.now) {
		is.Equal(d.Action, Stop)
		r.do(d)
	}
	is.Equal(len(r.running), 0)
	is.Equal(r.purse.used["choir"], 0)
	r.plan()
	is.Equal(r.count("gang"), 0) // not again at once
	r.now = r.now.Add(time.Second)
	r.plan()
	is.Equal(r.count("gang"), 4)
}

// A worker fails whatever it starts and is therefore always free. It is set
// aside after a few distinct jobs, so the queue does not run through it; the
// jobs themselves end well on other workers.
func TestBlackHoleWorker(t *testing.T) {
	is := is.New(t)
	r := newRig(10, eight)
	for i := range 60 {
		r.submit(fmt.Sprint("j", i), "choir", mix, winch.Batch, 1, 2, time.Second)
	}
	bad := 0
	for len(r.finals) < 60 && r.now.Sub(epoch) < time.Minute {
		r.plan()
		for _, id := range r.ids() {
			vm := r.running[id]
			state := winch.TaskDone
			if vm == "w0" {
				state, bad = winch.TaskFailed, bad+1
			}
			r.end(id, state)
		}
		r.now = r.now.Add(time.Second)
	}
	for _, f := range r.finals {
		is.Equal(f.State, winch.JobDone)
	}
	is.Equal(len(r.finals), 60)
	is.True(bad <= 10)
}

// A job fails on every worker. It is given up after a few, and no worker is set
// aside because of it.
func TestJobFailsEverywhere(t *testing.T) {
	is := is.New(t)
	r := newRig(10, eight)
	for i := range 20 {
		r.submit(fmt.Sprint("bad", i), "choir", mix, winch.Batch, 1, 1, time.Second)
	}
	for range 10 {
		r.plan()
		for _, id := range r.ids() {
			r.end(id, winch.TaskFailed)
		}
		r.now = r.now.Add(time.Minute)
	}
	is.Equal(len(r.finals), 20)
	for _, f := range r.finals {
		is.Equal(f.State, winch.JobFailed)
	}
	is.True(r.asideCount(r.now)*asidePart <= len(r.nodes)+asidePart)
}

// A job is larger than any worker left. It says so instead of waiting without a
// word, and starts once a worker that is large enough comes.
func TestNeverFitsUntilFleetChanges(t *testing.T) {
	is := is.New(t)
	r := newRig(3, eight)
	r.submit("big", "choir", urgent, winch.Batch, 1, 16, time.Second)
	r.plan()
	st, _ := r.Status("big", r.now)
	is.Equal(st.Why, "no worker of the domain is large enough for a task")
	r.addWorker(9, winch.Resources{Processors: 16, Memory: 16})
	r.plan()
	is.Equal(r.count("big"), 1)
}

// Thousands of jobs are cancelled in one wave, some twice and some already
// ended. All end, nothing of them runs on, and other work starts.
func TestCancelWave(t *testing.T) {
	is := is.New(t)
	r := newRig(20, eight)
	for i := range 3000 {
		r.submit(fmt.Sprint("j", i), "choir", mix, winch.Batch, 2, 1, time.Minute)
	}
	r.plan()
	is.Equal(len(r.running), 160)
	for i := range 3000 {
		for range 2 {
			out, _ := r.Cancel(fmt.Sprint("j", i))
			for _, d := range out {
				r.do(d)
			}
		}
	}
	r.collect()
	is.Equal(len(r.finals), 3000)
	is.Equal(len(r.running), 0)
	is.Equal(r.purse.used["choir"], 0)
	r.submit("next", "guild", mix, winch.Batch, 1, 1, time.Minute)
	r.plan()
	is.Equal(r.count("next"), 1)
}

// One team floods the queue before another submits. Once the fleet is full, what
// comes free goes to the team that is further below its share.
func TestFloodKeepsShares(t *testing.T) {
	is := is.New(t)
	r := newRig(4, eight)
	r.submit("flood", "flood", mix, winch.Batch, 500, 1, time.Minute)
	r.plan()
	r.submit("quiet", "quiet", mix, winch.Batch, 100, 1, time.Minute)
	for range 20 {
		r.plan()
		r.end(r.ids()[0], winch.TaskDone) // the flood's tasks come first
	}
	r.plan()
	is.Equal(r.count("quiet"), 16)
	is.Equal(r.count("flood"), 16)
}

// The fleet is full of preemptible work when urgent work comes. The tasks that
// lose the least work make room; work that may not be repeated is left alone.
func TestEviction(t *testing.T) {
	is := is.New(t)
	r := newRig(2, eight)
	r.submit("billed", "choir", billed, winch.Batch, 8, 1, time.Hour)
	r.plan()
	r.submit("old", "choir", mix, winch.Batch, 4, 1, time.Hour)
	r.plan()
	r.now = r.now.Add(10 * time.Minute)
	r.submit("young", "choir", mix, winch.Batch, 4, 1, time.Hour)
	r.plan()
	r.now = r.now.Add(time.Minute)
	r.submit("now", "guild", urgent, winch.Batch, 1, 2, time.Second)
	_, evicted := r.plan()
	is.Equal(evicted, 2)
	is.Equal(r.count("now"), 1)
	is.Equal(r.count("young"), 2)
	is.Equal(r.count("old"), 4)
	is.Equal(r.count("billed"), 8)
	is.Equal(r.Lost, 2*time.Minute)
}

// A worker is lost and comes back when its tasks run elsewhere. Its late report
// of their old end must not end the new runs.
func TestLateReportOfLostWorker(t *testing.T) {
	is := is.New(t)
	r := newRig(2, eight)
	r.submit("j", "choir", mix, winch.Batch, 1, 1, time.Minute)
	r.plan()
	id := winch.TaskID{Job: "j"}
	first := r.running[id]
	r.Gone(first, r.now)
	r.plan()
	is.True(r.running[id] != first)
	r.SetVM(winch.VM{ID: first, Size: eight})
	r.Known(first, nil, r.now)
	r.Ended(first, winch.Task{ID: id, State: winch.TaskStopped}, r.now)
	r.plan()
	is.Equal(r.starts[id], 2)
	r.end(id, winch.TaskDone)
	is.Equal(r.finals["j"].State, winch.JobDone)
}

// A new placer loads jobs that its predecessor may have started. They wait until
// all workers have answered; what runs is adopted, and a billed task with an
// intent that is found nowhere ends as unknown.
func TestBarrier(t *testing.T) {
	is := is.New(t)
	r := newRig(0, eight)
	r.Planner = NewPlanner(r.purse, r.Team)
	r.purse.limit["choir"] = 100
	r.SetVM(winch.VM{ID: "w0", Size: eight})
	r.SetVM(winch.VM{ID: "w1", Size: eight})
	load := func(id string, class winch.Class, intent ...int) {
		r.Submit(winch.Job{
			ID: id, Team: "choir", Class: class.Name, Submitted: r.now, Intent: intent, State: winch.JobQueued,
			Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 2, Need: winch.Resources{Processors: 1, Memory: 1}, RunTime: time.Minute},
		}, class, true, r.now)
	}
	load("mix", mix)
	load("lost", billed, 0)
	load("fresh", billed)
	task := winch.Task{ID: winch.TaskID{Job: "mix", Index: 1}, Need: winch.Resources{Processors: 1, Memory: 1}, State: winch.TaskRunning, Attempt: 1}
	r.Known("w0", []winch.Task{task}, r.now)
	started, _ := r.plan()
	is.Equal(len(started), 0)
	r.Known("w1", nil, r.now)
	r.OpenBarrier()
	started, _ = r.plan()
	is.Equal(len(started), 3) // mix's other task and both of fresh
	is.Equal(r.starts[task.ID], 0)
	is.Equal(r.finals["lost"].State, winch.JobUnknown)
}

// A service's task ends or its worker is lost. It is started again, on a rack
// that holds few of the others.
func TestServiceKeptAndSpread(t *testing.T) {
	is := is.New(t)
	r := newRig(9, eight)
	r.submit("room", "choir", room, winch.LongRunning, 6, 1, 0)
	r.plan()
	racks := make(map[string]int)
	for _, vm := range r.running {
		racks[r.nodes[vm].vm.Rack]++
	}
	is.Equal(racks, map[string]int{"r0": 2, "r1": 2, "r2": 2})
	r.end(winch.TaskID{Job: "room", Index: 3}, winch.TaskDone)
	r.plan()
	is.Equal(r.count("room"), 6)
}

// Declared run times are four times too short. The forecast learns that.
func TestForecastLearns(t *testing.T) {
	is := is.New(t)
	r := newRig(1, eight)
	for i := range 30 {
		r.submit(fmt.Sprint("j", i), "choir", mix, winch.Batch, 1, 1, time.Minute)
		r.plan()
		r.now = r.now.Add(4 * time.Minute)
		r.end(winch.TaskID{Job: fmt.Sprint("j", i)}, winch.TaskDone)
	}
	r.submit("next", "choir", mix, winch.Batch, 1, 1, time.Minute)
	f := r.forecast(r.jobs["next"])
	is.True(f > 230*time.Second && f <= 4*time.Minute)
}

// The time of day of a target is in UTC and lies ahead.
func TestNextTimeOfDay(t *testing.T) {
	is := is.New(t)
	is.Equal(nextTimeOfDay(epoch, "06:00"), time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC))
	is.Equal(nextTimeOfDay(epoch, "20:00"), time.Date(2026, 3, 2, 20, 0, 0, 0, time.UTC))
	is.Equal(nextTimeOfDay(epoch, "20:01"), time.Date(2026, 3, 1, 20, 1, 0, 0, time.UTC))
}

// A worker is marked as leaving. It gets nothing new, and what it runs ends there.
func TestWorkerLeaves(t *testing.T) {
	is := is.New(t)
	r := newRig(2, eight)
	r.submit("old", "choir", mix, winch.Batch, 16, 1, time.Minute)
	r.plan()
	r.SetVM(winch.VM{ID: "w0", Size: eight, Leaving: true})
	for _, id := range r.ids() {
		r.end(id, winch.TaskDone)
	}
	r.submit("new", "choir", mix, winch.Batch, 16, 1, time.Minute)
	r.plan()
	is.Equal(r.count("new"), 8)
	for _, vm := range r.running {
		is.Equal(vm, "w1")
	}
}
