package region

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

const (
	// prefetchTimeout is how long after the planner's last message a standby goes on following the
	// jobs. prefetchCheckInterval is how often that is checked.
	prefetchTimeout       = 30 * time.Second
	prefetchCheckInterval = 200 * time.Millisecond
)

// prefixCopy is a copy of the values under a prefix as of a revision; the zero value means that
// nothing was read.
type prefixCopy struct {
	values   map[string]winch.Value
	revision uint64
}

func (c *prefixCopy) list() []winch.Value {
	return slices.Collect(maps.Values(c.values))
}

func (c *prefixCopy) reset(values []winch.Value, revision uint64) {
	c.values, c.revision = make(map[string]winch.Value, len(values)), revision
	for _, v := range values {
		c.values[v.Key] = v
	}
}

func (c *prefixCopy) apply(events []winch.Event, revision uint64) {
	for _, e := range events {
		if e.Deleted {
			delete(c.values, e.Key)
		} else {
			c.values[e.Key] = e.Value
		}
	}
	c.revision = max(c.revision, revision)
}

// errOutdated says that the store has returned an older state than one that it is known to have reached.
var errOutdated = merry.New("the store returned an outdated state")

// catchUp reads what has changed since the copy's revision, up to the given revision, or all values if
// the changes have been compacted or do not lead there. One response of the store may hold only some of
// the changes. If the values are older than the given revision as well, it returns errOutdated.
func (c *prefixCopy) catchUp(ctx context.Context, table winch.Table, prefix string, until uint64) error {
	for {
		before := c.revision
		changes, err := c.advance(ctx, table, prefix)
		switch {
		case err != nil || c.revision >= until:
			return err
		case changes > 0 && c.revision > before:
		case before == 0:
			return outdated(prefix, c.revision, until)
		default:
			*c = prefixCopy{}
		}
	}
}

func outdated(prefix string, asOf, until uint64) error {
	return merry.Wrap(errOutdated, merry.AppendMessagef("%s as of revision %d, want %d", prefix, asOf, until))
}

// readSince reads all values under a prefix, as of the given revision or a later one. An older state is errOutdated.
func readSince(ctx context.Context, table winch.Table, prefix string, since uint64) ([]winch.Value, uint64, error) {
	values, asOf, err := table.Read(ctx, prefix)
	if err == nil && asOf < since {
		err = outdated(prefix, asOf, since)
	}
	return values, asOf, err
}

// advance makes one call to the store, applies the changes or values that it returns, and returns the
// number of changes.
func (c *prefixCopy) advance(ctx context.Context, table winch.Table, prefix string) (int, error) {
	if c.revision != 0 {
		events, revision, err := table.Watch(ctx, prefix, c.revision, 0)
		if err == nil {
			c.apply(events, revision)
			return len(events), nil
		}
		if !errors.Is(err, winch.ErrCompacted) {
			return 0, err
		}
	}
	values, revision, err := table.Read(ctx, prefix)
	if err == nil {
		c.reset(values, revision)
	}
	return 0, err
}

// prefetched is what a standby has read of the jobs that have not ended.
type prefetched struct {
	jobs, progress prefixCopy
}

// prefetcher reads the jobs and their changes while this entry is standby, so that it need not read all
// of them during a takeover.
type prefetcher struct {
	mu   sync.Mutex
	data prefetched
}

// run follows the jobs whenever this entry is standby, until ctx ends.
func (p *prefetcher) run(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		if n.mirror.active() {
			p.follow(ctx, n)
		}
		duty.Sleep(ctx, prefetchCheckInterval)
	}
}

// follow follows the jobs until this entry is no longer standby.
func (p *prefetcher) follow(ctx context.Context, n *Node) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for prefix, into := range map[string]*prefixCopy{prefixJobs: &p.data.jobs, prefixProgress: &p.data.progress} {
		group.Go(func() { p.followPrefix(ctx, n, prefix, into) })
	}
	for ctx.Err() == nil && n.mirror.active() {
		duty.Sleep(ctx, prefetchCheckInterval)
	}
	cancel()
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.data = prefetched{}
}

func (p *prefetcher) followPrefix(ctx context.Context, n *Node, prefix string, into *prefixCopy) {
	for ctx.Err() == nil {
		p.mu.Lock()
		next := prefixCopy{values: maps.Clone(into.values), revision: into.revision}
		p.mu.Unlock()
		changes, err := next.advance(ctx, n.Table, prefix)
		if err == nil && ctx.Err() == nil {
			p.mu.Lock()
			*into = next
			p.mu.Unlock()
		}
		if changes < fullBatch {
			duty.Sleep(ctx, jobsPollInterval)
		}
	}
}

// result returns a copy of what was read, or nil if it is not complete.
func (p *prefetcher) result() *prefetched {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data.jobs.revision == 0 || p.data.progress.revision == 0 {
		return nil
	}
	out := p.data
	out.jobs.values, out.progress.values = maps.Clone(out.jobs.values), maps.Clone(out.progress.values)
	return &out
}
