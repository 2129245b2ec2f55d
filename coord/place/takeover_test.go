package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// A worker still runs a task of an ended job when a new planner contacts it. The task is
// stopped. Its capacity must not be used for other tasks before it has ended.
func TestForeignTaskKeepsItsCapacity(t *testing.T) {
	is := is.New(t)
	r := newRig(0, size8)
	r.SetVM(winch.VM{ID: "w0", Size: size8})
	old := winch.Task{ID: winch.TaskID{Job: "gone"}, Team: "choir", Attempt: 3, Need: winch.Resources{Processors: 6, Memory: 6}, State: winch.TaskRunning}
	out := r.Reconcile("w0", []winch.Task{old}, r.now)
	is.Equal(out[0].Action, Stop)
	is.Equal(r.limits.used["choir"], 1)
	r.submit("j", "choir", deferred, winch.Batch, 1, 4, time.Minute)
	r.plan()
	is.Equal(r.count("j"), 0)
	old.State = winch.TaskStopped
	r.TaskEnded("w0", old, r.now)
	r.plan()
	is.Equal(r.count("j"), 1)
}

// An earlier planner handled a task's completion, returned its unit and used the unit
// for another task. It crashed before the completion was recorded, so the worker reports
// it again to the successor. If the successor returned the unit once more, the team
// would exceed its limit by one task.
func TestCompletionUnderEarlierPlannerReturnsNoUnit(t *testing.T) {
	is := is.New(t)
	r := newRig(0, size8)
	r.SetVM(winch.VM{ID: "w0", Size: size8})
	r.Submit(winch.Job{
		ID: "j", Team: "choir", State: winch.JobQueued, Submitted: r.now,
		Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 3, Need: winch.Resources{Processors: 1, Memory: 1}},
	}, deferred, true, r.now)
	task := func(index int, state winch.TaskState) winch.Task {
		return winch.Task{ID: winch.TaskID{Job: "j", Index: index}, Team: "choir", Attempt: 1, Need: winch.Resources{Processors: 1, Memory: 1}, State: state}
	}
	r.limits.limit["choir"] = 1
	r.TaskEnded("w0", task(0, winch.TaskDone), r.now)
	is.Equal(r.limits.returned, 0)
	r.Reconcile("w0", []winch.Task{task(1, winch.TaskRunning)}, r.now)
	is.Equal(r.limits.used["choir"], 1)
	r.OpenBarrier()
	r.plan()
	is.Equal(r.count("j"), 0) // the running task uses the whole limit
	r.TaskEnded("w0", task(1, winch.TaskDone), r.now)
	is.Equal(r.limits.returned, 1)
	r.plan()
	is.Equal(r.count("j"), 1)
}

// A worker is lost and returns after its task was started elsewhere. Its late report that
// the old attempt ended must not end the new run.
func TestLateReportOfALostWorkerIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newRig(2, size8)
	r.submit("j", "choir", deferred, winch.Batch, 1, 1, time.Minute)
	r.plan()
	id := winch.TaskID{Job: "j"}
	first, attempt := r.running[id], r.attempt[id]
	r.RemoveWorker(first, r.now)
	r.plan()
	is.True(r.running[id] != first)
	r.SetVM(winch.VM{ID: first, Size: size8})
	r.Reconcile(first, nil, r.now)
	r.TaskEnded(first, winch.Task{ID: id, Attempt: attempt, State: winch.TaskStopped}, r.now)
	r.plan()
	is.Equal(r.starts[id], 2)
	r.end(id, winch.TaskDone)
	is.Equal(r.results["j"].State, winch.JobDone)
}

// A new planner loads jobs that an earlier planner may have started. They must wait until
// all workers have responded, or tasks could run twice. Running tasks are adopted, and a
// non-repeatable job with a start intent for a task that no worker runs ends as unknown.
func TestBarrierHoldsJobsOfAnEarlierPlanner(t *testing.T) {
	is := is.New(t)
	r := newRig(0, size8)
	r.Planner = NewPlanner(r.limits, r.Team)
	r.limits.limit["choir"] = 100
	r.SetVM(winch.VM{ID: "w0", Size: size8})
	r.SetVM(winch.VM{ID: "w1", Size: size8})
	load := func(id string, class winch.Class, intent ...int) {
		r.Submit(winch.Job{
			ID: id, Team: "choir", Class: class.Name, Submitted: r.now, Intent: intent, State: winch.JobQueued,
			Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 2, Need: winch.Resources{Processors: 1, Memory: 1}, RunTime: time.Minute},
		}, class, true, r.now)
	}
	load("mix", deferred)
	load("lost", nonRepeatable, 0)
	load("fresh", nonRepeatable)
	task := winch.Task{ID: winch.TaskID{Job: "mix", Index: 1}, Need: winch.Resources{Processors: 1, Memory: 1}, State: winch.TaskRunning, Attempt: 1}
	r.Reconcile("w0", []winch.Task{task}, r.now)
	started, _ := r.plan()
	is.Equal(len(started), 0)
	r.Reconcile("w1", nil, r.now)
	r.OpenBarrier()
	started, _ = r.plan()
	is.Equal(len(started), 3) // the other task of mix and both tasks of fresh
	is.Equal(r.starts[task.ID], 0)
	is.Equal(r.results["lost"].State, winch.JobUnknown)
}

// Guards against a late report of an earlier attempt that ends the attempt running now at the same
// worker: the task would start again beside its own run.
func TestReportOfAnEarlierAttemptAtTheSameWorkerIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newRig(1, size8)
	r.submit("j", "choir", deferred, winch.Batch, 1, 1, time.Minute)
	r.plan()
	id := winch.TaskID{Job: "j"}
	earlier := winch.Task{ID: id, Attempt: r.attempt[id], State: winch.TaskStopped}
	r.end(id, winch.TaskStopped)
	r.plan()
	is.Equal(r.starts[id], 2)
	r.TaskEnded("w0", earlier, r.now)
	r.plan()
	is.Equal(r.starts[id], 2)
	r.end(id, winch.TaskDone)
	is.Equal(r.results["j"].State, winch.JobDone)
}

// Guards against tasks that run on for a job that has ended as unknown when the barrier opens: nobody
// waits for their result, and they hold their capacity.
func TestAdoptedTasksOfAJobThatEndsAtTheBarrierAreStopped(t *testing.T) {
	is := is.New(t)
	r := newRig(0, size8)
	r.Planner = NewPlanner(r.limits, r.Team)
	r.limits.limit["choir"] = 2
	r.SetVM(winch.VM{ID: "w0", Size: size8})
	r.Submit(winch.Job{
		ID: "j", Team: "choir", State: winch.JobRunning, Submitted: r.now, Intent: []int{0, 1},
		Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 2, Need: winch.Resources{Processors: 1, Memory: 1}},
	}, nonRepeatable, true, r.now)
	found := winch.Task{ID: winch.TaskID{Job: "j"}, Team: "choir", Attempt: 1, Need: winch.Resources{Processors: 1, Memory: 1}, State: winch.TaskRunning}
	r.Reconcile("w0", []winch.Task{found}, r.now)
	out, opened := r.OpenBarrier()
	r.collect()
	is.True(opened)
	is.Equal(r.results["j"].State, winch.JobUnknown)
	is.Equal(len(out), 1)
	is.Equal(out[0].Action, Stop)
	is.Equal(out[0].Task.Ref(), found.Ref())
}
