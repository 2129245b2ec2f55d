package region

import (
	"slices"
	"time"

	"plantainwinch/coord/keep"
	"plantainwinch/proto"
)

// leaseExpiries tracks until when work may run at workers that do not respond. A worker that left
// reports nothing, so what ran there counts as running until the last lease that any keeper granted is
// guaranteed to have expired. That time is passed on when keepers and planners change: if each new one
// counted it anew, it would never be reached while entries are stopped or killed one after the other,
// and lasting tasks would stay down.
type lapses struct {
	// earlier lists, by worker, the assignments before the current one.
	past map[string][]holding
	// renewable holds the workers whose current keeper may renew the lease.
	open map[string]bool
	// fixed holds the lease expiry of workers that responded to their current keeper and no longer do;
	// the keeper renews nothing until it is ordered to.
	shut map[string]time.Time
	// unresponsive holds the workers that do not respond to their keeper.
	mute map[string]bool
}

// assignment is an earlier assignment of a worker to a keeper.
type holding struct {
	// token is zero for an assignment by an earlier planner; generation identifies it then.
	token  uint64
	turn   uint64
	keeper string
	// address is the keeper's address as recorded in the roster.
	address string
	// expiry is when the leases under the assignment are guaranteed to have expired.
	lapse time.Time
}

func newLapses() lapses {
	return lapses{
		past: make(map[string][]holding), open: make(map[string]bool),
		shut: make(map[string]time.Time), mute: make(map[string]bool),
	}
}

// add adds an assignment by an earlier planner.
func (s *lapses) inherit(worker string, a holding) {
	s.past[worker] = append(s.past[worker], a)
}

// markListed records that a worker has responded to its current keeper: all earlier keepers are fenced
// off, and the current one is about to be allowed to renew the lease.
func (s *lapses) listed(worker string) {
	delete(s.past, worker)
	s.back(worker)
}

// markResponsive records that a worker responds to its current keeper again.
func (s *lapses) back(worker string) {
	delete(s.shut, worker)
	delete(s.mute, worker)
	s.open[worker] = true
}

// markUnresponsive records that a worker does not respond to its current keeper, under which leases
// run for at most left.
func (s *lapses) silent(worker string, left time.Duration) {
	s.mute[worker] = true
	if s.open[worker] {
		delete(s.open, worker)
		s.shut[worker] = time.Now().Add(left)
	}
}

// endAssignment records that the current assignment of a worker ends. A keeper that could renew the
// lease may go on for as long as it has authority; it may report an earlier expiry later.
func (s *lapses) moved(worker, keeper string, token uint64, authority time.Duration) {
	expiry, fixed := s.shut[worker]
	if s.open[worker] {
		expiry, fixed = time.Now().Add(keep.Surely(authority)), true
	}
	if fixed {
		s.past[worker] = append(s.past[worker], holding{token: token, keeper: keeper, lapse: expiry})
	}
	delete(s.open, worker)
	delete(s.shut, worker)
}

// applyRelease applies a keeper's report on an assignment that has ended, and reports whether the
// leases expire earlier than was known.
func (s *lapses) released(keeper string, e proto.KeepEvent) bool {
	return s.shorten(e.Worker, time.Now().Add(e.Left), func(a holding) bool {
		return a.token == e.Token || a.token == 0 && a.keeper == keeper && a.turn == e.Turn
	})
}

// endKeeper records that the leases of a keeper whose process is over expire at expiry. It reports
// whether that is earlier than was known for a worker.
func (s *lapses) ended(worker, keeper string, expiry time.Time) bool {
	return s.shorten(worker, expiry, func(a holding) bool { return a.keeper == keeper })
}

// shorten limits the matching earlier assignments of a worker to expiry, and reports whether any of
// them would have expired later.
func (s *lapses) shorten(worker string, expiry time.Time, matches func(holding) bool) bool {
	shortened := false
	for i, a := range s.past[worker] {
		if matches(a) && expiry.Before(a.lapse) {
			s.past[worker][i].lapse = expiry
			shortened = true
		}
	}
	return shortened
}

// forget drops a worker whose work has surely ended.
func (s *lapses) forget(worker string) {
	delete(s.past, worker)
	delete(s.mute, worker)
	delete(s.open, worker)
	delete(s.shut, worker)
}

// remaining returns how long leases under earlier assignments of a worker may still run.
func (s *lapses) left(worker string) time.Duration {
	left := time.Duration(0)
	for _, a := range s.past[worker] {
		left = max(left, time.Until(a.lapse))
	}
	return left
}

// expiresIn returns after how long all leases at a worker have expired if nobody may renew them at
// present, and zero if its keeper may.
func (s *lapses) ends(worker string) time.Duration {
	if s.open[worker] {
		return 0
	}
	left := s.left(worker)
	if expiry, fixed := s.shut[worker]; fixed {
		left = max(left, time.Until(expiry))
	}
	return max(left, time.Millisecond)
}

// updates returns until when work may run at the unresponsive workers whose leases nobody may renew at
// present; with withoutContact, also at those that have not responded to their current keeper yet.
func (s *lapses) told(keepers map[string]string, withoutContact bool) []proto.MirrorLapse {
	var out []proto.MirrorLapse
	for worker := range s.mute {
		expiry, fixed := s.shut[worker]
		if fixed || len(s.past[worker]) == 0 {
			out = append(out, proto.MirrorLapse{Worker: worker, Keeper: keepers[worker], Left: time.Until(expiry)})
		}
	}
	for worker, list := range s.past {
		if !s.mute[worker] && !withoutContact {
			continue
		}
		for _, a := range list {
			out = append(out, proto.MirrorLapse{Worker: worker, Keeper: a.keeper, Left: time.Until(a.lapse)})
		}
	}
	return out
}

