package region

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

const (
	// preemptCheckInterval is how often a standby checks whether the planner is silent.
	preemptCheckInterval = 50 * time.Millisecond
	// maxPlannerSilence is how long a planner may send its standby nothing before the standby takes the
	// office over, and maxUnlinkedSilence how long if there is no link to the planner either.
	maxPlannerSilence  = 350 * time.Millisecond
	maxUnlinkedSilence = 150 * time.Millisecond
	// minPlannerTerm is how long a planner serves before its standby may replace it: a takeover is more
	// work than usual, in which a planner on a busy VM may fall silent.
	minPlannerTerm = 1500 * time.Millisecond
	// maxCheckDelay is how late a check may be. After a longer delay this entry may have been paused, and
	// messages of the planner may wait to be read.
	maxCheckDelay = 100 * time.Millisecond
	// revokeTimeout bounds the call that ends the office's lease.
	revokeTimeout = 500 * time.Millisecond
)

// runPreemption ends the office of a planner that no longer sends messages, or that asks for it, while
// this entry is its standby and the store answers it, until ctx ends. A lost planner is then replaced
// long before its lease expires. That is safe if the planner is alive: it starts nothing that this entry
// has not acknowledged, and from the takeover on this entry acknowledges nothing of it.
func (n *Node) runPreemption(ctx context.Context) {
	checked := time.Now()
	contact := checked // contact is a time after which only silence counts.
	for ctx.Err() == nil {
		duty.Sleep(ctx, preemptCheckInterval)
		now := time.Now()
		last, _, _ := n.mirror.contact(n.cell.officeTerm())
		contact, checked = leaveOutPause(contact, last, checked, now), now
		if held, silent := n.silentPlanner(now, contact); silent {
			n.preempt(ctx, held)
		}
	}
}

// leaveOutPause returns the time after which only silence counts, given the last message and the last check. The time by which a
// check is late is no silence: where processes wait for a processor, the planner may wait for one, too.
func leaveOutPause(contact, last, checked, now time.Time) time.Time {
	switch late := now.Sub(checked) - preemptCheckInterval; {
	case late > maxCheckDelay:
		return now
	case late > duty.MaxTimerDelay:
		return earlierTime(later(contact, last).Add(late), now)
	}
	return contact
}

// silentPlanner returns the office of a planner that this entry should replace as its standby, if there
// is one.
func (n *Node) silentPlanner(now, contact time.Time) (office, bool) {
	n.cell.mu.Lock()
	held, at := n.cell.office, n.cell.officeRevision
	standby := n.cell.standby
	n.cell.mu.Unlock()
	if at == 0 || held.Lease == 0 || held.Holder == n.Name || standby.Name != n.Name || standby.Term != held.Term || n.stopping.Load() {
		return held, false
	}
	if began, seen := n.cell.termSeen(held.Term); !seen || now.Sub(began) < minPlannerTerm {
		return held, false
	}
	if !n.storeResponsive() || n.health.suspect(now) {
		return held, false
	}
	last, yields, complete := n.mirror.contact(held.Term)
	limit := maxPlannerSilence
	if !n.Peers.Linked(held.Holder) {
		limit = maxUnlinkedSilence
	}
	silence := now.Sub(later(last, contact))
	return held, complete && (yields || silence > limit)
}

// preempt ends the lease on a planner's office, so that this entry can take the office, unless the store
// names another standby by now.
func (n *Node) preempt(ctx context.Context, held office) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if !n.namedStandby(ctx, held.Term) {
		return
	}
	err := n.Table.RevokeLease(ctx, held.Lease)
	n.Log.Info("ending the office of a planner that is silent or asks for it", zap.String("holder", held.Holder),
		zap.Uint64("term", held.Term), zap.Error(err))
	if err == nil || errors.Is(err, winch.ErrNotFound) {
		n.cell.dropOffice(held.Term)
		n.wakeOffice()
	}
}

// namedStandby reports whether the store names this entry as standby of a term's planner. What this entry
// knows of the store may be out of date after it was partitioned.
func (n *Node) namedStandby(ctx context.Context, term uint64) bool {
	values, _, err := n.Table.Read(ctx, keyStandby)
	if err != nil {
		return false
	}
	for _, v := range values {
		var r standbyRecord
		if v.Key == keyStandby && decode(v.Data, &r) == nil {
			return r.Term == term && r.Name == n.Name
		}
	}
	return false
}

// contact returns when the last message of a term's planner was accepted, whether it asked this entry to
// take over, and whether this entry has its complete copy.
func (m *mirror) contact(term uint64) (last time.Time, yields, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact, m.yields, m.runs != nil && m.term == term
}

// officeTerm returns the term of the office as last seen.
func (c *cellView) officeTerm() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.office.Term
}

// dropOffice records that the office of a term is known to have ended.
func (c *cellView) dropOffice(term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.office.Term == term {
		c.office, c.officeRevision = office{}, 0
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
