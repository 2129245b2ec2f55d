package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// A stream of small tasks that always takes the free capacity could starve a waiting
// gang. A reservation must let the gang start at its forecast time. Only small tasks
// that end before that time are backfilled.
func TestGangIsNotStarved(t *testing.T) {
	is := is.New(t)
	r := newRig(4, size8)
	for i := range 8 {
		r.submit(fmt.Sprint("old", i), "choir", deferred, winch.Batch, 4, 1, time.Minute)
	}
	r.plan()
	r.submit("gang", "guild", deferred, winch.Gang, 4, 8, time.Minute)
	r.plan()
	st, _ := r.Status("gang", r.now)
	is.Equal(st.Forecast, time.Minute)
	r.submit("long", "choir", deferred, winch.Batch, 8, 1, time.Hour)
	r.submit("short", "choir", deferred, winch.Batch, 8, 1, 5*time.Second)
	r.now = r.now.Add(30 * time.Second)
	for i := range 4 {
		r.end(winch.TaskID{Job: "old0", Index: i}, winch.TaskDone)
	}
	r.plan()
	is.Equal(r.count("long"), 0)  // its tasks would delay the gang
	is.Equal(r.count("short"), 4) // its tasks end before the gang starts
	r.now = r.now.Add(30 * time.Second)
	for _, id := range r.ids() {
		r.end(id, winch.TaskDone)
	}
	r.plan()
	is.Equal(r.count("gang"), 4)
}

// An earlier planner recorded the completion of all tasks and crashed before it recorded
// the completion of the job. Its successor must end the job, although no task is left to
// run.
func TestJobWhoseTasksAllEndedIsFinished(t *testing.T) {
	is := is.New(t)
	r := newRig(1, size8)
	r.limits.limit["choir"] = 5
	r.Submit(winch.Job{
		ID: "j", Team: "choir", State: winch.JobQueued, EndedTasks: []int{1, 0}, Submitted: r.now,
		Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 2, Need: winch.Resources{Processors: 1, Memory: 1}},
	}, deferred, true, r.now)
	r.plan()
	is.Equal(r.results["j"].State, winch.JobDone)
}

// A gang of a non-repeatable class is stopped because one start was refused. Another
// start of it was not acknowledged yet, but the worker had begun the task, which may
// have had effects. The job must end as unknown, and the task must not start again.
func TestStoppedNonRepeatableGangEndsAsUnknown(t *testing.T) {
	is := is.New(t)
	r := newRig(2, size8)
	r.submit("gang", "choir", nonRepeatable, winch.Gang, 2, 8, time.Minute)
	out := r.Plan(r.now, 10)
	is.Equal(len(out), 2)
	r.StartRefused(out[0].Task.Ref(), r.now)
	r.TaskEnded(out[1].VM.ID, winch.Task{ID: out[1].Task.ID, Attempt: out[1].Task.Attempt, State: winch.TaskStopped}, r.now)
	r.collect()
	is.Equal(r.results["gang"].State, winch.JobUnknown)
}

// A start is delayed for so long that its worker is considered lost and the task is
// placed elsewhere. The delayed start must no longer be sent, and a report about it must
// not affect the new run. Otherwise the task would run twice.
func TestDelayedStartAtALostWorkerIsDropped(t *testing.T) {
	is := is.New(t)
	r := newRig(2, size8)
	r.submit("j", "choir", deferred, winch.Batch, 1, 1, time.Minute)
	first := r.Plan(r.now, 10)
	is.Equal(len(first), 1)
	is.True(r.StillPlaced(first[0].Task.Ref()))
	r.RemoveWorker(first[0].VM.ID, r.now)
	second := r.Plan(r.now, 10)
	is.Equal(len(second), 1)
	is.Equal(r.StillPlaced(first[0].Task.Ref()), false)
	is.Equal(len(r.StartRefused(first[0].Task.Ref(), r.now)), 0)
	is.True(r.StillPlaced(second[0].Task.Ref()))
	is.Equal(r.limits.used["choir"], 1)
	r.now = r.now.Add(time.Minute)
	is.Equal(len(r.Plan(r.now, 10)), 0)
}

// A job fails or is cancelled while one of its starts is in flight, and the worker then
// refuses that start. No task of the job may start again, since the caller has already
// been notified that the job has ended.
func TestEndedJobStaysEndedAfterARefusedStart(t *testing.T) {
	for _, end := range []string{"cancelled", "failed"} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			r := newRig(2, size8)
			r.submit("gang", "choir", nonRepeatable, winch.Gang, 2, 8, time.Minute)
			out := r.Plan(r.now, 10)
			is.Equal(len(out), 2)
			if end == "cancelled" {
				r.Cancel("gang")
			} else {
				r.TaskEnded(out[1].VM.ID, winch.Task{ID: out[1].Task.ID, Attempt: out[1].Task.Attempt, State: winch.TaskFailed}, r.now)
			}
			r.StartRefused(out[0].Task.Ref(), r.now)
			if end == "cancelled" {
				r.StartRefused(out[1].Task.Ref(), r.now)
			}
			r.now = r.now.Add(time.Minute)
			is.Equal(len(r.Plan(r.now, 10)), 0)
			r.collect()
			is.True(r.results["gang"].State.Final())
		})
	}
}

