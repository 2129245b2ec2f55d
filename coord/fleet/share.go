package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

// shareBurst is how many seconds' worth of its share a team may submit at once. Jobs come in
// clusters; a team that keeps to its share only rarely submits more than one second's worth within
// a second.
const shareBurst = 1.0

// shareBucket is a token bucket that limits the jobs a team submits to its share of the region,
// which is its weight in jobs per second.
type shareBucket struct {
	tokens  float64
	updated time.Time
}

// take counts a job accepted at the given time and reports whether it is within the share. A
// weight of zero means no limit.
func (s *shareBucket) take(weight float64, at time.Time) bool {
	if weight <= 0 {
		return true
	}
	burst := max(1, weight*shareBurst)
	if s.updated.IsZero() {
		s.tokens = burst
	} else if at.After(s.updated) {
		s.tokens = min(burst, s.tokens+weight*at.Sub(s.updated).Seconds())
	}
	if at.After(s.updated) {
		s.updated = at
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// StoredJob is an accepted job with what the store holds of its progress.
type StoredJob struct {
	Job      *winch.PhasedJob
	Progress *winch.Progress
	Revision uint64
}

// AddAll adds accepted jobs in the order of their acceptance, so that they count against the
// shares of their teams in that order.
func (p *Planner) AddAll(jobs []StoredJob) {
	slices.SortFunc(jobs, func(a, b StoredJob) int {
		return cmp.Or(a.Job.Accepted.Compare(b.Job.Accepted), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	for _, s := range jobs {
		p.Add(s.Job, s.Progress, s.Revision)
	}
}
