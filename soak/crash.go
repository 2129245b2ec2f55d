package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/platform/fake"
)

const (
	// meanCrashInterval is the mean time between two jobs that crash their workers, and
	// meanShrinkInterval is the mean time between two reductions of a worker's capacity.
	meanCrashInterval  = 6 * time.Second
	meanShrinkInterval = 4 * time.Second
)

// runCrashingJobs submits jobs whose tasks crash the workers that start them, at once or
// within a few seconds, until activeCtx ends. The region must fail each of these jobs instead of
// restarting its tasks forever.
func (s *Soak) runCrashingJobs(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 7))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; activeCtx.Err() == nil; n++ {
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanCrashInterval))))
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x3000, n), Team: []string{"choir", "duct"}[rnd.IntN(2)],
			RunDuration: time.Second, Tasks: []int{1 + rnd.IntN(2)}, Crashes: true,
		}
		if rnd.IntN(2) == 0 {
			j.CrashDelay = time.Duration(rnd.IntN(2500)) * time.Millisecond
		}
		entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() {
			pickEntry := func() string { return s.procs[entryRnd.IntN(len(s.procs))].callersAddress }
			if accepted, _ := s.submit(ctx, c, j, pickEntry); accepted {
				s.updateReport(func(r *Report) { r.Accepted++ })
				s.awaitFailed(ctx, c, j, pickEntry)
			}
		})
	}
}

// awaitFailed polls the job's state until it is reported as failed.
func (s *Soak) awaitFailed(ctx context.Context, c *fake.Caller, j fake.Job, pickEntry func() string) {
	status, state := 0, ""
	for deadline := time.Now().Add(s.Duration + recoveryTime); time.Now().Before(deadline) && ctx.Err() == nil; {
		if status, state = c.State(ctx, pickEntry(), j); state == "failed" {
			crashed := s.platform.Checker.CrashCount(j.ID) // Not under the report's lock, which the checker acquires under its own.
			s.updateReport(func(r *Report) { r.GivenUp, r.Crashed = r.GivenUp+1, r.Crashed+crashed })
			return
		}
		duty.Sleep(ctx, 200*time.Millisecond)
	}
	s.addProblem("job %s crashed %d workers and was not given up: last response %d %q", j.ID, s.platform.Checker.CrashCount(j.ID), status, state)
}

// shrinkWorkers has single workers report a reduced capacity for a while, until activeCtx ends.
func (s *Soak) shrinkWorkers(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 5))
	for {
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanShrinkInterval))))
		if activeCtx.Err() != nil {
			return
		}
		i, milli := rnd.IntN(s.platform.Size()), int64(1000*rnd.IntN(6))
		duration := time.Duration(1000+rnd.IntN(8000)) * time.Millisecond
		s.logFault("worker %d reports a capacity of %d thousandths of a processor for %v", i, milli, duration)
		s.platform.SetCapacity(i, milli)
		s.group.Go(func() {
			duty.Sleep(ctx, duration)
			s.platform.SetCapacity(i, s.platform.Milli)
		})
	}
}
