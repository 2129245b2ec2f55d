// Package admit decides which jobs a region does not accept because they could not end while their
// callers still wait. The planner forecasts from the accepted work when a job of each queue would end
// (Forecast) and publishes the result (State) to all entries; the gate of each entry (Gate) decides at
// once from the last state and from what it has accepted since. The package has no clock, network or
// goroutines.
package admit

import (
	"hash/fnv"
	"time"

	"plantainwinch/winch"
)

// Limits on the size of a state. A queue or a team that is left out is not refused.
const (
	MaxQueues = 4
	MaxTeams  = 6
)

// State is what the planner publishes to the entries.
type State struct {
	Term, Sequence uint64
	// Entries is the number of entries that accept jobs.
	Entries int
	// Queues lists the queues for which jobs may have to be refused, those with the longest waits first.
	Queues []QueueState
	// Teams lists the teams that submit more than their weight, those furthest beyond it first.
	Teams []TeamState
}

// QueueState is the forecast for one queue.
type QueueState struct {
	// Queue is the Hash of the queue's name.
	Queue uint32
	// Wait is how long the waiting work would take that is ranked before a new job of the queue.
	Wait time.Duration
	// Debt is Wait with what runs, and with the accepted work of the queue's class whose callers no longer
	// wait.
	Debt time.Duration
	// ExcessDebt is how long all work would take that is ranked before a new job of a team that is beyond
	// its weight.
	ExcessDebt time.Duration
	// Milli is the usable capacity of the queue's service, in thousandths of a processor.
	Milli int64
	// Stretch is the factor by which a job's chain of work may take longer than estimated.
	Stretch float64
	// PerSecond is how many jobs per second callers submit to the region, including refused ones.
	PerSecond float64
	// Refusing says that a job with a short chain is refused.
	Refusing bool
}

// TeamState describes a team that submits more than its weight.
type TeamState struct {
	// Team is the Hash of the team's name.
	Team uint32
	// Within is the fraction of the team's jobs that is within its weight.
	Within float64
}

// Hash returns the number by which a state names a queue or a team.
func Hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // Write never fails.
	return h.Sum32()
}

// Refusing reports whether the state makes entries refuse jobs of any queue.
func (s State) Refusing() bool {
	for i := range s.Queues {
		if s.Queues[i].Refusing {
			return true
		}
	}
	return false
}

// RefusesQueue reports whether the state makes entries refuse jobs of a queue.
func (s State) RefusesQueue(name string) bool {
	q := s.queue(Hash(name))
	return q != nil && q.Refusing
}

// allowances returns how long a job may wait without missing its objective, and without missing
// winch.LateFactor objectives. Its chain of work takes stretch times as long as estimated, which lets the job wait longer: its
// objective is computed from its true run times.
func allowances(q *winch.Queue, chain time.Duration, stretch float64) (onTime, awaited time.Duration) {
	actual := time.Duration(stretch * float64(chain))
	return q.Objective(actual) - actual, winch.LateFactor*q.Objective(actual) - actual
}
