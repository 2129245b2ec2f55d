package region

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/coord/lanes"
	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// eventQueueSize bounds the events that wait for the planner.
	eventQueueSize = 16384
	// gatherDelay is how long events are gathered before the planner decides: each decision handles
	// everything that is pending.
	gatherDelay = 3 * time.Millisecond
	// decisionPauseFactor is the pause before the next decision as a multiple of the time that the
	// last one took: events, orders and responses need the rest of the processor.
	decisionPauseFactor = 3
	// idleInterval is how often the planner decides without events, since tickets and deadlines
	// expire.
	idleInterval = 100 * time.Millisecond
	// tokensPerOffice is the number of fencing tokens available to one revision of the office. Tokens of
	// a later revision are higher.
	tokensPerOffice = 1 << 20
	// generationsPerTerm is the number of worker generations available in one term.
	generationsPerTerm = 1 << 32
	// jobsPollInterval is how often the store's changes of jobs are read. Entries notify the planner
	// of changes at once; polling finds those whose notification was lost.
	jobsPollInterval = time.Second
	// reassignInterval is the minimum time between two computations of the workers' keepers, and
	// reassignPauseFactor the pause after one as a multiple of the time that it took: it goes over all
	// workers, and hundreds of entries may come and go at once.
	reassignInterval    = 20 * time.Millisecond
	reassignPauseFactor = 5
	// workersPollInterval is how often changes of the worker list are read. A worker must get no work
	// two seconds after it began to drain.
	workersPollInterval = 400 * time.Millisecond
	// maxListAge is how old the worker list may be while the store does not respond; with an older one
	// nothing is started. The capacity that a worker announces takes effect three seconds later.
	maxListAge = 3 * time.Second
	// workerReturnTimeout is how long workers whose store records expired during a store outage may
	// take to register again.
	workerReturnTimeout = 2200 * time.Millisecond
	// sweepInterval is how often the records of old jobs are removed.
	sweepInterval = 5 * time.Second
	// maxOfficeOverrun is how long a planner that cannot renew its office goes on after the office's
	// lease has expired. What it starts last can run for another second before its keepers stop
	// renewing leases.
	maxOfficeOverrun = keeperGrace - 1500*time.Millisecond
	// processEndPollInterval is how often it is checked whether the earlier planner's process has
	// ended.
	processEndPollInterval = 20 * time.Millisecond
	// loadInterval is how often the region's load is logged.
	loadInterval = time.Second
)

