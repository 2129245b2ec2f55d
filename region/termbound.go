package region

import (
	"context"
	"time"

	"go.uber.org/zap"

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
	for _, t := range c.terms {
		if t.term >= term {
			return t.at, true
		}
	}
	return time.Time{}, false
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
	began := time.Now().Add(-time.Duration(float64(resp.Age) * (1 - maxClockDrift)))
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
