package region

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// allowRenewal orders a worker's keeper to renew the lease. A standby that may hold an expiry of that
// lease is first notified that it no longer applies: otherwise the standby would start the work a
// second time after taking over.
func (l *leadership) allowRenewal(e proto.KeeperEvent) {
	if l.runsRecorded {
		return // The roster already records when the leases there expire.
	}
	o := proto.Order{Kind: proto.OrderAllowRenewal, Worker: e.Worker, Token: e.Token, Spell: e.Spell}
	if l.maybeBound[e.Worker] {
		l.pendingRenewals[e.Worker] = o
		l.reassignSoon()
		return
	}
	l.sendRenewal(o)
}

// sendRenewal sends an order to allow renewal, after the standby has acknowledged that the worker's
// expiry no longer applies.
func (l *leadership) sendRenewal(o proto.Order) {
	if l.standbyExpiries[o.Worker] {
		l.queuedOrders = append(l.queuedOrders, o)
		l.expiriesChanged = true
		return
	}
	l.sendOrders([]proto.Order{o})
}

// refreshStandby sends the standby a message if the last one was sent a while ago: with it the standby
// knows that the planner works, and that the expiries of unresponsive workers hold. If no standby can be
// reached, all copies are stale after a while. The orders to renew that wait for an acknowledgement are then
// sent, unless an entry may have taken the office with a copy before.
func (l *leadership) refreshStandby() {
	l.sendQueued()
	stale := l.standbyAnsweredAt.Add(expiriesLifetime + expiriesMargin)
	switch {
	case len(l.standbyExpiries) == 0 || time.Now().Before(stale):
	case l.validity.Load().confirmedAt().After(stale):
		l.releaseRenewals()
	case !l.standbysAsked:
		l.standbysAsked = true
		names, answeredAt := l.possibleStandbys(), l.standbyAnsweredAt
		l.group.Go(func() {
			held := l.noLaterTerm(names)
			l.post(func() {
				l.standbysAsked = false
				if held && l.standbyAnsweredAt.Equal(answeredAt) {
					l.releaseRenewals()
				}
			})
		})
	}
}

// possibleStandbys returns the entries that the store names as standby, or may name.
func (l *leadership) possibleStandbys() []string {
	names := maps.Clone(l.maybeNamed)
	names[l.namedStandby] = true
	delete(names, "") // The store may name none.
	return slices.Collect(maps.Keys(names))
}

// noLaterTerm reports whether all the entries respond, and know of no later term than this one. An entry that takes the
// office knows the next term before it uses its copy.
func (l *leadership) noLaterTerm(names []string) bool {
	ctx, cancel := context.WithTimeout(l.ctx, termRequestTimeout)
	defer cancel()
	group := pool.New().WithErrors()
	for _, name := range names {
		group.Go(func() error {
			var resp proto.TermResponse
			err := l.node.Peers.Request(ctx, name, proto.KindTerm, proto.TermRequest{Term: l.term + 1}, &resp)
			if err == nil && resp.Known {
				err = winch.ErrFenced
			}
			return err
		})
	}
	return group.Wait() == nil
}

// releaseRenewals sends the orders to renew that wait for an acknowledgement: if the store were down as well as the
// standby, the leases would expire otherwise.
func (l *leadership) releaseRenewals() {
	l.standbyExpiries, l.ackedExpiries, l.expiriesChanged = make(map[string]bool), nil, true
	waiting := slices.Concat(l.queuedOrders, l.mirroredOrders)
	renews := func(o proto.Order) bool { return o.Kind == proto.OrderAllowRenewal }
	starts := func(o proto.Order) bool { return !renews(o) }
	l.queuedOrders = slices.DeleteFunc(l.queuedOrders, renews)
	l.mirroredOrders = slices.DeleteFunc(l.mirroredOrders, renews)
	l.sendOrders(slices.DeleteFunc(waiting, starts))
}
