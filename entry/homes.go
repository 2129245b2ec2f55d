package entry

import (
	"context"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// initialSlots is how many slots of an executor a new home grants at first if no earlier home has reported which of
// them are in use.
const initialSlots = 1

// homesInterval is the interval at which the homes are computed even if no change is known.
const homesInterval = time.Second

// runHomes keeps the set of executors whose home is this entry up to date.
func (e *Entry) runHomes(ctx context.Context) {
	for {
		e.updateHomes(ctx)
		select {
		case <-ctx.Done():
			return
		case <-e.homesChanged:
		case <-time.After(homesInterval):
		}
	}
}

// updateHomes takes over the executors whose home is now this entry, and hands over those whose home is now another one.
func (e *Entry) updateHomes(ctx context.Context) {
	view := e.members.View()
	var own []winch.VM
	for _, vm := range view.WithRole(winch.RoleExecutor) {
		if view.Home(vm) == e.Name() {
			own = append(own, vm)
		}
	}
	handoffs, err := e.table.SetExecutors(ctx, own, func(winch.VM) int { return initialSlots })
	if err != nil {
		return
	}
	for _, handoff := range handoffs {
		e.sendHandoff(handoff)
	}
	e.reportGrants()
}

// sendHandoff reports to an executor's new home which of its slots are in use.
func (e *Entry) sendHandoff(handoff proto.Handoff) {
	view := e.members.View()
	for _, vm := range view.VMs {
		if vm.ID != handoff.Executor {
			continue
		}
		if home := view.Home(vm); home != "" && home != e.Name() {
			_ = e.Peers.Notify(home, proto.KindHandoff, handoff)
		}
	}
}

// reportGrants reports to the new homes of executors which of their slots this entry uses.
func (e *Entry) reportGrants() {
	view := e.members.View()
	home := func(executor string) string {
		for _, vm := range view.VMs {
			if vm.ID == executor {
				return view.Home(vm)
			}
		}
		return ""
	}
	for name, held := range e.grants.rehome(home) {
		msg := proto.HeldSlots{Held: held, Process: e.incarnation}
		if name == e.Name() {
			_ = e.table.Reconcile(e.Name(), held, false)
			continue
		}
		_ = e.Peers.Notify(name, proto.KindHeldSlots, msg)
	}
}
