package region

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

// endedBootRetention is how long an ended boot of an entry is remembered. It is longer than
// any lease that the boot can have granted.
const endedBootRetention = time.Minute

// maxEarlierBoots bounds the earlier boots that a record names. An entry that is killed
// repeatedly starts about once a second, and a lease lasts five seconds.
const maxEarlierBoots = 8

// cellView is the local copy of the cell's records in the store. The cell is the set of
// entries that run one region; its records are those of the entries, the office, the last
// term and the standby.
type cellView struct {
	mu      sync.Mutex
	members map[string]member // members holds the present records by node.
	// lastRecords holds the latest record of each node, also after its removal. endedBoots
	// holds, by name, a time by which the boot had ended: another one listens at its address.
	lastRecords map[string]member
	endedBoots  map[string]time.Time
	// currentBoots holds the present boot of each node.
	currentBoots map[string]observedBoot
	office       office
	// officeRevision and termRevision are the revisions of the records; zero if there is none.
	officeRevision uint64
	term           office
	termRevision   uint64
	// terms holds when later terms were first seen, the earliest first.
	terms []termSeen
	// standby is the recorded standby of the last planner.
	standby         standbyRecord
	standbyRevision uint64
	loaded          bool // loaded is set once all records have been read.
}

// observedBoot is a boot of an entry whose record was seen.
type observedBoot struct {
	name         string
	revision     uint64    // revision is that of the first record seen of the boot.
	runningSince time.Time // runningSince is a time at which the boot was already running.
}

// maxClockDrift is the fraction by which an entry's clock may run too fast.
const maxClockDrift = 0.025

// runningSince returns a time at which the boot that wrote the record was already running.
// The record has to be one that has just arrived.
func (m *member) runningSince() time.Time {
	return time.Now().Add(-time.Duration(float64(m.Up) * (1 - maxClockDrift)))
}

// initBoots creates the maps of boots. The caller holds the mutex.
func (c *cellView) initBoots() {
	if c.lastRecords == nil {
		c.lastRecords, c.endedBoots, c.currentBoots = make(map[string]member), make(map[string]time.Time), make(map[string]observedBoot)
	}
}

// apply updates the view with a change of one key.
func (c *cellView) apply(e winch.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		c.members = make(map[string]member)
	}
	c.initBoots()
	switch {
	case strings.HasPrefix(e.Key, prefixNode):
		name := strings.TrimPrefix(e.Key, prefixNode)
		var m member
		if e.Deleted || decode(e.Data, &m) != nil {
			delete(c.members, name)
			return
		}
		c.members[name] = m
		c.noteReplaced(c.lastRecords[name], m)
		c.noteEnded(m.runningSince(), m.Before...)
		c.lastRecords[name] = m
		if c.currentBoots[name].name != m.Name {
			c.currentBoots[name] = observedBoot{m.Name, e.Version, m.runningSince()}
		}
	case e.Key == keyOffice:
		c.office, c.officeRevision = office{}, 0
		if !e.Deleted && decode(e.Data, &c.office) == nil {
			c.officeRevision = e.Version
		}
	case e.Key == keyTerm:
		if !e.Deleted && decode(e.Data, &c.term) == nil {
			c.termRevision = e.Version
			c.noteTerm(c.term.Term)
		}
	case e.Key == keyStandby:
		if !e.Deleted && decode(e.Data, &c.standby) == nil {
			c.standbyRevision = e.Version
		}
	}
}

// noteReplaced records that the boot of the old record has ended, if another boot now
// listens at its address. The caller holds the mutex.
func (c *cellView) noteReplaced(old, next member) {
	if old.Name == "" || old.Name == next.Name || old.Address != next.Address {
		return
	}
	c.noteEnded(next.runningSince(), old.Name)
}

// noteEnded records a time by which the named boots had ended. The first recorded time of a boot
// stays. The caller holds the mutex.
func (c *cellView) noteEnded(by time.Time, names ...string) {
	for name, at := range c.endedBoots {
		if time.Since(at) > endedBootRetention {
			delete(c.endedBoots, name)
		}
	}
	for _, name := range names {
		if _, noted := c.endedBoots[name]; !noted {
			c.endedBoots[name] = by
		}
	}
}

// endedBy returns a time by which a boot of an entry had ended, and whether it is known to
// have ended.
func (c *cellView) endedBy(name string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.endedBoots[name]
	return at, ok
}

// noteSuccessor records that the named boot at an address has ended, if another boot has
// registered there after the given revision, at which some record still named the former.
func (c *cellView) noteSuccessor(name, address string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, m := range c.members {
		if s := c.currentBoots[node]; m.Address == address && m.Name != name && s.name == m.Name && s.revision > revision {
			c.noteEnded(s.runningSince, name)
		}
	}
}

// addressOf returns the address of a registered boot, or "" if it is not registered.
func (c *cellView) addressOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

