package region

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

// fullBatch is the number of changes in one response of the store that suggests that more are pending.
const fullBatch = 100

// watchOptions says how changes are watched. Either each call waits for a change, or calls
// are separated by a delay and return all changes since the last one.
type watchOptions struct {
	wait  time.Duration // wait is how long one call waits for a change.
	delay time.Duration // delay is the pause between calls.
	// after is the revision after which changes are watched. If it is zero, all values are read first.
	after uint64
	// onResponse, if set, is called after each call with whether the store responded.
	onResponse func(ok bool)
	// onSuccess, if set, is called after each answered call with the time at which the
	// call was sent.
	onSuccess func(at time.Time)
}

func (o watchOptions) notify(sent time.Time, ok bool) {
	if o.onResponse != nil {
		o.onResponse(ok)
	}
	if o.onSuccess != nil && ok {
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
	for ctx.Err() == nil {
		sent := time.Now()
		if after == 0 {
			values, asOf, err := n.Table.Read(ctx, prefix)
			if err != nil {
				options.notify(sent, false)
				duty.Sleep(ctx, retryDelay)
				continue
			}
			onValues(values, asOf)
			after = asOf
			options.notify(sent, true)
		}
		events, next, err := n.watchOnce(ctx, prefix, after, options.wait)
		switch {
		case errors.Is(err, winch.ErrCompacted):
			n.Log.Info("store has compacted the change history; reading all records again", zap.String("prefix", prefix), zap.Uint64("after", after))
			after = 0
		case err != nil:
			options.notify(sent, false)
			duty.Sleep(ctx, retryDelay)
		default:
			after = max(after, next)
			if len(events) > 0 {
				onChanges(events, after)
			}
			options.notify(sent, true)
			if options.delay > 0 && len(events) < fullBatch {
				duty.Sleep(ctx, options.delay)
			}
		}
	}
}

// watchOnce makes one call that waits for changes. The call is abandoned when the store
// answers again after an outage: a call sent into the outage may never be answered, and the
// changes that it waits for would be seen seconds late.
func (n *Node) watchOnce(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []winch.Event, next uint64, err error) {
	duty.RunUntil(ctx, n.storeBack.wait(), func(ctx context.Context) {
		events, next, err = n.Table.Watch(ctx, prefix, after, wait)
	})
	return events, next, err
}