// leadership is one term of this entry as planner of the region. The planner is the entry that holds
// the office, which is the planner's leadership lease in the store. A leadership connects the
// decisions of package fleet with the store, the keepers and the advice service's lanes.
type leadership struct {
	node       *Node
	term       uint64
	lastHolder string // lastHolder is the name of the planner of the previous term.
	revision   uint64 // revision is the office's revision; all records are written on condition of it.
	lease      uint64
	validity   atomic.Pointer[validity]
	duty       *duty.Loop
	cancel     context.CancelFunc
	ctx        context.Context
	group      *conc.WaitGroup
	timer      *time.Timer
	deciding   atomic.Bool // deciding is set while the planner decides what to start.

	// The fields below are accessed only in the goroutine of duty. prefetched is what this entry read
	// as standby; jobsRevision is the revision up to which jobs have been read, and orphans are the
	// IDs of jobs of which the store holds other records but no job record.
	prefetched    *prefetched
	jobsRevision  uint64
	orphans       []string
	planner       *fleet.Planner
	lanes         lanes.Lanes[fleet.AdviceRequest]
	proxies       map[string]*proxy
	keepers       map[string]string           // keepers holds the name of each worker's keeper.
	workersOf     map[string]map[string]bool  // workersOf holds the workers of each keeper.
	assignments   map[string]proto.Assignment // assignments holds each worker's present assignment.
	byToken       map[uint64]string           // byToken holds the worker of each fencing token.
	checkedLost   map[string]uint64           // checkedLost holds the token of each lost worker that the planner has asked itself.
	workers       map[string]winch.WorkerVM
	listAsOf      time.Time // listAsOf is the time at which the known worker list was current.
	missing       map[string]time.Time
	earlierBoots  map[string]winch.WorkerVM // earlierBoots holds records of a start before that of the listed boot.
	keeperBackoff map[string]bool           // keeperBackoff holds the keepers to which no session is opened for the moment.
	// desired is the roster to be recorded, roster the one that is recorded.
	desired        map[string]rosteredWorker
	roster         map[string]rosteredWorker
	previousRoster map[string]rosteredWorker // previousRoster is the roster of the earlier planner.
	maybeSettled   map[string]bool           // maybeSettled holds the workers that the stored roster may list as settled.
	rosterStore    rosterStore               // rosterStore is guarded by rosterLock once the term has begun.
	// pendingRenewals holds, by worker, orders to allow renewal that wait until the stored roster is known
	// to hold no bound for the worker.
	pendingRenewals map[string]proto.Order
	// maybeBound holds the workers for which the stored roster may hold a bound.
	maybeBound map[string]bool
	// boundsRequested is set once bounds are to be recorded for the workers that have not responded.
	boundsRequested bool
	// tokens, generations and sessions count the fencing tokens, generations and sessions of this term.
	tokens      uint64
	generations uint64
	sessions    uint64
	// queuedOrders holds the orders, such as starts, that are sent once the standby has acknowledged a
	// message, mirroredOrders those for which it has, and removedRuns the runs that ended since the last
	// update to it. mirrorPending says that a response of the standby is awaited. The store names
	// namedStandby as of namedRevision. It may name one of maybeNamed instead, if such a name was written
	// after that revision with unknown result.
	standby         *standby
	collected       []proto.Order // collected holds the orders that are to be queued or sent.
	queuedOrders    []proto.Order
	mirroredOrders  []proto.Order
	removedRuns     removals
	mirrorPending   bool
	mirrorSessions  uint64
	mirrorRoundTrip time.Duration // mirrorRoundTrip is how long the standby's last response took.
	standbyBackoff  map[string]time.Time
	namedStandby    string
	namedRevision   uint64
	maybeNamed      map[string]bool
	copiedRuns      map[string][]winch.Running // copiedRuns holds the runs that this entry knew as standby.
	// copiedExpiries holds the assignments, received as standby, under which work may run at
	// unresponsive workers.
	copiedExpiries map[string][]assignment
	expiries       leaseExpiries
	// changedExpiries holds the workers whose lease expiry has changed, expiriesChanged says that the
	// standby has not been sent the change.
	changedExpiries []string
	expiriesChanged bool
	// standbyExpiries holds the workers whose lease expiry may be known to a standby that the store
	// names or may name; ackedExpiries holds those of the last message that was accepted.
	standbyExpiries map[string]bool
	ackedExpiries   map[string]bool
	// mirroredAt is when the last message was sent to a standby, standbyAnsweredAt is when one last
	// responded.
	mirroredAt        time.Time
	standbyAnsweredAt time.Time
	startedAt         time.Time
	requestedAt       time.Time // requestedAt is a time before the term began.
	standbysAsked     bool      // standbysAsked says that possible standbys are being asked for a later term.
	standbyCheckedAt  time.Time // standbyCheckedAt is when the standby was last compared with other entries.
	decisionPending   bool
	loaded            bool // loaded says that the records of earlier planners have been read.
	closed            bool // closed says that the office is being given up: nothing more is started.
	runsRecorded      bool // runsRecorded says that the running work has been recorded for the next planner.
	// decidedAt is when the planner last made a decision, decisionTime is how long that took.
	decidedAt        time.Time
	decisionTime     time.Duration
	lag              lag
	speedsReportedAt time.Time // speedsReportedAt is when the speeds of workers were last reported.
	// evictionLost is the processor time lost by evictions that has been counted so far.
	evictionLost time.Duration
	// stateWaiters holds the requests that wait for the end of a job, by job ID.
	stateWaiters     map[string][]stateWaiter
	waitersClearedAt time.Time
	// reassignPending says that the workers' keepers are to be recomputed; reassignedAt is when they
	// last were.
	reassignPending bool
	reassignedAt    time.Time
	reassignTime    time.Duration // reassignTime is how long the last computation took.

	// rosterLock is a mutex of capacity one, held by whoever writes the roster; it guards
	// rosterStore.
	rosterLock chan struct{}

	urgentSave chan struct{}
	unsaved    chan struct{}
	rosterCh   chan struct{}
	// standbyCh wakes the goroutine that records the standby.
	standbyCh chan struct{}
	// admissionCh wakes the goroutine that sends the forecast for new jobs.
	admissionCh chan struct{}
	// unknownCh wakes the goroutine that looks up unknown jobs.
	unknownCh chan struct{}
}

