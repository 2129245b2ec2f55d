package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

// shareBurst is how many seconds of a team's share it may hand in at once. Jobs
// come in clusters; a team that keeps to its share sends more than one second's
// worth within one only rarely.
const shareBurst = 1.0

// shareUse counts what a team hands in against its share of the region, which is
// its weight in jobs a second.
type shareUse struct {
	left float64
	at   time.Time
}

// take counts a job accepted at a time, and reports whether it is within the
// share. A weight of zero is no bound.
func (s *shareUse) take(weight float64, at time.Time) bool {
	if weight <= 0 {
		return true
	}
	most := max(1, weight*shareBurst)
	if s.at.IsZero() {
		s.left = most
	} else if at.After(s.at) {
		s.left = min(most, s.left+weight*at.Sub(s.at).Seconds())
	}
	if at.After(s.at) {
		s.at = at
	}
	if s.left < 1 {
		return false
	}
	s.left--
	return true
}

// Stored is an accepted job with what the store holds of its progress.
type Stored struct {
	Job      *winch.PhasedJob
	Progress *winch.Progress
	Revision uint64
}

// AddAll takes accepted jobs in the order in which they were accepted, so that
// the shares of their teams are counted as they came.
func (p *Planner) AddAll(jobs []Stored) {
	slices.SortFunc(jobs, func(a, b Stored) int {
		return cmp.Or(a.Job.Accepted.Compare(b.Job.Accepted), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	for _, s := range jobs {
		p.Add(s.Job, s.Progress, s.Revision)
	}
}
