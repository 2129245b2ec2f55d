package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"plantainwinch/duty"
)

const (
	// meanEvacuationInterval is the mean time between two evacuations.
	meanEvacuationInterval = 7 * time.Second
	// minEvacuationTime is the minimum duration of an evacuation; the maximum is three times that.
	minEvacuationTime = 3 * time.Second
	// plannedEvacuationTime is the duration of the evacuation that goes on beside the planned
	// operations.
	plannedEvacuationTime = 9 * time.Second
)

// evacuateDomains evacuates a failure domain for a while at random times, one at a time, until
// activeCtx ends. An evacuation is planned work.
func (s *Soak) evacuateDomains(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 6))
	for {
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanEvacuationInterval))))
		if activeCtx.Err() != nil {
			return
		}
		domain := s.platform.Domains[rnd.IntN(len(s.platform.Domains))]
		s.evacuate(ctx, domain, minEvacuationTime+time.Duration(rnd.Int64N(int64(2*minEvacuationTime))))
	}
}

// evacuate evacuates a failure domain for a time.
func (s *Soak) evacuate(ctx context.Context, domain string, length time.Duration) {
	s.logFault("failure domain %s is evacuated for %v", domain, length)
	s.platform.Checker.RecordPlannedWork(true)
	defer s.platform.Checker.RecordPlannedWork(false)
	s.platform.Evacuate(domain)
	duty.Sleep(ctx, length)
	s.platform.Restore(domain)
}
