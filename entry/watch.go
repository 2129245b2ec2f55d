package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"plantainwinch/coord/office"
	"plantainwinch/duty"
	"plantainwinch/state/config"
	"plantainwinch/state/ledger"
	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

const (
	// watchBatchDelay is the delay between two watch calls. It collects changes into batches, so that a busy ledger
	// does not cause a call for each change.
	watchBatchDelay = 100 * time.Millisecond
	// watchRetryDelay is the delay after a watch failed.
	watchRetryDelay = 500 * time.Millisecond
)

// runWatch watches the store and dispatches the changes. It watches the ledger's jobs only while this entry holds the
// office.
func (e *Entry) runWatch(ctx context.Context) {
	after, reread, watchesJobs := uint64(0), true, false
	for ctx.Err() == nil {
		if reread {
			reread = !e.readConfig(ctx)
		}
		prefixes := []string{config.Key, office.RecordPrefix + e.Domain(), office.LeasePrefix + e.Domain()}
		jobsAdded := e.office.IsHolder() && !watchesJobs
		if watchesJobs = e.office.IsHolder(); watchesJobs {
			prefixes = append(prefixes, ledger.JobsPrefix)
		}
		if jobsAdded {
			e.office.Reload() // Earlier changes of jobs were not watched.
		}
		changes, next, err := e.watchOnce(ctx, prefixes, after)
		if errors.Is(err, errWatchRestarted) {
			continue
		}
		if err != nil {
			reread = true
			sleep(ctx, watchRetryDelay)
			continue
		}
		if next < after {
			e.Log.Warn("the store's revision went backwards; reading the configuration again", zap.Uint64("Was", after), zap.Uint64("Is", next))
			reread = true
		}
		after = next
		e.dispatch(ctx, changes)
		sleep(ctx, watchBatchDelay)
	}
}

// errWatchRestarted says that the watch was cancelled because this entry acquired the office.
var errWatchRestarted = errors.New("watch restarted: this entry acquired the office")

// watchOnce waits for changes. It returns early with errWatchRestarted when this entry acquires the office, because the
// watch does not cover the jobs yet: a job accepted by an entry that ends before it notifies the planner would not be
// found.
func (e *Entry) watchOnce(ctx context.Context, prefixes []string, after uint64) (changes []winch.Change, next uint64, err error) {
	restarted := duty.RunUntil(ctx, e.restartWatch, func(ctx context.Context) {
		changes, next, err = e.Store.Watch(ctx, prefixes, after)
	})
	if err != nil && restarted {
		return nil, after, errWatchRestarted
	}
	return changes, next, err
}

// dispatch passes changes in the store to the parts of the entry that they concern.
func (e *Entry) dispatch(ctx context.Context, changes []winch.Change) {
	for _, c := range changes {
		switch {
		case c.Key == config.Key:
			e.readConfig(ctx)
		case strings.HasPrefix(c.Key, ledger.JobsPrefix):
			e.office.JobsChanged(ctx, c.Key)
		default:
			e.office.RecheckOffice()
		}
	}
}

// readConfig reads the configuration from the store, applies it and reports whether the store could be read.
func (e *Entry) readConfig(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := swap.Read[winch.Document](ctx, e.Store, config.Key)
	if err != nil {
		return false
	}
	e.applyConfig(ctx, &v.Body)
	return true
}

// applyConfig applies a configuration if it is newer than the present one, and cancels the waiting work of keys that it
// withdraws. A version is applied only once, so that must not be cut short.
func (e *Entry) applyConfig(ctx context.Context, doc *winch.Document) {
	e.applying <- struct{}{} // What follows from an older version must not come last.
	defer func() { <-e.applying }()
	if doc.Version == 0 || !e.config.Offer(doc) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	e.Log.Info("configuration applied", zap.Uint64("Version", doc.Version))
	e.members.SetEvacuated(ctx, slices.Sorted(maps.Keys(doc.Evacuated)))
	e.office.PlanSoon()
	_ = e.table.RefuseWithdrawnKeys(ctx, func(id string) bool {
		_, ok := doc.Keys[id]
		return ok
	})
	e.units.BalanceSoon()
	e.office.Quota.BalanceSoon()
	e.office.AccessKeysChanged(ctx)
	e.members.Announce(ctx)
}
