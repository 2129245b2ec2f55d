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

// runLastingJobs submits jobs, one after the other, whose last phase consists of lasting
// tasks. On average two of three are cancelled while faults are being injected. The final
// one is kept until plannedCtx ends; all of its lasting tasks must run then, and it is
// cancelled too.
func (s *Soak) runLastingJobs(ctx, activeCtx, plannedCtx context.Context, i int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(500+i)))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	pickEntry := func() string { return s.procs[rnd.IntN(len(s.procs))].callersAddress }
	var group conc.WaitGroup
	defer group.Wait()
	for n, last := 0, false; !last; n++ {
		// Jobs of the second team stay small to leave most of its limit to other jobs.
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x1000+i, n), Team: []string{"choir", "duct"}[i%2],
			RunDuration: 100 * time.Millisecond, Tasks: []int{1 + rnd.IntN(2)}, Lasting: true,
		}
		if i%2 == 0 {
			j.Tasks[0] = 4 + rnd.IntN(5)
			if s.Lasting > 0 {
				j.Tasks[0] = s.Lasting
			}
		}
		if rnd.IntN(2) == 0 {
			j.Tasks = append([]int{1}, j.Tasks...)
		}
		last = rnd.IntN(3) == 0 || activeCtx.Err() != nil
		if !s.submitUntilAccepted(ctx, c, j, pickEntry) {
			return
		}
		s.platform.Checker.ExpectLasting(&j)
		if last {
			duty.Sleep(plannedCtx, s.Duration+recoveryTime)
			s.awaitRunning(ctx, &j)
		} else {
			duty.Sleep(activeCtx, time.Duration(1000+rnd.IntN(9000))*time.Millisecond)
		}
		entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() {
			s.cancelJob(ctx, c, j, func() string { return s.procs[entryRnd.IntN(len(s.procs))].callersAddress })
			if last && s.platform.Checker.RunningLasting(&j) > 0 { // All planned operations are over, so none delays the cancellation.
				s.addProblem("job %s still runs %v after its cancellation was acknowledged", j.ID, 2*cancelGrace)
			}
		})
	}
}

// submitUntilAccepted submits a job until it is accepted, the deadline has passed or ctx
// ends, and reports whether it was accepted.
func (s *Soak) submitUntilAccepted(ctx context.Context, c *fake.Caller, j fake.Job, pickEntry func() string) bool {
	for deadline := time.Now().Add(s.Duration + recoveryTime); time.Now().Before(deadline) && ctx.Err() == nil; {
		if accepted, _ := s.submit(ctx, c, j, pickEntry); accepted {
			s.updateReport(func(r *Report) { r.Accepted++ })
			return true
		}
	}
	s.addProblem("job %s was not accepted before the deadline", j.ID)
	return false
}

// awaitRunning waits until each lasting task of a job has a run, and reports a problem if
// that does not happen within recoveryTime.
func (s *Soak) awaitRunning(ctx context.Context, j *fake.Job) {
	want := len(j.LastingTasks())
	got := 0
	for deadline := time.Now().Add(recoveryTime); time.Now().Before(deadline) && ctx.Err() == nil; {
		if got = s.platform.Checker.RunningLasting(j); got == want {
			s.updateReport(func(r *Report) { r.Lasting += want })
			return
		}
		duty.Sleep(ctx, 200*time.Millisecond)
	}
	s.addProblem("job %s has runs for %d of its %d lasting tasks", j.ID, got, want)
}
