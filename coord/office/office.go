// Package office elects the planner of a failure domain and runs it. The office is the
// planner's leadership lease in the store: the entry that holds it places the domain's
// jobs. It fences the workers against earlier planners by the epoch of its term, renews
// the leases of the tasks, and carries out the decisions of place.Planner.
package office

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/coord/place"
	"plantainwinch/coord/quota"
	"plantainwinch/duty"
	"plantainwinch/state/ledger"
	"plantainwinch/winch"
)

// RecordPrefix and LeasePrefix are the prefixes of a domain's keys in the store. The
// record names the last holder of the office and its epoch. The lease key exists while
// the holder renews its lease.
const (
	RecordPrefix = "Domain/"
	LeasePrefix  = "Office/"
)

const (
	// DefaultLease is the default duration of the office lease.
	DefaultLease = 3 * time.Second
	// DefaultTaskLease is the default duration of a task's lease.
	DefaultTaskLease = 15 * time.Second
	// planInterval is the longest time between two planning rounds.
	planInterval = 100 * time.Millisecond
	// maxDecisions limits the decisions of one planning round.
	maxDecisions = 256
	// maxConcurrentDecisions limits the decisions that are carried out concurrently.
	maxConcurrentDecisions = 128
	// clockDriftMargin is added to lease durations because clocks run at different rates.
	clockDriftMargin = time.Second
)

// Office competes for a domain's office, does the planner's work while it holds the
// office, and releases it. The exported fields must be set before Prepare and Run.
type Office struct {
	Self      string
	Domain    string
	Store     winch.Store
	Worker    winch.Worker
	Ledger    *ledger.Ledger
	Planner   *place.Planner
	Quota     *quota.Holder
	Duty      *duty.Loop
	Log       *zap.Logger
	Metrics   metrics.Registry
	Lease     time.Duration
	TaskLease time.Duration
	// FenceAtVM is set if the workers refuse requests of older epochs. If they do not,
	// work starts only while the office lease is guaranteed to be valid.
	FenceAtVM bool
	// Document returns the configuration, or nil if none was read yet.
	Document func() *winch.Document
	// Workers returns the domain's workers on the platform's list. ok is false until the
	// list has been read once.
	Workers func() (list []winch.VM, ok bool)
	// OtherEntries returns the domain's other live entries.
	OtherEntries func() []string
	// OnAcquired is called when this entry has acquired the office. It may be nil.
	OnAcquired func()

	knownHolder knownHolder
	// current is the state of the term that this entry serves, or nil.
	current          atomic.Pointer[plannerState]
	leaving          chan struct{} // leaving is closed by Leave.
	recheckRequested chan struct{}
	planRequested    chan struct{}
}

// Prepare sets the defaults and creates the channels. It must be called before Run.
func (o *Office) Prepare() {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.TaskLease == 0 {
		o.TaskLease = DefaultTaskLease
	}
	o.leaving = make(chan struct{})
	o.recheckRequested = make(chan struct{}, 1)
	o.planRequested = make(chan struct{}, 1)
}

// RecheckOffice makes an entry that competes for the office read its keys in the store at
// once. It is called when one of the keys may have changed.
func (o *Office) RecheckOffice() {
	notify(o.recheckRequested)
}

// PlanSoon starts the next planning round without waiting for planInterval.
func (o *Office) PlanSoon() {
	notify(o.planRequested)
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Holder returns the last known holder of the office, or "" if there is none, and the
// last known epoch.
func (o *Office) Holder() (string, uint64) {
	return o.knownHolder.get()
}

// Run competes for the office and serves a term whenever it acquires it, until ctx ends
// or Leave is called.
func (o *Office) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term := o.campaign(ctx)
		if term == nil {
			return
		}
		o.serve(ctx, term)
	}
}

// serve does the planner's work for one term.
func (o *Office) serve(ctx context.Context, term *term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.Log.Info("acquired the office lease; serving as planner", zap.String("Domain", o.Domain), zap.Uint64("Epoch", term.epoch))
	metrics.GetOrRegisterCounter("Office.Taken", o.Metrics).Inc(1)
	s := &plannerState{Office: o, term: term, cancel: cancel, workers: make(map[string]*workerState), finishedJobs: make(map[string]bool)}
	o.current.Store(s)
	defer o.current.Store(nil)
	if o.OnAcquired != nil {
		o.OnAcquired()
	}
	var group conc.WaitGroup
	group.Go(func() {
		defer cancel()
		o.renewLoop(ctx, term)
	})
	group.Go(func() {
		defer cancel()
		s.run(ctx)
	})
	group.Wait()
	o.knownHolder.clear(o.Self, term.epoch)
	o.Log.Info("term as planner ended", zap.String("Domain", o.Domain), zap.Uint64("Epoch", term.epoch))
}

// Leave releases the office for a planned stop and stops competing for it. It returns
// when the term has ended or ctx ends.
func (o *Office) Leave(ctx context.Context) {
	select {
	case <-o.leaving:
	default:
		close(o.leaving)
	}
	for o.IsHolder() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
