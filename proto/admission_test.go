package proto

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/admit"
	"plantainwinch/winch"
)

// largestAdmission returns the forecast of a region with many queues and teams, a backlog of hours, and
// numbers that take the most space.
func largestAdmission() admit.State {
	var loads []admit.Load
	var teams []admit.Submitter
	for i := range 200 {
		service := &admit.Service{Capacity: admit.Amount{Milli: 300 * 64_000}, Urgent: admit.Amount{Milli: 1e15}}
		loads = append(loads, admit.Load{Queue: &winch.Queue{Name: fmt.Sprint("queue", i), Service: "s", Target: time.Second}, Service: service, PerSecond: 1e6})
		teams = append(teams, admit.Submitter{Team: fmt.Sprint("team", i), Weight: 0.7, PerSecond: 1 + float64(i)})
	}
	s := admit.Forecast(loads, teams)
	s.Term, s.Sequence, s.Entries = math.MaxUint32, math.MaxUint32, 1000
	return s
}

// Guards against a message that grows with the backlog, the teams or the entries: it is sent to each entry
// twice a second, and some entries have slow links. The limit is that of the whole frame.
func TestAdmissionIsSmall(t *testing.T) {
	is := is.New(t)
	size := func(s admit.State) int {
		body, err := Encode(EncodeAdmission(s))
		is.NoErr(err)
		frame, err := Encode(Frame{Kind: KindAdmission, Body: body})
		is.NoErr(err)
		return len(frame)
	}
	idle := size(admit.State{Term: 40, Sequence: 100_000, Entries: 45})
	large := size(largestAdmission())
	s := largestAdmission()
	s.Queues, s.Teams = s.Queues[:2], s.Teams[:3]
	t.Log("idle", idle, "two queues and three teams", size(s), "largest", large)
	is.True(idle < 40)
	is.True(large < 200)
}

// Guards against a state that changes on its way, and against values that wrap around.
func TestAdmissionKeepsTheState(t *testing.T) {
	is := is.New(t)
	want := admit.State{Term: 3, Sequence: 7, Entries: 45, Queues: []admit.QueueState{{
		Queue: admit.Hash("lookup"), Wait: 1230 * time.Millisecond, Debt: 20 * time.Second, ExcessDebt: 40 * time.Second, Milli: 22_400_000, Stretch: 1.25, PerSecond: 46.3, Refusing: true,
	}}, Teams: []admit.TeamState{{Team: admit.Hash("north"), Within: 0.2}}}
	data, err := Encode(EncodeAdmission(want))
	is.NoErr(err)
	var m Admission
	is.NoErr(Decode(data, &m))
	is.Equal(m.State(), want)
	large := EncodeAdmission(largestAdmission())
	is.Equal(large.Queues[0].Wait, uint16(math.MaxUint16))
	is.Equal(len(large.Queues), admit.MaxQueues)
}
