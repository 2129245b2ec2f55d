package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"plantainwinch/coord/slots"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// homePeers are the links of an entry to a home.
type homePeers struct {
	winch.Peers
	from string
	home *Entry
}

func (p homePeers) send(ctx context.Context, kind winch.Kind, body any) any {
	return p.home.Handle(ctx, p.from, kind, func(into any) error {
		data, err := proto.Encode(body)
		return errors.Join(err, proto.Decode(data, into))
	})
}

func (p homePeers) Request(ctx context.Context, _ string, kind winch.Kind, body, reply any) error {
	*reply.(*proto.SlotResponse) = p.send(ctx, kind, body).(proto.SlotResponse)
	return nil
}

// Guards against an executor that gets more calls than it has slots: an entry is killed and starts again under its name, and the slots
// of its earlier process count as free, since the new one does not list them, while the calls in them still run.
func TestSlotsOfAnEarlierProcessStayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		home := &Entry{Metrics: metrics.NewRegistry(), table: &slots.Table{}}
		home.table.Prepare()
		group.Go(func() { home.table.Run(ctx) })
		vm := winch.VM{ID: "e0", Service: "render", Role: winch.RoleExecutor, Slots: 2}
		_, err := home.table.SetExecutors(ctx, []winch.VM{vm}, func(winch.VM) int { return 2 })
		is.NoErr(err)
		process := func(incarnation string) *Entry {
			e := &Entry{Metrics: metrics.NewRegistry(), incarnation: incarnation, Peers: homePeers{from: "d1-0", home: home}}
			e.Settings.Entry.Name = "d1-0"
			kind, first := e.First("d1-1")
			e.Peers.(homePeers).send(ctx, kind, first)
			p := &pendingCall{entry: e, call: Call{Service: "render"}, deadline: time.Now().Add(time.Minute), maxRun: 30 * time.Second}
			_, r := e.requestSlot(ctx, p, "d1-1")
			is.True(r.OK())
			synctest.Wait()
			return e
		}
		process("first")
		is.Equal(home.table.Loads()[0].Busy, 1)
		second := process("second")
		is.Equal(home.table.Loads()[0].Busy, 2)
		kind, list := second.First("d1-1")
		second.Peers.(homePeers).send(ctx, kind, list)
		synctest.Wait()
		is.Equal(home.table.Loads()[0].Busy, 2)
		time.Sleep(31 * time.Second)
		is.Equal(home.table.Loads()[0].Busy, 0)
	})
}
