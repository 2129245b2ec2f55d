package region

import (
	"context"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

// needsMembers reports whether this entry has to know all entries: it is the planner or its standby, or is
// about to take the office.
func (n *Node) needsMembers() bool {
	return n.candidate.Load() || n.mirror.active()
}

// runByRole runs f until ctx ends, anew whenever this entry begins or ceases to need to know all entries.
func (n *Node) runByRole(ctx context.Context, f func(ctx context.Context, member bool)) {
	for ctx.Err() == nil {
		changed := n.candidateChanged.wait()
		member := n.needsMembers()
		duty.RunUntil(ctx, changed, func(ctx context.Context) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			var group conc.WaitGroup
			defer group.Wait()
			group.Go(func() {
				defer cancel()
				for ctx.Err() == nil && n.needsMembers() == member {
					duty.Sleep(ctx, prefetchCheckInterval)
				}
			})
			f(ctx, member)
		})
	}
}

// watchCell follows the cell's records until ctx ends: all of them for as long as this entry needs to know all
// entries, otherwise the office.
func (n *Node) watchCell(ctx context.Context) {
	n.runByRole(ctx, func(ctx context.Context, member bool) {
		if member {
			n.watchMembers(ctx)
		} else {
			n.watchOffice(ctx)
		}
	})
}

// watchMembers follows all records of the cell until ctx ends.
func (n *Node) watchMembers(ctx context.Context) {
	n.watch(ctx, prefixCell, watchOptions{wait: n.watchWait}, func(values []winch.Value, _ uint64) {
		n.cell.reset(values)
		n.cellChanged()
	}, n.applyCellEvents)
}

// readOffice reads who holds the office, since a peer knows of a later term. The call that waits for changes may hang, and
// the planner may have no link to this entry.
func (n *Node) readOffice(ctx context.Context) {
	if n.needsMembers() || !n.storeResponsive() {
		return
	}
	term, _, err := n.Table.Read(ctx, keyTerm)
	if err != nil {
		return // The next response of a peer names the term again.
	}
	held, _, err := n.Table.Read(ctx, keyOffice)
	if err != nil || n.needsMembers() || len(term) == 0 || term[0].Version <= n.cell.lastTermRevision() {
		return // The call for changes was faster.
	}
	n.cell.resetOffice(append(term, held...))
	n.cellChanged()
}

// watchOffice follows the office until ctx ends.
func (n *Node) watchOffice(ctx context.Context) {
	term, _, err := n.Table.Read(ctx, keyTerm)
	for ; err != nil && ctx.Err() == nil; term, _, err = n.Table.Read(ctx, keyTerm) {
		duty.Sleep(ctx, retryDelay)
	}
	if ctx.Err() != nil {
		return
	}
	n.watch(ctx, keyOffice, watchOptions{wait: n.watchWait}, func(values []winch.Value, _ uint64) {
		n.cell.resetOffice(append(term, values...))
		n.cellChanged()
	}, n.applyCellEvents)
}

func (n *Node) applyCellEvents(events []winch.Event, _ uint64) {
	for _, e := range events {
		n.cell.apply(e)
	}
	n.cellChanged()
}

func (n *Node) cellChanged() {
	n.wakeOffice()
	n.contactsChanged()
	l := n.leadership.Load()
	if l == nil {
		return
	}
	if n.cell.replaced(l.revision) {
		n.Log.Info("another planner holds the office; ending this term", zap.Uint64("term", l.term))
		l.cancel()
		return
	}
	l.post(l.reassignSoon)
}
