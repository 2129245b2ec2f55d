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
	// crashPause is the mean pause between two jobs that crash their workers, shrinkPause
	// that between two workers that have less room.
	crashPause  = 6 * time.Second
	shrinkPause = 4 * time.Second
)

// crashing hands in jobs whose tasks crash the workers that start them, at once or some
// seconds later, until the calls are over. Each must be given up.
func (s *Soak) crashing(ctx, calls context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 4))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; calls.Err() == nil; n++ {
		duty.Sleep(calls, time.Duration(rnd.Int64N(int64(2*crashPause))))
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x3000, n), Team: []string{"choir", "duct"}[rnd.IntN(2)],
			RunDuration: time.Second, Tasks: []int{1 + rnd.IntN(2)}, Crashes: true,
		}
		if rnd.IntN(2) == 0 {
			j.CrashDelay = time.Duration(rnd.IntN(2500)) * time.Millisecond
		}
		pick := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() {
			at := func() string { return s.procs[pick.IntN(len(s.procs))].callers }
			if accepted, _ := s.submit(ctx, c, j, at); accepted {
				s.count(func(r *Report) { r.Accepted++ })
				s.awaitFailed(ctx, c, j, at)
			}
		})
	}
}

// awaitFailed asks until a job is shown as failed.
func (s *Soak) awaitFailed(ctx context.Context, c *fake.Caller, j fake.Job, at func() string) {
	status, state := 0, ""
	for end := time.Now().Add(s.Time + healTime); time.Now().Before(end) && ctx.Err() == nil; {
		if status, state = c.State(ctx, at(), j); state == "failed" {
			s.count(func(r *Report) { r.GivenUp, r.Crashed = r.GivenUp+1, r.Crashed+s.site.Checker.CrashCount(j.ID) })
			return
		}
		duty.Sleep(ctx, 200*time.Millisecond)
	}
	s.problem("%s crashed %d workers and is not given up: last answer %d %q", j.ID, s.site.Checker.CrashCount(j.ID), status, state)
}

// shrinks has single workers say that they have less room for a while.
func (s *Soak) shrinks(ctx, calls context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 5))
	for {
		duty.Sleep(calls, time.Duration(rnd.Int64N(int64(2*shrinkPause))))
		if calls.Err() != nil {
			return
		}
		i, milli := rnd.IntN(s.site.Size()), int64(1000*rnd.IntN(6))
		long := time.Duration(1000+rnd.IntN(8000)) * time.Millisecond
		s.note("worker %d has room for %d for %v", i, milli, long)
		s.site.SetCapacity(i, milli)
		s.group.Go(func() {
			duty.Sleep(ctx, long)
			s.site.SetCapacity(i, s.site.Milli)
		})
	}
}
