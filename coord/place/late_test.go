package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// oneTask returns the record of a job with one task that an earlier planner may have started.
func oneTask(class winch.Class, intent ...int) winch.Job {
	return winch.Job{
		ID: "j", Team: "choir", Class: class.Name, State: winch.JobQueued, Submitted: startTime, Intent: intent,
		Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 1, Need: winch.Resources{Processors: 1, Memory: 1}},
	}
}

// earlierRun returns the run of that task that the earlier planner started.
func earlierRun(state winch.TaskState) winch.Task {
	return winch.Task{ID: winch.TaskID{Job: "j"}, Team: "choir", Attempt: 1, Need: winch.Resources{Processors: 1, Memory: 1}, State: state}
}

// Guards against a completion that is dropped because its job is not known yet: the task would start again.
func TestCompletionBeforeItsJobIsKept(t *testing.T) {
	is := is.New(t)
	r := newRig(1, size8)
	r.limits.limit["choir"] = 8
	r.submit("full", "choir", deferred, winch.Batch, 1, 8, time.Minute)
	r.plan()
	r.TaskEnded("w0", earlierRun(winch.TaskDone), r.now)
	r.Submit(oneTask(deferred), deferred, true, r.now)
	r.plan()
	r.end(winch.TaskID{Job: "full"}, winch.TaskDone)
	r.plan()
	is.Equal(r.starts[winch.TaskID{Job: "j"}], 0)
	is.Equal(r.results["j"].State, winch.JobDone)
}

// Guards against a task that starts beside a run that its worker listed before the job was known: that run
// may end as done before the order to stop it arrives.
func TestRunListedBeforeItsJobIsWaitedFor(t *testing.T) {
	is := is.New(t)
	r := newRig(0, size8)
	r.limits.limit["choir"] = 8
	r.SetVM(winch.VM{ID: "w0", Size: size8})
	r.Reconcile("w0", []winch.Task{earlierRun(winch.TaskRunning)}, r.now)
	r.Submit(oneTask(deferred), deferred, true, r.now)
	r.plan()
	is.Equal(r.starts[winch.TaskID{Job: "j"}], 0)
	r.TaskEnded("w0", earlierRun(winch.TaskDone), r.now)
	r.plan()
	is.Equal(r.starts[winch.TaskID{Job: "j"}], 0)
	is.Equal(r.results["j"].State, winch.JobDone)
	is.Equal(r.limits.used["choir"], 0)
}

// Guards against a non-repeatable task that is started a second time because its job becomes known only
// after the barrier has opened.
func TestIntentOfAJobKnownAfterTheBarrierIsRespected(t *testing.T) {
	is := is.New(t)
	r := newRig(1, size8)
	r.limits.limit["choir"] = 8
	r.Submit(oneTask(nonRepeatable, 0), nonRepeatable, true, r.now)
	r.plan()
	is.Equal(r.starts[winch.TaskID{Job: "j"}], 0)
	is.Equal(r.results["j"].State, winch.JobUnknown)
}

// Guards against a completion that is recorded and forgotten by its worker but not applied, because the
// task was started again when the worker was lost: if the second run is lost too, a third one starts.
func TestCompletionOfAReturningWorkerEndsTheTask(t *testing.T) {
	is := is.New(t)
	r := newRig(2, size8)
	r.submit("j", "choir", deferred, winch.Batch, 1, 1, time.Minute)
	r.plan()
	id := winch.TaskID{Job: "j"}
	first, attempt := r.running[id], r.attempt[id]
	r.RemoveWorker(first, r.now)
	r.plan()
	second := r.running[id]
	r.SetVM(winch.VM{ID: first, Size: size8})
	out := r.TaskEnded(first, winch.Task{ID: id, Attempt: attempt, State: winch.TaskDone}, r.now)
	is.Equal(len(out), 1)
	is.Equal(out[0].Action, Stop)
	is.Equal(out[0].VM.ID, second)
	r.RemoveWorker(second, r.now)
	r.Reconcile(first, nil, r.now)
	r.plan()
	is.Equal(r.starts[id], 2)
	is.Equal(r.results["j"].State, winch.JobDone)
	is.Equal(r.limits.used["choir"], 0)
}

// Guards against a start that counts as acknowledged because the worker lists an earlier attempt of the
// same task: the lost request would not be blocked.
func TestListedEarlierAttemptConfirmsNoStart(t *testing.T) {
	is := is.New(t)
	r := newRig(1, size8)
	r.submit("j", "choir", deferred, winch.Batch, 1, 1, time.Minute)
	d := r.Plan(r.now, 1)[0]
	r.StartUncertain(d.Task.Ref())
	earlier := d.Task
	earlier.Attempt--
	earlier.State = winch.TaskStopped
	r.Reconcile("w0", []winch.Task{earlier}, r.now)
	is.Equal(len(r.UncertainOn("w0")), 1)
	is.Equal(len(r.ConfirmedOn("w0")), 0)
}

// Guards against a cancelled job whose task is started again because it ended before the order to stop it
// arrived.
func TestResultOfACancelledTaskEndsTheJob(t *testing.T) {
	for _, state := range []winch.TaskState{winch.TaskFailed, winch.TaskDone} {
		for _, class := range []winch.Class{deferred, longRunning} {
			is := is.New(t)
			r := newRig(2, size8)
			kind := winch.Batch
			if class.Name == longRunning.Name {
				kind = winch.LongRunning
			}
			r.submit("j", "choir", class, kind, 2, 1, time.Minute)
			r.plan()
			_, ok := r.Cancel("j")
			is.True(ok)
			r.end(winch.TaskID{Job: "j", Index: 0}, winch.TaskStopped)
			r.end(winch.TaskID{Job: "j", Index: 1}, state)
			r.now = r.now.Add(time.Minute)
			r.plan()
			is.Equal(r.count("j"), 0)
			is.Equal(r.results["j"].State, winch.JobCancelled)
		}
	}
}

// Guards against a later record of a known job that is ignored: an earlier planner may have recorded
// completions and intents after the first read.
func TestLaterRecordOfAKnownJobIsMerged(t *testing.T) {
	is := is.New(t)
	r := newRig(0, size8)
	r.Planner = NewPlanner(r.limits, r.Team)
	r.limits.limit["choir"] = 8
	r.addWorker(0, size8)
	for _, id := range []string{"done", "intended"} {
		class := deferred
		if id == "intended" {
			class = nonRepeatable
		}
		rec := oneTask(class)
		rec.ID = id
		r.Submit(rec, class, true, r.now)
		if id == "done" {
			rec.EndedTasks = []int{0}
		} else {
			rec.Intent = []int{0}
		}
		r.Submit(rec, class, true, r.now)
	}
	r.OpenBarrier()
	started, _ := r.plan()
	is.Equal(len(started), 0)
	is.Equal(r.results["done"].State, winch.JobDone)
	is.Equal(r.results["intended"].State, winch.JobUnknown)
}

// Guards against a long-running job that a new planner takes for ended because runs of it are recorded as
// done.
func TestLongRunningJobGoesOnAfterATakeover(t *testing.T) {
	is := is.New(t)
	r := newRig(1, size8)
	r.limits.limit["choir"] = 8
	rec := oneTask(longRunning)
	rec.Spec.Kind, rec.EndedTasks = winch.LongRunning, []int{0}
	r.Submit(rec, longRunning, true, r.now)
	r.plan()
	is.Equal(r.count("j"), 1)
}
