// Package member maintains an entry's view of the cell, the set of entries that work together:
// which of them are live according to their heartbeats, how loaded their executors are, and the
// platform's list of VMs.
package member

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// DefaultHeartbeatInterval is how often an entry sends its heartbeat.
	DefaultHeartbeatInterval = time.Second
	// maxMissedHeartbeats is how many heartbeat intervals a peer may be unresponsive before it is
	// removed from the view.
	maxMissedHeartbeats = 3
	// listInterval is how often the platform's list is read.
	listInterval = time.Second
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
)

// Peer is another entry, with its last heartbeat and the time at which that arrived.
type Peer struct {
	Name        string
	LastContact time.Time
	Beat        proto.Heartbeat
}

// View is a consistent snapshot of the cell. It must not be changed.
type View struct {
	Self    string
	Domain  string
	Leaving bool // Leaving says that this entry is shutting down.
	// Peers holds the live peers, by name.
	Peers map[string]Peer
	VMs   []winch.VM
	// Listed says that the platform's list has been read at least once.
	Listed bool
}

// Home returns the name of the home of an executor, which is the entry that grants its slots, or
// "" if no entry of the executor's domain is live. It uses rendezvous hashing: entries with the
// same view agree, and when an entry joins or leaves, only executors whose home it becomes or was
// get another home.
func (v *View) Home(vm winch.VM) string {
	best, bestScore := "", uint64(0)
	consider := func(name string) {
		if score := weight(name, vm.ID); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	if v.Domain == vm.Domain && !v.Leaving {
		consider(v.Self)
	}
	for _, p := range v.Peers {
		if p.Beat.Domain == vm.Domain && !p.Beat.Leaving {
			consider(p.Name)
		}
	}
	return best
}

// weight returns the rendezvous hash of an entry and a VM.
func weight(entry, vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry + "\x00" + vm))
	x := h.Sum64()
	// Mixes the bits, since FNV's high bits differ little between names that differ only at the end.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// WithRole returns the VMs of one role.
func (v *View) WithRole(role winch.Role) []winch.VM {
	return slices.DeleteFunc(slices.Clone(v.VMs), func(vm winch.VM) bool { return vm.Role != role })
}

