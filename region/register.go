package region

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

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
// still renewed. Without a new record the planner would never give this entry work.
func (n *Node) recordMissing() bool {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	reported := n.unregistered.Swap(false)
	_, listed := n.cell.members[n.Host]
	return (reported || n.cell.full && !listed) && n.storeResponsive()
}

// earlierBoots returns the earlier boots of this entry that its stored record belongs to or
// names, the latest first, and the revision of the record, zero if there is none. If all entries
// were killed, no other entry knows that those boots have ended.
func (n *Node) earlierBoots(ctx context.Context) (names []string, revision uint64, err error) {
	key := prefixNode + n.Host
	values, _, err := n.Table.Read(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	for _, v := range values {
		if v.Key != key {
			continue
		}
		revision = v.Version
		var old member
		if decode(v.Data, &old) != nil || old.Address != n.Address {
			continue
		}
		before := old.Before
		if old.Name != n.Name {
			before = append([]string{old.Name}, before...)
		}
		names = before[:min(len(before), maxEarlierBoots)]
	}
	return names, revision, nil
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
	before, revision, err := n.earlierBoots(ctx)
	if err != nil {
		return 0
	}
	lease, err = n.Table.GrantLease(ctx, nodeTTL)
	if err != nil {
		return 0
	}
	me := member{Name: n.Name, Node: n.Host, Domain: n.Domain, Address: n.Address, Share: n.Share, Before: before, Up: time.Since(n.started)}
	key := prefixNode + n.Host
	// The condition refuses a write of an earlier boot that the store executes late: its record would show this one as ended.
	_, err = n.Table.Commit(ctx, winch.Txn{
		Expect: map[string]uint64{key: revision}, Writes: []winch.Write{{Key: key, Data: encode(me), Lease: lease}},
	})
	if err != nil {
		return 0
	}
	n.Log.Info("entry registered in the store", zap.String("name", n.Name), zap.Uint64("lease", lease))
	return lease
}
