package region

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"plantainwinch/coord/keep"
	"plantainwinch/duty"
	"plantainwinch/winch"
)

const (
	// rankDelay is how much later each entry tries to take a free office than the entry ranked before
	// it: the time of two calls to the store.
	rankDelay = 25 * time.Millisecond
	// maxRanks bounds the entries that each have a delay of their own. The others wait a little longer
	// than these, spread over spreadDelay: of hundreds of entries only some then try before they see that
	// the office is taken.
	maxRanks    = 8
	spreadDelay = 300 * time.Millisecond
	// weakDelay is how much longer an entry on a weak VM waits. When all entries start at once, the
	// strong ones are known from their last records and may be slower.
	weakDelay = 600 * time.Millisecond
	// lastHolderDelay is how much longer an entry waits if the last planner still runs. After an outage of the
	// store entries reach it again within 0.7 s of each other, mostly at once.
	lastHolderDelay = 300 * time.Millisecond
	// yieldBackoff is how long an entry that yielded the office to a stronger one stays behind, so
	// that it does not take the office back before the stronger one sees that it is free.
	yieldBackoff = 2 * time.Second
	// officePollInterval is how often the office is checked if no change was reported.
	officePollInterval = time.Second
	// validityMargin is subtracted from the office's lease: work that is decided just before the lease
	// expires still has to be sent.
	validityMargin = 150 * time.Millisecond
)

