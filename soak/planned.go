package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"plantainwinch/duty"
)

const (
	// stopEvery is the time between two entries of a series of planned stops, and
	// mostStops bounds a series.
	stopEvery = 2 * time.Second
	mostStops = 6
	// replaceEvery is the time between two workers of a release.
	replaceEvery = 700 * time.Millisecond
	// leaveTime is the least time from a worker's word that it drains until it is
	// gone; twice that is the most.
	leaveTime = 3 * time.Second
	// expireTime is how long the entry of a worker that crashed stays.
	expireTime = 1500 * time.Millisecond
	// settledTime is how long the region has after the last planned work, so that a
	// lasting task that it took down must be back.
	settledTime = 10 * time.Second
)

// workers replaces and loses single workers beside the other faults.
func (s *Soak) workers(ctx, calls context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 2))
	for {
		duty.Sleep(calls, time.Duration(500+rnd.IntN(3000))*time.Millisecond)
		if calls.Err() != nil {
			return
		}
		i, lost, after := rnd.IntN(s.site.Size()), rnd.IntN(3) == 0, leaveIn(rnd)
		s.group.Go(func() {
			if lost {
				s.lose(ctx, i)
			} else {
				s.replace(ctx, i, after)
			}
		})
	}
}

// planned brings about what operators do: entries are stopped and started again in
// series, and workers are replaced in series, all at once. A worker that is lost
// at the beginning is the only disturbance.
func (s *Soak) planned(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 3))
	lost := rnd.IntN(s.site.Size())
	s.group.Go(func() { s.lose(ctx, lost) })
	first, at := rnd.IntN(len(s.procs)), rnd.Perm(s.site.Size())
	s.group.Go(func() {
		for i := range min(len(s.procs), mostStops) {
			p := s.procs[(first+i)%len(s.procs)]
			s.note("planned stop %s", p.name)
			s.group.Go(func() {
				s.site.Checker.RecordPlannedWork(true)
				defer s.site.Checker.RecordPlannedWork(false)
				p.end(syscall.SIGTERM)
				s.restart(p)
			})
			duty.Sleep(ctx, stopEvery)
		}
	})
	s.group.Go(func() {
		for _, i := range at[:len(at)*2/3] {
			after := leaveIn(rnd)
			s.group.Go(func() { s.replace(ctx, i, after) })
			duty.Sleep(ctx, replaceEvery)
		}
	})
}

func leaveIn(rnd *rand.Rand) time.Duration {
	return leaveTime + time.Duration(rnd.Int64N(int64(leaveTime)))
}

func (s *Soak) replace(ctx context.Context, i int, after time.Duration) {
	s.note("worker %d drains for %v", i, after)
	s.site.Checker.RecordPlannedWork(true)
	defer s.site.Checker.RecordPlannedWork(false)
	leave, err := s.site.Replace(i)
	if err != nil {
		s.problem("the stand-in has no new worker: %v", err)
		return
	}
	duty.Sleep(ctx, after)
	s.note("worker %d leaves", i)
	leave()
}

func (s *Soak) lose(ctx context.Context, i int) {
	s.note("worker %d is lost", i)
	s.site.Checker.RecordDisturbance(true)
	expire, err := s.site.Lose(i)
	s.site.Checker.RecordDisturbance(false)
	if err != nil {
		s.problem("the stand-in has no new worker: %v", err)
		return
	}
	duty.Sleep(ctx, expireTime)
	expire()
}