func newLeadership(n *Node, term, revision, lease uint64, until time.Time) *leadership {
	l := &leadership{
		node: n, term: term, revision: revision, lease: lease, namedRevision: revision, maybeNamed: make(map[string]bool),
		duty: duty.New("Planner", eventQueueSize, nil), planner: fleet.New(term),
		proxies: make(map[string]*proxy), keepers: make(map[string]string), workersOf: make(map[string]map[string]bool), assignments: make(map[string]proto.Assignment),
		byToken: make(map[uint64]string), checkedLost: make(map[string]uint64), stateWaiters: make(map[string][]stateWaiter),
		workers: make(map[string]winch.WorkerVM), missing: make(map[string]time.Time), earlierBoots: make(map[string]winch.WorkerVM),
		keeperBackoff: make(map[string]bool), previousRoster: make(map[string]rosteredWorker), roster: make(map[string]rosteredWorker),
		desired: make(map[string]rosteredWorker), pendingRenewals: make(map[string]proto.Order),
		maybeBound: make(map[string]bool), maybeSettled: make(map[string]bool),
		urgentSave: make(chan struct{}, 1), unsaved: make(chan struct{}, 1), rosterCh: make(chan struct{}, 1),
		standbyCh: make(chan struct{}, 1), admissionCh: make(chan struct{}, 1), unknownCh: make(chan struct{}, 1), standbyBackoff: make(map[string]time.Time), expiries: newLeaseExpiries(),
		standbyExpiries: make(map[string]bool),
		rosterStore:     newRosterStore(), rosterLock: make(chan struct{}, 1), group: conc.NewWaitGroup(), startedAt: time.Now(),
	}
	l.requestedAt = until.Add(-officeTTL)
	v := newValidity(until)
	l.validity.Store(&v)
	l.planner.Policy = n.Policy
	l.planner.Barrier = time.Now().Add(barrier())
	l.planner.AdoptedRevision = math.MaxUint64
	l.planner.SetConfig(n.Config())
	return l
}

// barrier returns how long work of an earlier planner may run on workers that do not respond: by its
// own clock its office may have been valid for a whole lease, and its keepers went on for the grace
// period after it, on clocks that may be slow.
func barrier() time.Duration {
	const drift = 0.025
	d := officeTTL + keeperGrace
	return d + time.Duration(float64(d)*drift) + 300*time.Millisecond
}

// run serves as planner until the office is lost or given up.
func (l *leadership) run(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.timer = time.NewTimer(idleInterval)
	l.group.Go(func() { l.renew(l.ctx) })
	if l.load(l.ctx) {
		l.loaded = true
		// Requests are served only from here on: one that came while the records are read would have
		// to wait until that is done.
		l.node.leadership.Store(l)
		l.post(l.applyOperatorState)
		if l.node.stopping.Load() {
			l.group.Go(func() { l.handOver(l.ctx) })
		}
		for _, f := range []func(context.Context){
			l.followJobs, l.followWorkers, l.runCommits, l.runRoster,
			l.runWaiting, l.runAdmission, l.runSweep, l.runLoad, l.runBusyMonitor, l.runStallMonitor, l.runStandby, l.findAdoptedRevision, l.readCommands, l.runUnknownJobs,
		} {
			l.group.Go(func() { f(l.ctx) })
		}
	}
	l.duty.RunWithTick(l.ctx, l.timer.C, l.decide) // It returns at once if the records were not read.
	l.cancel()
	l.node.leadership.CompareAndSwap(l, nil)
	l.group.Wait()
}

// renew renews the office's lease and ends the leadership when the lease is lost.
func (l *leadership) renew(ctx context.Context) {
	defer l.cancel()
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, officeTTL/2)
		err := l.node.Table.RenewLease(callCtx, l.lease)
		cancel()
		switch {
		case err == nil:
			v := newValidity(sent.Add(officeTTL))
			l.validity.Store(&v)
		case errors.Is(err, winch.ErrNotFound):
			l.node.Log.Info("office lease lost", zap.Uint64("term", l.term))
			return
		}
		duty.Sleep(ctx, officeRenewInterval)
	}
}

