package proto

import (
	"math"
	"time"

	"plantainwinch/coord/admit"
	"plantainwinch/winch"
)

// Kinds of the messages about admission.
const (
	KindAdmission   winch.Kind = "Admit"
	KindRefusedJobs winch.Kind = "Refused"
)

// Admission is the planner's forecast for new jobs, which it sends to all entries. Its size is bounded
// whatever waits: it names few queues and teams, by hashes.
type Admission struct {
	Term     uint64           `cbor:"1,keyasint"`
	Sequence uint64           `cbor:"2,keyasint"`
	Entries  uint16           `cbor:"3,keyasint,omitempty"`
	Queues   []AdmissionQueue `cbor:"4,keyasint,omitempty"`
	Teams    []AdmissionTeam  `cbor:"5,keyasint,omitempty"`
}

// AdmissionQueue is admit.QueueState with times in hundredths of a second, the factor in hundredths and
// the rate in tenths. Values that are too large are replaced by the largest one.
type AdmissionQueue struct {
	_                            struct{} `cbor:",toarray"`
	Queue                        uint32
	Wait, Debt, ExcessDebt       uint16
	Milli                        uint32
	StretchPercent, TenPerSecond uint16
	Refusing                     bool
}

// AdmissionTeam is admit.TeamState with the fraction in thousandths.
type AdmissionTeam struct {
	_              struct{} `cbor:",toarray"`
	Team           uint32
	WithinPerMille uint16
}

// admissionUnit is the unit of the times in an Admission.
const admissionUnit = 10 * time.Millisecond

// EncodeAdmission returns the message for a state.
func EncodeAdmission(s admit.State) Admission {
	out := Admission{Term: s.Term, Sequence: s.Sequence, Entries: clampUint16(float64(s.Entries))}
	for _, q := range s.Queues[:min(len(s.Queues), admit.MaxQueues)] {
		duration := func(d time.Duration) uint16 { return clampUint16(float64(d / admissionUnit)) }
		out.Queues = append(out.Queues, AdmissionQueue{
			Queue: q.Queue, Wait: duration(q.Wait), Debt: duration(q.Debt), ExcessDebt: duration(q.ExcessDebt),
			Milli: uint32(min(math.MaxUint32, max(0, q.Milli))), StretchPercent: clampUint16(100 * q.Stretch),
			TenPerSecond: clampUint16(10 * q.PerSecond), Refusing: q.Refusing,
		})
	}
	for _, t := range s.Teams[:min(len(s.Teams), admit.MaxTeams)] {
		out.Teams = append(out.Teams, AdmissionTeam{Team: t.Team, WithinPerMille: clampUint16(1000 * t.Within)})
	}
	return out
}

// State returns the state in the message.
func (m *Admission) State() admit.State {
	out := admit.State{Term: m.Term, Sequence: m.Sequence, Entries: int(m.Entries)}
	for _, q := range m.Queues[:min(len(m.Queues), admit.MaxQueues)] {
		duration := func(n uint16) time.Duration { return time.Duration(n) * admissionUnit }
		out.Queues = append(out.Queues, admit.QueueState{
			Queue: q.Queue, Wait: duration(q.Wait), Debt: duration(q.Debt), ExcessDebt: duration(q.ExcessDebt),
			Milli: int64(q.Milli), Stretch: float64(q.StretchPercent) / 100, PerSecond: float64(q.TenPerSecond) / 10, Refusing: q.Refusing,
		})
	}
	for _, t := range m.Teams[:min(len(m.Teams), admit.MaxTeams)] {
		out.Teams = append(out.Teams, admit.TeamState{Team: t.Team, Within: float64(t.WithinPerMille) / 1000})
	}
	return out
}

func clampUint16(x float64) uint16 {
	return uint16(min(math.MaxUint16, max(0, x)))
}

// RefusedJobs notifies the planner of jobs that an entry has refused since its last message, so that it
// knows how many jobs callers submit.
type RefusedJobs struct {
	Jobs []RefusedCount `cbor:"1,keyasint"`
	// IDs lists the admit.Hash of the IDs, so that the planner ranks jobs that are accepted later by when
	// their callers first sent them.
	IDs []uint32 `cbor:"2,keyasint,omitempty"`
}

// RefusedCount is a number of refused jobs of a queue and a team.
type RefusedCount struct {
	_           struct{} `cbor:",toarray"`
	Queue, Team string
	Count       int
}
