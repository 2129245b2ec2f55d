// Package region is one entry of a region that runs on a platform with a
// transactional store: it takes jobs from callers, keeps workers for the
// planner, lends its lane to the advice service, and holds the region's office
// if it wins it. It reaches the platform through the interfaces of package winch.
package region

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/coord/keep"
	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Timing holds the times of an entry that the platform's operator bounds.
type Timing struct {
	// Lease is the longest lease that workers grant on what runs.
	Lease time.Duration
	// Keep is how long ended jobs are still known.
	Keep time.Duration
}

const (
	// officeTTL is the lease on the office: a planner that is lost is replaced
	// after it, and one that stands still for longer loses the office.
	officeTTL = 1500 * time.Millisecond
	// officeRenew is how often it is renewed, so that one lost call does no harm.
	officeRenew = 400 * time.Millisecond
	// keepGrace is how long keepers go on without a planner beyond its lease. A
	// failure domain that is cut off keeps its work that long; work that may run
	// there is not started elsewhere before.
	keepGrace = 6 * time.Second
	// leaseMost bounds the lease that workers are given. What ran at one that is gone
	// counts as running until its lease has surely lapsed, on a slow clock too, and a
	// task that lasts has to run again within six seconds.
	leaseMost = 5 * time.Second
	// nodeTTL and nodeRenew are the lease on an entry's own record. The renewals
	// also tell whether the store answers.
	nodeTTL   = 4 * time.Second
	nodeRenew = 500 * time.Millisecond
	// silence is how long the store may give no answer until the entry says so:
	// two renewals.
	silence = 1100 * time.Millisecond
	// probeTime and probeGap bound the renewals while the store does not answer: a
	// call that was sent into an outage gets no answer after it either, so the
	// return is seen by the next one. A slow store takes some 300 ms.
	probeTime = 500 * time.Millisecond
	probeGap  = 200 * time.Millisecond
	// followWait is how long a watch waits. Its connection may go silent for
	// good; the next watch then opens another.
	followWait = 3 * time.Second
	// retryPause is the pause after a call that failed.
	retryPause = 150 * time.Millisecond
)

// Node is one entry. Set the exported fields, then Prepare and Run.
type Node struct {
	Name    string // Name is unique to the boot.
	Host    string // Host is the VM's name.
	Domain  string
	Address string // Address is where peers reach the entry.
	Share   int
	Timing  Timing
	Table   winch.Table
	Runner  winch.Runner
	Advisor winch.Advisor
	Codec   winch.Codec
	Peers   winch.Peers
	Log     *zap.Logger
	Metrics metrics.Registry

	cell     cellView
	settings settings
	accept   acceptor
	commands keep.Commands // commands holds those of the jobs that this entry accepted last.
	keeper   *keep.Keeper
	mirror   mirror
	prefetch prefetch
	lead     atomic.Pointer[lead]
	waiting  atomic.Pointer[waitingView]
	heard    atomic.Int64 // heard is when the store last answered, in nanoseconds of started.
	back     broadcast    // back tells that the store answers again.
	started  time.Time
	yielded  atomic.Pointer[time.Time] // yielded is when this entry last gave the office to a stronger one.
	stopping atomic.Bool
	leaving  atomic.Bool
	// changed wakes the office after a change of the cell's records.
	changed chan struct{}
}

var _ winch.Region = (*Node)(nil)

// Prepare makes the entry ready for Run.
func (n *Node) Prepare() {
	n.started = time.Now()
	n.changed = make(chan struct{}, 1)
	n.keeper = &keep.Keeper{Runner: n.Runner, Log: n.Log, Metrics: n.Metrics, Lease: min(n.Timing.Lease, leaseMost), Command: n.command}
	n.keeper.Prepare()
	n.accept.prepare(n)
	n.settings.prepare(n)
	n.heard.Store(-int64(time.Hour))
}

// Heard notes an answer of the store.
func (n *Node) Heard() {
	was := n.healthy()
	n.heard.Store(int64(time.Since(n.started)))
	if !was {
		n.back.send()
	}
}

// broadcast tells all that wait for it at the moment.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

// healthy reports whether the store has answered lately.
func (n *Node) healthy() bool {
	return time.Since(n.started)-time.Duration(n.heard.Load()) < silence
}

// Run serves until ctx ends. Stop should have been called before.
func (n *Node) Run(ctx context.Context) {
	var group conc.WaitGroup
	for _, run := range []func(context.Context){
		n.keeper.Run, n.runNode, n.runCell, n.settings.run, n.settings.runAsk, n.accept.run, n.runOffice, n.runPrefetch,
	} {
		group.Go(func() { run(ctx) })
	}
	group.Wait()
}

func (n *Node) runPrefetch(ctx context.Context) { n.prefetch.run(ctx, n) }

// Stop gives up the office and the workers kept, without a gap: another entry
// takes them over while this one goes on answering its callers.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	if l := n.lead.Load(); l != nil {
		l.handOver(ctx)
	}
	n.leaving.Store(true)
	n.wakeOffice()
}

func (n *Node) wakeOffice() {
	duty.Signal(n.changed)
}

// Ready implements winch.Region.
func (n *Node) Ready() bool {
	return n.Config() != nil && n.healthy() && !n.stopping.Load()
}

// Stopping implements winch.Region.
func (n *Node) Stopping() bool {
	return n.stopping.Load()
}

// Config implements winch.Region.
func (n *Node) Config() *winch.RegionConfig {
	return n.settings.config.Load()
}

// First returns the message that goes first on a new link to a peer.
func (n *Node) First(string) (winch.Kind, any) {
	return proto.KindSettings, proto.Settings{Version: n.settings.version()}
}

// LinkChanged takes note that a link to a peer stands or has broken.
func (n *Node) LinkChanged() {
	if l := n.lead.Load(); l != nil {
		l.post(l.reassignSoon)
	}
}
