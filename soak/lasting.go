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

// lasting hands in one job after the other whose last phase runs until it is
// cancelled. Two of three are cancelled while faults go on; the last is followed
// until no more work is planned, must run whole then, and is cancelled.
func (s *Soak) lasting(ctx, calls, planned context.Context, i int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(500+i)))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	at := func() string { return s.procs[rnd.IntN(len(s.procs))].callers }
	var group conc.WaitGroup
	defer group.Wait()
	for n, last := 0, false; !last; n++ {
		// The second team's limit is for the most part left to other jobs.
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x1000+i, n), Team: []string{"choir", "duct"}[i%2],
			RunDuration: 100 * time.Millisecond, Tasks: []int{1 + rnd.IntN(2)}, Lasting: true,
		}
		if i%2 == 0 {
			j.Tasks[0] = 4 + rnd.IntN(5)
		}
		if rnd.IntN(2) == 0 {
			j.Tasks = append([]int{1}, j.Tasks...)
		}
		last = rnd.IntN(3) == 0 || calls.Err() != nil
		if !s.insist(ctx, c, j, at) {
			return
		}
		s.site.Checker.ExpectLasting(&j)
		if last {
			duty.Sleep(planned, s.Time+healTime)
			s.awaitRunning(ctx, &j)
		} else {
			duty.Sleep(calls, time.Duration(1000+rnd.IntN(9000))*time.Millisecond)
		}
		pick := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() {
			s.cancel(ctx, c, j, func() string { return s.procs[pick.IntN(len(s.procs))].callers })
			if last && s.site.Checker.RunningLasting(&j) > 0 { // Nothing is planned any more.
				s.problem("%s still runs %v after its cancel was acknowledged", j.ID, 2*cancelTime)
			}
		})
	}
}

// insist hands a job in until it is accepted.
func (s *Soak) insist(ctx context.Context, c *fake.Caller, j fake.Job, at func() string) bool {
	for end := time.Now().Add(s.Time + healTime); time.Now().Before(end) && ctx.Err() == nil; {
		if accepted, _ := s.submit(ctx, c, j, at); accepted {
			s.count(func(r *Report) { r.Accepted++ })
			return true
		}
	}
	s.problem("%s is not accepted", j.ID)
	return false
}

// awaitRunning waits until each lasting task of a job has a run.
func (s *Soak) awaitRunning(ctx context.Context, j *fake.Job) {
	want := len(j.LastingTasks())
	got := 0
	for end := time.Now().Add(healTime); time.Now().Before(end) && ctx.Err() == nil; {
		if got = s.site.Checker.RunningLasting(j); got == want {
			s.count(func(r *Report) { r.Lasting += want })
			return
		}
		duty.Sleep(ctx, 200*time.Millisecond)
	}
	s.problem("%s has runs for %d of its %d lasting tasks", j.ID, got, want)
}
