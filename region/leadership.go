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
	leadRing = 16384
	// gatherDelay is how long events are gathered before the planner decides: each decision handles
	// everything that is pending.
	gatherTime = 3 * time.Millisecond
	// decisionPauseFactor is the pause before the next decision as a multiple of the time that the
	// last one took: events, orders and responses need the rest of the processor.
	decidePause = 3
	// idleInterval is how often the planner decides without events, since tickets and deadlines
	// expire.
	idleTime = 100 * time.Millisecond
	// tokensPerOffice is the number of fencing tokens available below one revision of the office.
	tokensPerOffice = 1 << 20
	// generationsPerTerm is the number of worker generations available in one term.
	turnsPerTerm = 1 << 32
	// jobsPollInterval is how often the store's changes of jobs are read. Entries notify the planner
	// of changes at once; polling finds those whose notification was lost.
	jobsGap = time.Second
	// reassignInterval is the minimum time between two computations of the workers' keepers: one takes
	// some milliseconds for thousands of workers.
	assignGap = 20 * time.Millisecond
	// workersPollInterval is how often changes of the worker list are read. A worker must get no work
	// two seconds after it began to drain.
	workersGap = 400 * time.Millisecond
	// maxListAge is how old the worker list may be for a start while the store does not respond: the
	// capacity that a worker announces takes effect three seconds later.
	listTime = 3 * time.Second
	// workerReturnTimeout is how long workers whose store records expired during a store outage may
	// take to register again.
	returnTime = 2200 * time.Millisecond
	// sweepInterval is how often the records of old jobs are removed.
	sweepEvery = 5 * time.Second
	// maxOfficeOverrun is how long a planner that cannot renew its office goes on after the office's
	// lease has expired. What it starts last still has a second to run before its keepers stop
	// renewing.
	staleTime = keepGrace - 1500*time.Millisecond
	// processEndPollInterval is how often it is checked whether the earlier planner's process has
	// ended.
	freshLook = 20 * time.Millisecond
	// loadInterval is how often the region's load is logged.
	loadEvery = time.Second
)

