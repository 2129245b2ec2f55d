package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/stand"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// Guards against recorded jobs with bad input. Each part of a submission is wrong once; it must be refused with the
// matching reason.
func TestSubmissionWithBadInputIsRefused(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		good := Submission{Key: w.keys["choir"], Class: "mix", RequestID: "j", Spec: winch.JobSpec{
			Kind: winch.Batch, Tasks: 1, Need: winch.Resources{Processors: 1, Memory: 1}, RunTime: time.Second,
		}}
		for _, c := range []struct {
			name   string
			change func(*Submission)
			want   winch.Reason
		}{
			{"no id", func(s *Submission) { s.RequestID = "" }, winch.BadRequest},
			{"unknown kind", func(s *Submission) { s.Spec.Kind = "Swarm" }, winch.BadRequest},
			{"no tasks", func(s *Submission) { s.Spec.Tasks = 0 }, winch.BadRequest},
			{"too many tasks", func(s *Submission) { s.Spec.Tasks = maxTasks + 1 }, winch.BadRequest},
			{"no processors", func(s *Submission) { s.Spec.Need.Processors = 0 }, winch.BadRequest},
			{"negative run time", func(s *Submission) { s.Spec.RunTime = -1 }, winch.BadRequest},
			{"long command", func(s *Submission) { s.Spec.Command = strings.Repeat("x", maxCommandSize+1) }, winch.BadRequest},
			{"command of two lines", func(s *Submission) { s.Spec.Command = "a\nb" }, winch.BadRequest},
			{"unknown class", func(s *Submission) { s.Class = "x" }, winch.UnknownClass},
			{"unknown key", func(s *Submission) { s.Key = "x" }, winch.UnknownKey},
			{"larger than any worker", func(s *Submission) { s.Spec.Need.Processors = 9 }, winch.NeverFits},
			{"gang larger than the domain", func(s *Submission) { s.Spec.Kind, s.Spec.Tasks = winch.Gang, 17 }, winch.NeverFits},
			{"gang larger than the limit", func(s *Submission) { s.Spec.Kind, s.Spec.Tasks = winch.Gang, 21 }, winch.NeverFits},
		} {
			s := good
			c.change(&s)
			_, r := a.Submit(context.Background(), s)
			if r.Outcome != winch.NotRun || r.Reason != c.want {
				w.t.Errorf("%s: got %s %s, want NotRun %s", c.name, r.Outcome, r.Reason, c.want)
			}
		}
		jobs, r := a.ListJobs(context.Background(), w.keys["choir"])
		is.True(r.OK())
		is.Equal(len(jobs), 0)
	})
}

// Guards against a job that runs twice: its caller gets no response to the submission and submits it again through
// another entry. There must be one job that runs once.
func TestResubmittedJobRunsOnce(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := newPair(w)
		a.loseResponses(1)
		first, r := w.submit(a, "choir", "billed", "j1", winch.Batch, 1, time.Second)
		is.True(r.OK())
		second, r := w.submit(b, "choir", "billed", "j1", winch.Batch, 1, time.Second)
		is.True(r.OK())
		is.Equal(first.ID, second.ID)
		_, r = w.submit(b, "choir", "billed", "j1", winch.Batch, 2, time.Second)
		is.Equal(r.Reason, winch.DuplicateRequest)
		is.Equal(w.awaitJob(b, "choir", first.ID, time.Minute).State, winch.JobDone)
		is.Equal(len(w.startCounts()), 1)
		_, r = b.Job(context.Background(), w.keys["guild"], first.ID, 0)
		is.Equal(r.Reason, winch.UnknownJob) // other teams cannot read the job
	})
}

