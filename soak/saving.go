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

// meanSavingInterval is the mean time between two batch jobs of long tasks that save their progress.
const meanSavingInterval = 5 * time.Second

// runSavingJobs submits batch jobs of long tasks that save their progress until activeCtx ends, and
// then waits for the end of each. In half of the seeds, and without Returns in all, each takes all capacity that is free, so that urgent jobs evict some
// of the tasks. In the others, each takes a quarter, so that workers and tasks seldom wait for each other.
func (s *Soak) runSavingJobs(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 11))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	tasks := s.Domains * s.Workers * workerMilli / 1000
	if s.Returns && rand.New(rand.NewPCG(s.Seed, 17)).IntN(2) == 0 {
		tasks /= 4
	}
	for n := 0; activeCtx.Err() == nil; n++ {
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x5000, n), Team: "choir", Saves: true,
			RunDuration: time.Duration(3000+rnd.IntN(3000)) * time.Millisecond, Tasks: []int{tasks},
		}
		entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() { s.runJob(ctx, c, j, entryRnd, false) })
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanSavingInterval))))
	}
}
