package region

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/proto"
)

const (
	// firstContactTimeout is how long workers have to respond to a new planner. For those that have not
	// responded by then, the roster records that this planner has renewed no lease there. Most workers
	// respond within some milliseconds.
	firstContactTimeout = 400 * time.Millisecond
	// termRequestTimeout bounds the request to an entry for how long ago a term began.
	termRequestTimeout = 500 * time.Millisecond
	// maxTermRequests bounds the entries that are asked.
	maxTermRequests = 12
	// termHistoryInterval is how often an entry that has started looks for others to ask for earlier terms.
	termHistoryInterval = 100 * time.Millisecond
)

// A planner that has no copy of what its predecessor knew waits until all work at an unresponsive worker
// is guaranteed to have ended, which is as long as the predecessor may have kept authority after its
// term. If a planner is lost while it waits, its successor must not start that wait from the beginning.
// For a worker that has not responded, the roster therefore records a bound: a term since whose beginning
// nobody can have renewed a lease there. Entries ask each other how long ago they saw that term begin.

// boundOf returns the term since whose beginning nobody can have renewed a lease at a worker that this
// planner has had no contact with.
func (l *leadership) boundOf(w rosteredWorker) uint64 {
	if w.Bound != 0 {
		return w.Bound
	}
	return l.term
}

// recordedBound returns the bound to be recorded for a worker. One that was recorded stays until the
// worker has responded; a new one is added once most workers have had the time to respond.
func (l *leadership) recordedBound(worker string) uint64 {
	before := l.previousRoster[worker]
	if l.planner.RunsKnown(worker) || before.Bound == 0 && time.Since(l.startedAt) <= firstContactTimeout {
		return 0
	}
	return l.boundOf(before)
}

// termSeen is when a term was first seen to have begun.
type termSeen struct {
	term uint64
	at   time.Time
}

// maxTerms bounds the terms that are remembered.
const maxTerms = 64

// noteTerm records that a term has begun. The caller holds the mutex.
func (c *cellView) noteTerm(term uint64) {
	if n := len(c.terms); n > 0 && c.terms[n-1].term >= term {
		return
	}
	c.terms = append(c.terms, termSeen{term, time.Now()})
	if len(c.terms) > maxTerms {
		c.terms = c.terms[1:]
	}
}

// termSeen returns when a term, or a later one, was first seen to have begun.
func (c *cellView) termSeen(term uint64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, seen := time.Time{}, false
	for _, t := range c.terms {
		if t.term >= term && (!seen || t.at.Before(first)) {
			first, seen = t.at, true
		}
	}
	return first, seen
}

// termAges returns how long ago the remembered terms were first seen.
func (c *cellView) termAges() []proto.TermAge {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]proto.TermAge, 0, len(c.terms))
	for _, t := range c.terms {
		out = append(out, proto.TermAge{Term: t.term, Age: time.Since(t.at)})
	}
	return out
}

// noteTermAges records how long another entry has known of terms.
func (c *cellView) noteTermAges(ages []proto.TermAge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range ages {
		at := beganBefore(x.Age)
		i, found := slices.BinarySearchFunc(c.terms, x.Term, func(t termSeen, term uint64) int { return cmp.Compare(t.term, term) })
		if !found {
			c.terms = slices.Insert(c.terms, i, termSeen{x.Term, at})
		}
		c.terms[i].at = earlierTime(c.terms[i].at, at)
	}
	c.terms = c.terms[max(0, len(c.terms)-maxTerms):]
}

// beganBefore returns a time by which something had begun that has lasted for the given time on another
// entry's clock.
func beganBefore(age time.Duration) time.Time {
	return time.Now().Add(-time.Duration(float64(age) * (1 - maxClockDrift)))
}

