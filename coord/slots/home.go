package slots

import (
	"context"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// SetExecutors sets the executors whose home is this entry. For an executor that is
// new here, open returns how many of its slots may be granted at first. For each
// executor whose home is no longer this entry, SetExecutors returns the slots in use,
// to be sent to the new home.
func (t *Table) SetExecutors(ctx context.Context, list []winch.VM, open func(winch.VM) int) ([]proto.Handoff, error) {
	var out []proto.Handoff
	err := t.Duty.Do(ctx, func() {
		listed := make(map[string]bool, len(list))
		for _, vm := range list {
			listed[vm.ID] = true
			t.setExecutor(vm, open)
		}
		for id := range t.executors {
			if !listed[id] {
				out = append(out, t.removeExecutor(id))
			}
		}
		t.refuseUnserved()
		for _, s := range t.services {
			t.dispatch(s)
		}
	})
	return out, err
}

func (t *Table) setExecutor(vm winch.VM, open func(winch.VM) int) {
	if e := t.executors[vm.ID]; e != nil {
		e.vm = vm
		return
	}
	e := &executor{vm: vm, openSlots: min(vm.Slots, open(vm))}
	t.executors[vm.ID] = e
	if handoff, ok := t.earlyHandoffs[vm.ID]; ok {
		delete(t.earlyHandoffs, vm.ID)
		e.openSlots = vm.Slots
		t.addHeld(e, "", handoff.Held)
	}
}

// removeExecutor removes an executor and returns its slots in use.
func (t *Table) removeExecutor(id string) proto.Handoff {
	out := proto.Handoff{Executor: id, Held: t.slotsInUse(id)}
	for _, g := range t.grants {
		if g.executor.vm.ID == id {
			t.release(g)
		}
	}
	delete(t.executors, id)
	return out
}

// slotsInUse lists the slots in use of an executor.
func (t *Table) slotsInUse(id string) []proto.HeldSlot {
	var out []proto.HeldSlot
	for _, g := range t.grants {
		if g.executor.vm.ID == id {
			out = append(out, proto.HeldSlot{Grant: g.id, Executor: id, Team: g.team, Left: time.Until(g.expires)})
		}
	}
	return out
}

// refuseUnserved refuses the waiters whose service no longer has an executor here,
// rather than let their callers wait until the deadline.
func (t *Table) refuseUnserved() {
	for _, s := range t.services {
		detail := ""
		switch {
		case s.queued == 0:
		case t.executorCount(s.name) == 0:
			detail = "the last executor of the service has left"
		case t.evacuated(s.name):
			detail = DetailEvacuated
		}
		if detail != "" {
			why := winch.RefuseFor(winch.NoExecutor, detail, time.Second)
			t.refuseMatching(s, why, func(*waiter) bool { return true })
		}
	}
}

// refuseMatching refuses the service's waiters for which match returns true.
func (t *Table) refuseMatching(s *service, why winch.Result, match func(*waiter) bool) {
	var matching []*waiter
	for _, q := range s.teams {
		for _, w := range *q {
			if match(w) {
				matching = append(matching, w)
			}
		}
	}
	for _, w := range matching {
		s.remove(w)
		w.reply <- proto.SlotResponse{Refused: why}
	}
}

// RefuseWithdrawnKeys refuses the waiters whose key is no longer valid.
func (t *Table) RefuseWithdrawnKeys(ctx context.Context, valid func(keyID string) bool) error {
	return t.Duty.Do(ctx, func() {
		why := winch.Refuse(winch.KeyWithdrawn, "the key was withdrawn while the request waited")
		for _, s := range t.services {
			t.refuseMatching(s, why, func(w *waiter) bool { return !valid(w.request.KeyID) })
		}
	})
}

// Close refuses all waiters before a planned stop, so that the requesting entries try
// another home.
func (t *Table) Close(ctx context.Context, why winch.Result) error {
	return t.Duty.Do(ctx, func() {
		for _, s := range t.services {
			t.refuseMatching(s, why, func(*waiter) bool { return true })
		}
	})
}

// earlyHandoff is a handoff of an executor that is not known here yet.
type earlyHandoff struct {
	proto.Handoff
	at time.Time
}

// Adopt takes over the slots in use that the previous home of an executor handed over.
// All other slots of the executor are known to be free, so all of them may be granted.
func (t *Table) Adopt(handoff proto.Handoff) error {
	return t.Duty.Post(func() {
		e := t.executors[handoff.Executor]
		if e == nil {
			t.earlyHandoffs[handoff.Executor] = earlyHandoff{handoff, time.Now()} // The previous home noticed the change first.
			return
		}
		e.openSlots = e.vm.Slots
		t.addHeld(e, "", handoff.Held)
		t.dispatch(t.service(e.vm.Service))
	})
}

// addHeld records slots in use that were granted by an earlier home or, for a known
// grant, updates its holder.
func (t *Table) addHeld(e *executor, holder string, held []proto.HeldSlot) {
	now := time.Now()
	for _, h := range held {
		if _, returned := t.returnedEarly[h.Grant]; returned {
			continue // The slot was returned before the list arrived.
		}
		g := t.grants[h.Grant]
		if g != nil {
			if holder != "" {
				g.holder = holder
			}
			continue
		}
		t.addGrant(&grant{id: h.Grant, holder: holder, team: h.Team, executor: e, expires: now.Add(h.Left)})
	}
}

// Reconcile compares the grants of one holder with the list of slots in use that it
// sent over a new link. If the list is complete, grants missing from it were lost with
// the old link and never used, so their slots are freed. Listed grants that are unknown
// here were made by an earlier home.
func (t *Table) Reconcile(holder string, list []proto.HeldSlot, complete bool) error {
	return t.Duty.Post(func() {
		listed := make(map[string]bool, len(list))
		for _, h := range list {
			listed[h.Grant] = true
			if e := t.executors[h.Executor]; e != nil {
				t.addHeld(e, holder, []proto.HeldSlot{h})
			}
		}
		for _, g := range t.grants {
			if complete && g.holder == holder && !listed[g.id] {
				t.release(g)
			}
		}
		for _, s := range t.services {
			t.dispatch(s)
		}
	})
}

// Loads returns the load of the executors for each service. It is safe for concurrent
// use and lags behind by at most one sweepInterval.
func (t *Table) Loads() []proto.Load {
	if p := t.loads.Load(); p != nil {
		return *p
	}
	return nil
}

// publishLoads updates the result of Loads.
func (t *Table) publishLoads() {
	byService := make(map[string]*proto.Load)
	for _, e := range t.executors {
		l := byService[e.vm.Service]
		if l == nil {
			l = &proto.Load{Service: e.vm.Service, Queued: t.service(e.vm.Service).queued}
			byService[e.vm.Service] = l
		}
		if e.vm.AcceptsWork() {
			l.Slots += e.openSlots
			l.Busy += e.busy
		} else {
			l.Draining += e.busy
		}
	}
	out := make([]proto.Load, 0, len(byService))
	for _, l := range byService {
		out = append(out, *l)
	}
	t.loads.Store(&out)
}