// A worker with a gang's task is lost while other tasks of the gang have already
// succeeded. The remaining tasks must start again together and not be left unqueued.
func TestRestOfAGangRestartsTogether(t *testing.T) {
	is := is.New(t)
	r := newRig(3, size8)
	r.submit("gang", "choir", deferred, winch.Gang, 3, 8, time.Minute)
	r.plan()
	lost := r.running[winch.TaskID{Job: "gang", Index: 1}]
	delete(r.running, winch.TaskID{Job: "gang", Index: 1})
	r.RemoveWorker(lost, r.now)
	r.end(winch.TaskID{Job: "gang", Index: 0}, winch.TaskDone)
	r.end(winch.TaskID{Job: "gang", Index: 2}, winch.TaskStopped)
	r.now = r.now.Add(time.Second)
	r.plan()
	is.Equal(r.count("gang"), 2)
}

// A worker refuses one start of a gang. The whole gang must be stopped and start again as
// a whole after a delay.
func TestGangRestartsAsAWholeAfterARefusedStart(t *testing.T) {
	is := is.New(t)
	r := newRig(2, size8)
	r.submit("gang", "choir", deferred, winch.Gang, 4, 2, time.Minute)
	out := r.Plan(r.now, 10)
	is.Equal(len(out), 4)
	for _, d := range out[1:] {
		r.do(d)
	}
	for _, d := range r.StartRefused(out[0].Task.Ref(), r.now) {
		is.Equal(d.Action, Stop)
		r.do(d)
	}
	is.Equal(len(r.running), 0)
	is.Equal(r.limits.used["choir"], 0)
	r.plan()
	is.Equal(r.count("gang"), 0) // not before the backoff is over
	r.now = r.now.Add(time.Second)
	r.plan()
	is.Equal(r.count("gang"), 4)
}

// A worker fails every task at once and therefore always has free capacity, so the whole
// queue could be started there and fail. It must be quarantined after a few distinct
// jobs, and all jobs must succeed on other workers.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	is := is.New(t)
	r := newRig(10, size8)
	for i := range 60 {
		r.submit(fmt.Sprint("j", i), "choir", deferred, winch.Batch, 1, 2, time.Second)
	}
	bad := 0
	for len(r.results) < 60 && r.now.Sub(startTime) < time.Minute {
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
	for _, f := range r.results {
		is.Equal(f.State, winch.JobDone)
	}
	is.Equal(len(r.results), 60)
	is.True(bad <= 10)
}

// Jobs fail on every worker, which looks like a failure of the workers. The jobs must end
// as failed after a few attempts, and only a bounded fraction of the workers may be
// quarantined because of them.
func TestJobsThatFailEverywhereQuarantineFewWorkers(t *testing.T) {
	is := is.New(t)
	r := newRig(10, size8)
	for i := range 20 {
		r.submit(fmt.Sprint("bad", i), "choir", deferred, winch.Batch, 1, 1, time.Second)
	}
	for range 10 {
		r.plan()
		for _, id := range r.ids() {
			r.end(id, winch.TaskFailed)
		}
		r.now = r.now.Add(time.Minute)
	}
	is.Equal(len(r.results), 20)
	for _, f := range r.results {
		is.Equal(f.State, winch.JobFailed)
	}
	is.True(r.quarantinedCount(r.now)*quarantineDivisor <= len(r.nodes)+quarantineDivisor)
}

// A job is larger than any present worker. Its status must name that reason, and the job
// must start once a worker that is large enough joins.
func TestJobWaitsForALargeEnoughWorker(t *testing.T) {
	is := is.New(t)
	r := newRig(3, size8)
	r.submit("big", "choir", urgent, winch.Batch, 1, 16, time.Second)
	r.plan()
	st, _ := r.Status("big", r.now)
	is.Equal(st.Why, "no worker of the domain is large enough for a task")
	r.addWorker(9, winch.Resources{Processors: 16, Memory: 16})
	r.plan()
	is.Equal(r.count("big"), 1)
}

