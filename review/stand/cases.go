package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"plantainwinch/platform/fake"
)

const (
	// maxAttempts is max-attempts of each route.
	maxAttempts = 4
	// configBound is config-ms, finishBound finish_s, and idleBound for how long a job may have nothing running after
	// that while a task's turn has come.
	configBound = 2 * time.Second
	finishBound = 14 * time.Second
	idleBound   = 3 * time.Second
)

// newJob returns a job of equal phases, one after the other.
func newJob(runTime time.Duration, tasks ...int) fake.Job {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return fake.Job{ID: hex.EncodeToString(id), Team: team, RunDuration: runTime, Tasks: tasks}
}

func ended(_ int, ends []string) bool { return slices.Contains(ends, "done") }

func running(n int, _ []string) bool { return n > 0 }

// removedRoute removes a route whose job has begun and has a second phase to go, and kills the planner.
func removedRoute(ctx context.Context, s *site, trouble bool) (int, error) {
	const width = 4
	job := newJob(5*time.Second, width, width)
	if err := s.submit(ctx, job); err != nil {
		return exitNoResult, err
	}
	if err := s.await(ctx, 5*time.Second, "the first phase runs", func() bool { return s.count(job.ID, running) == width }); err != nil {
		return exitNoResult, err
	}
	s.configure("batch")
	time.Sleep(configBound)
	if trouble {
		if err := s.kill(s.currentPlanner()); err != nil {
			return exitNoResult, err
		}
	}
	if err := s.await(ctx, 15*time.Second, "the first phase is done", func() bool { return s.count(job.ID, ended) >= width }); err != nil {
		return exitNoResult, err
	}
	phaseDone := time.Now()
	for ctx.Err() == nil {
		s.mu.Lock()
		idle := time.Since(s.lastSeen[job.ID])
		s.mu.Unlock()
		n := s.count(job.ID, ended)
		switch {
		case n == 2*width:
			s.log("LOST held: all %d tasks of the job are done", n)
			return exitHeld, nil
		case s.count(job.ID, running) == 0 && idle > idleBound && time.Since(phaseDone) > finishBound+idleBound:
			s.log("LOST broken: of the accepted job %s, which nobody has cancelled, %d of %d tasks are done and nothing has run for %.1f s, with all workers free",
				job.ID, n, 2*width, idle.Seconds())
			s.afterwards(ctx, job, 2*width)
			return exitBroken, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return exitNoResult, ctx.Err()
}

// afterwards records, for the diagnosis only, what happens once the operator adds the route again.
func (s *site) afterwards(ctx context.Context, job fake.Job, tasks int) {
	s.log("for the diagnosis, after the verdict: the route is added again")
	s.configure("jobs", "batch")
	time.Sleep(configBound)
	s.state(ctx, job)
	_ = s.await(ctx, 15*time.Second, "all tasks of the job are done after all", func() bool { return s.count(job.ID, ended) == tasks })
}

// Crashes of the case innocentCrashes: one of the workers at a time, each in its turn.
const (
	crashes      = 40
	crashPause   = 1500 * time.Millisecond
	crashedFor   = 700 * time.Millisecond
	submitPause  = 1500 * time.Millisecond
	crashRunTime = 8 * time.Second
)

// innocentCrashes has workers crash in turn while jobs run none of whose tasks ever fails.
func innocentCrashes(ctx context.Context, s *site, trouble bool) (int, error) {
	playCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if trouble {
		s.group.Go(func() { s.crashInTurn(playCtx) })
	}
	var jobs []fake.Job
	end := time.Now().Add(crashes * crashPause)
	for next := time.Now(); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().Before(next) {
			continue
		}
		next = next.Add(submitPause)
		job := newJob(crashRunTime, 6)
		if err := s.submit(ctx, job); err != nil {
			return exitNoResult, err
		}
		jobs = append(jobs, job)
		if code := s.judgeStates(ctx, &jobs); code == exitBroken {
			return code, nil
		}
	}
	cancel()
	for deadline := time.Now().Add(finishBound + 10*time.Second); len(jobs) > 0 && time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if code := s.judgeStates(ctx, &jobs); code == exitBroken {
			return code, nil
		}
	}
	s.log("LOST held: no job is shown as failed; %d are not completed yet", len(jobs))
	if len(jobs) > 0 && !trouble {
		return exitNoResult, fmt.Errorf("%d jobs have not ended", len(jobs))
	}
	return exitHeld, nil
}

// crashInTurn has one worker after the other crash, and boot again.
func (s *site) crashInTurn(ctx context.Context) {
	for i := range crashes {
		w := s.workers[i%len(s.workers)]
		s.crash(w)
		time.Sleep(crashedFor)
		if err := s.boot(w); err != nil {
			s.log("worker %s does not boot: %v", w.id, err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(crashPause - crashedFor):
		}
	}
}

// judgeStates asks for the states of jobs, and drops those that are shown as completed.
func (s *site) judgeStates(ctx context.Context, jobs *[]fake.Job) int {
	code := exitHeld
	*jobs = slices.DeleteFunc(*jobs, func(job fake.Job) bool {
		switch s.state(ctx, job) {
		case "completed":
			return true
		case "failed":
			failed := s.count(job.ID, func(_ int, ends []string) bool {
				n := 0
				for _, how := range ends {
					if how == "failed" {
						n++
					}
				}
				return n >= maxAttempts
			})
			if failed == 0 {
				s.log("LOST broken: job %s is shown as failed, and no task of it has ended `failed` %d times (ends: %v)", job.ID, maxAttempts, s.endsOf(job.ID))
				code = exitBroken
			}
		}
		return false
	})
	return code
}

// endsOf returns how the runs of a job's tasks have ended.
func (s *site) endsOf(job string) map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]string)
	for task, ends := range s.ends {
		if jobOf(task) == job {
			out[task] = slices.Clone(ends)
		}
	}
	return out
}
