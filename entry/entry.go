// Package entry joins the parts of one entry: it takes callers' requests and
// operators' changes, hands out the slots of its executors, and competes for
// the office of its failure domain's placer.
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

// Entry is one entry. Set the exported fields, call Prepare, then Run.
type Entry struct {
	Settings conf.Settings
	Store    winch.Store
	Lister   winch.Lister
	Worker   winch.Worker
	Executor winch.Executor
	Peers    winch.Peers
	Log      *zap.Logger
	Metrics  metrics.Registry
	// Seed makes the random choices repeatable in tests; zero for a random one.
	Seed uint64

	incarnation string
	held        config.Held
	editor      config.Editor
	members     *member.Tracker
	table       *slots.Table
	units       *quota.Holder
	jobs        *ledger.Ledger
	calls       *ledger.Ledger
	office      *office.Office
	planner     *place.Planner
	budgets     retry.Budgets
	grants      grantBook
	// alive notes when the store was reached, reached when a withdrawn key would
	// have become known.
	alive, reached alive
	rehome         chan struct{}
	rewatch        chan struct{}
	fetch          chan string
	background     background

	rndMu sync.Mutex
	rnd   *mrand.Rand

	// running counts calls and submissions that are not answered yet.
	running  atomic.Int64
	stopping atomic.Bool
	draining atomic.Bool
	// drained ends when a planned stop has waited as long as it may.
	drained context.Context
	expire  context.CancelFunc
}

// Prepare builds the parts; it must come before Run and before requests.
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
	e.rehome = make(chan struct{}, 1)
	e.rewatch = make(chan struct{}, 1)
	e.fetch = make(chan string, 1)
	e.drained, e.expire = context.WithCancel(context.Background())
	e.background.ring = make(chan func(context.Context), backgroundRing)
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

// holderName names this process as a holder of units. A new process under the
// same name is another holder: it cannot know what the old one has running.
func (e *Entry) holderName() string { return e.Name() + "/" + e.incarnation }

func (e *Entry) prepareMembers() {
	e.members = &member.Tracker{
		Self: e.Name(), Domain: e.Domain(), HeartbeatInterval: e.Settings.Timing.Heartbeat,
		Peers: e.Peers, Lister: e.Lister, Heartbeat: e.beat, OnHeartbeat: e.heard, Metrics: e.Metrics,
		OnChange: func() { poke(e.rehome) },
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
		Name: e.holderName(), Store: e.Store, Document: e.held.Get, Metrics: e.Metrics,
		Valid: func() bool { return e.alive.within(e.Settings.Timing.UnitTerm) },
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
	own := duty.New("Office", 0, e.Metrics)
	officeUnits := &quota.Holder{
		Name: "Office/" + e.Domain(), Office: true, Store: e.Store, Duty: own,
		Document: e.held.Get, Metrics: e.Metrics,
	}
	officeUnits.Prepare()
	e.planner = place.NewPlanner(officeUnits, e.team)
	e.planner.Prefer = place.Preference(e.Settings.Cell.Prefer)
	e.office = &office.Office{
		Self: e.Name(), Domain: e.Domain(), Store: e.Store, Worker: e.Worker, Ledger: e.jobs,
		Planner: e.planner, Quota: officeUnits, Duty: own, Log: e.Log, Metrics: e.Metrics,
		Lease: e.Settings.Timing.Office, TaskLease: e.Settings.Timing.Tasks,
		FenceAtVM: e.Settings.Cell.FenceAtVM, Document: e.held.Get,
		Workers: e.workers, OtherEntries: e.rivals, OnAcquired: func() { poke(e.rewatch) },
	}
	officeUnits.OnRefill = func(string) { e.office.PlanSoon() }
	e.office.Prepare()
}

func (e *Entry) team(name string) winch.Team {
	if doc := e.held.Get(); doc != nil {
		return doc.Teams[name]
	}
	return winch.Team{}
}

func (e *Entry) share(name string) int { return e.team(name).Share }

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

func (e *Entry) rivals() []string {
	var out []string
	for _, name := range e.members.View().InDomain(e.Domain()) {
		if name != e.Name() {
			out = append(out, name)
		}
	}
	return out
}

// Run does the entry's duties until ctx ends. A planned stop calls Stop first.
func (e *Entry) Run(ctx context.Context) {
	var group conc.WaitGroup
	duties := []func(context.Context){
		e.members.Run, e.members.RunHeartbeats, e.members.RunList,
		e.table.Run, e.units.Duty.Run, e.units.Run,
		e.jobs.Run, e.calls.Run,
		e.office.Duty.Run, e.office.Quota.Run, e.office.Run,
		e.runWatch, e.runRehome, e.runFetch, e.runAlive, e.runBalance, e.background.run,
	}
	for _, run := range duties {
		group.Go(func() { run(ctx) })
	}
	group.Wait()
}

// random returns a random source that the caller holds until it calls release.
func (e *Entry) random() (r *mrand.Rand, release func()) {
	e.rndMu.Lock()
	return e.rnd, e.rndMu.Unlock
}

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// wait pauses and reports whether ctx is still live.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
