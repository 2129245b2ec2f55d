package region

import (
	"context"
	"errors"
	"iter"
	"maps"
	"time"

	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

const (
	// handOverTimeout bounds the handing over of the office at a planned stop. A slow store takes 0.3
	// s for each call; the process may go on for several seconds.
	handOverTimeout = 2500 * time.Millisecond
	// maxHandOverCommits bounds the transactions that write records at a planned stop.
	maxHandOverCommits = 3
	// strongShare is the fraction of the largest processor share from which on an entry counts as able
	// to plan for the region. A planner on a VM with a quarter of the processor decided too late on
	// everything for as long as it held the office.
	strongShare = 0.5
	// weakYieldDelay is how long a planner on a weak VM serves before it yields the office.
	weakYieldDelay = 1500 * time.Millisecond
	// stuckYieldDelay is how long a planner on a weak VM serves before it yields the office even without a
	// ready standby, if it still does not know what runs. A strong planner has contact with all workers
	// within a second.
	stuckYieldDelay = 2500 * time.Millisecond
)

// handOver gives the office up: nothing more is started, and the end of the lease notifies the other
// entries. If the standby knows all runs, records are written first only as long as counted crashes are
// missing in the store: workers report unrecorded completions again to the next planner, and each
// further call to a slow store would only delay the next start. Without such a standby, completions and
// running work are recorded first.
func (l *leadership) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_ = l.duty.Do(ctx, func() {
		l.closed = true
		l.expiriesChanged = true // The standby is also sent the expiries of workers that have not responded.
		for more := true; more; more = len(l.collected) > 0 {
			l.dispatch()
		}
		l.sendQueued()
	})
	mirrored := l.awaitMirror(ctx)
	for range maxHandOverCommits {
		if mirrored && !l.crashesUnrecorded(ctx) || !l.commit(ctx) {
			break
		}
	}
	if !mirrored {
		l.recordRuns(ctx)
	}
	for ctx.Err() == nil {
		err := l.node.Table.RevokeLease(ctx, l.lease)
		if err == nil || errors.Is(err, winch.ErrNotFound) {
			break
		}
		l.node.Log.Info("revoking the office lease failed; retrying", zap.Error(err))
		duty.Sleep(ctx, retryDelay/3)
	}
	l.cancel()
}

// crashesUnrecorded reports whether crashes have been counted that are not in the store yet: the next
// planner would count them again.
func (l *leadership) crashesUnrecorded(ctx context.Context) (yes bool) {
	_ = l.duty.Do(ctx, func() { yes = len(l.planner.UnrecordedCrashes()) > 0 }) // An error means that the leadership is over.
	return yes
}

// awaitMirror waits for the standby's pending response, and reports whether the standby then knows all
// runs and is named by the store.
func (l *leadership) awaitMirror(ctx context.Context) bool {
	for ctx.Err() == nil {
		var pending, ready bool
		if l.duty.Do(ctx, func() {
			pending, ready = l.mirrorPending, l.standbyReady()
		}) != nil {
			return false
		}
		if !pending {
			return ready
		}
		duty.Sleep(ctx, gatherDelay)
	}
	return false
}

// standbyReady reports whether the standby knows all runs that were started, and is named by the store.
func (l *leadership) standbyReady() bool {
	s := l.standby
	return s != nil && s.synced && l.namedStandby == s.name && len(l.maybeNamed) == 0
}

// strong reports whether a processor share is large enough for planning, given the largest one.
func strong(share, largest int) bool {
	return float64(share) >= strongShare*float64(largest)
}

// maxShare returns the largest processor share of the entries.
func maxShare(entries iter.Seq[member]) int {
	largest := 0
	for m := range entries {
		largest = max(largest, m.Share)
	}
	return largest
}

// yield gives the office up if this entry has become slow and its standby has not, or if this entry is
// weak and a strong one is live. The office then goes to the standby, which has to be strong and know
// all runs. A weak planner that still does not know what runs after stuckYieldDelay yields to any entry.
// A planner does not yield in its first moments, in which the keepers' sessions begin.
func (l *leadership) yield(live map[string]member) {
	largest := maxShare(maps.Values(live))
	weak := time.Since(l.startedAt) >= weakYieldDelay && !strong(l.node.Share, largest)
	ready := l.standbyReady() && strong(live[l.standby.name].Share, largest)
	stuck := l.planner.Adopting() && time.Since(l.startedAt) > stuckYieldDelay
	slow := ready && l.slow()
	if !slow && !(weak && (ready || stuck)) {
		return
	}
	l.node.Log.Info("yielding the office to a stronger or faster entry", zap.Bool("standby", ready),
		zap.Duration("lag", l.lag.mean), zap.Duration("answered", l.mirrorRoundTrip))
	now := time.Now()
	l.node.yielded.Store(&now)
	l.closed = true
	l.group.Go(func() { l.handOver(l.ctx) })
}
