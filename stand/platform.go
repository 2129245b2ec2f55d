// Package stand provides in-memory stand-ins for the systems around a cell: the platform's
// key-value service and VM list, an executor and a worker. Tests inject faults into each.
package stand

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"plantainwinch/winch"
)

// DefaultWatchTimeout is how long a watch waits for a change unless WatchTimeout is set.
const DefaultWatchTimeout = 10 * time.Second

// minChangesKept is the minimum number of recent changes that remain when the history from
// which a watch can start is trimmed.
const minChangesKept = 4096

// Faults are the faults that can be injected into the platform.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Latency is the delay before each call takes effect.
	Latency time.Duration
	// LoseReplies is the number of writes whose response is still to be lost after the
	// write takes effect. Only writes of keys that start with LosePrefix count.
	LoseReplies int
	LosePrefix  string
	// HideVMs are the IDs of VMs that the VM list omits, as a list that lags behind does.
	HideVMs []string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type item struct {
	value winch.Value
	lease string
}

// Platform is a key-value service and VM list in memory. The zero value is ready to use.
type Platform struct {
	// WatchTimeout is how long a watch waits for a change. Zero means DefaultWatchTimeout.
	WatchTimeout time.Duration

	mu       sync.Mutex
	faults   Faults
	version  uint64
	leases   map[string]*lease
	items    map[string]item
	changes  []winch.Change
	wake     chan struct{}
	vms      map[string]winch.VM
	calls    map[string]int64
	leaseSeq int
	// listVersion is incremented with each change of the VM list.
	listVersion uint64
}

var (
	_ winch.Store  = (*Platform)(nil)
	_ winch.Lister = (*Platform)(nil)
)

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.listVersion++
	p.wakeWatches()
}

// Calls returns the number of calls since the start, by operation.
func (p *Platform) Calls() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int64, len(p.calls))
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}

// SetVM adds a VM to the VM list or replaces it.
func (p *Platform) SetVM(vm winch.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms == nil {
		p.vms = make(map[string]winch.VM)
	}
	p.vms[vm.ID] = vm
	p.listVersion++
}

// RemoveVM removes a VM from the VM list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, id)
	p.listVersion++
}

// lockForCall counts the call, waits for the injected latency, takes the lock and removes expired
// leases. It returns with the lock held, or with an error and the lock released.
func (p *Platform) lockForCall(ctx context.Context, name string) error {
	p.mu.Lock()
	if p.calls == nil {
		p.calls = make(map[string]int64)
		p.items = make(map[string]item)
		p.leases = make(map[string]*lease)
		p.wake = make(chan struct{})
	}
	p.calls[name]++
	if wait := p.faults.Latency; wait > 0 {
		p.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", winch.ErrUncertain, ctx.Err())
		}
		p.mu.Lock()
	}
	if p.faults.Down {
		p.mu.Unlock()
		return winch.ErrUnavailable
	}
	p.removeExpiredLeases()
	return nil
}

// unlockAfterWrite releases the lock after a write, and returns an error if the response is to be lost.
func (p *Platform) unlockAfterWrite(key string) error {
	defer p.mu.Unlock()
	if p.faults.LoseReplies > 0 && strings.HasPrefix(key, p.faults.LosePrefix) {
		p.faults.LoseReplies--
		return winch.ErrUncertain
	}
	return nil
}

func (p *Platform) wakeWatches() {
	if p.wake != nil {
		close(p.wake)
		p.wake = make(chan struct{})
	}
}

func (p *Platform) recordChange(key string, deleted bool) uint64 {
	p.version++
	p.changes = append(p.changes, winch.Change{Key: key, Version: p.version, Deleted: deleted})
	if len(p.changes) > 2*minChangesKept {
		p.changes = slices.Clone(p.changes[minChangesKept:])
	}
	p.wakeWatches()
	return p.version
}

func (p *Platform) removeExpiredLeases() {
	now := time.Now()
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.removeLease(id)
		}
	}
}

func (p *Platform) removeLease(id string) {
	delete(p.leases, id)
	for key, it := range p.items {
		if it.lease == id {
			delete(p.items, key)
			p.recordChange(key, true)
		}
	}
}

// Get implements winch.Store.
func (p *Platform) Get(ctx context.Context, key string) (winch.Value, error) {
	if err := p.lockForCall(ctx, "Get"); err != nil {
		return winch.Value{}, err
	}
	defer p.mu.Unlock()
	it, ok := p.items[key]
	if !ok {
		return winch.Value{}, winch.ErrNotFound
	}
	return it.value, nil
}

