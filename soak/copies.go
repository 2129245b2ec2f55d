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

// meanCopiedInterval is the mean time between two jobs of one caller whose last phase permits copies.
const meanCopiedInterval = 1500 * time.Millisecond

// runCopiedJobs submits jobs whose last phase permits copies until activeCtx ends, and then waits for the end of
// each. On average one of eight is cancelled.
func (s *Soak) runCopiedJobs(ctx, activeCtx context.Context, i int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(2000+i)))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; activeCtx.Err() == nil; n++ {
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x4000+i, n), Team: "choir",
			RunDuration: time.Duration(600+rnd.IntN(900)) * time.Millisecond, Tasks: []int{1, 4 + rnd.IntN(3)}, Copies: true,
		}
		cancels := rnd.IntN(8) == 0
		entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() { s.runJob(ctx, c, j, entryRnd, cancels) })
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanCopiedInterval))))
	}
}
