package region

import (
	"maps"
	"slices"
	"time"

	"plantainwinch/coord/fleet"
	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// liveEntries returns the entries that can be keepers and use lanes at present.
func (l *leadership) liveEntries() map[string]member {
	out := make(map[string]member)
	for _, m := range l.node.cell.present() {
		if l.node.Peers.Linked(m.Name) || m.Name == l.node.Name && !l.node.leaving.Load() {
			out[m.Name] = m
		}
	}
	return out
}

// reassignSoon has the workers' keepers recomputed with the next decision. Hundreds of entries may
// come and go at once, and each computation goes over all workers.
func (l *leadership) reassignSoon() {
	l.reassignPending = true
	l.decideSoon()
}

// reassign gives each worker a keeper: one of its own failure domain if there is one, so that a
// partitioned domain keeps its work. A keeper is used once it is recorded in the roster.
func (l *leadership) reassign() {
	if l.closed {
		return
	}
	l.reassignPending = false
	begin := time.Now()
	defer func() { l.reassignedAt, l.reassignTime = time.Now(), time.Since(begin) }()
	live := l.liveEntries()
	l.lanes.SetLanes(slices.Collect(maps.Keys(live)))
	for name := range l.keeperBackoff {
		delete(live, name)
	}
	for name, p := range l.proxies {
		if _, ok := live[name]; !ok && !l.reachable(name) {
			l.dropKeeper(p)
		}
	}
	l.chooseStandby(live)
	held := l.planner.WorkersToHold()
	l.chooseKeepers(held, live)
	l.expireEndedKeepers()
	l.activateKeepers(held, live)
	l.askEarlierKeepers()
	l.resumeResponsive()
	l.decideSoon()
}

// askEarlierKeepers opens a session with each entry that kept workers before and keeps none now, until it has
// reported what it knows of them. An entry that is stopping has left the list by then, but responds for two
// more seconds, in which one session may break.
func (l *leadership) askEarlierKeepers() {
	for name := range l.expiries.unreportedKeepers() {
		if l.proxies[name] == nil && l.reachable(name) {
			l.sendAssignments(name)
		}
	}
}

// reachable reports whether messages can be sent to an entry, including one that is stopping. Such a
// keeper keeps its workers until others have been recorded for them, and then reports until when its
// leases run: it responds for two more seconds. The planner's own entry needs no link.
func (l *leadership) reachable(name string) bool {
	return !l.keeperBackoff[name] && (name == l.node.Name || l.node.Peers.Linked(name))
}

// chooseKeepers chooses each worker's keeper, and has the roster written if it differs.
func (l *leadership) chooseKeepers(held []winch.WorkerVM, live map[string]member) {
	pools := newKeeperPools(live, l.busyEntries()...)
	wanted := make(map[string]rosteredWorker, len(held))
	workers := make(map[string]int)
	for _, vm := range held {
		pools.add(l.desired[vm.ID].Keeper)
		workers[vm.Domain]++
	}
	pools.limit(workers)
	for _, vm := range held {
		if keeper := pools.choose(vm.Domain, l.desired[vm.ID].Keeper); keeper != "" {
			wanted[vm.ID] = l.rosterRecord(vm, keeper, l.generationOf(vm.ID, keeper))
		}
	}
	// A keeper has nothing to hold at a replaced boot, but the next planner must know it to recognize the next one.
	for _, vm := range l.planner.ReplacedWorkers() {
		if last, known := l.desired[vm.ID]; known {
			wanted[vm.ID] = l.rosterRecord(vm, last.Keeper, last.Generation)
		}
	}
	l.desired = wanted
	if !maps.EqualFunc(wanted, l.roster, sameRosterRecord) {
		duty.Signal(l.rosterCh)
	}
}

// busyEntries returns the entries with additional work: the planner and its standby.
func (l *leadership) busyEntries() []string {
	out := []string{l.node.Name}
	if l.standby != nil {
		out = append(out, l.standby.name)
	}
	return out
}

// maxEarlierKeepers bounds the earlier keepers that are recorded for a worker. If there are more, an
// entry without a name replaces the oldest ones, of which nothing can be learnt any more.
const maxEarlierKeepers = 16

// sameRosterRecord reports whether a stored record need not be replaced. The runs of a settled worker only become fewer, so
// that their number shows whether they have changed.
func sameRosterRecord(a, b rosteredWorker) bool {
	return a.Keeper == b.Keeper && a.Generation == b.Generation && a.VM.Born == b.VM.Born && a.Settled == b.Settled &&
		len(a.Runs) == len(b.Runs) && a.Bound == b.Bound && a.NextBoot == b.NextBoot && slices.Equal(a.Earlier, b.Earlier)
}

// generationOf returns the generation of a worker's assignment to a keeper: a new one if the keeper
// has changed.
func (l *leadership) generationOf(worker, keeper string) uint64 {
	if last := l.desired[worker]; last.Keeper == keeper && last.Generation != 0 {
		return last.Generation
	}
	l.generations++
	return l.term*generationsPerTerm + l.generations
}

// rosterRecord returns what is to be recorded for a worker. For one that does not respond, or was replaced, the record
// lists all runs that may exist there, once it is known what an earlier planner started there. The
// list stays complete, since nothing is started there until the record is changed again. Without it,
// if the planner and its standby were lost together, the next planner would have to delay all other
// work until everything there is guaranteed to have ended.
func (l *leadership) rosterRecord(vm winch.WorkerVM, keeper string, generation uint64) rosteredWorker {
	last := l.desired[vm.ID]
	out := rosteredWorker{VM: vm, Keeper: keeper, Address: last.Address, Generation: generation, Used: last.Used}
	// A response to a keeper that is about to be replaced fences off those before it, but not that keeper.
	if !l.expiries.renewable[vm.ID] || l.assignments[vm.ID].Generation != last.Generation {
		out.Earlier = last.Earlier
	}
	if last.Generation != generation {
		out.Address, out.Used = l.node.cell.addressOf(keeper), false
		if last.Used { // No keeper answers for an assignment that was recorded but never made.
			out.Earlier = append(slices.Clone(out.Earlier), earlierKeeper{last.Keeper, last.Address, last.Generation})
			if n := len(out.Earlier); n > maxEarlierKeepers {
				out.Earlier = append([]earlierKeeper{{}}, out.Earlier[n-maxEarlierKeepers+1:]...)
			}
		}
	}
	if l.planner.GetsNoWork(vm.ID) && l.planner.RunsKnown(vm.ID) {
		out.Settled, out.Runs = true, l.planner.RunsAt(vm.ID)
	}
	out.Bound, out.NextBoot = l.recordedBound(vm.ID), l.planner.NextBoot(vm.ID)
	return out
}

// resumeResponsive allows work again on workers that respond again, once the stored roster is known to
// list them neither as settled nor with a bound.
func (l *leadership) resumeResponsive() {
	for id := range l.roster {
		if unresponsive, responds := l.planner.Unresponsive(id); unresponsive && responds && !l.maybeSettled[id] && !l.maybeBound[id] {
			l.planner.SetResponsive(id)
		}
	}
}

// noteListed has the record of a next boot changed once no call for an earlier boot has an effect there any more.
func (l *leadership) noteListed(id string) {
	if l.planner.NextBoot(id) {
		l.group.Go(func() {
			duty.Sleep(l.ctx, fleet.NextBootTimeout)
			l.post(l.reassignSoon)
		})
	}
}

// activateKeepers assigns workers to their recorded keepers.
func (l *leadership) activateKeepers(held []winch.WorkerVM, live map[string]member) {
	changed := make(map[string]bool)
	for _, vm := range held {
		name, generation := l.desired[vm.ID].Keeper, l.desired[vm.ID].Generation
		recorded := l.roster[vm.ID]
		if _, ok := live[name]; !ok || recorded.Keeper != name || recorded.Generation != generation || recorded.VM.Born != vm.Born {
			continue
		}
		if l.keepers[vm.ID] == name && l.assignments[vm.ID].Generation == generation {
			continue
		}
		if old := l.keepers[vm.ID]; old != "" {
			changed[old] = true
			l.expiries.endAssignment(vm.ID, old, l.assignments[vm.ID].Token, l.grantedTo(old))
			l.expiriesChanged = true
			l.planner.SetUnready([]string{vm.ID})
		}
		changed[name] = true
		l.recordAssignment(vm.ID, name, proto.Assignment{
			VM: vm, Token: l.nextToken(), Generation: generation,
			Empty: l.planner.Empty(vm.ID), NextBoot: l.planner.NextBoot(vm.ID),
		})
	}
	l.dropUnheld(held, changed)
	for name := range changed {
		l.sendAssignments(name)
	}
}

// dropUnheld ends the assignments of workers that the planner no longer holds.
func (l *leadership) dropUnheld(vms []winch.WorkerVM, changed map[string]bool) {
	held := make(map[string]bool)
	for _, vm := range vms {
		held[vm.ID] = true
	}
	for id, name := range l.keepers {
		if !held[id] {
			l.expiries.forget(id) // No run that the planner knows of is left there.
			l.removeAssignment(id)
			changed[name] = true
		}
	}
}
