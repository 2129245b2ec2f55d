package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/conf"
	"plantainwinch/stand"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// A submission is wrong in one part. It is refused with the reason, and nothing
// is recorded.
func TestSubmitBadInput(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := pair(w)
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
			{"too many tasks", func(s *Submission) { s.Spec.Tasks = tasksMost + 1 }, winch.BadRequest},
			{"no processors", func(s *Submission) { s.Spec.Need.Processors = 0 }, winch.BadRequest},
			{"negative run time", func(s *Submission) { s.Spec.RunTime = -1 }, winch.BadRequest},
			{"long command", func(s *Submission) { s.Spec.Command = strings.Repeat("x", commandMost+1) }, winch.BadRequest},
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

// A caller does not get the answer to its submission and submits again, through
// another entry. There is one job, and it runs once.
func TestSubmitAgain(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := pair(w)
		a.loseReplies(1)
		first, r := w.submit(a, "choir", "billed", "j1", winch.Batch, 1, time.Second)
		is.True(r.OK())
		second, r := w.submit(b, "choir", "billed", "j1", winch.Batch, 1, time.Second)
		is.True(r.OK())
		is.Equal(first.ID, second.ID)
		_, r = w.submit(b, "choir", "billed", "j1", winch.Batch, 2, time.Second)
		is.Equal(r.Reason, winch.DuplicateRequest)
		is.Equal(w.await(b, "choir", first.ID, time.Minute).State, winch.JobDone)
		is.Equal(len(w.startMap()), 1)
		_, r = b.Job(context.Background(), w.keys["guild"], first.ID, 0)
		is.Equal(r.Reason, winch.UnknownJob) // other teams do not see it
	})
}

// The store is down. A deferred job is refused as not run with a time to come
// back, and afterwards no trace of it turns up.
func TestSubmitStoreDown(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := pair(w)
		w.platform.Set(standDown)
		_, r := w.submit(a, "choir", "mix", "j1", winch.Batch, 1, time.Second)
		is.Equal(r.Outcome, winch.NotRun)
		is.Equal(r.Reason, winch.StoreUnavailable)
		is.True(r.RetryAfter > 0)
		w.platform.Set(stand.Faults{})
		time.Sleep(10 * time.Second)
		jobs, r := a.ListJobs(context.Background(), w.keys["choir"])
		is.True(r.OK())
		is.Equal(len(jobs), 0)
		is.Equal(len(w.startMap()), 0)
	})
}

// The placer dies while tasks run and wait. Its successor adopts what runs and
// starts what waits; no task runs in two places and none is lost.
func TestPlacerDies(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		pair(w)
		old := w.placer("d1")
		var other *node
		for _, n := range w.entries {
			if n != old {
				other = n
			}
		}
		job, r := w.submit(other, "choir", "mix", "j1", winch.Batch, 30, 10*time.Second)
		is.True(r.OK())
		billed, r := w.submit(other, "choir", "billed", "j2", winch.Batch, 2, 25*time.Second)
		is.True(r.OK())
		time.Sleep(12 * time.Second)
		old.kill()
		v := w.await(other, "choir", job.ID, 2*time.Minute)
		is.Equal(v.State, winch.JobDone)
		is.Equal(len(v.EndedTasks), 30)
		b := w.await(other, "choir", billed.ID, time.Minute)
		is.Equal(b.State, winch.JobDone)
		is.Equal(w.placer("d1"), other)
		again := 0
		for _, n := range w.startMap() {
			again += n - 1
		}
		is.Equal(again, 0) // nothing had to be run again
	})
}

// The placer is paused for longer than its lease while it has starts on their
// way, and wakes up after its successor has taken over. The workers refuse its
// old epoch, it gives the office up, and no task runs twice.
func TestPlacerPausedPastLease(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		pair(w)
		old := w.placer("d1")
		other := w.other(old)
		job, r := w.submit(other, "choir", "mix", "j1", winch.Batch, 16, 20*time.Second)
		is.True(r.OK())
		time.Sleep(time.Second)
		second, r := w.submit(other, "choir", "billed", "j2", winch.Batch, 4, 5*time.Second)
		is.True(r.OK())
		old.pause()
		time.Sleep(20 * time.Second)
		is.Equal(w.placer("d1") != nil, true)
		old.resume()
		is.Equal(w.await(other, "choir", job.ID, 2*time.Minute).State, winch.JobDone)
		is.Equal(w.await(other, "choir", second.ID, 2*time.Minute).State, winch.JobDone)
		is.Equal(old.office.IsHolder(), false)
		is.Equal(other.office.IsHolder(), true)
	})
}

