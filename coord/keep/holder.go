package keep

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// holdWait is how long a worker may delay its response to a hold until a run
	// completes. A longer wait means fewer responses, and a completion is reported at once
	// in any case.
	holdWait = 1500 * time.Millisecond
	// frequentHoldWait replaces holdWait while the planner adjusts throttle percentages
	// from the worker's reports: tasks may miss their response time target for a few seconds
	// only.
	frequentHoldWait = 500 * time.Millisecond
	// holdDelay is the delay between a response and the next hold.
	holdDelay = 15 * time.Millisecond
	// recordTimeout bounds how long the next hold is delayed until the listed completions
	// are recorded. A worker responds at once as long as it lists completions, so a hold
	// sent earlier would only return the same ones again.
	recordTimeout = 200 * time.Millisecond
	// lossyHoldWait replaces holdWait while responses are being lost: after a lost response
	// the keeper learns of the worker's completions only with the next hold.
	lossyHoldWait = 700 * time.Millisecond
	// noRenewalHoldWait replaces holdWait while the lease may not be renewed yet, and
	// renewalTimeout bounds how long the next hold is delayed for that permission.
	noRenewalHoldWait = 300 * time.Millisecond
	renewalTimeout    = 150 * time.Millisecond
	// retryDelay is the delay after a failed call. It doubles with each further failed hold in a row, up
	// to maxRetryDelay: each hold is a look at the worker.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// startTimeout is how long after it was sent a worker accepts a start. It is short, so
	// that a start delayed in the network is refused on arrival.
	startTimeout = 1200 * time.Millisecond
	// orderSenders is the number of orders that may be in flight to one worker, each on
	// its own connection.
	orderSenders = 2
	// maxClockDrift is the maximum fraction by which a worker's clock runs slower than the
	// local one.
	maxClockDrift = 0.02
	// expiryMargin is added to a lease's expiry: a message may be in flight for some of that
	// time, and the worker ends runs shortly after the expiry.
	expiryMargin = 300 * time.Millisecond
	// minExpiryTimeout is the minimum timeout of a hold whose worker is about to count as
	// lost.
	minExpiryTimeout = 150 * time.Millisecond
	// clockResolution is the resolution of the clock in a worker's responses.
	clockResolution = time.Millisecond
	// statusInterval is the minimum interval between status reports to the planner, and
	// frequentStatusInterval applies while the planner adjusts throttle percentages from
	// them.
	statusInterval         = time.Second
	frequentStatusInterval = 400 * time.Millisecond
	// maxListed is the number of completions that a worker lists at a time. In a list of
	// that length some completions may still be missing.
	maxListed = 500
)

type runKey struct {
	task winch.RunID
	run  uint64
}

// runState is what a holder knows about a run that was ordered or listed.
type runState struct {
	// sentAt is when the run's start was sent; zero if this keeper sent none.
	sentAt time.Time
	// confirmedAt is when the worker last confirmed an order about the run; zero while
	// the first order is in flight.
	confirmedAt time.Time
	// listed is set once the worker has listed the run as running.
	listed bool
	// startUncertain reports that the start got no response and the run is being stopped.
	startUncertain bool
	// reported is set once the run's status was sent to the planner; percent and checkpoint
	// are the values last sent.
	reported   bool
	percent    float64
	checkpoint string
	// orderedPercent is the throttle percentage last ordered.
	orderedPercent int
}

// queuedOrder is an order that waits to be sent to the worker.
type queuedOrder struct {
	proto.Order
	command string    // command is the job's command, set only for starts.
	at      time.Time // at is when the order was queued.
}

