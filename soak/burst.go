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
	meanBurstInterval = 5 * time.Second
	// officeKey is the key of the store whose value names the planner.
	officeKey = "cell/office"
	// maxOfficeTime is how long a series of lost planners waits for the next one.
	maxOfficeTime = 4 * time.Second
)

// runBursts submits bursts of jobs with short tasks, in series of two or three, until activeCtx ends, and then
// waits for the end of each job. Two of three bursts are followed by a wave of cancellations. In half of the
// series, the planner is lost during each burst.
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
			lossRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
			var loss conc.WaitGroup
			if losesPlanner {
				loss.Go(func() { s.losePlanner(ctx, lossRnd) })
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
				duty.Sleep(activeCtx, time.Duration(rnd.IntN(80))*time.Millisecond)
			}
			loss.Wait()
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

// losePlanner makes the region lose its planner, half the time while the store responds late, and waits for the
// next planner. The loss is reverted after some time.
func (s *Soak) losePlanner(ctx context.Context, rnd *rand.Rand) {
	duty.Sleep(ctx, time.Duration(rnd.IntN(500))*time.Millisecond)
	p, record := s.planner()
	if p == nil {
		return
	}
	duration := time.Duration(20+rnd.IntN(2500)) * time.Millisecond
	k := []faultKind{
		{"kill", func() { p.stop(syscall.SIGKILL) }, func() { s.restart(p) }, duration},
		{"stop", func() { p.stop(syscall.SIGTERM) }, func() { s.restart(p) }, duration},
		{"freeze", func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }, duration},
		{"silent", func() { p.storeRelay.cut(lossy, 1, requests, responses) }, func() { p.storeRelay.cut(lossy, -1, requests, responses) }, duration},
	}[rnd.IntN(4)]
	var late fake.StoreFaults
	if rnd.IntN(2) == 0 {
		late.ResponseDelay = time.Duration(50+rnd.IntN(600)) * time.Millisecond
	}
	s.logFault("%s planner %s for %v, store responds late by %v", k.name, p.name, duration, late.ResponseDelay)
	s.group.Go(func() {
		s.platform.Checker.RecordDisturbance(true)
		defer s.platform.Checker.RecordDisturbance(false)
		if late.ResponseDelay > 0 {
			s.platform.Store.SetFaults(late)
			defer s.clearStoreFaults()
		}
		k.inject()
		duty.Sleep(ctx, duration)
		k.revert()
	})
	for deadline := time.Now().Add(maxOfficeTime); time.Now().Before(deadline) && ctx.Err() == nil; duty.Sleep(ctx, 10*time.Millisecond) {
		if next, current := s.planner(); next != nil && current != record {
			return
		}
	}
}