// The workers of a deployment do not compare epochs. A placer that was paused
// past its lease must notice by its own clock that it may not act any more.
func TestPlacerPausedWithoutFence(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.tune = func(s *conf.Settings) { s.Cell.FenceAtVM = false }
		w.noFence = true
		pair(w)
		old := w.placer("d1")
		other := w.other(old)
		old.pause()
		time.Sleep(500 * time.Millisecond)
		job, r := w.submit(other, "choir", "billed", "j1", winch.Batch, 6, 5*time.Second)
		is.True(r.OK())
		time.Sleep(30 * time.Second)
		old.resume()
		is.Equal(w.await(other, "choir", job.ID, 2*time.Minute).State, winch.JobDone)
	})
}

// The placer stops as planned. Its successor places work within a fraction of a
// second, since the office was freed at once.
func TestPlannedHandover(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		pair(w)
		old := w.placer("d1")
		other := w.other(old)
		running, r := w.submit(other, "choir", "billed", "j1", winch.Batch, 4, 10*time.Second)
		is.True(r.OK())
		time.Sleep(time.Second)
		old.Stop(context.Background())
		old.kill()
		begin := time.Now()
		job, r := w.submit(other, "choir", "mix", "j2", winch.Batch, 1, time.Second)
		is.True(r.OK())
		is.Equal(w.await(other, "choir", job.ID, time.Minute).State, winch.JobDone)
		is.True(time.Since(begin) < 3*time.Second)
		is.Equal(w.await(other, "choir", running.ID, time.Minute).State, winch.JobDone)
		for _, n := range w.startMap() {
			is.Equal(n, 1)
		}
	})
}

// A worker is lost with the tasks on it. Repeatable tasks run again elsewhere
// once their leases have surely lapsed; a billed one ends as unknown and is
// never run again.
func TestWorkerLost(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := pair(w)
		mix, r := w.submit(a, "choir", "mix", "j1", winch.Batch, 8, 30*time.Second)
		is.True(r.OK())
		billed, r := w.submit(a, "choir", "billed", "j2", winch.Batch, 8, 30*time.Second)
		is.True(r.OK())
		time.Sleep(2 * time.Second)
		w.workers["w1"].Set(stand.WorkerFaults{Down: true})
		v := w.await(a, "choir", mix.ID, 3*time.Minute)
		is.Equal(v.State, winch.JobDone)
		b := w.await(a, "choir", billed.ID, 3*time.Minute)
		is.True(b.State == winch.JobUnknown || b.State == winch.JobDone)
		lost := 0
		for id, n := range w.startMap() {
			if id.Job == billed.ID {
				is.Equal(n, 1)
			}
			if n > 1 {
				lost++
			}
		}
		is.True(lost > 0 || b.State == winch.JobUnknown) // the worker did hold something
	})
}

// The reply to a start is lost on its way. The task was started, so it must not
// be started anywhere else, and its end must be noticed.
func TestStartReplyLost(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := pair(w)
		for _, s := range w.workers {
			s.Set(stand.WorkerFaults{LoseReplies: 3})
		}
		job, r := w.submit(a, "choir", "billed", "j1", winch.Batch, 6, 10*time.Second)
		is.True(r.OK())
		is.Equal(w.await(a, "choir", job.ID, 2*time.Minute).State, winch.JobDone)
		is.Equal(len(w.startMap()), 6)
	})
}

// The store goes away while jobs run. What was accepted before goes on and ends;
// its end is recorded once the store is back.
func TestStoreDownJobsGoOn(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := pair(w)
		job, r := w.submit(a, "choir", "mix", "j1", winch.Batch, 32, 10*time.Second)
		is.True(r.OK())
		time.Sleep(time.Second)
		w.platform.Set(standDown)
		time.Sleep(40 * time.Second)
		started := len(w.startMap())
		w.platform.Set(stand.Faults{})
		is.Equal(started, 32) // the second half started without the store
		is.Equal(w.await(a, "choir", job.ID, time.Minute).State, winch.JobDone)
		for _, n := range w.startMap() {
			is.Equal(n, 1)
		}
	})
}

