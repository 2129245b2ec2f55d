package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/platform/fake"
	"plantainwinch/winch"
)

const (
	// overloadWeight is the weight of the team that overloads the region; the others have 100.
	overloadWeight = 20
	// overloadInterval is the time between two of its jobs while it does, overloadLength how long it
	// does so at a time.
	overloadInterval = 100 * time.Millisecond
	overloadLength   = 2500 * time.Millisecond
)

// order returns the order of waiting work that the entries use. Seeds take turns.
func (s *Soak) order() winch.Order {
	orders := winch.Orders()
	return orders[s.Seed%uint64(len(orders))]
}

// runOverload submits more work of one team than the region can do, for some seconds at a time until
// activeCtx ends, and then waits for the end of each job. The estimates are widely off.
func (s *Soak) runOverload(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 5000))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	n := 0
	for activeCtx.Err() == nil {
		duty.Sleep(activeCtx, time.Duration(1+rnd.IntN(8))*time.Second)
		for end := time.Now().Add(overloadLength); activeCtx.Err() == nil && time.Now().Before(end); n++ {
			runDuration := time.Duration(200+rnd.IntN(900)) * time.Millisecond
			j := fake.Job{
				ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x6000, n), Team: "echo", RunDuration: runDuration,
				Estimate: max(time.Millisecond, time.Duration(float64(runDuration)*math.Exp(0.9*rnd.NormFloat64()))),
				Tasks:    []int{4 + rnd.IntN(24)},
			}
			entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
			group.Go(func() { s.runJob(ctx, c, j, entryRnd, false) })
			duty.Sleep(activeCtx, overloadInterval)
		}
	}
}
