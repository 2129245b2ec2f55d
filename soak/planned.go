package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"plantainwinch/duty"
)

const (
	// stopInterval is the time between two entries of a series of planned stops, and
	// maxStops bounds the number of stops in a series.
	stopInterval = 2 * time.Second
	maxStops     = 6
	// replaceInterval is the time between two workers that a rolling release replaces.
	replaceInterval = 700 * time.Millisecond
	// minDrainTime is the minimum time from when a worker reports that it is draining until
	// it is removed from the platform's list. The maximum is twice that.
	minDrainTime = 3 * time.Second
	// crashedRecordTime is how long the platform's list still contains a crashed worker.
	crashedRecordTime = 1500 * time.Millisecond
	// lastingRestartTime is the time within which a lasting task that a planned operation has
	// interrupted must run again, counted from the end of the last planned operation.
	lastingRestartTime = 10 * time.Second
)

// disruptWorkers replaces and crashes single workers at random times, besides the other
// faults, until activeCtx ends.
func (s *Soak) disruptWorkers(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 2))
	for {
		duty.Sleep(activeCtx, time.Duration(500+rnd.IntN(3000))*time.Millisecond)
		if activeCtx.Err() != nil {
			return
		}
		i, lost, after := rnd.IntN(s.platform.Size()), rnd.IntN(3) == 0, drainTime(rnd)
		s.group.Go(func() {
			if lost {
				s.crashWorker(ctx, i)
			} else {
				s.replaceWorker(ctx, i, after)
			}
		})
	}
}

// startPlannedOperations starts the operations that operators plan: the entries are restarted
// one after the other while, at the same time, the workers are replaced one after the other and a
// failure domain is evacuated.
// The crash of one worker at the beginning is the only unplanned disturbance.
func (s *Soak) startPlannedOperations(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 3))
	lost := rnd.IntN(s.platform.Size())
	s.group.Go(func() { s.crashWorker(ctx, lost) })
	s.group.Go(func() { s.evacuate(ctx, s.platform.Domains[lost%len(s.platform.Domains)], plannedEvacuationTime) })
	first, order := rnd.IntN(len(s.procs)), rnd.Perm(s.platform.Size())
	s.group.Go(func() {
		for i := range min(len(s.procs), maxStops) {
			p := s.procs[(first+i)%len(s.procs)]
			s.logFault("planned stop %s", p.name)
			stallRnd := rand.New(rand.NewPCG(s.Seed, uint64(2000+i)))
			if stallRnd.IntN(2) == 0 {
				s.group.Go(func() { s.stallWhileStopping(ctx, p, stallRnd) })
			}
			s.group.Go(func() {
				s.platform.Checker.RecordPlannedWork(true)
				defer s.platform.Checker.RecordPlannedWork(false)
				p.stop(syscall.SIGTERM)
				s.restart(p)
			})
			duty.Sleep(ctx, stopInterval)
		}
	})
	s.group.Go(func() {
		for _, i := range order[:len(order)*2/3] {
			after := drainTime(rnd)
			s.group.Go(func() { s.replaceWorker(ctx, i, after) })
			duty.Sleep(ctx, replaceInterval)
		}
	})
}

// drainTime returns a random time between minDrainTime and twice that.
func drainTime(rnd *rand.Rand) time.Duration {
	return minDrainTime + time.Duration(rnd.Int64N(int64(minDrainTime)))
}

// replaceWorker replaces a worker as planned: the worker drains while its successor runs, and
// is removed after the given time.
func (s *Soak) replaceWorker(ctx context.Context, i int, after time.Duration) {
	s.logFault("worker %d drains for %v", i, after)
	s.platform.Checker.RecordPlannedWork(true)
	defer s.platform.Checker.RecordPlannedWork(false)
	leave, err := s.platform.Replace(i)
	if err != nil {
		s.addProblem("platform stand-in could not start a replacement worker: %v", err)
		return
	}
	duty.Sleep(ctx, after)
	s.logFault("worker %d leaves", i)
	leave()
}

// crashWorker crashes a worker without notice and starts its successor. The platform's list
// contains the crashed worker for crashedRecordTime.
func (s *Soak) crashWorker(ctx context.Context, i int) {
	s.logFault("worker %d is lost", i)
	s.platform.Checker.RecordDisturbance(true)
	expire, err := s.platform.Lose(i)
	s.platform.Checker.RecordDisturbance(false)
	if err != nil {
		s.addProblem("platform stand-in could not start a replacement worker: %v", err)
		return
	}
	duty.Sleep(ctx, crashedRecordTime)
	expire()
}
