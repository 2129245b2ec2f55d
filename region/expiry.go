package region

import (
	"time"

	"plantainwinch/coord/keep"
	"plantainwinch/proto"
)

// leaseExpiries tracks until when work may run at workers that do not respond. A worker that left
// reports nothing, so what ran there counts as running until the last lease that any keeper granted is
// guaranteed to have expired. That time is passed on when keepers and planners change. If each new one
// started the wait from the beginning, it would never end while entries are stopped or killed one after
// the other, and lasting tasks would stay down.
type leaseExpiries struct {
	// earlier lists, by worker, the assignments before the current one.
	earlier map[string][]assignment
	// renewable holds the workers whose current keeper may renew the lease.
	renewable map[string]bool
	// fixed holds the lease expiry of workers that responded to their current keeper and no longer do;
	// the keeper renews nothing there until it is ordered to.
	fixed map[string]time.Time
	// unresponsive holds the workers that do not respond to their keeper.
	unresponsive map[string]bool
	// before holds, by worker, when the leases have expired that keepers before the current one granted.
	before map[string]time.Time
}

// assignment is an earlier assignment of a worker to a keeper.
type assignment struct {
	// token is zero for an assignment by an earlier planner; generation identifies it then.
	token      uint64
	generation uint64
	keeper     string
	// address is the keeper's address as recorded in the roster.
	address string
	// revision is that of the roster's record that names the keeper.
	revision uint64
	// expiry is when the leases under the assignment are guaranteed to have expired.
	expiry time.Time
	// reported says that the keeper has reported that time.
	reported bool
	// presumed is set for an assignment that another planner may have made after this one's office
	// expired. An entry that takes the office next knows that there was no such planner.
	presumed bool
}

func newLeaseExpiries() leaseExpiries {
	return leaseExpiries{
		earlier: make(map[string][]assignment), renewable: make(map[string]bool),
		fixed: make(map[string]time.Time), unresponsive: make(map[string]bool), before: make(map[string]time.Time),
	}
}

// add adds an assignment by an earlier planner.
func (s *leaseExpiries) add(worker string, a assignment) {
	s.earlier[worker] = append(s.earlier[worker], a)
}

// markListed records that a worker has responded to its current keeper: all earlier keepers are fenced
// off, and the current one is about to be allowed to renew the lease. A lease that one of them granted lasts for the given time
// at most.
func (s *leaseExpiries) markListed(worker string, lease time.Duration) {
	delete(s.earlier, worker)
	s.before[worker] = time.Now().Add(keep.ExpiryBound(lease))
	s.markResponsive(worker)
}

// markResponsive records that a worker responds to its current keeper again.
func (s *leaseExpiries) markResponsive(worker string) {
	delete(s.fixed, worker)
	delete(s.unresponsive, worker)
	s.renewable[worker] = true
}

// markLostInDoubt records that all leases at a worker have expired, unless another planner has assigned
// it since this one's office expired.
func (s *leaseExpiries) markLostInDoubt(worker string) {
	s.forget(worker)
	s.unresponsive[worker] = true
	s.add(worker, assignment{presumed: true, expiry: time.Now().Add(barrier())})
}

// markUnresponsive records that a worker does not respond to its current keeper. The leases that this
// keeper granted run for at most the given time.
func (s *leaseExpiries) markUnresponsive(worker string, left time.Duration) {
	s.unresponsive[worker] = true
	if s.renewable[worker] {
		delete(s.renewable, worker)
		s.fixed[worker] = time.Now().Add(left)
	}
}

// endAssignment records that the current assignment of a worker ends. A keeper that could renew the
// lease may go on for as long as it has authority; it may report an earlier expiry later.
func (s *leaseExpiries) endAssignment(worker, keeper string, token uint64, authority atMost) {
	expiry, fixed := s.fixed[worker]
	if s.renewable[worker] {
		// The authority may be shorter than a lease from before the assignment.
		expiry, fixed = later(time.Now().Add(keep.ExpiryBound(time.Duration(authority))), s.before[worker]), true
	}
	if fixed {
		s.earlier[worker] = append(s.earlier[worker], assignment{token: token, keeper: keeper, expiry: expiry})
	}
	delete(s.renewable, worker)
	delete(s.fixed, worker)
	delete(s.before, worker)
}