// runOffice takes the region's office, the planner's leadership lease in the store, whenever it is
// free, until ctx ends.
func (n *Node) runOffice(ctx context.Context) {
	for ctx.Err() == nil {
		n.endStaleOffice(ctx)
		if n.mayTakeOffice() {
			duty.Sleep(ctx, n.electionDelay())
			if n.mayTakeOffice() {
				n.tryOffice(ctx)
			}
		}
		timer := time.NewTimer(officePollInterval)
		select {
		case <-ctx.Done():
		case <-n.officeWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// mayTakeOffice reports whether this entry may try to take the office: as far as is known the office is
// free, a configuration is in force, and the entry is not stopping.
func (n *Node) mayTakeOffice() bool {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	return n.cell.loaded && n.cell.officeRevision == 0 && !n.stopping.Load() && n.settings.config.Load() != nil
}

// endStaleOffice frees the office if an earlier process of this VM holds it, so that nobody waits for
// its lease to expire. That process has ended, since it listened on the address on which this one
// listens. Its standby can then take over at once.
func (n *Node) endStaleOffice(ctx context.Context) {
	n.cell.mu.Lock()
	held, at := n.cell.office, n.cell.officeRevision
	n.cell.mu.Unlock()
	if at == 0 || held.Holder == n.Name || held.Address != n.Address {
		return
	}
	_, err := n.Table.Commit(ctx, winch.Txn{Expect: map[string]uint64{keyOffice: at}, Remove: []string{keyOffice}})
	n.Log.Info("freeing the office of an earlier process of this VM", zap.String("holder", held.Holder),
		zap.Uint64("term", held.Term), zap.Error(err))
	if err == nil {
		n.forgetOffice(at)
	}
}

// electionDelay returns how long this entry leaves a free office to others: to those ranked before it,
// and longer to those that can plan better. It is bounded, since those before it may all be lost.
func (n *Node) electionDelay() time.Duration {
	last := n.cell.currentTerm()
	if last.Holder == n.Name && n.mirror.holds(last.Term) {
		return n.yieldDelay()
	}
	if !n.cell.isFull() {
		return n.spreadElectionDelay() + n.lastHolderDelay(last)
	}
	rank := n.rank()
	wait := time.Duration(min(rank, maxRanks)) * rankDelay
	if rank == 0 {
		return wait
	}
	if rank > maxRanks {
		wait += rand.N(spreadDelay)
	}
	if !strong(n.Share, maxShare(slices.Values(n.cell.list()))) {
		wait += weakDelay
	}
	return wait + n.yieldDelay() + n.lastHolderDelay(last)
}

// lastHolderDelay returns how much longer this entry waits for the last planner, if that still runs: its office may
// have expired during an outage of the store, and it knows best what runs.
func (n *Node) lastHolderDelay(last office) time.Duration {
	if last.Holder != "" && last.Holder != n.Name && n.Peers.Linked(last.Holder) {
		return lastHolderDelay
	}
	return 0
}

// yieldDelay returns how much longer this entry waits because it has yielded the office lately.
func (n *Node) yieldDelay() time.Duration {
	if yielded := n.yielded.Load(); yielded != nil && time.Since(*yielded) < yieldBackoff {
		return yieldBackoff
	}
	return 0
}

// spreadElectionDelay returns the delay of an entry that does not know the others. The last planner has
// recorded how many of them are strong: they are spread so that about one tries in each rankDelay.
func (n *Node) spreadElectionDelay() time.Duration {
	term := n.cell.currentTerm()
	spread := maxRanks*rankDelay + spreadDelay
	if term.Strong > 0 {
		spread = min(spread, time.Duration(term.Strong)*rankDelay)
	}
	wait := rankDelay + rand.N(spread)
	if !strong(n.Share, term.Largest) {
		wait += weakDelay
	}
	return wait + n.yieldDelay()
}

// rank returns this entry's position among those that may take the office: first the standby of the
// last planner, then the others by processor share.
func (n *Node) rank() int {
	n.cell.mu.Lock()
	standby := n.cell.standby.Name
	n.cell.mu.Unlock()
	if standby == n.Name {
		return 0
	}
	list := n.cell.list()
	for i, m := range list {
		if m.Node == n.Host { // The record may still be that of an earlier boot.
			return i + 1
		}
	}
	return len(list) + 1
}

// tryOffice takes the office if the store still shows it as free, and serves as planner until it is
// lost or given up.
func (n *Node) tryOffice(ctx context.Context) {
	n.setCandidate(true)
	defer n.setCandidate(false)
	if !n.learnMembers(ctx) {
		return
	}
	sent := time.Now()
	lease, err := n.Table.GrantLease(ctx, officeTTL)
	if err != nil {
		duty.Sleep(ctx, retryDelay)
		return
	}
	n.cell.mu.Lock()
	lastTerm, lastTermAt := n.cell.term, n.cell.termRevision
	lastStandby, lastStandbyAt := n.cell.standby, n.cell.standbyRevision
	n.cell.mu.Unlock()
	mine := office{Holder: n.Name, Term: lastTerm.Term + 1, Address: n.Address, Lease: lease}
	mine.Largest, mine.Strong = n.strongEntries()
	revision, err := n.Table.Commit(ctx, winch.Txn{
		Expect: map[string]uint64{keyOffice: 0, keyTerm: lastTermAt, keyStandby: lastStandbyAt},
		Writes: []winch.Write{
			{Key: keyOffice, Data: encode(mine), Lease: lease},
			{Key: keyTerm, Data: encode(mine)},
			{Key: keyStandby, Data: encode(standbyRecord{Term: mine.Term})},
		},
	})
	if err != nil {
		n.lostElection(ctx, err, lease)
		return
	}
	n.Log.Info("office taken", zap.Uint64("term", mine.Term), zap.Uint64("revision", revision))
	n.cell.apply(winch.Event{Value: winch.Value{Key: keyOffice, Data: encode(mine), Version: revision}})
	n.cell.apply(winch.Event{Value: winch.Value{Key: keyTerm, Data: encode(mine), Version: revision}})
	l := newLeadership(n, mine.Term, revision, lease, sent.Add(officeTTL))
	l.lastHolder = lastTerm.Holder
	l.standbyBackoff[lastTerm.Holder] = time.Now().Add(lastHolderBackoff)
	l.prefetched = n.prefetch.result()
	copied, complete := n.mirror.claim(mine.Term)
	wasStandby := lastStandby.Term == lastTerm.Term && lastStandby.Name == n.Name
	if wasPlanner := lastTerm.Holder == n.Name; complete && (wasStandby || wasPlanner) {
		message := "taking over as standby of the last planner"
		if wasPlanner {
			message = "taking the office again with the runs of the last term"
		}
		n.Log.Info(message, zap.Uint64("term", mine.Term),
			zap.Int("workers", len(copied.runs)), zap.Int("silent", len(copied.expiries)))
		l.copiedRuns, l.copiedExpiries = copied.runs, copied.expiries
		l.planner.SetSavedCheckpoints(copied.saved)
	}
	l.inheritSpeeds(copied)
	l.run(ctx)
	l.keepRuns()
	n.leadership.CompareAndSwap(l, nil)
	n.Log.Info("office given up", zap.Uint64("term", mine.Term))
	n.forgetOffice(revision)
}

// setCandidate records whether this entry takes or holds the office.
func (n *Node) setCandidate(on bool) {
	n.candidate.Store(on)
	n.candidateChanged.send()
	if on {
		n.abandonWatches.send() // They were sent by a follower.
	}
}

// learnMembers reads the cell's records unless this entry follows all of them, and reports whether it may
// still try to take the office.
func (n *Node) learnMembers(ctx context.Context) bool {
	if n.cell.isFull() {
		return true
	}
	values, _, err := n.Table.Read(ctx, prefixCell)
	if err != nil {
		duty.Sleep(ctx, retryDelay)
		return false
	}
	n.cell.reset(values)
	n.contactsChanged()
	return n.mayTakeOffice()
}

// strongEntries returns the largest processor share of the entries, and how many are able to plan for a region
// with such an entry.
func (n *Node) strongEntries() (largest, count int) {
	list := n.cell.list()
	largest = max(n.Share, maxShare(slices.Values(list)))
	for _, m := range list {
		if strong(m.Share, largest) {
			count++
		}
	}
	return largest, count
}

// keepRuns keeps what this entry knows at the end of its term, for the case that it takes the office again. Runs
// that were ordered and not confirmed are included. A planner that still waits for the runs of an earlier one
// knows too little, and one that has handed the office over leaves it to its standby.
func (l *leadership) keepRuns() {
	if !l.loaded || l.closed || !l.planner.AllRunsKnown() {
		return
	}
	expiries := make(map[string][]assignment)
	for _, e := range l.expiries.mirrorUpdate(l.keepers, true) {
		expiries[e.Worker] = append(expiries[e.Worker], assignment{keeper: e.Keeper, expiry: time.Now().Add(e.Left)})
	}
	saved := make(map[winch.RunID]string)
	for _, x := range l.planner.SavedCheckpoints(true) {
		saved[x.Task] = x.Checkpoint
	}
	all, started := l.allRuns()
	l.node.mirror.keepOwn(l.term, all, started, expiries, saved, l.changedSpeeds(true))
}

// lostElection learns the current records from the store's refusal. A transaction whose response was
// lost may have been applied: its lease is ended, so that the office is free again.
func (n *Node) lostElection(ctx context.Context, err error, lease uint64) {
	var conflict *winch.ConflictError
	if errors.As(err, &conflict) {
		for _, v := range conflict.Current {
			if v.Version != 0 {
				n.cell.apply(winch.Event{Value: v})
			}
		}
	}
	if err := n.Table.RevokeLease(ctx, lease); err != nil {
		duty.Sleep(ctx, retryDelay)
	}
}

// forgetOffice drops the known state of an office that this entry held; the store's changes report who
// holds it now.
func (n *Node) forgetOffice(revision uint64) {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	if n.cell.officeRevision == revision {
		n.cell.office, n.cell.officeRevision = office{}, 0
	}
}

// validity is the time until which this entry is guaranteed to hold the office. It is counted from before
// the renewal was sent.
type validity struct{ keep.Deadline }

func newValidity(until time.Time) validity { return validity{keep.DeadlineAt(until)} }

// confirmedAt returns when the call was sent with which the store last confirmed the office.
func (v validity) confirmedAt() time.Time { return v.Monotonic.Add(-officeTTL) }

func (v validity) remaining() time.Duration { return v.Left() - validityMargin }
