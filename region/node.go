// Package region implements one entry of a region on a platform with a transactional store.
// The entry accepts jobs from callers, keeps workers for the planner, calls the advice service
// in its lane for the planner, and is itself the planner while it holds the region's office, the
// planner's leadership lease in the store. It reaches the platform through the interfaces of
// package winch.
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

// Timing holds the durations that the platform's operator sets for an entry.
type Timing struct {
	// Lease is the longest lease that workers grant on what runs.
	Lease time.Duration
	// Retention is how long the state of an ended job remains available to callers.
	Retention time.Duration
	// Config is how long after the store has confirmed a configuration an older one may be in force. Zero
	// stands for two seconds.
	Config time.Duration
}

const (
	// officeTTL is the duration of the lease on the office. A lost planner is replaced after
	// it, and a planner whose process is paused for longer loses the office.
	officeTTL = 1500 * time.Millisecond
	// officeRenewInterval is how often the office's lease is renewed. One lost call does no
	// harm.
	officeRenewInterval = 400 * time.Millisecond
	// keeperGrace is how long keepers continue without a planner after the office's lease has
	// expired. A partitioned failure domain keeps its work running that long, and work that
	// may run there is not started elsewhere before.
	keeperGrace = 6 * time.Second
	// maxLease bounds the lease on what runs at a worker. The runs of a lost worker count as
	// running until its lease is guaranteed to have expired, also by a slow clock, and a
	// lasting task has to run again within six seconds.
	maxLease = 5 * time.Second
	// nodeTTL is the duration of the lease on an entry's own record, and nodeRenewInterval how
	// often it is renewed. The renewals also show whether the store is responsive.
	nodeTTL           = 4 * time.Second
	nodeRenewInterval = 250 * time.Millisecond
	// healthCheckInterval is how often it is checked whether the store answers.
	healthCheckInterval = 50 * time.Millisecond
	// outageRenewTimeout bounds a renewal while the store is unresponsive, and outageRenewDelay
	// is the pause before the next. A call sent during an outage is not answered after it
	// either, so only the next call shows that the store is back. A slow store takes about
	// 300 ms to answer.
	outageRenewTimeout = 500 * time.Millisecond
	outageRenewDelay   = 200 * time.Millisecond
	// maxWatchWait is how long one call of a watch waits for changes. Its connection may become
	// unresponsive for good; the next call then opens another.
	maxWatchWait = 3 * time.Second
	// followerWatchWait is maxWatchWait of an entry that hears from the planner. It sends its watches again
	// as soon as the planner is silent or knows more.
	followerWatchWait = 15 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 150 * time.Millisecond
)

// Node is one entry. Set the exported fields, then call Prepare and Run.
type Node struct {
	Name    string // Name is unique to the process's boot.
	Host    string // Host is the VM's name.
	Domain  string
	Address string // Address is where peers reach the entry.
	Share   int    // Share is the entry's share of a processor, in thousandths.
	Timing  Timing
	// Policy is used while this entry is the planner; the zero value means winch.DefaultPolicy.
	Policy  winch.Policy
	Table   winch.Table
	Runner  winch.WorkerClient
	Advisor winch.Advisor
	Codec   winch.Codec
	Peers   winch.Links
	Log     *zap.Logger
	Metrics metrics.Registry
	// OnContactsChange, if set, is called after PeerAddresses may have changed.
	OnContactsChange func()

	cell        cellView
	settings    settings
	evacuations evacuations
	contacts    contacts
	served      servedPeer
	accept      acceptor
	admission   admission
	commands    keep.Commands // commands holds the commands of the jobs that this entry accepted last.
	keeper      *keep.Keeper
	mirror      mirror
	prefetch    prefetcher
	leadership  atomic.Pointer[leadership]
	withdrawals withdrawals
	waiting     atomic.Pointer[waitingView]
	health      storeHealth
	// abandonWatches is sent when calls that wait for changes of the store are to be sent again.
	abandonWatches broadcast
	watchesRenewed atomic.Pointer[time.Time]
	storeLost      broadcast // storeLost is sent when the store has become unresponsive.
	started        time.Time
	yielded        atomic.Pointer[time.Time] // yielded is when this entry last yielded the office to a stronger one.
	stopping       atomic.Bool               // stopping is set when Stop begins.
	leaving        atomic.Bool               // leaving is set once the office has been handed over.
	// candidate is set while this entry takes or holds the office; candidateChanged is sent when it changes.
	candidate        atomic.Bool
	candidateChanged broadcast
	unregistered     atomic.Bool // unregistered is set when the planner reports that this entry has no record.
	// officeWake wakes the loop that takes the office after a change of the cell's records.
	officeWake chan struct{}
}

