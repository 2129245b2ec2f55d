package entry

import (
	"context"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// firstSlots is how many slots of an executor a new home hands out at first,
// where no earlier home has told it which are in use.
const firstSlots = 1

// rehomeEvery is how often the homes are worked out without a known change.
const rehomeEvery = time.Second

// runRehome gives each executor of this failure domain its home.
func (e *Entry) runRehome(ctx context.Context) {
	for {
		e.settleHomes(ctx)
		select {
		case <-ctx.Done():
			return
		case <-e.rehome:
		case <-time.After(rehomeEvery):
		}
	}
}

func (e *Entry) settleHomes(ctx context.Context) {
	view := e.members.View()
	var mine []winch.VM
	for _, vm := range view.WithRole(winch.RoleExecutor) {
		if view.Home(vm) == e.Name() {
			mine = append(mine, vm)
		}
	}
	hands, err := e.table.SetExecutors(ctx, mine, func(winch.VM) int { return firstSlots })
	if err != nil {
		return
	}
	for _, hand := range hands {
		e.handOver(hand)
	}
	e.reportHeld()
}

// handOver tells an executor's new home which of its slots are in use.
func (e *Entry) handOver(hand proto.Handoff) {
	view := e.members.View()
	for _, vm := range view.VMs {
		if vm.ID != hand.Executor {
			continue
		}
		if home := view.Home(vm); home != "" && home != e.Name() {
			_ = e.Peers.Notify(home, proto.KindHandoff, hand)
		}
	}
}

// reportHeld tells new homes of executors which slots this entry uses.
func (e *Entry) reportHeld() {
	view := e.members.View()
	home := func(executor string) string {
		for _, vm := range view.VMs {
			if vm.ID == executor {
				return view.Home(vm)
			}
		}
		return ""
	}
	for name, held := range e.grants.moved(home) {
		msg := proto.HeldSlots{Held: held}
		if name == e.Name() {
			_ = e.table.Reconcile(e.Name(), held, false)
			continue
		}
		_ = e.Peers.Notify(name, proto.KindHeldSlots, msg)
	}
}
