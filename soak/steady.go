package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
)

// stopInSeries stops and starts entries as planned, one every stopInterval, until activeCtx ends. Every second one is the
// planner.
func (s *Soak) stopInSeries(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 19))
	order := rnd.Perm(len(s.procs))
	var stops conc.WaitGroup
	defer stops.Wait()
	if s.Pauses {
		stops.Go(func() { s.pauseAll(activeCtx) })
	}
	for i := 0; activeCtx.Err() == nil; i++ {
		p := s.procs[order[i/2%len(order)]]
		if planner, _ := s.planner(); i%2 > 0 && planner != nil {
			p = planner
		}
		stops.Go(func() { s.stopAsPlanned(p) })
		duty.Sleep(activeCtx, stopInterval)
	}
	duty.Sleep(ctx, lastingRestartTime)
}

const (
	// minPause and maxPause bound how long all entries are paused at once, and pauseInterval is the mean time from the end of
	// such a pause to the next one.
	minPause      = 300 * time.Millisecond
	maxPause      = 900 * time.Millisecond
	pauseInterval = 2 * time.Second
)

// pauseAll pauses all entries at once, again and again until activeCtx ends, as a busy machine does. These pauses are no
// disturbances: nobody is silent while others are not.
func (s *Soak) pauseAll(activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 21))
	for {
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*pauseInterval))))
		if activeCtx.Err() != nil {
			return
		}
		pause := minPause + time.Duration(rnd.Int64N(int64(maxPause-minPause)))
		s.logFault("all paused for %v", pause)
		s.signalAll(syscall.SIGSTOP)
		duty.Sleep(activeCtx, pause)
		s.signalAll(syscall.SIGCONT)
	}
}

func (s *Soak) signalAll(signal syscall.Signal) {
	for _, p := range s.procs {
		p.signal(signal)
	}
}

// stopAsPlanned stops an entry as planned and starts it again.
func (s *Soak) stopAsPlanned(p *proc) {
	s.logFault("planned stop %s", p.name)
	s.platform.Checker.RecordPlannedWork(true)
	defer s.platform.Checker.RecordPlannedWork(false)
	p.stop(syscall.SIGTERM)
	s.restart(p)
}