// grantable returns the authority that a keeper may be granted: how long it may go on without another message of this
// planner.
func (l *leadership) grantable() time.Duration {
	return max(0, l.validity.Load().remaining()+keeperGrace)
}

// post runs f in the planner's goroutine. If the queue is full, f is dropped and the leadership ends:
// f could have reported a completion, and a new planner reads everything again.
func (l *leadership) post(f func()) {
	l.endIfFull(l.duty.Post(f))
}

// postUrgent is like post, but f runs before the events that wait.
func (l *leadership) postUrgent(f func()) {
	l.endIfFull(l.duty.PostUrgent(f))
}

func (l *leadership) endIfFull(err error) {
	if err != nil {
		l.node.Log.Error("planner event queue full; giving up the office")
		l.cancel()
	}
}

// decideSoon schedules a decision soon.
func (l *leadership) decideSoon() {
	if !l.decisionPending {
		l.decisionPending = true
		l.scheduleDecision(max(gatherDelay, decisionPauseFactor*l.decisionTime))
	}
}

// scheduleDecision schedules the next decision after d.
func (l *leadership) scheduleDecision(d time.Duration) {
	l.lag.due = time.Now().Add(d)
	l.timer.Reset(d)
}

// decide makes one decision: it starts what can start, unless the office is being given up or mayStart
// forbids it. It then sends the orders and requests that are due and has changed records saved.
func (l *leadership) decide() {
	l.decisionPending = false
	l.lag.note(time.Now())
	l.scheduleDecision(idleInterval)
	l.dropMissing()
	l.boundUnresponsive()
	if pause := max(reassignInterval, reassignPauseFactor*l.reassignTime); l.reassignPending && time.Since(l.reassignedAt) >= pause {
		l.reassign()
	} else if l.reassignPending {
		l.scheduleDecision(min(pause, idleInterval))
	}
	if !l.closed && (l.standby == nil || time.Since(l.standbyCheckedAt) > standbyCheckInterval) {
		l.standbyCheckedAt = time.Now()
		live := l.liveEntries()
		l.chooseStandby(live)
		l.yield(live)
	}
	if !l.closed && l.mayStart() {
		l.planner.Quota = l.adviceQuota()
		begin := time.Now()
		l.deciding.Store(true)
		l.planner.Schedule()
		l.deciding.Store(false)
		l.decidedAt = time.Now()
		l.decisionTime = l.decidedAt.Sub(begin)
		l.logLongDecision(l.planner.Ordered())
		if l.planner.Unfinished() {
			l.decideSoon()
		}
	}
	l.refreshStandby()
	l.signalAdmission()
	l.dispatch()
	l.requestAdvice()
	l.signalSave()
	l.signalUnknown()
	l.logCompletions()
	l.logEarlier()
	l.logStrays()
	l.logLosses()
	l.logAnomalies()
	l.reportSpeeds()
	l.logEvictions()
	l.reportCopies()
}

// mayStart reports whether work may be started. A planner that cannot renew its office goes on for a
// while after the lease has expired: while the store does not respond, no other entry can take the
// office, and if the standby took it without this planner's knowledge, it no longer acknowledges this
// planner's starts, so these are not sent. mayStart then limits the starts to jobs that the planner
// knew before the lease expired. What it starts ends before another planner may start the same.
func (l *leadership) mayStart() bool {
	left := l.validity.Load().remaining()
	l.planner.LeaseExpiry = time.Time{}
	if left > 0 {
		return true
	}
	l.planner.LeaseExpiry = time.Now().Add(left)
	return left > -maxOfficeOverrun && l.standby != nil && l.standby.synced && time.Since(l.listAsOf) < maxListAge
}

// signalSave wakes the goroutines that write changed records.
func (l *leadership) signalSave() {
	switch {
	case l.planner.RecordAwaited():
		duty.Signal(l.urgentSave)
	case l.planner.HasUnsaved():
		duty.Signal(l.unsaved)
	}
}