// noteEarlierBoot records that an earlier boot of this entry had ended when this one began.
func (c *cellView) noteEarlierBoot(name string, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initBoots()
	c.noteEnded(began, name)
}

// reset replaces the members and the office with those in the records that were read, and applies
// the other records.
func (c *cellView) reset(values []winch.Value) {
	c.mu.Lock()
	c.members = make(map[string]member)
	c.office, c.officeRevision = office{}, 0
	c.loaded = true
	c.mu.Unlock()
	for _, v := range values {
		c.apply(winch.Event{Value: v})
	}
}

// holder returns the name of the office's holder, or "" if the office is free.
func (c *cellView) holder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.office.Holder
}

// list returns the members, those with the largest share of a processor first.
func (c *cellView) list() []member {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Node, b.Node))
	})
	return out
}

// PeerAddresses returns the addresses of the other entries.
func (n *Node) PeerAddresses() []string {
	var out []string
	for _, m := range n.cell.list() {
		if m.Name != n.Name {
			out = append(out, m.Address)
		}
	}
	return out
}

// watchCell watches the cell's records until ctx ends.
func (n *Node) watchCell(ctx context.Context) {
	n.watch(ctx, prefixCell, watchOptions{wait: maxWatchWait}, func(values []winch.Value, _ uint64) {
		n.cell.reset(values)
		n.cellChanged()
	}, func(events []winch.Event, _ uint64) {
		for _, e := range events {
			n.cell.apply(e)
		}
		n.cellChanged()
	})
}

func (n *Node) cellChanged() {
	n.wakeOffice()
	if n.OnCellChange != nil {
		n.OnCellChange()
	}
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

// replaced reports whether the office was taken after the given revision, at which it was taken last as
// far as the caller knows.
func (c *cellView) replaced(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.officeRevision > revision
}

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

// runRegistration keeps the entry's own record in the store. Its calls also show whether the
// store is responsive.
func (n *Node) runRegistration(ctx context.Context) {
	lease := uint64(0)
	for ctx.Err() == nil {
		if !n.leaving.Load() {
			lease = n.renewWithTimeout(ctx, lease)
		} else if lease != 0 && n.Table.RevokeLease(ctx, lease) == nil {
			lease = 0
		}
		if n.storeResponsive() {
			duty.Sleep(ctx, nodeRenewInterval)
		} else {
			duty.Sleep(ctx, outageRenewDelay)
		}
	}
}

// renewWithTimeout renews the entry's record, with a short timeout while the store is
// unresponsive.
func (n *Node) renewWithTimeout(ctx context.Context, lease uint64) uint64 {
	if !n.storeResponsive() {
		shortCtx, cancel := context.WithTimeout(ctx, outageRenewTimeout)
		defer cancel()
		ctx = shortCtx
	}
	return n.renewRecord(ctx, lease)
}

// recordMissing reports whether the entry's record has been removed although its lease is
// still renewed. Without a new record the other entries would never learn of this one.
func (n *Node) recordMissing() bool {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	_, listed := n.cell.members[n.Host]
	return n.cell.loaded && !listed && n.storeResponsive()
}

// earlierBoots returns the earlier boots of this entry that its stored record belongs to or
// names, the latest first. If all entries were killed, no other entry knows that those boots
// have ended.
func (n *Node) earlierBoots(ctx context.Context) ([]string, error) {
	key := prefixNode + n.Host
	values, _, err := n.Table.Read(ctx, key)
	if err != nil {
		return nil, err
	}
	for _, v := range values {
		var old member
		if v.Key != key || decode(v.Data, &old) != nil || old.Address != n.Address {
			continue
		}
		before := old.Before
		if old.Name != n.Name {
			before = append([]string{old.Name}, before...)
		}
		return before[:min(len(before), maxEarlierBoots)], nil
	}
	return nil, nil
}

// renewRecord renews the record's lease or writes the record under a new one, and returns the
// lease; zero if that failed.
func (n *Node) renewRecord(ctx context.Context, lease uint64) uint64 {
	if lease != 0 {
		err := n.Table.RenewLease(ctx, lease)
		if !errors.Is(err, winch.ErrNotFound) && !n.recordMissing() {
			return lease
		}
	}
	before, err := n.earlierBoots(ctx)
	if err != nil {
		return 0
	}
	lease, err = n.Table.GrantLease(ctx, nodeTTL)
	if err != nil {
		return 0
	}
	me := member{Name: n.Name, Node: n.Host, Domain: n.Domain, Address: n.Address, Share: n.Share, Before: before, Up: time.Since(n.started)}
	_, err = n.Table.Commit(ctx, winch.Txn{Writes: []winch.Write{{Key: prefixNode + n.Host, Data: encode(me), Lease: lease}}})
	if err != nil {
		return 0
	}
	n.Log.Info("entry registered in the store", zap.String("name", n.Name), zap.Uint64("lease", lease))
	return lease
}