// leadership is one term of this entry as planner of the region. The planner is the entry that holds
// the office, which is the planner's leadership lease in the store. A leadership connects the
// decisions of package fleet with the store, the keepers and the advice service's lanes.
type lead struct {
	node     *Node
	term     uint64
	last     string // lastHolder is the name of the planner of the previous term.
	revision uint64 // revision is the office's revision; all records are written on condition of it.
	lease    uint64
	valid    atomic.Pointer[validity]
	duty     *duty.Duty
	cancel   context.CancelFunc
	ctx      context.Context
	group    *conc.WaitGroup
	timer    *time.Timer

	// The fields below are accessed only in the duty's goroutine. prefetched is what this entry read
	// as standby; jobsRevision is the revision up to which jobs have been read, and orphans are the
	// IDs of jobs of which the store holds other records but no job record.
	prefetched *prefetched
	jobsAt     uint64
	orphans    []string
	planner    *fleet.Planner
	lanes      lanes.Lanes[fleet.Ask]
	proxies    map[string]*proxy
	keepers    map[string]string     // keepers holds the name of each worker's keeper.
	kept       map[string]proto.Kept // kept holds the fencing token of each worker's assignment.
	byToken    map[uint64]string     // byToken holds the worker of each fencing token.
	workers    map[string]winch.WorkerVM
	listAt     time.Time // listAsOf is the time at which the known worker list was current.
	missing    map[string]time.Time
	resting    map[string]bool // keeperBackoff holds the keepers to which no session is opened for the moment.
	// desired is the roster to be recorded, roster the one that is recorded.
	wanted  map[string]rostered
	roster  map[string]rostered
	before  map[string]rostered // previousRoster is the roster of the earlier planner.
	settled map[string]bool     // maybeSettled holds the workers that the store may record as settled.
	// rosterRevision is the revision of the roster's record, loadedRosterRevision that of the record
	// read at the start of the term.
	rosterAt, rosterRead uint64
	// pendingRenewals holds orders that wait until the store surely records no bound for their worker.
	renewals map[string]proto.Order
	// maybeBound holds the workers for which the store may record a bound.
	mayBound map[string]bool
	// boundsRequested says that the recording of bounds for workers without contact has been
	// requested.
	bounded  bool
	tokens   uint64
	turns    uint64
	sessions uint64
	// queuedOrders holds the starts that have not been sent to the standby yet, mirroredOrders those
	// that the standby has acknowledged, and removedRuns the runs that ended since the last update to
	// it. mirrorPending says that a response of the standby is awaited. The store names namedStandby
	// as of namedRevision, or one of maybeNamed: their records were written after that revision with
	// unknown result.
	standby   *standby
	queued    []proto.Order
	told      []proto.Order
	removed   []proto.MirrorRun
	mirroring bool
	mirrors   uint64
	answered  time.Duration // mirrorRoundTrip is how long the standby's last response took.
	tired     map[string]time.Time
	named     string
	namedAt   uint64
	mayName   map[string]bool
	copied    map[string][]winch.Running // copiedRuns is what this entry knew as standby.
	// copiedExpiries holds the assignments, received as standby, under which work may run at
	// unresponsive workers.
	copiedLapses map[string][]holding
	lapses       lapses
	// changedExpiries holds the workers whose lease expiry has changed, expiriesChanged says that the
	// standby has not been sent the change.
	lapsed    []string
	lapseNews bool
	asked     map[string]bool // askedKeepers holds the earlier planner's keepers to which a session was opened.
	// standbyExpiries holds the workers whose lease expiry may be known to a standby that the store
	// names or may name; ackedExpiries holds those of the last message that was accepted.
	words map[string]bool
	acked map[string]bool
	// expiriesSentAt is when the expiries of unresponsive workers were last sent to a standby,
	// standbyAnsweredAt is when a standby last responded.
	wordsAt    time.Time
	wordsHeard time.Time
	began      time.Time
	looked     time.Time // standbyCheckedAt is when the standby was last compared with other entries.
	armed      bool
	closed     bool
	recorded   bool // runsRecorded says that the running work has been recorded for the next planner.
	// decidedAt is when the planner last made a decision, decisionTime is how long that took.
	decided time.Time
	took    time.Duration
	lag     lag
	// stateWaiters holds the requests that wait for the end of a job, by job ID.
	asking   map[string][]chan struct{}
	askingAt time.Time
	// reassignPending says that the workers' keepers are to be recomputed; reassignedAt is when they
	// last were.
	assign   bool
	assigned time.Time

	// rosterLock is a mutex of capacity one, held by whoever writes the roster; it guards
	// rosterRevision.
	rosterTurn chan struct{}

	pressing chan struct{}
	unsaved  chan struct{}
	rosterCh chan struct{}
	// standbyCh wakes the goroutine that records the standby.
	standbyCh chan struct{}
}

func newLead(n *Node, term, revision, lease uint64, until time.Time) *lead {
	l := &lead{
		node: n, term: term, revision: revision, lease: lease, namedAt: revision, mayName: make(map[string]bool),
		duty: duty.New("Planner", leadRing, nil), planner: fleet.New(term),
		proxies: make(map[string]*proxy), keepers: make(map[string]string), kept: make(map[string]proto.Kept),
		byToken: make(map[uint64]string), asking: make(map[string][]chan struct{}),
		workers: make(map[string]winch.WorkerVM), missing: make(map[string]time.Time),
		resting: make(map[string]bool), before: make(map[string]rostered), roster: make(map[string]rostered),
		wanted: make(map[string]rostered), renewals: make(map[string]proto.Order),
		mayBound: make(map[string]bool), settled: make(map[string]bool),
		pressing: make(chan struct{}, 1), unsaved: make(chan struct{}, 1), rosterCh: make(chan struct{}, 1),
		standbyCh: make(chan struct{}, 1), tired: make(map[string]time.Time), lapses: newLapses(),
		words: make(map[string]bool), asked: make(map[string]bool),
		rosterTurn: make(chan struct{}, 1), group: conc.NewWaitGroup(), began: time.Now(),
	}
	v := newValidity(until)
	l.valid.Store(&v)
	l.planner.Barrier = time.Now().Add(barrier())
	l.planner.Fresh = math.MaxUint64
	l.planner.SetConfig(n.Config())
	return l
}

// barrier returns how long work of an earlier planner may run on workers that do not respond: by its
// own clock its office may have been valid for a whole lease, and its keepers went on for the grace
// period after it, on clocks that may be slow.
func barrier() time.Duration {
	const drift = 0.025
	d := officeTTL + keepGrace
	return d + time.Duration(float64(d)*drift) + 300*time.Millisecond
}

