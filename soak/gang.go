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
	// meanGangInterval is the mean time between two gang jobs of one caller.
	meanGangInterval = 1500 * time.Millisecond
	// finalGangsTime is the length of the last part of a run, when all planned operations are
	// over. Callers submit gangs during its first half, and all of these have to begin.
	finalGangsTime = 7 * time.Second
)

// runGangJobs submits jobs whose last phase is a gang until activeCtx ends, and then waits for
// the end of each. On average one of six is cancelled. The round makes the job IDs and random
// choices of two calls for the same caller differ.
func (s *Soak) runGangJobs(ctx, activeCtx context.Context, i, round int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(1000+100*round+i)))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; activeCtx.Err() == nil; n++ {
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x2000+0x100*round+i, n), Team: []string{"choir", "duct"}[i%2],
			RunDuration: time.Duration(50+rnd.IntN(900)) * time.Millisecond, Tasks: []int{2 + rnd.IntN(2)}, Gang: true,
		}
		if i%2 == 0 {
			j.Tasks[0] = 2 + rnd.IntN(9)
		}
		if rnd.IntN(3) == 0 {
			j.Tasks = append([]int{1}, j.Tasks...)
		}
		cancels := rnd.IntN(6) == 0
		entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() { s.runJob(ctx, c, j, entryRnd, cancels) })
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanGangInterval))))
	}
}

// runFinalGangs has callers submit gangs while the only other events are a configuration
// change and cancellations. Neither excuses a gang member that times out waiting for the others.
func (s *Soak) runFinalGangs(ctx context.Context, callers *conc.WaitGroup) {
	s.logFault("configuration")
	s.platform.Configure()
	activeCtx, stop := context.WithTimeout(ctx, finalGangsTime/2)
	defer stop()
	for i := range s.Callers {
		callers.Go(func() { s.runGangJobs(ctx, activeCtx, i, 1) })
	}
	duty.Sleep(ctx, finalGangsTime)
}
