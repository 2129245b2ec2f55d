package admit

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

// Amount is capacity multiplied by seconds.
type Amount struct {
	Milli, Memory, Accelerators float64
}

// Add returns the sum with a capacity that is used for a time.
func (a Amount) Add(c winch.Capacity, d time.Duration) Amount {
	s := d.Seconds()
	return Amount{a.Milli + s*float64(c.Milli), a.Memory + s*float64(c.Memory), a.Accelerators + s*float64(c.Accelerators)}
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(o Amount) Amount {
	return Amount{a.Milli + o.Milli, a.Memory + o.Memory, a.Accelerators + o.Accelerators}
}

// Service is the capacity of the workers of a service and the accepted work that has not been done.
type Service struct {
	// Capacity is the usable capacity without what lasting tasks use, in Amount per second.
	Capacity Amount
	// Urgent is the waiting work of urgent queues, Normal that of other queues, in both cases of jobs within
	// the weights of their teams whose callers still wait.
	Urgent, Normal Amount
	// UrgentLate is the waiting work of urgent jobs that will probably be late, which is ranked behind the
	// other urgent work.
	UrgentLate Amount
	// RunningUrgent and RunningNormal are what remains to be done of what runs.
	RunningUrgent, RunningNormal Amount
	// Excess is the waiting work of jobs beyond the weights of their teams.
	Excess Amount
	// AbandonedUrgent and AbandonedNormal are the waiting work of jobs whose callers no longer wait.
	AbandonedUrgent, AbandonedNormal Amount
}

// Debt returns how long the service takes at least for all accepted work, and false if it has no capacity
// for it.
func (s *Service) Debt() (time.Duration, bool) {
	return s.duration(s.waiting().Plus(s.RunningUrgent).Plus(s.RunningNormal))
}

// Waiting returns how long the service takes at least for all accepted work that does not run yet.
func (s *Service) Waiting() time.Duration {
	d, _ := s.duration(s.waiting())
	return d
}

func (s *Service) waiting() Amount {
	return s.Urgent.Plus(s.UrgentLate).Plus(s.Normal).Plus(s.Excess).Plus(s.AbandonedUrgent).Plus(s.AbandonedNormal)
}

// duration returns how long the service takes at least for an amount of work, and false if it has no
// capacity for it.
func (s *Service) duration(work Amount) (time.Duration, bool) {
	longest := 0.0
	for _, x := range [...]struct{ work, capacity float64 }{
		{work.Milli, s.Capacity.Milli}, {work.Memory, s.Capacity.Memory}, {work.Accelerators, s.Capacity.Accelerators},
	} {
		switch {
		case x.work <= 0:
		case x.capacity <= 0:
			return 0, false
		default:
			longest = max(longest, x.work/x.capacity)
		}
	}
	return time.Duration(longest * float64(time.Second)).Round(time.Millisecond), true
}

// Load describes one queue and its service.
type Load struct {
	Queue   *winch.Queue
	Service *Service
	// Estimates is what is known of the queue's estimates.
	Estimates Estimates
	// PerSecond is how many jobs per second callers submit, including refused ones.
	PerSecond float64
}

// Submitter describes one team.
type Submitter struct {
	Team string
	// Weight is the number of jobs per second that the team may submit; zero means no limit.
	Weight float64
	// PerSecond is how many jobs per second it submits, including refused ones.
	PerSecond float64
}

// beyondFactor is the multiple of its weight from which a team counts as beyond it. Jobs arrive at
// random times, so a rate that is measured over some seconds varies by more than a tenth.
const beyondFactor = 1.2

// Forecast returns the state to publish. The work is a lower bound in each case: it leaves out what
// arrives later, and assumes that the capacity is used completely.
func Forecast(loads []Load, teams []Submitter) State {
	var out State
	for _, l := range loads {
		if q, ok := l.forecast(); ok {
			out.Queues = append(out.Queues, q)
		}
	}
	slices.SortStableFunc(out.Queues, func(a, b QueueState) int { return cmp.Or(cmp.Compare(b.Debt, a.Debt), cmp.Compare(a.Queue, b.Queue)) })
	out.Queues = out.Queues[:min(len(out.Queues), MaxQueues)]
	if len(out.Queues) == 0 {
		return out // Nothing is refused, so it does not matter who is beyond its weight.
	}
	for _, t := range teams {
		if t.Weight > 0 && t.PerSecond > beyondFactor*t.Weight {
			out.Teams = append(out.Teams, TeamState{Hash(t.Team), t.Weight / t.PerSecond})
		}
	}
	slices.SortStableFunc(out.Teams, func(a, b TeamState) int {
		return cmp.Or(cmp.Compare(a.Within, b.Within), cmp.Compare(a.Team, b.Team))
	})
	out.Teams = out.Teams[:min(len(out.Teams), MaxTeams)]
	return out
}

// forecast returns the state of one queue, and false if no job of it can have to be refused before the
// next states.
func (l *Load) forecast() (QueueState, bool) {
	s, q := l.Service, l.Queue
	before, others := s.Urgent, s.UrgentLate.Plus(s.AbandonedUrgent).Plus(s.RunningUrgent)
	if q.Priority != 0 {
		before, others = before.Plus(s.UrgentLate).Plus(s.Normal), s.AbandonedUrgent.Plus(s.AbandonedNormal).Plus(s.RunningUrgent).Plus(s.RunningNormal)
	}
	wait, ok1 := s.duration(before)
	debt, ok2 := s.duration(before.Plus(others))
	excess, ok3 := s.Debt()
	if !ok1 || !ok2 || !ok3 || s.Capacity.Milli <= 0 {
		return QueueState{}, false // Without workers there is no forecast; they may return at any time.
	}
	onTime, awaited := allowances(q, 0, 1)
	if excess < awaited/2 || s.Waiting() == 0 {
		return QueueState{}, false
	}
	return QueueState{
		Queue: Hash(q.Name), Wait: wait, Debt: debt, ExcessDebt: excess, Milli: int64(s.Capacity.Milli),
		Stretch: l.Estimates.Stretch(), PerSecond: l.PerSecond, Refusing: excess > awaited || wait > onTime && debt > awaited,
	}, true
}