// applyRelease applies a keeper's report on an assignment that has ended, and reports whether the
// leases expire earlier than was known. The report covers the keeper's earlier assignments of the worker.
func (s *leaseExpiries) applyRelease(keeper string, e proto.KeeperEvent) bool {
	matches := func(a assignment) bool {
		return a.token == e.Token || a.token == 0 && a.generation != 0 && a.keeper == keeper && a.generation <= e.Turn
	}
	for i, a := range s.earlier[e.Worker] {
		s.earlier[e.Worker][i].reported = a.reported || matches(a)
	}
	return s.shorten(e.Worker, time.Now().Add(e.Left), matches)
}

// unreportedKeepers returns the keepers that have not reported when the leases under an earlier assignment
// expire.
func (s *leaseExpiries) unreportedKeepers() map[string]bool {
	out := make(map[string]bool)
	for _, list := range s.earlier {
		for _, a := range list {
			if !a.reported && time.Until(a.expiry) > 0 {
				out[a.keeper] = true
			}
		}
	}
	return out
}

// endKeeper records that the leases of a keeper whose process is over expire at expiry. It reports
// whether that is earlier than was known for a worker.
func (s *leaseExpiries) endKeeper(worker, keeper string, expiry time.Time) bool {
	return s.shorten(worker, expiry, func(a assignment) bool { return a.keeper == keeper })
}

// endKeepers applies the ends of keepers' processes, and returns the workers whose leases expire earlier than was
// known. It asks once for each keeper and record that names it, since a keeper has many workers.
func (s *leaseExpiries) endKeepers(endingOf func(assignment) keeperEnding) (shortened []string) {
	type recordedKeeper struct {
		name     string
		revision uint64
	}
	endings := make(map[recordedKeeper]keeperEnding)
	for id, list := range s.earlier {
		for _, a := range list {
			recorded := recordedKeeper{a.keeper, a.revision}
			ending, known := endings[recorded]
			if !known {
				ending = endingOf(a)
				endings[recorded] = ending
			}
			if ending.ended && s.endKeeper(id, a.keeper, ending.at.Add(keep.ExpiryBound(maxLease))) {
				shortened = append(shortened, id)
			}
		}
	}
	return shortened
}

// shorten limits the matching earlier assignments of a worker to expiry, and reports whether any of
// them would have expired later.
func (s *leaseExpiries) shorten(worker string, expiry time.Time, matches func(assignment) bool) bool {
	shortened := false
	for i, a := range s.earlier[worker] {
		if matches(a) && expiry.Before(a.expiry) {
			s.earlier[worker][i].expiry = expiry
			shortened = true
		}
	}
	return shortened
}

// forget drops a worker whose work is known to have ended.
func (s *leaseExpiries) forget(worker string) {
	delete(s.earlier, worker)
	delete(s.unresponsive, worker)
	delete(s.renewable, worker)
	delete(s.fixed, worker)
	delete(s.before, worker)
}

// remaining returns how long leases under earlier assignments of a worker may still run.
func (s *leaseExpiries) remaining(worker string) time.Duration {
	left := time.Duration(0)
	for _, a := range s.earlier[worker] {
		left = max(left, time.Until(a.expiry))
	}
	return left
}

// expiresIn returns how long it takes until all leases at a worker have expired, at least a
// millisecond. It returns zero if the worker's keeper may still renew them.
func (s *leaseExpiries) expiresIn(worker string) time.Duration {
	if s.renewable[worker] {
		return 0
	}
	left := s.remaining(worker)
	if expiry, fixed := s.fixed[worker]; fixed {
		left = max(left, time.Until(expiry))
	}
	return max(left, time.Millisecond)
}

// mirrorUpdate returns, for the standby, until when work may run at the unresponsive workers whose leases
// nobody may renew at present. With withoutContact set, it includes the workers that have not responded to
// their current keeper yet.
func (s *leaseExpiries) mirrorUpdate(keepers map[string]string, withoutContact bool) []proto.MirrorLeaseExpiry {
	var out []proto.MirrorLeaseExpiry
	for worker := range s.unresponsive {
		expiry, fixed := s.fixed[worker]
		if fixed || len(s.earlier[worker]) == 0 {
			out = append(out, proto.MirrorLeaseExpiry{Worker: worker, Keeper: keepers[worker], Left: time.Until(expiry)})
		}
	}
	for worker, list := range s.earlier {
		if !s.unresponsive[worker] && !withoutContact {
			continue
		}
		for _, a := range list {
			left := time.Until(a.expiry)
			if a.presumed {
				left = 0
			}
			out = append(out, proto.MirrorLeaseExpiry{Worker: worker, Keeper: a.keeper, Left: left})
		}
	}
	return out
}