// Thousands of jobs are cancelled at once, each twice. All must end, none of their tasks
// may keep running, and other work must start afterwards.
func TestManyJobsAreCancelledAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(20, size8)
	for i := range 3000 {
		r.submit(fmt.Sprint("j", i), "choir", deferred, winch.Batch, 2, 1, time.Minute)
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
	is.Equal(len(r.results), 3000)
	is.Equal(len(r.running), 0)
	is.Equal(r.limits.used["choir"], 0)
	r.submit("next", "guild", deferred, winch.Batch, 1, 1, time.Minute)
	r.plan()
	is.Equal(r.count("next"), 1)
}

// One team floods the queue before another team submits. Once the workers are full, freed
// capacity must go to the team with the lower usage relative to its share.
func TestFloodOfOneTeamKeepsShares(t *testing.T) {
	is := is.New(t)
	r := newRig(4, size8)
	r.submit("flood", "flood", deferred, winch.Batch, 500, 1, time.Minute)
	r.plan()
	r.submit("quiet", "quiet", deferred, winch.Batch, 100, 1, time.Minute)
	for range 20 {
		r.plan()
		r.end(r.ids()[0], winch.TaskDone) // the tasks of team flood sort first
	}
	r.plan()
	is.Equal(r.count("quiet"), 16)
	is.Equal(r.count("flood"), 16)
}

// Urgent work arrives when all workers are full. The preemptible tasks that lose the
// least work must be evicted, and non-repeatable tasks must not be.
func TestUrgentJobEvictsTasksThatLoseLeast(t *testing.T) {
	is := is.New(t)
	r := newRig(2, size8)
	r.submit("billed", "choir", nonRepeatable, winch.Batch, 8, 1, time.Hour)
	r.plan()
	r.submit("old", "choir", deferred, winch.Batch, 4, 1, time.Hour)
	r.plan()
	r.now = r.now.Add(10 * time.Minute)
	r.submit("young", "choir", deferred, winch.Batch, 4, 1, time.Hour)
	r.plan()
	r.now = r.now.Add(time.Minute)
	r.submit("now", "guild", urgent, winch.Batch, 1, 2, time.Second)
	_, evicted := r.plan()
	is.Equal(evicted, 2)
	is.Equal(r.count("now"), 1)
	is.Equal(r.count("young"), 2)
	is.Equal(r.count("old"), 4)
	is.Equal(r.count("billed"), 8)
	is.Equal(r.LostRunTime, 2*time.Minute)
}

// The tasks of a long-running job must be spread over the racks, and a task that ends must
// be started again.
func TestLongRunningTasksAreSpreadAndRestarted(t *testing.T) {
	is := is.New(t)
	r := newRig(9, size8)
	r.submit("room", "choir", longRunning, winch.LongRunning, 6, 1, 0)
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

// The declared run times are a quarter of the actual ones. The forecast must adapt to the
// actual ones; otherwise reservations and backfill would rely on wrong start times.
func TestForecastAdaptsToActualRunTimes(t *testing.T) {
	is := is.New(t)
	r := newRig(1, size8)
	for i := range 30 {
		r.submit(fmt.Sprint("j", i), "choir", deferred, winch.Batch, 1, 1, time.Minute)
		r.plan()
		r.now = r.now.Add(4 * time.Minute)
		r.end(winch.TaskID{Job: fmt.Sprint("j", i)}, winch.TaskDone)
	}
	r.submit("next", "choir", deferred, winch.Batch, 1, 1, time.Minute)
	f := r.forecast(r.jobs["next"])
	is.True(f > 230*time.Second && f <= 4*time.Minute)
}

// A class names its target as a time of day. It must be taken as UTC and lie in the future,
// or jobs would count as urgent at the wrong time.
func TestNextTimeOfDay(t *testing.T) {
	is := is.New(t)
	is.Equal(nextTimeOfDay(startTime, "06:00"), time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC))
	is.Equal(nextTimeOfDay(startTime, "20:00"), time.Date(2026, 3, 2, 20, 0, 0, 0, time.UTC))
	is.Equal(nextTimeOfDay(startTime, "20:01"), time.Date(2026, 3, 1, 20, 1, 0, 0, time.UTC))
}

// A worker is marked as leaving. It must get no new tasks, and its running tasks end
// there.
func TestLeavingWorkerGetsNoNewTasks(t *testing.T) {
	is := is.New(t)
	r := newRig(2, size8)
	r.submit("old", "choir", deferred, winch.Batch, 16, 1, time.Minute)
	r.plan()
	r.SetVM(winch.VM{ID: "w0", Size: size8, Leaving: true})
	for _, id := range r.ids() {
		r.end(id, winch.TaskDone)
	}
	r.submit("new", "choir", deferred, winch.Batch, 16, 1, time.Minute)
	r.plan()
	is.Equal(r.count("new"), 8)
	for _, vm := range r.running {
		is.Equal(vm, "w1")
	}
}
