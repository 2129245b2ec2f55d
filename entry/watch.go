package entry

import (
	"context"
	"errors"
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
	// watchPause lets changes gather, so that a busy ledger does not turn one
	// watch into many calls.
	watchPause = 100 * time.Millisecond
	// watchRetry is the pause after a watch failed.
	watchRetry = 500 * time.Millisecond
)

// runWatch keeps one watch on the store open and hands changes on.
func (e *Entry) runWatch(ctx context.Context) {
	after, fresh, jobs := uint64(0), true, false
	for ctx.Err() == nil {
		if fresh {
			fresh = !e.readConfig(ctx)
		}
		prefixes := []string{config.Key, office.RecordPrefix + e.Domain(), office.LeasePrefix + e.Domain()}
		began := e.office.IsHolder() && !jobs
		if jobs = e.office.IsHolder(); jobs {
			prefixes = append(prefixes, ledger.JobsPrefix)
		}
		if began {
			e.office.Reload() // Changes of jobs up to here were not watched.
		}
		changes, next, err := e.watchOnce(ctx, prefixes, after)
		if errors.Is(err, errWatchAnew) {
			continue
		}
		if err != nil {
			fresh = true
			wait(ctx, watchRetry)
			continue
		}
		if next < after {
			e.Log.Warn("the store has gone back to an older state", zap.Uint64("Was", after), zap.Uint64("Is", next))
			fresh = true
		}
		after = next
		e.dispatch(ctx, changes)
		wait(ctx, watchPause)
	}
}

// errWatchAnew says that the watch was ended since the office was taken or lost.
var errWatchAnew = errors.New("the office has changed")

// watchOnce waits for changes. It ends early when this entry takes the office:
// the watch does not cover the jobs then, and what is accepted by an entry that
// dies before it can tell would not be taken up.
func (e *Entry) watchOnce(ctx context.Context, prefixes []string, after uint64) (changes []winch.Change, next uint64, err error) {
	anew := duty.RunUntil(ctx, e.rewatch, func(ctx context.Context) {
		changes, next, err = e.Store.Watch(ctx, prefixes, after)
	})
	if err != nil && anew {
		return nil, after, errWatchAnew
	}
	return changes, next, err
}

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

// readConfig reads the configuration and reports whether that went well.
func (e *Entry) readConfig(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	v, err := swap.Read[winch.Document](ctx, e.Store, config.Key)
	if err != nil {
		return false
	}
	e.offer(ctx, &v.Body)
	return true
}

// offer takes a document over if it is newer, and ends the waiting work of
// keys that it withdraws.
func (e *Entry) offer(ctx context.Context, doc *winch.Document) {
	if doc.Version == 0 || !e.held.Offer(doc) {
		return
	}
	e.Log.Info("configuration in force", zap.Uint64("Version", doc.Version))
	_ = e.table.RefuseWithdrawnKeys(ctx, func(id string) bool {
		_, ok := doc.Keys[id]
		return ok
	})
	e.units.BalanceSoon()
	e.office.Quota.BalanceSoon()
	e.office.AccessKeysChanged(ctx)
	e.members.Announce(ctx)
}
