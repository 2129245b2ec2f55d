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
	// gangPause is the mean pause of one caller between two jobs with gangs.
	gangPause = 1500 * time.Millisecond
	// gangsTime is how long callers hand gangs in once nothing is planned any more,
	// and the gangs have to begin.
	gangsTime = 7 * time.Second
)

// gangs hands in jobs whose last phase is a gang until the calls are over, and
// then sees each to its end. One of six is cancelled.
func (s *Soak) gangs(ctx, calls context.Context, i, part int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(1000+100*part+i)))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; calls.Err() == nil; n++ {
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x2000+0x100*part+i, n), Team: []string{"choir", "duct"}[i%2],
			RunDuration: time.Duration(50+rnd.IntN(900)) * time.Millisecond, Tasks: []int{2 + rnd.IntN(2)}, Gang: true,
		}
		if i%2 == 0 {
			j.Tasks[0] = 2 + rnd.IntN(9)
		}
		if rnd.IntN(3) == 0 {
			j.Tasks = append([]int{1}, j.Tasks...)
		}
		cancels := rnd.IntN(6) == 0
		pick := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() { s.job(ctx, c, j, pick, cancels) })
		duty.Sleep(calls, time.Duration(rnd.Int64N(int64(2*gangPause))))
	}
}

// quiet has gangs come while nothing goes on but what excuses no member that
// waits in vain: a change of the configuration, and cancels.
func (s *Soak) quiet(ctx context.Context, callers *conc.WaitGroup) {
	s.note("configuration")
	s.site.Configure()
	calls, stop := context.WithTimeout(ctx, gangsTime/2)
	defer stop()
	for i := range s.Callers {
		callers.Go(func() { s.gangs(ctx, calls, i, 1) })
	}
	duty.Sleep(ctx, gangsTime)
}