// run serves as planner until the office is lost or given up.
func (l *lead) run(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.timer = time.NewTimer(idleTime)
	l.group.Go(func() { l.renew(l.ctx) })
	if l.load(l.ctx) {
		// Requests are served only from here on: one that came while the records are read would have
		// to wait until that is done.
		l.node.lead.Store(l)
		if l.node.stopping.Load() {
			l.group.Go(func() { l.handOver(l.ctx) })
		}
		for _, f := range []func(context.Context){
			l.followJobs, l.followWorkers, l.runCommits, l.runRoster,
			l.runWaiting, l.runSweep, l.runLoad, l.runSight, l.runStandby, l.runFresh, l.readCommands,
		} {
			l.group.Go(func() { f(l.ctx) })
		}
	}
	l.duty.Every(l.ctx, l.timer.C, l.decide) // It returns at once if the records were not read.
	l.cancel()
	l.node.lead.CompareAndSwap(l, nil)
	l.group.Wait()
}

// renew renews the office's lease and ends the leadership when the lease is lost.
func (l *lead) renew(ctx context.Context) {
	defer l.cancel()
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, officeTTL/2)
		err := l.node.Table.Keep(callCtx, l.lease)
		cancel()
		switch {
		case err == nil:
			v := newValidity(sent.Add(officeTTL))
			l.valid.Store(&v)
		case errors.Is(err, winch.ErrMissing):
			l.node.Log.Info("office lease lost", zap.Uint64("term", l.term))
			return
		}
		duty.Pause(ctx, officeRenew)
	}
}

// authority returns how long keepers may go on without another message of this planner.
func (l *lead) authority() time.Duration {
	return max(0, l.valid.Load().left()+keepGrace)
}

// post runs f in the planner's goroutine. If the queue is full, f is dropped and the leadership ends:
// f could have reported a completion, and a new planner reads everything again.
func (l *lead) post(f func()) {
	if l.duty.Post(f) != nil {
		l.node.Log.Error("planner event queue full; giving up the office")
		l.cancel()
	}
}

// wake schedules a decision soon.
func (l *lead) wake() {
	if !l.armed {
		l.armed = true
		l.arm(max(gatherTime, decidePause*l.took))
	}
}

// scheduleDecision schedules the next decision after d.
func (l *lead) arm(d time.Duration) {
	l.lag.due = time.Now().Add(d)
	l.timer.Reset(d)
}

// decide starts what can start, provided that the office is surely still held.
func (l *lead) decide() {
	l.armed = false
	l.lag.note(time.Now())
	l.arm(idleTime)
	l.dropMissing()
	l.boundUnheard()
	if l.assign && time.Since(l.assigned) >= assignGap {
		l.reassign()
	} else if l.assign {
		l.arm(assignGap)
	}
	if !l.closed && (l.standby == nil || time.Since(l.looked) > standbyLook) {
		l.looked = time.Now()
		live := l.live()
		l.chooseStandby(live)
		l.yield(live)
	}
	if !l.closed && l.mayStart() {
		l.planner.Openings = l.openings()
		begin := time.Now()
		l.planner.Schedule()
		l.decided = time.Now()
		l.took = l.decided.Sub(begin)
	}
	l.keepWords()
	l.dispatch()
	l.ask()
	l.save()
	l.logEndings()
	l.logLosses()
}

// mayStart reports whether work may be started, and limits which. While the store does not respond,
// no other entry can take the office there. If the standby took it unnoticed, it no longer
// acknowledges this planner's starts, so these are not sent. So the planner goes on for a while, with
// the jobs that it knew while the office was surely its own; what it starts has ended before another
// planner may start the same.
func (l *lead) mayStart() bool {
	left := l.valid.Load().left()
	l.planner.KnownBefore = time.Time{}
	if left > 0 {
		return true
	}
	l.planner.KnownBefore = time.Now().Add(left)
	return left > -staleTime && l.standby != nil && l.standby.synced && time.Since(l.listAt) < listTime
}

// signalSave wakes the goroutines that write changed records.
func (l *lead) save() {
	switch {
	case l.planner.Pressing():
		duty.Signal(l.pressing)
	case l.planner.Unsaved():
		duty.Signal(l.unsaved)
	}
}
