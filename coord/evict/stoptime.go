package evict

import "time"

const (
	// maxStop is how long the platform may take to stop a run. It is assumed until stops have been
	// observed.
	maxStop = 900 * time.Millisecond
	// stopWeight is the weight of one observed stop in the moving averages.
	stopWeight = 0.1
	// stopDeviations is how many mean deviations above the mean a stop is expected to take, since
	// a job is on time only if all of its tasks start in time. For stops that are evenly
	// distributed between zero and a maximum, the result is the maximum.
	stopDeviations = 2
)

// StopTime learns how long stops take. The zero value expects the longest stop.
type StopTime struct {
	mean, deviation time.Duration
	known           bool
}

// Observe adds an observed stop.
func (s *StopTime) Observe(took time.Duration) {
	if !s.known {
		s.mean, s.deviation, s.known = took, took/2, true
		return
	}
	off := took - s.mean
	s.mean += time.Duration(stopWeight * float64(off))
	s.deviation += time.Duration(stopWeight * float64(off.Abs()-s.deviation))
}

// Expected returns how long a stop is expected to take, cautiously.
func (s *StopTime) Expected() time.Duration {
	if !s.known {
		return maxStop
	}
	return min(maxStop, s.mean+stopDeviations*s.deviation)
}
