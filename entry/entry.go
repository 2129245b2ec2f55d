// Package entry combines the parts of one entry. It serves the requests of callers and the changes of operators, grants
// the slots of the executors whose home is this entry, and competes for the office of its failure domain: the leadership
// lease in the store whose holder is the domain's planner.
package entry

import (
	"context"
	"crypto/rand"
	mrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/conf"
	"plantainwinch/coord/member"
	"plantainwinch/coord/office"
	"plantainwinch/coord/place"
	"plantainwinch/coord/quota"
	"plantainwinch/coord/retry"
	"plantainwinch/coord/slots"
	"plantainwinch/duty"
	"plantainwinch/state/config"
	"plantainwinch/state/ledger"
	"plantainwinch/winch"
)

// Entry is one process that serves callers on an entry VM. Set the exported fields, call Prepare, then Run.
type Entry struct {
	Settings conf.Settings
	Store    winch.Store
	Lister   winch.Lister
	Worker   winch.Worker
	Executor winch.Executor
	Peers    winch.Peers
	Log      *zap.Logger
	Metrics  metrics.Registry
	// Seed makes random choices reproducible in tests; if it is zero, a random seed is used.
	Seed uint64

	incarnation string // incarnation distinguishes this process from earlier ones of the same entry.
	config      config.Latest
	applying    chan struct{} // applying has capacity one and is filled while a configuration is applied.
	editor      config.Editor
	members     *member.Tracker
	table       *slots.Table   // table grants the slots of the executors whose home is this entry.
	units       *quota.Holder  // units holds this entry's units of the teams' limits, which its calls use.
	jobs        *ledger.Ledger // jobs holds the records of all jobs.
	calls       *ledger.Ledger // calls holds the records of the non-repeatable calls.
	office      *office.Office
	planner     *place.Planner
	budgets     retry.Budgets
	grants      grantTable // grants holds the slots that this entry uses, whatever their home.
	// storeContact records when this entry last reached the store, keysCurrent when it would last have learned of
	// a withdrawn key.
	storeContact, keysCurrent contactTime
	// homesChanged wakes runHomes, restartWatch makes runWatch restart its watch, and newerPeer passes the name of a
	// peer with a newer configuration to runConfigFetch.
	homesChanged chan struct{}
	restartWatch chan struct{}
	newerPeer    chan string
	background   background

	rndMu sync.Mutex
	rnd   *mrand.Rand

	// inProgress counts calls and submissions that are not answered yet.
	inProgress atomic.Int64
	// stopping makes the entry refuse calls and submissions; a planned stop sets it after draining.
	stopping atomic.Bool
	// draining is set when a planned stop begins: the entry gives up its executors and is no longer ready.
	draining atomic.Bool
	// drainCtx is cancelled by endDrain when a planned stop reaches its drain timeout.
	drainCtx context.Context
	endDrain context.CancelFunc
}

// Prepare creates the parts of the entry. It must be called before Run and before the first request.
func (e *Entry) Prepare() {
	if e.Metrics == nil {
		e.Metrics = metrics.NewRegistry()
	}
	if e.Log == nil {
		e.Log = zap.NewNop()
	}
	if e.Seed == 0 {
		e.Seed = mrand.Uint64()
	}
	e.rnd = mrand.New(mrand.NewPCG(e.Seed, 1))
	e.incarnation = rand.Text()[:8]
	e.homesChanged = make(chan struct{}, 1)
	e.applying = make(chan struct{}, 1)
	e.restartWatch = make(chan struct{}, 1)
	e.newerPeer = make(chan string, 1)
	e.drainCtx, e.endDrain = context.WithCancel(context.Background())
	e.background.queue = make(chan func(context.Context), backgroundQueueSize)
	e.editor = config.Editor{Store: e.Store}
	e.prepareMembers()
	e.prepareSlots()
	e.prepareLedgers()
	e.prepareOffice()
}

// Name returns the entry's name.
func (e *Entry) Name() string { return e.Settings.Entry.Name }

// Domain returns the entry's failure domain.
func (e *Entry) Domain() string { return e.Settings.Entry.Domain }

// holderName returns the name of this process as a holder of units of the teams' limits. A new process of the same
// entry is another holder, since it cannot know what the earlier one has running.
func (e *Entry) holderName() string { return e.Name() + "/" + e.incarnation }

