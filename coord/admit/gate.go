package admit

import (
	"math"
	"time"

	"plantainwinch/winch"
)

// TooOld selects what a gate does when it has received no state for longer than maxFresh.
type TooOld int

const (
	// DecayOld goes on with the last state and gives it less weight the older it is.
	DecayOld TooOld = iota
	// AcceptOld accepts all jobs.
	AcceptOld
)

const (
	// maxFresh is the age up to which a state counts fully. States are sent twice a second, so two may be
	// lost, and a planner that takes over sends its first one before.
	maxFresh = 1500 * time.Millisecond
	// maxOld is the age from which a state is void. A lost planner is replaced within that time, and an
	// entry that is cut off for longer knows nothing of the region's load.
	maxOld = 5 * time.Second
	// maxGrowth bounds how fast the region's arrivals are assumed to grow between two states.
	maxGrowth = 2
)

// Job describes a job for the gate.
type Job struct {
	ID, Team string
	Queue    *winch.Queue
	// Chain is the longest chain of the estimates of its phases, including one advice request for each.
	Chain time.Duration
	// MilliSeconds is its estimated work in thousandths of a processor multiplied by seconds.
	MilliSeconds float64
}

// Decision is the result of a gate.
type Decision struct {
	Refused bool
	// RetryAfter is when the caller of a refused job should come back.
	RetryAfter time.Duration
	// Wait is the forecast on which a refusal is based, Allowed how long the job could have waited.
	Wait, Allowed time.Duration
	// Excess says that the job counts as beyond its team's weight.
	Excess bool
	// Term and Age are those of the state.
	Term uint64
	Age  time.Duration
}

// Gate decides at one entry which jobs are accepted. The zero value accepts all jobs. It is not safe for
// concurrent use.
type Gate struct {
	// TooOld selects what happens without recent states.
	TooOld TooOld

	state    State
	received time.Time
	known    bool
	queues   map[uint32]*gateQueue
	teams    map[string]*gateTeam
}

// gateQueue is what a gate has accepted of a queue.
type gateQueue struct {
	offered Rate
	// accepted counts the jobs accepted since the state was received, work is their estimated work.
	accepted int
	work     float64
}

// Update applies a state and reports whether it is used: one of an earlier term, or one that is not newer
// than the last, is ignored.
func (g *Gate) Update(s State, now time.Time) bool {
	if g.known && (s.Term < g.state.Term || s.Term == g.state.Term && s.Sequence <= g.state.Sequence) {
		return false
	}
	g.state, g.received, g.known = s, now, true
	for _, q := range g.queues {
		q.accepted, q.work = 0, 0
	}
	return true
}

// Age returns the age of the last state, and false if there is none.
func (g *Gate) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(g.received), g.known
}

// weight returns how much the last state counts, from zero to one.
func (g *Gate) weight(now time.Time) float64 {
	age := now.Sub(g.received)
	switch {
	case !g.known || age >= maxOld:
		return 0
	case age <= maxFresh:
		return 1
	case g.TooOld == AcceptOld:
		return 0
	}
	return float64(maxOld-age) / float64(maxOld-maxFresh)
}

// Decide decides whether a job that has just been submitted is accepted, and counts it.
func (g *Gate) Decide(j Job, now time.Time) Decision {
	hash := Hash(j.Queue.Name)
	q := g.queue(hash)
	q.offered.Add(1, now)
	d := Decision{Term: g.state.Term, Age: now.Sub(g.received)}
	weight, row := g.weight(now), g.state.queue(hash)
	if weight == 0 || row == nil {
		return d
	}
	t := g.team(j.Team, now)
	d.Excess = !t.within(g.state.team(j.Team), j.ID)
	since := g.acceptedSince(q, row, now)
	forecast := func(at time.Duration) time.Duration {
		return time.Duration(weight * float64(max(0, at+since-d.Age)))
	}
	onTime, awaited := allowances(j.Queue, j.Chain, row.Stretch)
	d.Wait, d.Allowed = forecast(row.Debt), awaited
	late := forecast(row.Wait) - onTime
	if d.Excess {
		d.Wait, late = forecast(row.ExcessDebt), math.MaxInt64
	}
	d.Refused = d.Wait > awaited && late > 0
	if d.Refused {
		t.refuse(now)
		d.RetryAfter = g.retryAfter(j.ID, t, min(d.Wait-awaited, late), now)
		return d
	}
	t.served.Add(1, now)
	q.accepted++
	q.work += j.MilliSeconds
	return d
}

// acceptedSince returns how long the region takes for what all entries have accepted since the state was
// computed, as far as this entry can tell: by its share of the region's arrivals.
func (g *Gate) acceptedSince(q *gateQueue, row *QueueState, now time.Time) time.Duration {
	if q.accepted == 0 || row.Milli <= 0 {
		return 0
	}
	n := float64(q.accepted)
	jobs := n / g.share(q, row, now)
	jobs = max(n, min(jobs, n+maxGrowth*row.PerSecond*now.Sub(g.received).Seconds()))
	return time.Duration(jobs / n * q.work / float64(row.Milli) * float64(time.Second))
}

// share returns the fraction of the region's arrivals that this entry gets. It counts one more arrival at
// each entry, so that an entry with few arrivals does not take itself for the only one or for none. The
// shares of all entries add up to one.
func (g *Gate) share(q *gateQueue, row *QueueState, now time.Time) float64 {
	own, all := q.offered.PerSecond(now)*rateTime.Seconds(), row.PerSecond*rateTime.Seconds()
	return (own + 1) / max(own+1, all+float64(max(1, g.state.Entries)))
}

func (g *Gate) queue(hash uint32) *gateQueue {
	q := g.queues[hash]
	if q == nil {
		if g.queues == nil {
			g.queues = make(map[uint32]*gateQueue)
		}
		q = &gateQueue{}
		g.queues[hash] = q
	}
	return q
}

// queue returns the state of a queue, or nil if it is not listed.
func (s State) queue(hash uint32) *QueueState {
	for i := range s.Queues {
		if s.Queues[i].Queue == hash {
			return &s.Queues[i]
		}
	}
	return nil
}

// team returns the fraction of a team's jobs that is within its weight.
func (s State) team(name string) float64 {
	hash := Hash(name)
	for _, t := range s.Teams {
		if t.Team == hash {
			return t.Within
		}
	}
	return 1
}
