package proto

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against an encoding that truncates times to whole seconds: a job's age would then
// count from up to a second before the job was accepted.
func TestTimesKeepFractionsOfSeconds(t *testing.T) {
	is := is.New(t)
	accepted := time.Unix(1_790_000_000, 987_654_000)
	data, err := Encode(AcceptedJob{Job: winch.PhasedJob{ID: "a", Accepted: accepted}})
	is.NoErr(err)
	var got AcceptedJob
	is.NoErr(Decode(data, &got))
	is.True(got.Job.Accepted.Sub(accepted).Abs() < time.Microsecond)
}

// Guards against larger messages for a start. Each start is sent to a keeper and a standby, and
// its begin and completion are reported to the planner, so on a slow link the size of these
// messages limits the rate of starts.
func TestStartMessagesAreSmall(t *testing.T) {
	is := is.New(t)
	size := func(v any) int {
		data, err := Encode(v)
		is.NoErr(err)
		return len(data)
	}
	task := winch.RunID{Job: "0123456789abcdef", Phase: 1, Index: 12}
	const token, run = 4711 << 20, 10_000_123
	is.True(size(Order{Kind: OrderStart, Token: token, Task: task, Run: run, Worker: "i-0123456789"}) <= 48)
	is.True(size(MirrorRun{Worker: "i-0123456789", Task: task, Run: run}) <= 42)
	is.True(size(KeeperEvent{Kind: EventStarted, Token: token, Task: task, Run: run}) <= 50)
	is.True(size(KeeperEvent{Kind: EventEnded, Token: token, Ended: []winch.Completion{{Number: 300, Task: task, Run: run, Kind: winch.CompletionDone}}}) <= 70)
}

// A standby of the previous build, which does not know the speeds of workers, must read the message, and
// a message without any must be as it was.
func TestMirrorWithSpeedsIsReadByEarlierBuilds(t *testing.T) {
	is := is.New(t)
	type earlier struct {
		Term    uint64 `cbor:"1,keyasint"`
		Session uint64 `cbor:"2,keyasint"`
		Yield   bool   `cbor:"9,keyasint,omitempty"`
	}
	data, err := Encode(Mirror{Term: 3, Session: 2, Yield: true, Speeds: []MirrorSpeed{{Worker: "w", Kind: "a", Percent: 180, Samples: 9, Age: time.Second}}})
	is.NoErr(err)
	var old earlier
	is.NoErr(Decode(data, &old))
	is.Equal(old, earlier{Term: 3, Session: 2, Yield: true})
	var got Mirror
	is.NoErr(Decode(data, &got))
	is.Equal(got.Speeds, []MirrorSpeed{{Worker: "w", Kind: "a", Percent: 180, Samples: 9, Age: time.Second}})
	without, err := Encode(Mirror{Term: 3, Session: 2, Yield: true})
	is.NoErr(err)
	as, err := Encode(old)
	is.NoErr(err)
	is.Equal(without, as)
}