// Guards against a job that was refused and runs nevertheless: the store is down when the job is submitted. It must be
// refused as not run with a retry time, and must not appear once the store is available again.
func TestSubmissionIsRefusedWhileTheStoreIsDown(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		w.platform.SetFaults(platformDown)
		_, r := w.submit(a, "choir", "mix", "j1", winch.Batch, 1, time.Second)
		is.Equal(r.Outcome, winch.NotRun)
		is.Equal(r.Reason, winch.StoreUnavailable)
		is.True(r.RetryAfter > 0)
		w.platform.SetFaults(stand.Faults{})
		time.Sleep(10 * time.Second)
		jobs, r := a.ListJobs(context.Background(), w.keys["choir"])
		is.True(r.OK())
		is.Equal(len(jobs), 0)
		is.Equal(len(w.startCounts()), 0)
	})
}

// Guards against tasks of a lost worker that never run again, or run twice although their class forbids it. Repeatable
// tasks must run again elsewhere once their leases are guaranteed to have expired. Billed tasks must end as unknown and
// never run again.
func TestOnlyRepeatableTasksOfALostWorkerRunAgain(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		mix, r := w.submit(a, "choir", "mix", "j1", winch.Batch, 8, 30*time.Second)
		is.True(r.OK())
		billed, r := w.submit(a, "choir", "billed", "j2", winch.Batch, 8, 30*time.Second)
		is.True(r.OK())
		time.Sleep(2 * time.Second)
		w.workers["w1"].SetFaults(stand.WorkerFaults{Down: true})
		v := w.awaitJob(a, "choir", mix.ID, 3*time.Minute)
		is.Equal(v.State, winch.JobDone)
		b := w.awaitJob(a, "choir", billed.ID, 3*time.Minute)
		is.True(b.State == winch.JobUnknown || b.State == winch.JobDone)
		lost := 0
		for id, n := range w.startCounts() {
			if id.Job == billed.ID {
				is.Equal(n, 1)
			}
			if n > 1 {
				lost++
			}
		}
		is.True(lost > 0 || b.State == winch.JobUnknown) // the lost worker did run tasks
	})
}

// Guards against a task that is started twice: the worker started it but the response to the start call was lost. The
// task must not be started elsewhere, and its completion must be noticed.
func TestStartWithALostResponseIsNotRepeated(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		for _, s := range w.workers {
			s.SetFaults(stand.WorkerFaults{LoseReplies: 3})
		}
		job, r := w.submit(a, "choir", "billed", "j1", winch.Batch, 6, 10*time.Second)
		is.True(r.OK())
		is.Equal(w.awaitJob(a, "choir", job.ID, 2*time.Minute).State, winch.JobDone)
		is.Equal(len(w.startCounts()), 6)
	})
}

// Guards against jobs that stop while the store is down: a job accepted before must continue, also with tasks that had
// not started yet, and its completion must be recorded once the store is available again.
func TestJobsContinueWhileTheStoreIsDown(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		job, r := w.submit(a, "choir", "mix", "j1", winch.Batch, 32, 10*time.Second)
		is.True(r.OK())
		time.Sleep(time.Second)
		w.platform.SetFaults(platformDown)
		time.Sleep(40 * time.Second)
		started := len(w.startCounts())
		w.platform.SetFaults(stand.Faults{})
		is.Equal(started, 32) // the second half started while the store was down
		is.Equal(w.awaitJob(a, "choir", job.ID, time.Minute).State, winch.JobDone)
		for _, n := range w.startCounts() {
			is.Equal(n, 1)
		}
	})
}

// Guards against cancelled jobs that leave tasks running, and against a cancellation that overwrites the result of a job
// that ended before. Jobs are cancelled while they wait, while they run, and after they ended.
func TestCancelledJobLeavesNothingRunning(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := newPair(w)
		running, _ := w.submit(a, "choir", "mix", "j1", winch.Batch, 16, time.Hour)
		waiting, _ := w.submit(a, "choir", "mix", "j2", winch.Batch, 4, time.Hour)
		time.Sleep(time.Second)
		for _, id := range []string{waiting.ID, running.ID} {
			_, r := b.CancelJob(context.Background(), w.keys["choir"], id)
			is.True(r.OK())
			is.Equal(w.awaitJob(a, "choir", id, time.Minute).State, winch.JobCancelled)
		}
		for _, s := range w.workers {
			is.Equal(s.Counts().Running, 0)
		}
		done, _ := w.submit(a, "choir", "mix", "j3", winch.Batch, 1, time.Second)
		is.Equal(w.awaitJob(a, "choir", done.ID, time.Minute).State, winch.JobDone)
		v, r := b.CancelJob(context.Background(), w.keys["choir"], done.ID)
		is.True(r.OK())
		is.Equal(v.State, winch.JobDone) // the job ended before the cancellation
	})
}

