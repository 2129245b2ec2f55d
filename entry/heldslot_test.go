package entry

import (
	"context"
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

// relinkedPeers are the links to a home that grants a slot. The link is replaced after the response has arrived
// and before the requesting goroutine goes on.
type relinkedPeers struct {
	winch.Peers
	entry *Entry
	home  *slots.Table
}

func (p *relinkedPeers) Request(ctx context.Context, to string, _ winch.Kind, body, reply any) error {
	*reply.(*proto.SlotResponse) = p.home.Acquire(ctx, p.entry.Name(), body.(proto.SlotRequest))
	_, first := p.entry.First(to)
	held := first.(proto.HeldSlots)
	return p.home.Reconcile(p.entry.Name(), held.Held, held.Complete)
}

// Guards against a slot that its home takes for unused, because the response that grants it is still being handled
// when the entry lists the slots that it uses over a new link: the executor would get one call too many.
func TestSlotBeingGrantedIsListedOverANewLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		home := &slots.Table{}
		home.Prepare()
		group.Go(func() { home.Run(ctx) })
		vm := winch.VM{ID: "e0", Service: "render", Role: winch.RoleExecutor, Slots: 2}
		_, err := home.SetExecutors(ctx, []winch.VM{vm}, func(winch.VM) int { return 2 })
		is.NoErr(err)
		e := &Entry{Metrics: metrics.NewRegistry()}
		e.Settings.Entry.Name = "d1-0"
		e.Peers = &relinkedPeers{entry: e, home: home}
		p := &pendingCall{entry: e, call: Call{Service: "render"}, deadline: time.Now().Add(time.Minute), maxRun: time.Minute}
		g, r := e.requestSlot(ctx, p, "d1-1")
		is.True(r.OK())
		is.Equal(g.vm.ID, "e0")
		synctest.Wait()
		is.Equal(home.Loads()[0].Busy, 1)
	})
}
