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
func TestPlannerKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(rapid.IntRange(1, 8).Draw(t, "workers"), size8)
		r.Prefer = rapid.SampledFrom([]Preference{Packing, Waiting}).Draw(t, "prefer")
		m := &randomOps{rig: r}
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submitRandomJob, "plan": m.planOnce, "end": m.endRandomTask, "cancel": m.cancelRandomJob,
			"lose": m.loseRandomWorker, "add": m.addNextWorker, "limit": m.setRandomLimit, "refuse": m.refuseStart, "": m.checkInvariants,
		})
	})
}

// randomOps provides the random operations and the check of the invariants to rapid.
type randomOps struct {
	*rig
	submitted int
	added     int
}

func (m *randomOps) submitRandomJob(t *rapid.T) {
	m.submitted++
	class := rapid.SampledFrom([]winch.Class{urgent, deferred, nonRepeatable, longRunning}).Draw(t, "class")
	kind := rapid.SampledFrom([]winch.JobKind{winch.Batch, winch.Gang, winch.LongRunning}).Draw(t, "kind")
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	if _, ok := m.limits.limit[team]; !ok {
		m.limits.limit[team] = 12
	}
	m.submit(fmt.Sprintf("j%03d", m.submitted), team, class, kind, rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.IntRange(1, 9).Draw(t, "cpu"),
		time.Duration(rapid.IntRange(0, 300).Draw(t, "run"))*time.Second)
}

func (m *randomOps) planOnce(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pass")) * time.Second)
	for _, d := range m.Plan(m.now, rapid.IntRange(1, 20).Draw(t, "most")) {
		m.do(d)
		if m.limits.used[d.Task.Team] > m.limits.limit[d.Task.Team] && d.Action == Start {
			t.Fatalf("team %s uses %d units of its limit of %d after a start", d.Task.Team, m.limits.used[d.Task.Team], m.limits.limit[d.Task.Team])
		}
	}
	m.collect()
}

func (m *randomOps) randomTask(t *rapid.T) (winch.TaskID, bool) {
	var ids []winch.TaskID
	for _, n := range sortNodes(m.nodes) {
		for _, p := range sortedTasks(n) {
			ids = append(ids, p.id)
		}
	}
	if len(ids) == 0 {
		return winch.TaskID{}, false
	}
	return rapid.SampledFrom(ids).Draw(t, "task"), true
}

func (m *randomOps) endRandomTask(t *rapid.T) {
	if id, ok := m.randomTask(t); ok {
		m.end(id, rapid.SampledFrom([]winch.TaskState{winch.TaskDone, winch.TaskDone, winch.TaskFailed}).Draw(t, "state"))
	}
}

func (m *randomOps) cancelRandomJob(t *rapid.T) {
	if m.submitted > 0 {
		out, _ := m.Cancel(fmt.Sprintf("j%03d", rapid.IntRange(1, m.submitted).Draw(t, "job")))
		for _, d := range out {
			m.do(d)
		}
	}
}

func (m *randomOps) loseRandomWorker(t *rapid.T) {
	nodes := sortNodes(m.nodes)
	if len(nodes) == 0 {
		return
	}
	vm := rapid.SampledFrom(nodes).Draw(t, "worker").vm.ID
	for id, worker := range m.running {
		if worker == vm {
			delete(m.running, id)
		}
	}
	m.RemoveWorker(vm, m.now)
}

func (m *randomOps) addNextWorker(*rapid.T) {
	m.added++
	m.addWorker(100+m.added%20, size8)
}

func (m *randomOps) setRandomLimit(t *rapid.T) {
	m.limits.limit[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")] = rapid.IntRange(0, 20).Draw(t, "limit")
}

func (m *randomOps) refuseStart(*rapid.T) {
	out := m.Plan(m.now, 1)
	for _, d := range out {
		if d.Action != Start {
			m.do(d)
			continue
		}
		for _, stop := range m.StartRefused(d.Task.Ref(), m.now) {
			m.do(stop)
		}
	}
	m.collect()
}

func (m *randomOps) checkInvariants(t *rapid.T) {
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
	for team, n := range m.limits.used {
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