func (e *Entry) prepareMembers() {
	e.members = &member.Tracker{
		Self: e.Name(), Domain: e.Domain(), HeartbeatInterval: e.Settings.Timing.Heartbeat,
		Peers: e.Peers, Lister: e.Lister, Heartbeat: e.heartbeat, OnHeartbeat: e.onHeartbeat, Metrics: e.Metrics,
		OnChange: func() { signal(e.homesChanged) },
	}
	e.members.Prepare()
}

func (e *Entry) prepareSlots() {
	e.table = &slots.Table{
		QueueLimit: e.Settings.Limits.QueueLength, Share: e.share, Metrics: e.Metrics,
		Rand: mrand.New(mrand.NewPCG(e.Seed, 2)),
	}
	e.table.Prepare()
	e.units = &quota.Holder{
		Name: e.holderName(), Store: e.Store, Document: e.config.Get, Metrics: e.Metrics,
		Valid: func() bool { return e.storeContact.within(e.Settings.Timing.UnitTerm) },
	}
	e.units.Prepare()
}

func (e *Entry) prepareLedgers() {
	e.jobs = &ledger.Ledger{Store: e.Store, Prefix: ledger.JobsPrefix, Partitions: e.Settings.Cell.Partitions, Metrics: e.Metrics}
	e.jobs.Prepare()
	e.calls = &ledger.Ledger{Store: e.Store, Prefix: ledger.CallsPrefix, Partitions: e.Settings.Cell.Partitions, Metrics: e.Metrics}
	e.calls.Prepare()
}

func (e *Entry) prepareOffice() {
	officeDuty := duty.New("Office", 0, e.Metrics)
	officeUnits := &quota.Holder{
		Name: "Office/" + e.Domain(), Office: true, Store: e.Store, Duty: officeDuty,
		Document: e.config.Get, Metrics: e.Metrics,
	}
	officeUnits.Prepare()
	e.planner = place.NewPlanner(officeUnits, e.team)
	e.planner.Prefer = place.Preference(e.Settings.Cell.Prefer)
	e.office = &office.Office{
		Self: e.Name(), Domain: e.Domain(), Store: e.Store, Worker: e.Worker, Ledger: e.jobs,
		Planner: e.planner, Quota: officeUnits, Duty: officeDuty, Log: e.Log, Metrics: e.Metrics,
		Lease: e.Settings.Timing.Office, TaskLease: e.Settings.Timing.Tasks,
		FenceAtVM: e.Settings.Cell.FenceAtVM, Document: e.config.Get,
		Workers: e.workers, OtherEntries: e.domainPeers, OnAcquired: func() { signal(e.restartWatch) },
	}
	officeUnits.OnRefill = func(string) { e.office.PlanSoon() }
	e.office.Prepare()
}

func (e *Entry) team(name string) winch.Team {
	if doc := e.config.Get(); doc != nil {
		return doc.Teams[name]
	}
	return winch.Team{}
}

func (e *Entry) share(name string) int { return e.team(name).Share }

// workers returns the listed workers of this failure domain, and whether the platform's list has been read.
func (e *Entry) workers() ([]winch.VM, bool) {
	view := e.members.View()
	var out []winch.VM
	for _, vm := range view.VMs {
		if vm.Role == winch.RoleWorker && vm.Domain == e.Domain() {
			out = append(out, vm)
		}
	}
	return out, view.Listed
}

// domainPeers returns the names of the other live entries of this failure domain.
func (e *Entry) domainPeers() []string {
	var out []string
	for _, name := range e.members.View().InDomain(e.Domain()) {
		if name != e.Name() {
			out = append(out, name)
		}
	}
	return out
}

// Run runs the entry's goroutines until ctx is cancelled. A planned stop calls Stop first.
func (e *Entry) Run(ctx context.Context) {
	var group conc.WaitGroup
	loops := []func(context.Context){
		e.members.Run, e.members.RunHeartbeats, e.members.RunList,
		e.table.Run, e.units.Duty.Run, e.units.Run,
		e.jobs.Run, e.calls.Run,
		e.office.Duty.Run, e.office.Quota.Run, e.office.Run,
		e.runWatch, e.runHomes, e.runConfigFetch, e.runMembership, e.runBalance, e.background.run,
	}
	for _, run := range loops {
		group.Go(func() { run(ctx) })
	}
	group.Wait()
}

// lockRandom locks the random source and returns it. The caller must call release when done.
func (e *Entry) lockRandom() (r *mrand.Rand, release func()) {
	e.rndMu.Lock()
	return e.rnd, e.rndMu.Unlock
}

// signal wakes the receiver of ch; a signal that is already pending is not repeated.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