// inheritExpiries determines until when work of the earlier planner may run at its workers: as long as
// its authority may last, or until the expiry that this entry was sent as its standby.
func (l *lead) inheritLapses() {
	latest := l.began.Add(barrier())
	for id, w := range l.before {
		expiry := latest
		if at, seen := l.node.cell.termSeen(l.boundOf(w)); seen {
			expiry = earlier(expiry, at.Add(barrier()))
		}
		if w.Left > 0 {
			expiry = earlier(expiry, l.began.Add(w.Left))
		}
		if l.copiedLapses[id] == nil {
			for _, k := range append([]keeping{{w.Keeper, w.Address, w.Turn}}, w.Earlier...) {
				l.lapses.inherit(id, holding{turn: k.Turn, keeper: k.Keeper, address: k.Address, lapse: expiry})
			}
		}
		l.lapses.past[id] = append(l.lapses.past[id], l.copiedLapses[id]...)
	}
}

// expireEndedKeepers handles keepers whose successors have been seen. Those keepers can't be asked any
// more, but a process that has ended renews nothing. So the authority that it had does not count, only
// one lease from its end on.
func (l *lead) endKeepers() {
	for id, list := range l.lapses.past {
		for _, a := range list {
			l.noteEarlierBoot(a)
			at, ended := l.node.cell.endedBy(a.keeper)
			if ended && l.lapses.ended(id, a.keeper, at.Add(keep.Surely(leaseMost))) && l.lapses.mute[id] {
				l.lapsed = append(l.lapsed, id)
			}
		}
	}
	l.tellLapses()
}

// noteEarlierBoot notes that an earlier planner's keeper has ended if another boot, possibly this one,
// is seen at its address.
func (l *lead) noteEarlierBoot(a holding) {
	switch {
	case a.address == "" || a.keeper == l.node.Name:
	case a.address == l.node.Address:
		l.node.cell.noteEndedHere(a.keeper, l.node.started)
	default:
		l.node.cell.noteSuccessor(a.keeper, a.address, l.rosterRead)
	}
}

// releaseAssignment handles a keeper's report on an ended assignment. It is more precise than the
// assumed expiry, so it is passed on to the worker's current keeper unless the worker has responded to
// that one: the current keeper may have to report it to the next planner.
func (l *lead) letGo(keeper string, e proto.KeepEvent) {
	if l.lapses.released(keeper, e) && !l.lapses.open[e.Worker] {
		l.lapsed = append(l.lapsed, e.Worker)
	}
}

// applyExpiryEvent updates the lease expiries with an event of a worker's current assignment.
func (l *lead) lapseEvent(e proto.KeepEvent) {
	switch e.Kind {
	case proto.EventListed:
		l.lapses.listed(e.Worker)
		l.allowRenewal(e)
	case proto.EventBack:
		l.lapses.back(e.Worker)
		l.allowRenewal(e)
	case proto.EventSilent:
		l.lapses.silent(e.Worker, e.Left)
		l.lapsed = append(l.lapsed, e.Worker)
	}
}

// allowRenewal lets a worker's keeper renew the lease. If a standby may know an expiry of that lease,
// it is told first that the expiry no longer holds: otherwise it would start the work a second time
// after taking over.
func (l *lead) allowRenewal(e proto.KeepEvent) {
	if l.recorded {
		return // The time at which the leases there expire is recorded.
	}
	o := proto.Order{Kind: proto.OrderRenew, Worker: e.Worker, Token: e.Token, Spell: e.Spell}
	if l.mayBound[e.Worker] {
		l.renewals[e.Worker] = o
		l.reassignSoon()
		return
	}
	l.sendRenewal(o)
}

// sendRenewal sends an order to renew once the standby uses no earlier expiry of the worker.
func (l *lead) sendRenewal(o proto.Order) {
	if l.words[o.Worker] {
		l.queued = append(l.queued, o)
		l.lapseNews = true
		return
	}
	l.send([]proto.Order{o})
}

// refreshStandby sends the expiries of unresponsive workers to the standby again before its copy becomes
// stale. If no standby can be reached, all copies are stale after a while. Then renewals that wait for
// an acknowledgement go out: if the store were down as well, the leases would expire otherwise.
func (l *lead) keepWords() {
	if len(l.lapses.mute) > 0 && time.Since(l.wordsAt) > wordAgain {
		l.lapseNews = true
		l.pump()
	}
	if len(l.words) == 0 || time.Since(l.wordsHeard) < wordTime+wordMargin {
		return
	}
	l.words, l.acked, l.lapseNews = make(map[string]bool), nil, true
	waiting := slices.Concat(l.queued, l.told)
	renews := func(o proto.Order) bool { return o.Kind == proto.OrderRenew }
	starts := func(o proto.Order) bool { return !renews(o) }
	l.queued = slices.DeleteFunc(l.queued, renews)
	l.told = slices.DeleteFunc(l.told, renews)
	l.send(slices.DeleteFunc(waiting, starts))
}

// sendExpiries passes changed expiries on: those under earlier assignments to the workers' current
// keepers, and all to the standby.
func (l *lead) tellLapses() {
	if len(l.lapsed) == 0 {
		return
	}
	keepers := make(map[string]bool)
	for _, id := range l.lapsed {
		if len(l.lapses.past[id]) > 0 && l.proxies[l.keepers[id]] != nil {
			keepers[l.keepers[id]] = true
		}
	}
	l.lapsed = nil
	for name := range keepers {
		l.sendSet(name)
	}
	l.lapseNews = true
	l.pump()
}