// runTermHistory asks each entry that is linked soon after the start for how long it has known of earlier
// terms. Entries that are restarted one after the other would otherwise forget when those began. Once this
// entry has run for as long as the longest wait, each earlier term has lasted as long.
func (n *Node) runTermHistory(ctx context.Context) {
	asked := make(map[string]bool)
	for ctx.Err() == nil && n.uptime() < barrier() && len(asked) < maxTermRequests {
		for _, name := range n.Peers.Names() {
			if !asked[name] && len(asked) < maxTermRequests && n.requestTermHistory(ctx, name) {
				asked[name] = true
			}
		}
		duty.Sleep(ctx, termHistoryInterval)
	}
}

// requestTermHistory asks an entry for how long it has known of terms, and reports whether it responded.
func (n *Node) requestTermHistory(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, termRequestTimeout)
	defer cancel()
	var resp proto.TermResponse
	if n.Peers.Request(ctx, name, proto.KindTerm, proto.TermRequest{All: true}, &resp) != nil {
		return false
	}
	n.cell.noteTermAges(resp.Terms)
	return true
}

// sendPendingRenewal sends the renewal of a worker's lease that waited for the roster, if any.
func (l *leadership) sendPendingRenewal(worker string) {
	if order, pending := l.pendingRenewals[worker]; pending {
		delete(l.pendingRenewals, worker)
		l.sendRenewal(order)
	}
}

// boundUnresponsive has bounds recorded for the workers that have not responded, and asks other
// entries how long ago the terms that bound their leases began.
func (l *leadership) boundUnresponsive() {
	if l.boundsRequested || time.Since(l.startedAt) <= firstContactTimeout {
		return
	}
	l.boundsRequested = true
	if l.planner.AllRunsKnown() {
		return
	}
	l.reassignPending = true
	terms := make(map[uint64]bool)
	for id, w := range l.previousRoster {
		if !l.planner.RunsKnown(id) {
			terms[l.boundOf(w)] = true
		}
	}
	for i, name := range l.node.Peers.Names() {
		if i == maxTermRequests {
			break
		}
		for term := range terms {
			l.group.Go(func() { l.requestTerm(name, term) })
		}
	}
}

// requestTerm asks an entry for how long it has known that a term began, and shortens the wait for
// workers accordingly.
func (l *leadership) requestTerm(name string, term uint64) {
	ctx, cancel := context.WithTimeout(l.ctx, termRequestTimeout)
	defer cancel()
	var resp proto.TermResponse
	if err := l.node.Peers.Request(ctx, name, proto.KindTerm, proto.TermRequest{Term: term}, &resp); err != nil {
		l.node.Log.Info("entry did not respond to the term request", zap.String("entry", name),
			zap.Uint64("term", term), zap.Error(err))
		return
	}
	if !resp.Known {
		return
	}
	l.node.cell.noteTermAges([]proto.TermAge{{Term: term, Age: resp.Age}})
	began := beganBefore(resp.Age)
	l.post(func() { l.applyTermBegan(term, began) })
}

// applyTermBegan shortens the lease expiries of the workers that are bounded by a term. The term had begun
// by the given time.
func (l *leadership) applyTermBegan(term uint64, at time.Time) {
	for id, w := range l.previousRoster {
		if l.planner.RunsKnown(id) || l.boundOf(w) != term {
			continue
		}
		earlierPlanners := func(a assignment) bool { return a.token == 0 }
		if l.expiries.shorten(id, at.Add(barrier()), earlierPlanners) {
			l.changedExpiries = append(l.changedExpiries, id)
		}
	}
	l.sendExpiries()
}

// termResponse returns for how long this entry has known that a term began.
func (n *Node) termResponse(req proto.TermRequest) proto.TermResponse {
	if req.All {
		return proto.TermResponse{Terms: n.cell.termAges()}
	}
	at, seen := n.cell.termSeen(req.Term)
	if !seen {
		return proto.TermResponse{}
	}
	return proto.TermResponse{Known: true, Age: time.Since(at)}
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