var _ winch.Region = (*Node)(nil)

// Prepare initializes the entry. It has to be called before Run.
func (n *Node) Prepare() {
	n.started = time.Now()
	if n.Policy == (winch.Policy{}) {
		n.Policy = winch.DefaultPolicy()
	}
	if n.Timing.Config == 0 {
		n.Timing.Config = defaultConfigBound
	}
	n.officeWake = make(chan struct{}, 1)
	n.keeper = &keep.Keeper{
		Client: n.Runner, Log: n.Log, Metrics: n.Metrics, Lease: min(n.Timing.Lease, maxLease), WorkerLease: n.Timing.Lease, FetchCommand: n.command,
		Evacuated: func(domain string) bool { return n.evacuations.load().Contains(domain) },
	}
	n.keeper.Prepare()
	n.accept.prepare(n)
	n.admission.prepare()
	n.settings.prepare(n)
	n.settings.registerGauges(n.Metrics)
	n.Table = observedTable{n.Table, &n.health}
}

// NoteStoreResponse records that the store has just answered.
func (n *Node) NoteStoreResponse() {
	wasResponsive, wasUnreachable := n.storeResponsive(), n.settings.isUnreachable()
	n.health.answered(time.Now())
	if !wasResponsive {
		n.abandonWatches.send()
	}
	if !wasResponsive || wasUnreachable {
		duty.Signal(n.settings.storeBack)
	}
}

// broadcast wakes all goroutines that wait for it at the moment.
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

// storeResponsive reports whether the store answers this entry.
func (n *Node) storeResponsive() bool {
	return n.health.responsive(time.Now())
}

// logPause logs that this process did not run for a while, because it was paused or others had the processor, given the time of
// the last check.
func (n *Node) logPause(checked time.Time) {
	if late := time.Since(checked) - healthCheckInterval; late > maxCheckDelay {
		n.Log.Info("entry did not run for a while", zap.Duration("late", late))
		metrics.GetOrRegisterCounter("Entry.Pauses", n.Metrics).Inc(1)
	}
}

// runHealth watches whether the store answers this entry, until ctx ends.
func (n *Node) runHealth(ctx context.Context) {
	responsive := false
	checked := time.Now()
	for ctx.Err() == nil {
		n.logPause(checked)
		checked = time.Now()
		n.health.look(checked)
		if now := n.storeResponsive(); now != responsive {
			responsive = now
			n.Log.Info("store responsiveness changed", zap.Bool("answers", now))
			if !now {
				n.storeLost.send()
			}
		}
		duty.Sleep(ctx, healthCheckInterval)
	}
}

// Run runs the entry until ctx ends. Stop should have been called before that.
func (n *Node) Run(ctx context.Context) {
	var group conc.WaitGroup
	for _, run := range []func(context.Context){
		n.keeper.Run, n.runHealth, n.runRegistration, n.watchCell, n.settings.run, n.settings.runStoreCalls, n.settings.runTransfers, n.settings.runAnnouncements, n.settings.runRefresh, n.settings.runClocks, n.accept.run, n.runOffice, n.runContacts, n.runPrefetch, n.runPreemption, n.runRefusals, n.runTermHistory,
	} {
		group.Go(func() { run(ctx) })
	}
	group.Wait()
}

func (n *Node) runPrefetch(ctx context.Context) { n.prefetch.run(ctx, n) }

// Stop hands the office and the workers over to another entry without a gap. This entry
// continues to serve its callers meanwhile.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	if l := n.leadership.Load(); l != nil {
		l.handOver(ctx)
	}
	n.leaving.Store(true)
	n.wakeOffice()
}

func (n *Node) wakeOffice() {
	duty.Signal(n.officeWake)
}

// Ready implements winch.Region.
func (n *Node) Ready() bool {
	return n.Config() != nil && n.storeResponsive() && n.settings.age() <= n.Timing.Config && !n.stopping.Load()
}

// Stopping implements winch.Region.
func (n *Node) Stopping() bool {
	return n.stopping.Load()
}

// Config returns the configuration in force, or nil.
func (n *Node) Config() *winch.RegionConfig {
	return n.settings.config.Load()
}

// First returns the message to send first on a new link to a peer.
func (n *Node) First(string) (winch.Kind, any) {
	return proto.KindSettings, proto.Settings{Version: n.settings.version(), Evacuations: n.knownEvacuations()}
}

// LinkChanged notifies the entry that a link to a peer was established or has broken.
func (n *Node) LinkChanged() {
	if l := n.leadership.Load(); l != nil {
		l.post(l.reassignSoon)
	}
}