// A job is cancelled while it waits, while it runs, and just as it ends. The
// answer says which of both won, and a cancelled one leaves nothing running.
func TestCancel(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := pair(w)
		running, _ := w.submit(a, "choir", "mix", "j1", winch.Batch, 16, time.Hour)
		waiting, _ := w.submit(a, "choir", "mix", "j2", winch.Batch, 4, time.Hour)
		time.Sleep(time.Second)
		for _, id := range []string{waiting.ID, running.ID} {
			_, r := b.CancelJob(context.Background(), w.keys["choir"], id)
			is.True(r.OK())
			is.Equal(w.await(a, "choir", id, time.Minute).State, winch.JobCancelled)
		}
		for _, s := range w.workers {
			is.Equal(s.Counts().Running, 0)
		}
		done, _ := w.submit(a, "choir", "mix", "j3", winch.Batch, 1, time.Second)
		is.Equal(w.await(a, "choir", done.ID, time.Minute).State, winch.JobDone)
		v, r := b.CancelJob(context.Background(), w.keys["choir"], done.ID)
		is.True(r.OK())
		is.Equal(v.State, winch.JobDone) // the end won
	})
}

// A team's limit is lowered while it runs more. Nothing new of it starts until
// enough has ended; the others go on.
func TestLimitLowered(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := pair(w)
		job, _ := w.submit(a, "choir", "mix", "j1", winch.Batch, 40, 10*time.Second)
		time.Sleep(time.Second)
		team := a.held.Get().Teams["choir"]
		team.Limit = 3
		w.change(a, config.Declared{Teams: map[string]winch.Team{"choir": team}}.Change())
		time.Sleep(12 * time.Second)
		w.mu.Lock()
		w.limits["choir"] = 3 // checked at every start from here on
		w.mu.Unlock()
		other, _ := w.submit(a, "guild", "mix", "j2", winch.Batch, 4, time.Second)
		is.Equal(w.await(a, "guild", other.ID, time.Minute).State, winch.JobDone)
		is.Equal(w.await(a, "choir", job.ID, 20*time.Minute).State, winch.JobDone)
	})
}

// Two domains are cut from each other and from the store in the middle of work.
// Each goes on with its jobs and calls; after the cut nothing has run twice.
func TestDomainsCutOff(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		for _, d := range []string{"d1", "d2"} {
			w.executor("e-"+d, d, 4)
			w.worker("w-"+d, d)
			w.entry("a-"+d, d)
			w.entry("b-"+d, d)
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
		w.cut(true, []string{"a-d1", "b-d1"}, []string{"a-d2", "b-d2"})
		a2.cutStore(true)
		w.entries["b-d2"].cutStore(true)
		for i := range 40 {
			time.Sleep(time.Second)
			for _, n := range []*node{a1, a2} {
				is.Equal(w.call(n, "choir", "preview", fmt.Sprint("c", i), "x").Outcome, winch.Done)
			}
		}
		time.Sleep(40 * time.Second) // longer than the team's CutOffTrust
		is.Equal(w.call(a1, "choir", "preview", "x", "x").Outcome, winch.Done)
		is.Equal(w.call(a2, "choir", "preview", "x", "x").Reason, winch.StoreUnavailable)
		w.cut(false, []string{"a-d1", "b-d1"}, []string{"a-d2", "b-d2"})
		a2.cutStore(false)
		w.entries["b-d2"].cutStore(false)
		time.Sleep(10 * time.Second)
		for _, id := range ids {
			is.Equal(w.await(a1, "choir", id, time.Minute).State, winch.JobDone)
		}
		for _, n := range w.startMap() {
			is.Equal(n, 1)
		}
	})
}

// A worker still holds the end of a task that a former placer started, when the
// new placer starts the task on it for the first time. The worker must not take
// the new start for the old one.
func TestNewPlacerSameWorker(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.worker("w1", "d1")
		w.entry("a", "d1")
		w.entry("b", "d1")
		w.settle()
		old := w.placer("d1")
		other := w.other(old)
		w.configure(other, 20, "choir")
		w.settle()
		job, r := w.submit(other, "choir", "mix", "j1", winch.Batch, 2, 30*time.Second)
		is.True(r.OK())
		time.Sleep(2 * time.Second)
		old.pause() // the leases of the tasks lapse while nobody renews them
		w.platform.Set(standDown)
		time.Sleep(20 * time.Second)
		w.platform.Set(stand.Faults{})
		old.kill()
		is.Equal(w.await(other, "choir", job.ID, 10*time.Minute).State, winch.JobDone)
	})
}

