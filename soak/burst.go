package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/platform/fake"
)

const (
	// meanBurstInterval is the mean time between two series of bursts.
	meanBurstInterval = 2 * time.Second
	// officeKey is the key of the store whose value names the planner.
	officeKey = "cell/office"
	// maxOfficeTime is how long a series of lost planners waits for the next one.
	maxOfficeTime = 4 * time.Second
)

// runBursts submits bursts of jobs with short tasks, in series of two or three, until activeCtx ends, and then
// waits for the end of each job. Two of three bursts are followed by a wave of cancellations. In every second
// series, the planner is killed soon after each burst began.
func (s *Soak) runBursts(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 13))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; activeCtx.Err() == nil; {
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanBurstInterval))))
		losesPlanner := rnd.IntN(2) == 0
		for range 2 + rnd.IntN(2) {
			if activeCtx.Err() != nil {
				return
			}
			wave, waveAt := rnd.IntN(3) > 0, time.Now().Add(time.Duration(100+rnd.IntN(1500))*time.Millisecond)
			for range 6 + rnd.IntN(8) {
				n++
				j := fake.Job{
					ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x7000, n), Team: "choir",
					RunDuration: time.Duration(20+rnd.IntN(400)) * time.Millisecond, Tasks: []int{1 + rnd.IntN(4), 1 + rnd.IntN(3)},
				}
				cancels := wave && rnd.IntN(2) == 0
				entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
				group.Go(func() { s.runJobInWave(ctx, c, j, entryRnd, cancels, waveAt) })
			}
			duty.Sleep(activeCtx, time.Duration(rnd.IntN(400))*time.Millisecond)
			if losesPlanner && activeCtx.Err() == nil {
				s.losePlanner(ctx, time.Duration(20+rnd.IntN(1500))*time.Millisecond)
			}
			duty.Sleep(activeCtx, time.Duration(rnd.IntN(800))*time.Millisecond)
		}
	}
}

// holderPattern captures the entry's name in the record of the office.
var holderPattern = regexp.MustCompile(`(e[0-9]+)/`)

// planner returns the entry that is planner by the store, and the record that says so, or nil.
func (s *Soak) planner() (*proc, string) {
	record := string(s.platform.Store.Value(officeKey))
	if m := holderPattern.FindStringSubmatch(record); m != nil {
		for _, p := range s.procs {
			if p.name == m[1] {
				return p, record
			}
		}
	}
	return nil, record
}

// losePlanner kills the planner, starts it again after some downtime and waits for the next planner.
func (s *Soak) losePlanner(ctx context.Context, downtime time.Duration) {
	p, record := s.planner()
	if p == nil {
		return
	}
	s.logFault("kill planner %s for %v", p.name, downtime)
	s.platform.Checker.RecordDisturbance(true)
	p.stop(syscall.SIGKILL)
	s.group.Go(func() {
		defer s.platform.Checker.RecordDisturbance(false)
		duty.Sleep(ctx, downtime)
		s.restart(p)
	})
	for deadline := time.Now().Add(maxOfficeTime); time.Now().Before(deadline) && ctx.Err() == nil; duty.Sleep(ctx, 10*time.Millisecond) {
		if next, current := s.planner(); next != nil && current != record {
			return
		}
	}
}