// holder manages one boot of a worker under one assignment.
type holder struct {
	keeper       *Keeper
	vm           winch.WorkerVM
	token        uint64
	generation   uint64
	startedEmpty bool // startedEmpty reports that no run existed at the worker when the assignment began.
	nextBoot     bool // nextBoot reports that an earlier boot had the worker's ID.
	cancel       context.CancelFunc
	orders       *orderQueue
	began        time.Time
	// completionsRecorded wakes the next hold once no reported completion is left to record.
	completionsRecorded chan struct{}

	mu   sync.Mutex
	runs map[runKey]*runState
	// events holds the events that the keeper has not collected yet, in the order of the changes of
	// state that they report. They are added in the same critical section as the change.
	events            []proto.KeeperEvent
	recordedUpTo      uint64             // recordedUpTo is the number up to which completions are recorded.
	forgottenUpTo     uint64             // forgottenUpTo is the last number that the worker has responded to.
	listedCompletions []winch.Completion // listedCompletions holds the completions that the worker listed last.
	// workerClock is the worker's time when the local time was clockReadAt.
	workerClock time.Duration
	clockReadAt time.Time
	// leaseUntil is the last requested lease expiry, on the worker's clock, and ownExpiry
	// the local time at which it is guaranteed to have passed there. Neither moves while
	// the worker is unresponsive: a call without a response may still take effect, and a
	// worker that has failed must eventually count as lost.
	leaseUntil time.Duration
	ownExpiry  time.Time
	// priorExpiry is when the leases granted under earlier assignments are guaranteed to
	// have expired.
	priorExpiry  time.Time
	unresponsive bool
	// retrying reports that the last hold failed: it is retried once, at once, before the
	// worker counts as unresponsive.
	retrying bool
	// renewalAllowed reports that the lease may be renewed: the planner knows that the
	// worker has responded since its last unresponsive period. Without that rule the
	// planner, if it lost this keeper, would have to assume the longest lease from then on,
	// even for a worker that never responded.
	renewalAllowed      bool
	unresponsivePeriods uint64        // unresponsivePeriods counts the worker's unresponsive periods.
	renewalSignal       chan struct{} // renewalSignal wakes the next hold once the lease may be renewed.
	lastContact         time.Time     // lastContact is when the worker last responded; zero if it never did.
	listed              bool          // listed reports that the worker's first lists were received.
	closed              bool          // closed reports that no start may be sent anymore.
	fenced              bool          // fenced reports that a later assignment of the worker has begun.
	reportOften         bool          // reportOften reports that the planner needs frequent status reports.
	lastCompletion      uint64        // lastCompletion is the highest completion number listed so far.
	lastStatus          time.Time     // lastStatus is when the status of runs was last reported.
	// failedCalls counts the consecutive calls without a response, and lastFailure is when
	// the last of them timed out.
	failedCalls int
	lastFailure time.Time
	// listsClock is the worker's clock in the newest accepted lists.
	listsClock time.Duration
}

func (h *holder) run(ctx context.Context) {
	var group conc.WaitGroup
	for range orderSenders {
		group.Go(func() { h.sendOrders(ctx) })
	}
	group.Go(func() {
		defer h.cancel()
		h.renewLoop(ctx)
	})
	group.Wait()
}

// knownRuns returns the runs that may exist at the worker or whose completions are not
// recorded yet, and whether that list is complete. The holder must be closed.
func (h *holder) knownRuns() ([]winch.Running, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []winch.Running
	for key, r := range h.runs {
		x := winch.Running{Task: key.task, Run: key.run}
		if !r.listed {
			x.Percent = winch.PercentUnlisted
		}
		out = append(out, x)
	}
	for _, e := range h.listedCompletions {
		if e.Number > h.recordedUpTo {
			out = append(out, winch.Running{Task: e.Task, Run: e.Run})
		}
	}
	return out, (h.listed || h.startedEmpty) && !h.fenced
}

// enqueue applies an order that needs no message of its own, since the next hold carries it,
// and queues any other one for the worker.
func (h *holder) enqueue(o proto.Order, text string) {
	switch o.Kind {
	case proto.OrderForget:
		h.mu.Lock()
		// A number that this boot has not listed is that of another boot.
		h.recordedUpTo = max(h.recordedUpTo, min(o.Forget, h.lastCompletion))
		caughtUp := h.recordedUpTo >= h.lastCompletion
		h.mu.Unlock()
		if caughtUp {
			duty.Signal(h.completionsRecorded)
		}
		return
	case proto.OrderReportRate:
		h.mu.Lock()
		h.reportOften = o.Closely
		h.mu.Unlock()
		return
	case proto.OrderAllowRenewal:
		h.mu.Lock()
		h.renewalAllowed = h.renewalAllowed || o.Spell == h.unresponsivePeriods && !h.unresponsive
		h.mu.Unlock()
		duty.Signal(h.renewalSignal)
		return
	}
	if o.Kind == proto.OrderThrottle {
		h.mu.Lock()
		if r := h.runs[runKey{o.Task, o.Run}]; r != nil {
			r.orderedPercent = o.Percent
		}
		h.mu.Unlock()
	}
	if !h.orders.push(queuedOrder{o, text, time.Now()}) {
		h.keeper.count("Keep.RingFull")
		h.reportNotStarted(o)
	}
}

// reportNotStarted reports to the planner that a start was not sent.
func (h *holder) reportNotStarted(o proto.Order) {
	h.emit(proto.KeeperEvent{Kind: proto.EventNotStarted, Task: o.Task, Run: o.Run, Result: winch.StartRefused})
}

// emit reports an event to the planner.
func (h *holder) emit(e proto.KeeperEvent) {
	h.mu.Lock()
	h.addEvents(e)
	h.mu.Unlock()
	h.keeper.collectEvents(h)
}

// addEvents adds events for the keeper to collect. The caller holds the mutex, and calls collectEvents
// after it has released it.
func (h *holder) addEvents(events ...proto.KeeperEvent) {
	for _, e := range events {
		e.Token = h.token
		h.events = append(h.events, e)
	}
}

// takeEvents returns the events to be collected and removes them.
func (h *holder) takeEvents() []proto.KeeperEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.events
	h.events = nil
	return out
}
