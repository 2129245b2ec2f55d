package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainwinch/winch"
)

// Random sequences of submissions, completions, failures, cancellations, wrong run times,
// lost and returning workers, refused starts and changing limits must violate neither the
// planner's own checks nor these invariants: no worker is overcommitted, no start exceeds
// a team's limit, units match running tasks, a task has at most one placement, jobs with
// waiting tasks are queued, and non-repeatable tasks start at most once.
func TestPlannerHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(rapid.IntRange(1, 8).Draw(t, "workers"), eight)
		r.Prefer = rapid.SampledFrom([]Preference{Packing, Waiting}).Draw(t, "prefer")
		m := &chaos{rig: r}
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submitOne, "plan": m.planOne, "end": m.endOne, "cancel": m.cancelOne,
			"lose": m.loseOne, "add": m.addOne, "limit": m.limitOne, "refuse": m.refuseOne, "": m.check,
		})
	})
}

// randomOps holds the random operations and the invariant check for rapid.
type chaos struct {
	*rig
	n       int
	workers int
}

func (m *chaos) submitOne(t *rapid.T) {
	m.n++
	class := rapid.SampledFrom([]winch.Class{urgent, mix, billed, room}).Draw(t, "class")
	kind := rapid.SampledFrom([]winch.JobKind{winch.Batch, winch.Gang, winch.LongRunning}).Draw(t, "kind")
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	if _, ok := m.purse.limit[team]; !ok {
		m.purse.limit[team] = 12
	}
	m.submit(fmt.Sprintf("j%03d", m.n), team, class, kind, rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.IntRange(1, 9).Draw(t, "cpu"),
		time.Duration(rapid.IntRange(0, 300).Draw(t, "run"))*time.Second)
}

func (m *chaos) planOne(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pass")) * time.Second)
	for _, d := range m.Plan(m.now, rapid.IntRange(1, 20).Draw(t, "most")) {
		m.do(d)
		if m.purse.used[d.Task.Team] > m.purse.limit[d.Task.Team] && d.Action == Start {
			t.Fatalf("team %s uses %d units of its limit of %d after a start", d.Task.Team, m.purse.used[d.Task.Team], m.purse.limit[d.Task.Team])
		}
	}
	m.collect()
}

func (m *chaos) anyTask(t *rapid.T) (winch.TaskID, bool) {
	var ids []winch.TaskID
	for _, n := range sorted(m.nodes) {
		for _, p := range sortedTasks(n) {
			ids = append(ids, p.id)
		}
	}
	if len(ids) == 0 {
		return winch.TaskID{}, false
	}
	return rapid.SampledFrom(ids).Draw(t, "task"), true
}

func (m *chaos) endOne(t *rapid.T) {
	if id, ok := m.anyTask(t); ok {
		m.end(id, rapid.SampledFrom([]winch.TaskState{winch.TaskDone, winch.TaskDone, winch.TaskFailed}).Draw(t, "state"))
	}
}

func (m *chaos) cancelOne(t *rapid.T) {
	if m.n > 0 {
		out, _ := m.Cancel(fmt.Sprintf("j%03d", rapid.IntRange(1, m.n).Draw(t, "job")))
		for _, d := range out {
			m.do(d)
		}
	}
}

func (m *chaos) loseOne(t *rapid.T) {
	nodes := sorted(m.nodes)
	if len(nodes) == 0 {
		return
	}
	vm := rapid.SampledFrom(nodes).Draw(t, "worker").vm.ID
	for id, worker := range m.running {
		if worker == vm {
			delete(m.running, id)
		}
	}
	m.Gone(vm, m.now)
}

func (m *chaos) addOne(*rapid.T) {
	m.workers++
	m.addWorker(100+m.workers%20, eight)
}

func (m *chaos) limitOne(t *rapid.T) {
	m.purse.limit[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")] = rapid.IntRange(0, 20).Draw(t, "limit")
}

func (m *chaos) refuseOne(*rapid.T) {
	out := m.Plan(m.now, 1)
	for _, d := range out {
		if d.Action != Start {
			m.do(d)
			continue
		}
		for _, stop := range m.Refused(d.Task.Ref(), m.now) {
			m.do(stop)
		}
	}
	m.collect()
}

func (m *chaos) check(t *rapid.T) {
	for id, j := range m.jobs {
		idle := len(j.pending) > 0 && len(j.running) == 0 && j.shape == nil && !j.delayed && !j.held
		if idle && !j.rec.State.Final() {
			t.Fatalf("job %s has waiting tasks but is not queued", id)
		}
	}
	used := make(map[string]int)
	for _, n := range m.nodes {
		sum := winch.Resources{}
		for _, t := range n.foreign {
			sum = sum.Add(t.Need)
			used[t.Team]++
		}
		for id, p := range n.tasks {
			sum = sum.Add(p.job.need)
			used[p.job.rec.Team]++
			if p.job.running[id.Index] != p {
				t.Fatalf("task %s: worker and job refer to different placements", id)
			}
		}
		if sum.Add(n.free) != n.vm.Size {
			t.Fatalf("worker %s: used %+v and free %+v do not add up to size %+v", n.vm.ID, sum, n.free, n.vm.Size)
		}
	}
	for team, n := range m.purse.used {
		if used[team] != n {
			t.Fatalf("team %s: %d units taken for %d running tasks", team, n, used[team])
		}
	}
	for id, n := range m.starts {
		if j := m.jobs[id.Job]; j != nil && !j.class.Repeatable && n > 1 && j.rec.Spec.Kind != winch.LongRunning {
			t.Fatalf("task %s of a non-repeatable job was started %d times", id, n)
		}
	}
}