// Put implements winch.Store.
func (p *Platform) Put(ctx context.Context, key string, data []byte, version uint64, leaseID string) (uint64, error) {
	if err := p.lockForCall(ctx, "Put"); err != nil {
		return 0, err
	}
	if p.items[key].value.Version != version {
		p.mu.Unlock()
		return 0, winch.ErrConflict
	}
	if leaseID != "" && p.leases[leaseID] == nil {
		p.mu.Unlock()
		return 0, winch.ErrNotFound
	}
	v := p.recordChange(key, false)
	p.items[key] = item{value: winch.Value{Key: key, Data: slices.Clone(data), Version: v}, lease: leaseID}
	return v, p.unlockAfterWrite(key)
}

// Delete implements winch.Store.
func (p *Platform) Delete(ctx context.Context, key string, version uint64) error {
	if err := p.lockForCall(ctx, "Delete"); err != nil {
		return err
	}
	it, ok := p.items[key]
	if !ok || it.value.Version != version {
		p.mu.Unlock()
		return winch.ErrConflict
	}
	delete(p.items, key)
	p.recordChange(key, true)
	return p.unlockAfterWrite(key)
}

// List implements winch.Store.
func (p *Platform) List(ctx context.Context, prefix string) ([]winch.Value, error) {
	if err := p.lockForCall(ctx, "List"); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	var out []winch.Value
	for key, it := range p.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it.value)
		}
	}
	slices.SortFunc(out, func(a, b winch.Value) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Grant implements winch.Store.
func (p *Platform) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if err := p.lockForCall(ctx, "Grant"); err != nil {
		return "", err
	}
	p.leaseSeq++
	id := fmt.Sprintf("L%d", p.leaseSeq)
	p.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id, p.unlockAfterWrite("Grant")
}

// Renew implements winch.Store.
func (p *Platform) Renew(ctx context.Context, id string) error {
	if err := p.lockForCall(ctx, "Renew"); err != nil {
		return err
	}
	l := p.leases[id]
	if l == nil {
		p.mu.Unlock()
		return winch.ErrNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	return p.unlockAfterWrite("Renew")
}

// Revoke implements winch.Store.
func (p *Platform) Revoke(ctx context.Context, id string) error {
	if err := p.lockForCall(ctx, "Revoke"); err != nil {
		return err
	}
	p.removeLease(id)
	return p.unlockAfterWrite("Revoke")
}

// Watch implements winch.Store.
func (p *Platform) Watch(ctx context.Context, prefixes []string, after uint64) ([]winch.Change, uint64, error) {
	wait := p.WatchTimeout
	if wait == 0 {
		wait = DefaultWatchTimeout
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	if err := p.lockForCall(ctx, "Watch"); err != nil {
		return nil, 0, err
	}
	for {
		changes := p.changesSince(prefixes, after)
		version, wake, next := p.version, p.wake, p.nextExpiry()
		p.mu.Unlock()
		if len(changes) > 0 {
			return changes, version, nil
		}
		select {
		case <-wake:
		case <-time.After(next):
		case <-timeout.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("%w: %w", winch.ErrUnavailable, ctx.Err())
		}
		p.mu.Lock()
		if p.faults.Down {
			p.mu.Unlock()
			return nil, 0, winch.ErrUnavailable
		}
		p.removeExpiredLeases()
	}
}

// nextExpiry returns the time until the next lease can expire. A watch wakes up then, so that
// the lease's keys are deleted even while there are no calls.
func (p *Platform) nextExpiry() time.Duration {
	next := DefaultWatchTimeout
	for _, l := range p.leases {
		next = min(next, time.Until(l.expires)+time.Millisecond)
	}
	return max(next, time.Millisecond)
}

// changesSince returns the latest change of each matching key after a version, in order.
func (p *Platform) changesSince(prefixes []string, after uint64) []winch.Change {
	var out []winch.Change
	for i := len(p.changes) - 1; i >= 0 && p.changes[i].Version > after; i-- {
		c := p.changes[i]
		match := slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(c.Key, prefix) })
		seen := slices.ContainsFunc(out, func(o winch.Change) bool { return o.Key == c.Key })
		if match && !seen {
			out = append(out, c)
		}
	}
	slices.Reverse(out)
	return out
}

// VMs implements winch.Lister.
func (p *Platform) VMs(ctx context.Context, known uint64) ([]winch.VM, uint64, error) {
	if err := p.lockForCall(ctx, "VMs"); err != nil {
		return nil, 0, err
	}
	defer p.mu.Unlock()
	if known == p.listVersion && known != 0 {
		return nil, known, nil
	}
	var out []winch.VM
	for _, vm := range p.vms {
		if !slices.Contains(p.faults.HideVMs, vm.ID) {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b winch.VM) int { return strings.Compare(a.ID, b.ID) })
	return out, p.listVersion, nil
}