// Guards against tasks that start beyond a lowered limit: a team's limit is lowered while it runs more. Its next tasks
// must wait until enough have ended, and other teams must not be affected.
func TestLoweredLimitAppliesToNewTasks(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		job, _ := w.submit(a, "choir", "mix", "j1", winch.Batch, 40, 10*time.Second)
		time.Sleep(time.Second)
		team := a.config.Get().Teams["choir"]
		team.Limit = 3
		w.change(a, config.Declared{Teams: map[string]winch.Team{"choir": team}}.Change())
		time.Sleep(12 * time.Second)
		w.mu.Lock()
		w.limits["choir"] = 3 // checked at every start from here on
		w.mu.Unlock()
		other, _ := w.submit(a, "guild", "mix", "j2", winch.Batch, 4, time.Second)
		is.Equal(w.awaitJob(a, "guild", other.ID, time.Minute).State, winch.JobDone)
		is.Equal(w.awaitJob(a, "choir", job.ID, 20*time.Minute).State, winch.JobDone)
	})
}

// Guards against work that stops or runs twice in a network partition: two domains are separated from each other, and
// one of them from the store. Each must continue its jobs and calls; after CutOffTrust, the one without
// the store must refuse calls.
func TestPartitionedDomainsContinue(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		for _, d := range []string{"d1", "d2"} {
			w.addExecutor("e-"+d, d, 4)
			w.addWorker("w-"+d, d)
			w.addEntry("a-"+d, d)
			w.addEntry("b-"+d, d)
		}
		w.settle()
		a1, a2 := w.entries["a-d1"], w.entries["a-d2"]
		w.configure(a1, 40, "choir")
		w.settle()
		for range 10 {
			w.call(a1, "choir", "preview", "warm", "x")
			w.call(a2, "choir", "preview", "warm", "x")
		}
		var ids []string
		for i := range 6 {
			j, r := w.submit(a1, "choir", "mix", fmt.Sprint("j", i), winch.Batch, 4, 5*time.Second)
			is.True(r.OK())
			ids = append(ids, j.ID)
		}
		time.Sleep(time.Second)
		w.partition(true, []string{"a-d1", "b-d1"}, []string{"a-d2", "b-d2"})
		a2.partitionStore(true)
		w.entries["b-d2"].partitionStore(true)
		for i := range 40 {
			time.Sleep(time.Second)
			for _, n := range []*node{a1, a2} {
				is.Equal(w.call(n, "choir", "preview", fmt.Sprint("c", i), "x").Outcome, winch.Done)
			}
		}
		time.Sleep(40 * time.Second) // the partition lasts longer than the team's CutOffTrust
		is.Equal(w.call(a1, "choir", "preview", "x", "x").Outcome, winch.Done)
		is.Equal(w.call(a2, "choir", "preview", "x", "x").Reason, winch.StoreUnavailable)
		w.partition(false, []string{"a-d1", "b-d1"}, []string{"a-d2", "b-d2"})
		a2.partitionStore(false)
		w.entries["b-d2"].partitionStore(false)
		time.Sleep(10 * time.Second)
		for _, id := range ids {
			is.Equal(w.awaitJob(a1, "choir", id, time.Minute).State, winch.JobDone)
		}
		for _, n := range w.startCounts() {
			is.Equal(n, 1)
		}
	})
}

