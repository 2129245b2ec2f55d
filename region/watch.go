package region

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

// fullBatch is the number of changes in one response of the store that suggests that more are pending.
const fullBatch = 100

// watchRenewInterval is the minimum time between two renewals of an entry's watches: three reports of the
// planner.
const watchRenewInterval = 3 * waitingInterval

// changesTimeout bounds a call that does not wait for changes. If it passes, the next call has the client's own
// timeout, so that a response that takes long on a thin link is received in the end.
const changesTimeout = 700 * time.Millisecond

// errAbandoned says that a call that waits for changes was abandoned, to be sent again at once.
var errAbandoned = merry.New("call abandoned")

// watchOptions says how changes are watched. Either each call waits for a change, or calls
// are separated by a delay and return all changes since the last one.
type watchOptions struct {
	// wait returns how long one call waits for a change; nil means that it does not wait.
	wait  func() time.Duration
	delay time.Duration // delay is the pause between calls.
	// after is the revision after which changes are watched. If it is zero, all values are read first.
	after uint64
	// onRead, if set, is called after all values have been read, with the time at which the call was sent.
	onRead func(sent time.Time)
	// onSuccess, if set, is called after each answered call with the time at which the
	// call was sent.
	onSuccess func(at time.Time)
	// underWay, if set, reports whether a response is arriving. A call is not abandoned then.
	underWay func() bool
	// readAgain, if set, reports after changes whether all values are to be read again.
	readAgain func() bool
}

// maxWait returns how long the next call waits for a change.
func (o watchOptions) maxWait() time.Duration {
	if o.wait == nil {
		return 0
	}
	return o.wait()
}

func (o watchOptions) notify(sent time.Time) {
	if o.onSuccess != nil {
		o.onSuccess(sent)
	}
}

// watch passes all values under a prefix to onValues and then their changes to onChanges, until
// ctx ends, each with the revision of the store as of which they are known. If the store has
// compacted changes that were not read yet, all values are read again.
func (n *Node) watch(ctx context.Context, prefix string, options watchOptions,
	onValues func([]winch.Value, uint64), onChanges func([]winch.Event, uint64),
) {
	after := options.after
	var failed error // failed is the error of the last call.
	for ctx.Err() == nil {
		sent := time.Now()
		if after == 0 {
			values, asOf, err := n.Table.Read(ctx, prefix)
			if err != nil {
				duty.Sleep(ctx, retryDelay)
				continue
			}
			onValues(values, asOf)
			after = asOf
			if options.onRead != nil {
				options.onRead(sent)
			}
			options.notify(sent)
		}
		events, next, err := n.watchOnce(ctx, prefix, after, options, failed == nil)
		failed = err
		switch {
		case errors.Is(err, winch.ErrCompacted):
			n.Log.Info("store has compacted the change history; reading all records again", zap.String("prefix", prefix), zap.Uint64("after", after))
			after = 0
		case errors.Is(err, errAbandoned):
		case err != nil:
			if ctx.Err() == nil {
				n.Log.Info("call for changes was not answered", zap.String("prefix", prefix), zap.Uint64("after", after),
					zap.Duration("waited", time.Since(sent)), zap.NamedError("cause", err))
			}
			duty.Sleep(ctx, retryDelay)
		default:
			after = max(after, next)
			if len(events) > 0 {
				onChanges(events, after)
			}
			options.notify(sent)
			if len(events) > 0 && options.readAgain != nil && options.readAgain() {
				after = 0
				continue
			}
			if options.delay > 0 && len(events) < fullBatch {
				duty.Sleep(ctx, options.delay)
			}
		}
	}
}

// watchWait returns how long a call of a watch that is always open waits for a change. The planner and its
// standby have nobody who tells them that such a call is stuck.
func (n *Node) watchWait() time.Duration {
	if n.needsMembers() {
		return maxWatchWait
	}
	return followerWatchWait
}

// renewWatches has all calls that wait for changes abandoned and sent again, at most once per
// watchRenewInterval.
func (n *Node) renewWatches() {
	now := time.Now()
	if last := n.watchesRenewed.Load(); last != nil && now.Sub(*last) < watchRenewInterval {
		return
	}
	n.watchesRenewed.Store(&now)
	n.abandonWatches.send()
}

// renewStaleWatches renews the watches if the planner has been silent, as their calls may be stuck.
func (n *Node) renewStaleWatches() {
	if v := n.waiting.Load(); v == nil || time.Since(v.at) > watchRenewInterval {
		n.renewWatches()
	}
}

// watchOnce makes one call for changes; answered says that the last one was answered. The call is abandoned when
// the store answers again after an outage, and by renewWatches: a call sent into the outage may never be answered,
// and the changes that it waits for would be seen seconds late. One whose response is arriving is not abandoned.
func (n *Node) watchOnce(ctx context.Context, prefix string, after uint64, options watchOptions, answered bool) (events []winch.Event, next uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if options.wait == nil && answered {
		ctx, cancel = context.WithTimeout(ctx, changesTimeout)
		defer cancel()
	}
	abandoned := false
	var group conc.WaitGroup
	signal := n.abandonWatches.wait()
	group.Go(func() {
		for !abandoned {
			select {
			case <-ctx.Done():
				return
			case <-signal:
			}
			signal = n.abandonWatches.wait()
			abandoned = options.underWay == nil || !options.underWay()
		}
		cancel()
	})
	events, next, err = n.Table.Watch(ctx, prefix, after, options.maxWait())
	cancel()
	group.Wait()
	if err != nil && abandoned {
		err = errAbandoned
	}
	return events, next, err
}
