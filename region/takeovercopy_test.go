package region

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a run that is missing in the standby's copy: a gang member that a worker has refused is started there
// again under the same number, and the message that adds the run also removes the refused start.
func TestRunThatIsStartedAgainStaysInTheCopy(t *testing.T) {
	is := is.NewRelaxed(t)
	var m mirror
	r := proto.MirrorRun{Worker: "w0", Task: winch.RunID{Job: "a"}, Run: 7}
	is.True(m.apply(proto.Mirror{Term: 1, Session: 1, Full: true}))
	is.True(m.apply(proto.Mirror{Term: 1, Session: 1, Add: []proto.MirrorRun{r}}))
	is.True(m.apply(proto.Mirror{Term: 1, Session: 1, Remove: []proto.MirrorRun{r}, Add: []proto.MirrorRun{r}}))
	is.True(m.runs[r])
}

// lateTable is a store whose first response to a call for changes lacks the latest ones.
type lateTable struct {
	winch.Table
	calls int
}

func (t *lateTable) Watch(_ context.Context, prefix string, after uint64, _ time.Duration) ([]winch.Event, uint64, error) {
	t.calls++
	if t.calls == 1 {
		return nil, after, nil
	}
	return []winch.Event{{Value: winch.Value{Key: prefix + "a", Version: 10}}}, 10, nil
}

func (t *lateTable) Read(_ context.Context, prefix string) ([]winch.Value, uint64, error) {
	return []winch.Value{{Key: prefix + "a", Version: 10}}, 10, nil
}

// Guards against a takeover with records older than the office: what the planner before has recorded since would be
// started again.
func TestCatchUpReachesTheRequestedRevision(t *testing.T) {
	is := is.NewRelaxed(t)
	var c prefixCopy
	c.reset(nil, 5)
	err := c.catchUp(t.Context(), &lateTable{}, prefixProgress, 10)
	is.True(err != nil || c.revision >= 10)
}
