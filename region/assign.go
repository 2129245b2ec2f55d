package region

import (
	"maps"
	"slices"
	"time"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// live returns the entries that can be keepers and use lanes at present.
func (l *lead) live() map[string]member {
	connected := make(map[string]bool)
	for _, name := range l.node.Peers.Names() {
		connected[name] = true
	}
	out := make(map[string]member)
	for _, m := range l.node.cell.list() {
		if connected[m.Name] || m.Name == l.node.Name && !l.node.leaving.Load() {
			out[m.Name] = m
		}
	}
	return out
}

// reassignSoon has the workers' keepers recomputed with the next decision. Hundreds of entries may
// come and go at once, and each computation goes over all workers.
func (l *lead) reassignSoon() {
	l.assign = true
	l.wake()
}

// reassign gives each worker a keeper: one of its own failure domain if there is one, so that a
// partitioned domain keeps its work. A keeper is used once it is recorded in the roster.
func (l *lead) reassign() {
	if l.closed {
		return
	}
	l.assign, l.assigned = false, time.Now()
	live := l.live()
	l.lanes.SetLanes(slices.Collect(maps.Keys(live)))
	for name := range l.resting {
		delete(live, name)
	}
	for name, p := range l.proxies {
		if _, ok := live[name]; !ok && !l.reached(name) {
			l.dropKeeper(p)
		}
	}
	l.chooseStandby(live)
	held := l.planner.Held()
	l.want(held, live)
	l.endKeepers()
	l.activate(held, live)
	l.askEarlier()
	l.awake()
	l.wake()
}

// askEarlierKeepers opens a session with each entry that kept workers for the earlier planner and
// keeps none now, so that it reports what it knows of them. An entry that is stopping has left the
// list by then, but responds for two more seconds.
func (l *lead) askEarlier() {
	for _, w := range l.before {
		if !l.asked[w.Keeper] && l.proxies[w.Keeper] == nil && l.reached(w.Keeper) {
			l.sendSet(w.Keeper)
		}
		l.asked[w.Keeper] = l.asked[w.Keeper] || l.proxies[w.Keeper] != nil
	}
}

// reachable reports whether messages can be sent to an entry, including one that is stopping. Such a
// keeper keeps its workers until others have been recorded for them, and then reports until when its
// leases run: it responds for two more seconds.
func (l *lead) reached(name string) bool {
	return !l.resting[name] && slices.Contains(l.node.Peers.Names(), name)
}

// chooseKeepers chooses the keepers, and has them recorded where they differ from the roster.
func (l *lead) want(held []winch.WorkerVM, live map[string]member) {
	pools := newPools(live, l.busy()...)
	wanted := make(map[string]rostered, len(held))
	workers := make(map[string]int)
	for _, vm := range held {
		pools.add(l.wanted[vm.ID].Keeper)
		workers[vm.Domain]++
	}
	pools.limit(workers)
	for _, vm := range held {
		if keeper := pools.choose(vm.Domain, l.wanted[vm.ID].Keeper); keeper != "" {
			wanted[vm.ID] = l.entryOf(vm, keeper, l.turnOf(vm.ID, keeper))
		}
	}
	l.wanted = wanted
	if !maps.EqualFunc(wanted, l.roster, sameEntry) {
		duty.Signal(l.rosterCh)
	}
}

// busyEntries returns the entries with additional work: the planner and its standby.
func (l *lead) busy() []string {
	out := []string{l.node.Name}
	if l.standby != nil {
		out = append(out, l.standby.name)
	}
	return out
}

// maxEarlierKeepers bounds the earlier keepers that are recorded for a worker. One without a name
// stands for those left out, of which nothing can be learnt any more.
const mostEarlier = 16

func sameEntry(a, b rostered) bool {
	return a.Keeper == b.Keeper && a.Turn == b.Turn && a.VM.Born == b.VM.Born && a.Settled == b.Settled && a.Bound == b.Bound && slices.Equal(a.Earlier, b.Earlier)
}

// generationOf returns the generation of a worker's assignment to a keeper: a new one if the keeper
// has changed.
func (l *lead) turnOf(worker, keeper string) uint64 {
	if last := l.wanted[worker]; last.Keeper == keeper && last.Turn != 0 {
		return last.Turn
	}
	l.turns++
	return l.term*turnsPerTerm + l.turns
}

// rosterRecord returns what is to be recorded for a worker. For one that does not respond, the record
// lists all runs that may exist there, since nothing is started there until the record is changed
// again. Without that, if the planner and its standby were lost together, the next planner would have
// to delay all other work until everything there has surely ended. The record is not complete before
// it is known what an earlier planner started there.
func (l *lead) entryOf(vm winch.WorkerVM, keeper string, turn uint64) rostered {
	last := l.wanted[vm.ID]
	out := rostered{VM: vm, Keeper: keeper, Address: last.Address, Turn: turn}
	if !l.lapses.open[vm.ID] {
		out.Earlier = last.Earlier
	}
	if last.Turn != turn {
		out.Address = l.node.cell.addressOf(keeper)
		if last.Keeper != "" {
			out.Earlier = append(slices.Clone(out.Earlier), keeping{last.Keeper, last.Address, last.Turn})
			if n := len(out.Earlier); n > mostEarlier {
				out.Earlier = append([]keeping{{}}, out.Earlier[n-mostEarlier+1:]...)
			}
		}
	}
	if unresponsive, responds := l.planner.Quiet(vm.ID); unresponsive && !responds && l.planner.Heard(vm.ID) {
		out.Settled, out.Runs = true, l.planner.RunsAt(vm.ID)
	}
	out.Bound = l.recordedBound(vm.ID)
	return out
}

// resumeResponsive allows work again on workers that respond again and that the store surely does not
// record as settled.
func (l *lead) awake() {
	for id := range l.roster {
		if unresponsive, responds := l.planner.Quiet(id); unresponsive && responds && !l.settled[id] && !l.mayBound[id] {
			l.planner.Awake(id)
		}
	}
}

// activateKeepers assigns workers to their recorded keepers.
func (l *lead) activate(held []winch.WorkerVM, live map[string]member) {
	changed := make(map[string]bool)
	for _, vm := range held {
		name, turn := l.wanted[vm.ID].Keeper, l.wanted[vm.ID].Turn
		recorded := l.roster[vm.ID]
		if _, ok := live[name]; !ok || recorded.Keeper != name || recorded.Turn != turn || recorded.VM.Born != vm.Born {
			continue
		}
		if l.keepers[vm.ID] == name && l.kept[vm.ID].Turn == turn {
			continue
		}
		if old := l.keepers[vm.ID]; old != "" {
			changed[old] = true
			l.lapses.moved(vm.ID, old, l.kept[vm.ID].Token, l.authority())
			l.lapseNews = true
			l.planner.Unready([]string{vm.ID})
		}
		changed[name] = true
		l.tokens++
		l.keep(vm.ID, name, proto.Kept{
			VM: vm, Token: l.revision*tokensPerOffice + l.tokens, Turn: turn,
			Empty: l.planner.Empty(vm.ID),
		})
	}
	l.dropKept(held, changed)
	for name := range changed {
		l.sendSet(name)
	}
}

// dropUnheld ends the assignments of workers that the planner no longer holds.
func (l *lead) dropKept(vms []winch.WorkerVM, changed map[string]bool) {
	held := make(map[string]bool)
	for _, vm := range vms {
		held[vm.ID] = true
	}
	for id, name := range l.keepers {
		if !held[id] {
			l.lapses.forget(id) // No run that the planner knows of is left there.
			l.unkeep(id)
			changed[name] = true
		}
	}
}