// KnownDomains returns the failure domains that have live entries or listed VMs, sorted.
func (v *View) KnownDomains() []string {
	out := v.Domains()
	for _, vm := range v.VMs {
		out = append(out, vm.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Domains returns the failure domains that have live entries, sorted.
func (v *View) Domains() []string {
	out := []string{v.Domain}
	for _, p := range v.Peers {
		out = append(out, p.Beat.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// InDomain returns the names of the live entries of a domain that are not leaving, sorted.
func (v *View) InDomain(domain string) []string {
	var out []string
	if v.Domain == domain && !v.Leaving {
		out = append(out, v.Self)
	}
	for _, p := range v.Peers {
		if p.Beat.Domain == domain && !p.Beat.Leaving {
			out = append(out, p.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Planner returns the name of a domain's planner according to the heartbeat with the highest epoch,
// and that epoch.
func (v *View) Planner(domain string) (string, uint64) {
	name, epoch := "", uint64(0)
	for _, p := range v.Peers {
		if p.Beat.Domain == domain && p.Beat.Epoch > epoch {
			name, epoch = p.Beat.Placer, p.Beat.Epoch
		}
	}
	return name, epoch
}

// Tracker maintains the view. Set the exported fields before calling Prepare and Run.
type Tracker struct {
	Self              string
	Domain            string
	HeartbeatInterval time.Duration
	Peers             winch.Peers
	Lister            winch.Lister
	// Heartbeat returns the heartbeat to send.
	Heartbeat func(ctx context.Context) proto.Heartbeat
	// OnChange is called after a change of the set of live peers, of whether one of them or this
	// entry is leaving, or of the VM list.
	OnChange func()
	// OnHeartbeat is called after each heartbeat of a peer.
	OnHeartbeat func(name string, beat proto.Heartbeat)
	Duty        *duty.Loop
	Metrics     metrics.Registry

	peers map[string]Peer
	vms   []winch.VM
	// evacuated holds the evacuated failure domains.
	evacuated map[string]bool
	listed    bool
	version   uint64
	leaving   atomic.Bool
	view      atomic.Pointer[View]
}

// Prepare initializes the tracker. It has to be called before Run.
func (t *Tracker) Prepare() {
	if t.HeartbeatInterval == 0 {
		t.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if t.Metrics == nil {
		t.Metrics = metrics.NewRegistry()
	}
	if t.Duty == nil {
		t.Duty = duty.New("Member", 0, t.Metrics)
	}
	t.peers = make(map[string]Peer)
	t.publish()
}

// View returns the current view.
func (t *Tracker) View() *View {
	return t.view.Load()
}

// Leave marks this entry as leaving and sends a heartbeat at once to notify the peers.
func (t *Tracker) Leave(ctx context.Context) {
	t.leaving.Store(true)
	_ = t.Duty.Do(ctx, t.publish)
	t.OnChange()
	t.send(ctx)
}

// Announce sends a heartbeat at once.
func (t *Tracker) Announce(ctx context.Context) {
	t.send(ctx)
}

// publish replaces the view by a new snapshot.
func (t *Tracker) publish() {
	v := &View{Self: t.Self, Domain: t.Domain, Leaving: t.leaving.Load(), VMs: t.vms, Listed: t.listed}
	v.Peers = make(map[string]Peer, len(t.peers))
	for name, p := range t.peers {
		v.Peers[name] = p
	}
	t.view.Store(v)
}

// SetEvacuated sets the evacuated failure domains, whose VMs get no new work.
func (t *Tracker) SetEvacuated(ctx context.Context, domains []string) {
	_ = t.Duty.Do(ctx, func() {
		t.evacuated = make(map[string]bool, len(domains))
		for _, d := range domains {
			t.evacuated[d] = true
		}
		t.setVMs(slices.Clone(t.vms)) // A published view is not changed.
	})
}

// setVMs marks the VMs of evacuated domains in a list and publishes it.
func (t *Tracker) setVMs(list []winch.VM) {
	for i := range list {
		list[i].Evacuated = t.evacuated[list[i].Domain]
	}
	t.vms = list
	t.publish()
	t.OnChange()
}

// Receive handles a peer's heartbeat.
func (t *Tracker) Receive(from string, beat proto.Heartbeat) {
	_ = t.Duty.Post(func() {
		old, known := t.peers[from]
		t.peers[from] = Peer{Name: from, LastContact: time.Now(), Beat: beat}
		t.publish()
		if !known || old.Beat.Leaving != beat.Leaving {
			t.OnChange()
		}
		t.OnHeartbeat(from, beat)
	})
}

// Run runs the tracker's duty loop and removes unresponsive peers until ctx ends. RunHeartbeats
// and RunList run in goroutines of their own, so that a slow platform does not delay heartbeats.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(t.HeartbeatInterval)
	defer ticker.Stop()
	t.Duty.RunWithTick(ctx, ticker.C, t.prune)
}

// RunHeartbeats sends heartbeats until ctx ends.
func (t *Tracker) RunHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(t.HeartbeatInterval)
	defer ticker.Stop()
	for {
		t.send(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// send sends a heartbeat to all peers.
func (t *Tracker) send(ctx context.Context) {
	beat := t.Heartbeat(ctx)
	beat.Domain = t.Domain
	beat.Leaving = t.leaving.Load()
	for _, name := range t.Peers.Names() {
		_ = t.Peers.Notify(name, proto.KindHeartbeat, beat)
	}
}

// prune removes peers whose last heartbeat is too old.
func (t *Tracker) prune() {
	oldest := time.Now().Add(-maxMissedHeartbeats * t.HeartbeatInterval)
	removed := false
	for name, p := range t.peers {
		if p.LastContact.Before(oldest) {
			delete(t.peers, name)
			removed = true
		}
	}
	if removed {
		t.publish()
		t.OnChange()
	}
}

// RunList reads the platform's VM list periodically until ctx ends. While the platform is
// unavailable, the last list remains in use.
func (t *Tracker) RunList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		t.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readList reads the VM list once and updates the view if the list has changed.
func (t *Tracker) readList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, version, err := t.Lister.VMs(callCtx, t.version)
	if err != nil {
		metrics.GetOrRegisterCounter("Member.ListFailed", t.Metrics).Inc(1)
		return
	}
	if version == t.version && t.listed {
		return
	}
	slices.SortFunc(list, func(a, b winch.VM) int { return cmp.Compare(a.ID, b.ID) })
	_ = t.Duty.Do(ctx, func() {
		t.version, t.listed = version, true
		t.setVMs(list)
	})
}
