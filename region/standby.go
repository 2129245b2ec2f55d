package region

import (
	"context"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

// standby is what the planner knows of its standby.
type standby struct {
	name    string
	session uint64
	synced  bool          // synced says that the standby has acknowledged all runs.
	stamp   time.Duration // stamp is the stamp of its last response.
}

// standbyRecord names the standby of a term's planner in the store. A standby that is not named there
// may have missed starts.
type standbyRecord struct {
	Term uint64
	Name string
}

// chooseStandby selects an entry as standby: a strong one, since it is the next planner, and one of
// another failure domain, so that a partition does not cut off both. It has to wait until all runs of
// an earlier planner are known: with an incomplete copy the standby would start the missing ones
// twice.
func (l *leadership) chooseStandby(live map[string]member) {
	if l.planner.Adopting() {
		return
	}
	largest := maxShare(maps.Values(live))
	best := l.bestStandby(live, largest)
	if s := l.standby; s != nil {
		current, ok := live[s.name]
		if ok && (best == "" || !l.muchBetter(live[best], current, largest)) {
			return
		}
		l.dropStandby()
	}
	if best == "" {
		return
	}
	l.mirrorSessions++
	l.standby = &standby{name: best, session: l.mirrorSessions}
	l.sendQueued()
}

// muchBetter reports whether an entry is so much better as standby than the current one that it replaces it. The
// first standby of a term is chosen while most entries have not linked to the planner yet.
func (l *leadership) muchBetter(best, current member, largest int) bool {
	if !strong(best.Share, largest) {
		return false
	}
	return !strong(current.Share, largest) || current.Domain == l.node.Domain && best.Domain != l.node.Domain
}

func (l *leadership) bestStandby(live map[string]member, largest int) string {
	best := ""
	better := func(a, b string) bool {
		if b == "" {
			return true
		}
		if strongA, strongB := strong(live[a].Share, largest), strong(live[b].Share, largest); strongA != strongB {
			return strongA
		}
		if otherA, otherB := live[a].Domain != l.node.Domain, live[b].Domain != l.node.Domain; otherA != otherB {
			return otherA
		}
		return live[a].Share > live[b].Share || live[a].Share == live[b].Share && a < b
	}
	for name := range live {
		if name != l.node.Name && time.Now().After(l.standbyBackoff[name]) && better(name, best) {
			best = name
		}
	}
	return best
}

// dropStandby stops using the standby. Starts wait until the store no longer names it.
func (l *leadership) dropStandby() {
	l.node.Log.Info("standby dropped", zap.String("standby", l.standby.name))
	l.standbyBackoff[l.standby.name] = time.Now().Add(standbyRetryDelay)
	l.standby = nil
	l.removedRuns = removals{}
	l.queuedOrders = append(l.mirroredOrders, l.queuedOrders...)
	l.mirroredOrders = nil
	duty.Signal(l.standbyCh)
}

// runStandby keeps the store's record of the standby up to date.
func (l *leadership) runStandby(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.standbyCh:
		}
		for ctx.Err() == nil {
			done, err := l.recordStandby(ctx)
			if err != nil {
				l.node.Log.Info("recording the standby failed; retrying", zap.Error(err))
				duty.Sleep(ctx, retryDelay/3)
			}
			if done {
				break
			}
		}
	}
}

// recordStandby writes the record if it differs, and reports whether it is up to date. A write whose
// response was lost may take effect until the record's revision has changed.
func (l *leadership) recordStandby(ctx context.Context) (bool, error) {
	name := ""
	same := true
	revisionBefore := uint64(0)
	if err := l.duty.Do(ctx, func() {
		if l.standby != nil && l.standby.synced {
			name = l.standby.name
		}
		same = name == l.namedStandby && len(l.maybeNamed) == 0
		if !same {
			l.maybeNamed[name] = true
		}
		revisionBefore = l.namedRevision
	}); err != nil || same {
		return true, nil // The leadership is over, or nothing is to be written.
	}
	revision, err := l.node.Table.Commit(ctx, winch.Txn{
		Expect: map[string]uint64{keyOffice: l.revision, keyStandby: revisionBefore},
		Writes: []winch.Write{{Key: keyStandby, Data: encode(standbyRecord{Term: l.term, Name: name})}},
	})
	var conflict *winch.ConflictError
	if errors.As(err, &conflict) && conflict.Current[keyOffice].Version == l.revision {
		return false, l.learnStandby(ctx, conflict.Current[keyStandby])
	}
	if err != nil {
		return false, err
	}
	l.node.Log.Info("standby recorded", zap.String("standby", name))
	return false, l.standbyNamed(ctx, name, revision)
}

// learnStandby applies the record that a write with a lost response has left.
func (l *leadership) learnStandby(ctx context.Context, v winch.Value) error {
	var r standbyRecord
	if err := decode(v.Data, &r); err != nil {
		return err
	}
	l.node.Log.Info("standby already recorded by a write with a lost response", zap.String("standby", r.Name))
	return l.standbyNamed(ctx, r.Name, v.Version)
}

// standbyNamed records which standby the store names. No earlier write can change that any more.
func (l *leadership) standbyNamed(ctx context.Context, name string, revision uint64) error {
	return l.duty.Do(ctx, func() {
		l.namedStandby, l.namedRevision = name, revision
		clear(l.maybeNamed)
		l.release()
		l.sendQueued()
	})
}
