// Package office runs the placer of a failure domain: it elects one entry by a
// store lease, fences the workers against its predecessor, and carries the
// planner's decisions out.
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

// RecordPrefix and LeasePrefix come before a domain's name in the store: the
// record says who holds the office, the lease key exists while the holder lives.
const (
	RecordPrefix = "Domain/"
	LeasePrefix  = "Office/"
)

const (
	// DefaultLease is the lease on the office.
	DefaultLease = 3 * time.Second
	// DefaultTaskLease is the lease on tasks.
	DefaultTaskLease = 15 * time.Second
	// planEvery is the longest time between two plans.
	planEvery = 100 * time.Millisecond
	// planSize bounds the decisions of one plan.
	planSize = 256
	// starters bounds the starts under way at once.
	starters = 128
	// driftMargin covers clocks that run at different rates.
	driftMargin = time.Second
)

// Office competes for, holds and gives up a domain's office. Set the fields
// before Run.
type Office struct {
	Self      string
	Domain    string
	Store     winch.Store
	Worker    winch.Worker
	Ledger    *ledger.Ledger
	Planner   *place.Planner
	Quota     *quota.Holder
	Duty      *duty.Duty
	Log       *zap.Logger
	Metrics   metrics.Registry
	Lease     time.Duration
	TaskLease time.Duration
	// FenceAtVM says that the workers compare epochs. If they do not, work starts
	// only while the office's lease is surely held.
	FenceAtVM bool
	// Document returns the configuration, or nil.
	Document func() *winch.Document
	// Workers returns the domain's workers on the platform's list; ok is false
	// while the list was never read.
	Workers func() (list []winch.VM, ok bool)
	// Rivals returns the domain's other live entries.
	Rivals func() []string
	// Taken, if it is set, is called when this entry has taken the office.
	Taken func()

	holds    holding
	current  atomic.Pointer[session]
	leaving  chan struct{}
	signal   chan struct{}
	planning chan struct{}
}

// Prepare makes the office ready for Run.
func (o *Office) Prepare() {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.TaskLease == 0 {
		o.TaskLease = DefaultTaskLease
	}
	o.leaving = make(chan struct{})
	o.signal = make(chan struct{}, 1)
	o.planning = make(chan struct{}, 1)
}

// Changed tells that a key of the office may have changed in the store.
func (o *Office) Changed() {
	poke(o.signal)
}

// Wake makes the placer plan soon.
func (o *Office) Wake() {
	poke(o.planning)
}

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Holder returns who holds the office as far as this entry knows, and the epoch.
func (o *Office) Holder() (string, uint64) {
	return o.holds.holder()
}

// Run competes for the office and holds it, again and again, until ctx ends.
func (o *Office) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term := o.campaign(ctx)
		if term == nil {
			return
		}
		o.serve(ctx, term)
	}
}

// serve does the placer's work for one term of office.
func (o *Office) serve(ctx context.Context, term *term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.Log.Info("took office", zap.String("Domain", o.Domain), zap.Uint64("Epoch", term.epoch))
	metrics.GetOrRegisterCounter("Office.Taken", o.Metrics).Inc(1)
	s := &session{Office: o, term: term, cancel: cancel, vms: make(map[string]*vmState), closed: make(map[string]bool)}
	o.current.Store(s)
	defer o.current.Store(nil)
	if o.Taken != nil {
		o.Taken()
	}
	var group conc.WaitGroup
	group.Go(func() {
		defer cancel()
		o.renew(ctx, term)
	})
	group.Go(func() {
		defer cancel()
		s.run(ctx)
	})
	group.Wait()
	o.holds.resign(o.Self, term.epoch)
	o.Log.Info("left office", zap.String("Domain", o.Domain), zap.Uint64("Epoch", term.epoch))
}

// Leave gives the office up for a planned stop and returns once it is free.
func (o *Office) Leave(ctx context.Context) {
	select {
	case <-o.leaving:
	default:
		close(o.leaving)
	}
	for o.Holds() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
