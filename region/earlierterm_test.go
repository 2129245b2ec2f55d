package region

import (
	"testing"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a standby that applies a late message of an earlier planner, or of an earlier session of the same one, to its copy, or any
// message once it has taken the office: it would start again what runs, or the earlier planner would start what it does not know of.
func TestLateMessagesDoNotReachTheCopyOfALaterSession(t *testing.T) {
	run := func(n uint64) proto.MirrorRun {
		return proto.MirrorRun{Worker: "w", Task: winch.RunID{Job: "a"}, Run: n}
	}
	for name, late := range map[string]proto.Mirror{
		"earlier term":           {Term: 4, Session: 9, Add: []proto.MirrorRun{run(2)}},
		"earlier term, in full":  {Term: 4, Session: 9, Full: true, Add: []proto.MirrorRun{run(2)}},
		"earlier session":        {Term: 5, Session: 2, Add: []proto.MirrorRun{run(2)}},
		"earlier session, whole": {Term: 5, Session: 2, Full: true, Remove: []proto.MirrorRun{run(1)}},
		"later session in parts": {Term: 5, Session: 4, Add: []proto.MirrorRun{run(2)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := new(mirror)
			is.True(m.respond(proto.Mirror{Term: 5, Session: 3, Full: true, Add: []proto.MirrorRun{run(1)}}).OK)
			is.True(!m.respond(late).OK)
			copied, complete := m.claim(6)
			is.True(complete)
			is.Equal(copied.runs, map[string][]winch.Running{"w": {{Task: winch.RunID{Job: "a"}, Run: 1}}})
			is.True(!m.respond(proto.Mirror{Term: 5, Session: 3, Add: []proto.MirrorRun{run(2)}}).OK)
			is.True(!m.respond(proto.Mirror{Term: 5, Session: 4, Full: true}).OK)
		})
	}
}