// Guards against a task that runs twice because of a delayed start call: the call reaches the worker seconds after its
// sender gave it up. The task must not run elsewhere by then.
func TestTaskOfADelayedStartRunsOnce(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		w.mu.Lock()
		w.delayedStarts = 4
		w.mu.Unlock()
		job, r := w.submit(a, "choir", "mix", "j1", winch.Batch, 6, 20*time.Second)
		is.True(r.OK())
		billed, r := w.submit(a, "choir", "billed", "j2", winch.Batch, 2, 20*time.Second)
		is.True(r.OK())
		is.Equal(w.awaitJob(a, "choir", job.ID, 10*time.Minute).State, winch.JobDone)
		is.Equal(w.awaitJob(a, "choir", billed.ID, 10*time.Minute).State, winch.JobDone)
	})
}

// Guards against jobs that start after their key was withdrawn. The key is withdrawn while one of its jobs runs and
// another waits: the waiting one must end as cancelled without a start, and the running one must complete.
func TestWaitingJobsAreCancelledWhenTheirKeyIsWithdrawn(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := newPair(w)
		running, _ := w.submit(a, "choir", "mix", "j1", winch.Batch, 16, 20*time.Second)
		time.Sleep(time.Second)
		waiting, _ := w.submit(b, "choir", "billed", "j2", winch.Batch, 2, time.Second)
		time.Sleep(time.Second)
		old := w.keys["choir"]
		id, _, _ := strings.Cut(old, ".")
		w.change(a, config.WithdrawKey(id))
		key, _, r := a.IssueKey(w.t.Context(), operator, winch.KeyTeam, "choir")
		is.True(r.OK())
		w.keys["choir"] = key
		v := w.awaitJob(b, "choir", waiting.ID, 5*time.Second)
		is.Equal(v.State, winch.JobCancelled)
		is.Equal(v.Reason, winch.KeyWithdrawn)
		is.Equal(w.awaitJob(b, "choir", running.ID, time.Minute).State, winch.JobDone)
		is.Equal(len(w.startCounts()), 16)
	})
}

// Guards against an accepted job that waits until something else changes: an entry accepts it for another failure domain
// and dies before it notifies the planner there. That planner acquired the office while the store was slow, and must
// find the job by its watch of the store.
func TestJobIsFoundWithoutANotification(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.addWorker("w1", "d1")
		a := w.addEntry("d1-0", "d1")
		b := w.addEntry("d2-0", "d2")
		w.settle()
		w.configure(a, 4, "choir")
		w.settle()
		c := w.addEntry("d1-1", "d1")
		w.settle()
		w.platform.SetFaults(stand.Faults{Latency: 400 * time.Millisecond})
		a.kill()
		for w.planner("d1") != c {
			time.Sleep(50 * time.Millisecond)
		}
		w.platform.SetFaults(stand.Faults{})
		w.settle()
		w.sendFirst("d1-1", "d2-0")
		w.settle()
		w.partition(true, []string{"d1-1"}, []string{"d2-0"})
		job, r := w.submit(b, "choir", "mix", "j", winch.Batch, 1, time.Second)
		is.True(r.OK())
		is.Equal(job.Domain, "d1")
		b.kill()
		is.Equal(w.awaitJob(c, "choir", job.ID, 10*time.Second).State, winch.JobDone)
	})
}

// Guards against an operator's change that never returns: the response to its write is lost, and the entry does not
// reach the store any more. The operator must get the result that the change may have been written.
func TestChangeWithALostResponseReturns(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a := w.addEntry("d1-0", "d1")
		w.settle()
		w.configure(a, 4, "choir")
		w.platform.SetFaults(stand.Faults{Latency: 100 * time.Millisecond})
		a.loseResponses(100)
		var group conc.WaitGroup
		var r winch.Result
		group.Go(func() {
			d := config.Declared{Teams: map[string]winch.Team{"choir": {Name: "choir", Share: 1, Limit: 6}}}
			_, r = a.Change(context.Background(), operator, 0, d.Change())
		})
		time.Sleep(250 * time.Millisecond) // The write is under way.
		a.partitionStore(true)
		group.Wait()
		is.Equal(r.Outcome, winch.Unknown)
	})
}