// The placer is cut from the store and its successor from one worker, which the
// old placer still reaches and goes on renewing. The successor must not take that
// worker's tasks for lapsed while the worker is on the platform's list.
func TestSuccessorCannotReachWorker(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		pair(w)
		old := w.placer("d1")
		other := w.other(old)
		job, r := w.submit(other, "choir", "mix", "j1", winch.Batch, 8, 2*time.Minute)
		is.True(r.OK())
		time.Sleep(2 * time.Second)
		busy, free := "w1", "w2"
		if w.workers["w2"].Counts().Running > 0 {
			busy, free = free, busy
		}
		is.Equal(w.workers[busy].Counts().Running, 8)
		w.cut(true, []string{other.Name()}, []string{busy})
		w.cut(true, []string{old.Name()}, []string{free}) // which would else depose it
		w.cut(true, []string{"a"}, []string{"b"})
		old.cutStore(true)
		time.Sleep(time.Minute)
		is.True(other.office.IsHolder())
		is.Equal(w.workers[busy].Counts().Running, 8) // the old placer keeps them alive
		w.cut(false, []string{other.Name()}, []string{busy})
		w.cut(false, []string{old.Name()}, []string{free})
		w.cut(false, []string{"a"}, []string{"b"})
		old.cutStore(false)
		is.Equal(w.await(other, "choir", job.ID, 10*time.Minute).State, winch.JobDone)
		is.Equal(old.office.IsHolder(), false)
	})
}

// A start is lost on its way for a while: its sender gives it up, and it arrives
// at the worker seconds later. By then the task must not run anywhere else.
func TestStartArrivesLate(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := pair(w)
		w.mu.Lock()
		w.lateStarts = 4
		w.mu.Unlock()
		job, r := w.submit(a, "choir", "mix", "j1", winch.Batch, 6, 20*time.Second)
		is.True(r.OK())
		billed, r := w.submit(a, "choir", "billed", "j2", winch.Batch, 2, 20*time.Second)
		is.True(r.OK())
		is.Equal(w.await(a, "choir", job.ID, 10*time.Minute).State, winch.JobDone)
		is.Equal(w.await(a, "choir", billed.ID, 10*time.Minute).State, winch.JobDone)
	})
}

// A key is withdrawn while one of its jobs runs and another waits. The waiting
// one ends as cancelled and never starts; the running one is left to its end.
func TestKeyWithdrawnEndsWaitingJobs(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := pair(w)
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
		v := w.await(b, "choir", waiting.ID, 5*time.Second)
		is.Equal(v.State, winch.JobCancelled)
		is.Equal(v.Reason, winch.KeyWithdrawn)
		is.Equal(w.await(b, "choir", running.ID, time.Minute).State, winch.JobDone)
		is.Equal(len(w.startMap()), 16)
	})
}

// An entry accepts a job for another failure domain and dies before it can tell
// the placer there. That placer took office while the store was slow. It finds
// the job by its watch of the store: the caller, who was told that the job is
// accepted, would else wait until something else changes.
func TestJobIsFoundWithoutAHint(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.worker("w1", "d1")
		a := w.entry("d1-0", "d1")
		b := w.entry("d2-0", "d2")
		w.settle()
		w.configure(a, 4, "choir")
		w.settle()
		c := w.entry("d1-1", "d1")
		w.settle()
		w.platform.Set(stand.Faults{Latency: 400 * time.Millisecond})
		a.kill()
		for w.placer("d1") != c {
			time.Sleep(50 * time.Millisecond)
		}
		w.platform.Set(stand.Faults{})
		w.settle()
		w.link("d1-1", "d2-0")
		w.settle()
		w.cut(true, []string{"d1-1"}, []string{"d2-0"})
		job, r := w.submit(b, "choir", "mix", "j", winch.Batch, 1, time.Second)
		is.True(r.OK())
		is.Equal(job.Domain, "d1")
		b.kill()
		is.Equal(w.await(c, "choir", job.ID, 10*time.Second).State, winch.JobDone)
	})
}

// The answer to an operator's change is lost, and the entry does not reach the
// store any more. The operator is told that the change may have been written, and
// does not wait for ever.
func TestChangeWithoutAnAnswerEnds(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a := w.entry("d1-0", "d1")
		w.settle()
		w.configure(a, 4, "choir")
		w.platform.Set(stand.Faults{Latency: 100 * time.Millisecond})
		a.loseReplies(100)
		var group conc.WaitGroup
		var r winch.Result
		group.Go(func() {
			d := config.Declared{Teams: map[string]winch.Team{"choir": {Name: "choir", Share: 1, Limit: 6}}}
			_, r = a.Change(context.Background(), operator, 0, d.Change())
		})
		time.Sleep(250 * time.Millisecond) // The write is under way.
		a.cutStore(true)
		group.Wait()
		is.Equal(r.Outcome, winch.Unknown)
	})
}