// inheritExpiries determines until when work of the earlier planner may run at its workers: as long as
// its authority may last, or until the expiry that this entry was sent as its standby.
func (l *leadership) inheritExpiries() {
	latest := l.startedAt.Add(barrier())
	for id, w := range l.previousRoster {
		expiry := latest
		if at, seen := l.node.cell.termSeen(l.boundOf(w)); seen {
			expiry = earlierTime(expiry, at.Add(barrier()))
		}
		if w.Left > 0 {
			expiry = earlierTime(expiry, l.startedAt.Add(w.Left))
		}
		if l.copiedExpiries[id] == nil {
			for _, k := range append([]earlierKeeper{{w.Keeper, w.Address, w.Generation}}, w.Earlier...) {
				l.expiries.add(id, assignment{generation: k.Generation, keeper: k.Keeper, address: k.Address, revision: w.Revision, expiry: expiry})
			}
		}
		for _, a := range l.copiedExpiries[id] {
			a.generation = w.onlyGenerationOf(a.keeper)
			l.expiries.add(id, a)
		}
	}
}

// expireEndedKeepers shortens the expiries of keepers whose process is known to have ended. Such a keeper
// cannot report when its leases expire, but it has renewed none since its end: they last one lease
// duration from then on, however long its authority was.
func (l *leadership) expireEndedKeepers() {
	for _, id := range l.expiries.endKeepers(l.keeperEnding) {
		if l.expiries.unresponsive[id] {
			l.changedExpiries = append(l.changedExpiries, id)
		}
	}
	l.sendExpiries()
}

// keeperEnding says whether a keeper's process is known to have ended, and by when.
type keeperEnding struct {
	at    time.Time
	ended bool
}

// keeperEnding returns what is known of the end of an earlier assignment's keeper.
func (l *leadership) keeperEnding(a assignment) keeperEnding {
	l.noteEarlierBoot(a)
	at, ended := l.node.cell.endedBy(a.keeper)
	return keeperEnding{at, ended}
}

// noteEarlierBoot records that an earlier planner's keeper has ended if another boot, possibly this one,
// is seen at its address.
func (l *leadership) noteEarlierBoot(a assignment) {
	switch {
	case a.address == "" || a.keeper == l.node.Name:
	case a.address == l.node.Address:
		l.node.cell.noteEarlierBoot(a.keeper, l.node.started)
	default:
		l.node.cell.noteSuccessor(a.keeper, a.address, a.revision)
	}
}

// releaseAssignment handles a keeper's report on an ended assignment. It is more precise than the
// assumed expiry, so it is passed on to the worker's current keeper unless the worker has responded to
// that one: the current keeper may have to report it to the next planner.
func (l *leadership) releaseAssignment(keeper string, e proto.KeeperEvent) {
	if l.expiries.applyRelease(keeper, e) && !l.expiries.renewable[e.Worker] {
		l.changedExpiries = append(l.changedExpiries, e.Worker)
	}
}

// applyExpiryEvent updates the lease expiries with an event of a worker's current assignment.
func (l *leadership) applyExpiryEvent(e proto.KeeperEvent) {
	switch e.Kind {
	case proto.EventListed:
		l.expiries.markListed(e.Worker, l.longestLease(e.Worker))
		l.allowRenewal(e)
	case proto.EventResponsive:
		l.expiries.markResponsive(e.Worker)
		l.allowRenewal(e)
	case proto.EventUnresponsive:
		l.expiries.markUnresponsive(e.Worker, e.Left)
		l.changedExpiries = append(l.changedExpiries, e.Worker)
	}
}

// longestLease returns the longest lease that a worker may have been granted before it listed its runs. A late call for an
// earlier boot may have asked a next one for more than keepers do.
func (l *leadership) longestLease(worker string) time.Duration {
	if l.assignments[worker].NextBoot {
		return max(l.node.keeper.Lease, l.node.keeper.WorkerLease)
	}
	return l.node.keeper.Lease
}

// sendExpiries passes changed expiries on: those under earlier assignments to the workers' current
// keepers, and all to the standby.
func (l *leadership) sendExpiries() {
	if len(l.changedExpiries) == 0 {
		return
	}
	keepers := make(map[string]bool)
	for _, id := range l.changedExpiries {
		if len(l.expiries.earlier[id]) > 0 && l.proxies[l.keepers[id]] != nil {
			keepers[l.keepers[id]] = true
		}
	}
	l.changedExpiries = nil
	for name := range keepers {
		l.sendAssignments(name)
	}
	l.expiriesChanged = true
	l.sendQueued()
}
