// Package keep implements the keeper of a region: it renews the leases of the worker VMs
// that the planner assigns to it, forwards the planner's orders and reports events. It makes
// no scheduling decisions, but it does determine the effect of an order that got no response.
package keep

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// maxEvents bounds the events queued for the planner. A session in which more pile up ends,
	// and in a new one everything is listed again.
	maxEvents = 20_000
	// batchDelay is how long events are collected into one response: the tasks of a job
	// complete close together, and a message costs the planner as much as ten events.
	batchDelay = 4 * time.Millisecond
	// endedRetention is how long an ended assignment is kept for later planners: long enough
	// to outlast an outage of the store.
	endedRetention = 10 * time.Minute
)

// Keeper manages the workers assigned to it. The exported fields must be set before Run.
type Keeper struct {
	Client  winch.WorkerClient
	Log     *zap.Logger
	Metrics metrics.Registry
	// Lease is how long workers continue to run their tasks without contact to a keeper.
	Lease time.Duration
	// WorkerLease is the longest lease that a worker grants, whatever a call asks for; zero if it is not longer than Lease.
	WorkerLease time.Duration
	// Evacuated reports whether a failure domain is evacuated, so that nothing may be started there;
	// nil means that none is.
	Evacuated func(domain string) bool
	// FetchCommand fetches the command of a job from the entry that accepted it, its origin.
	FetchCommand func(ctx context.Context, job, origin string) (string, error)

	roundTrips roundTrips

	mu        sync.Mutex
	session   proto.Session
	started   time.Time
	authority Deadline // authority is when the authority granted by the planner ends.
	// answeredAt is when the last poll of the session was answered. The planner names it in the next one.
	answeredAt time.Time
	holders    map[string]*holder
	// byToken holds the same holders by the fencing tokens that identify them in orders.
	byToken  map[uint64]*holder
	commands Commands
	events   []proto.KeeperEvent
	messages uint64 // messages counts the planner's messages in the session.
	// overflowed is set once events were dropped: the planner must begin a new session.
	overflowed bool
	// ended holds the ended assignments whose lease expiry the planner may not know yet;
	// endedSent is how many of them the last response reported.
	ended     []endedAssignment
	endedSent int
	// lastEnded holds the most recent ended assignment of each worker, even if it was reported
	// already: a later planner starts from a stored record that may be older than what the
	// earlier planner knew.
	lastEnded map[string]endedAssignment
	// accounted holds, by worker, when the leases are guaranteed to have expired that the ended
	// assignments account for. A report covers all of them: the roster may name an earlier one.
	accounted map[string]time.Time
	// back holds, by failure domain, the channel that domainBack has returned.
	back    map[string]chan struct{}
	wake    chan struct{}
	group   *conc.WaitGroup
	ctx     context.Context
	stopped bool // stopped reports that Run has ended and no worker is managed anymore.
}

// endedAssignment is an assignment that has ended. At leaseExpiry the leases are guaranteed to
// have expired that it and the keeper's earlier assignments of the worker account for.
type endedAssignment struct {
	worker      string
	token       uint64
	generation  uint64
	leaseExpiry time.Time
}

// Prepare initializes the keeper. Run must be called afterwards.
func (k *Keeper) Prepare() {
	k.started = time.Now()
	k.holders = make(map[string]*holder)
	k.byToken = make(map[uint64]*holder)
	k.lastEnded = make(map[string]endedAssignment)
	k.accounted = make(map[string]time.Time)
	k.back = make(map[string]chan struct{})
	k.wake = make(chan struct{}, 1)
	k.group = conc.NewWaitGroup()
	k.ctx = context.Background()
}

// Run waits until ctx ends and then ends all assignments.
func (k *Keeper) Run(ctx context.Context) {
	<-ctx.Done()
	k.mu.Lock()
	for _, h := range k.holders {
		h.cancel()
		k.remove(h)
	}
	k.stopped = true
	k.mu.Unlock()
	k.group.Wait()
}

// newer reports whether session a is later than b.
func newer(a, b proto.Session) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Number > b.Number
}

// SetAssignments replaces the set of assigned workers. A set of an older session is ignored:
// its planner may have lost the office (the planner's leadership lease in the store) while
// the message was in flight.
func (k *Keeper) SetAssignments(set proto.AssignmentSet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped || newer(k.session, set.Session) {
		return
	}
	if newer(set.Session, k.session) {
		k.beginSession(set.Session)
		k.authority = DeadlineAt(time.Now().Add(set.Authority))
	}
	k.messages++
	wanted := make(map[string]bool, len(set.Workers))
	for _, w := range set.Workers {
		wanted[w.VM.ID] = true
		h := k.holders[w.VM.ID]
		if h != nil && h.token == w.Token {
			h.lowerPriorExpiry(w.Left)
			continue
		}
		if h != nil {
			k.endAssignment(h)
			k.remove(h)
		}
		k.assign(w)
	}
	for id, h := range k.holders {
		if !wanted[id] {
			k.endAssignment(h)
			k.remove(h)
		}
	}
}

// remove removes a holder from the maps.
func (k *Keeper) remove(h *holder) {
	if k.holders[h.vm.ID] == h {
		delete(k.holders, h.vm.ID)
	}
	delete(k.byToken, h.token)
}

// endAssignment ends an assignment and records its lease expiry. Without that record the
// worker's next keeper would have to assume the longest lease that could have been granted.
func (k *Keeper) endAssignment(h *holder) {
	h.cancel()
	expiry, last := h.close()
	expiry = later(later(expiry, time.Now()), k.accounted[h.vm.ID])
	k.accounted[h.vm.ID] = expiry
	if last {
		e := endedAssignment{h.vm.ID, h.token, h.generation, expiry}
		k.ended, k.lastEnded[e.worker] = append(k.ended, e), e
		duty.Signal(k.wake)
	}
}

// beginSession ends all assignments and begins a session. If the session belongs to a later
// planner, the runs and lease expiries known so far are reported to that planner.
func (k *Keeper) beginSession(s proto.Session) {
	k.events, k.overflowed, k.messages = nil, false, 0
	k.endedSent = 0
	if s.Term > k.session.Term {
		k.ended = k.lastEndedAssignments() // A later planner starts from the stored record, which may be outdated.
	}
	for id, h := range k.holders {
		k.endAssignment(h)
		k.remove(h)
		if running, complete := h.knownRuns(); complete && s.Term > k.session.Term {
			k.events = append(k.events, proto.KeeperEvent{Kind: proto.EventKnownRuns, Worker: id, Running: running, Turn: h.generation})
		}
	}
	k.session = s
	k.Log.Info("keeper session started", zap.Uint64("term", s.Term), zap.Uint64("session", s.Number),
		zap.Duration("authorityLeft", k.authority.Left()))
}

// lastEndedAssignments returns the last ended assignment of each unassigned worker.
func (k *Keeper) lastEndedAssignments() []endedAssignment {
	maps.DeleteFunc(k.lastEnded, func(_ string, e endedAssignment) bool { return time.Since(e.leaseExpiry) > endedRetention })
	maps.DeleteFunc(k.accounted, func(_ string, expiry time.Time) bool { return time.Since(expiry) > endedRetention })
	return slices.SortedFunc(maps.Values(k.lastEnded), func(a, b endedAssignment) int { return cmp.Compare(a.worker, b.worker) })
}

// assign starts to manage a worker.
func (k *Keeper) assign(w proto.Assignment) {
	delete(k.lastEnded, w.VM.ID)
	ctx, cancel := context.WithCancel(k.ctx)
	now := time.Now()
	left := w.Left
	if w.Empty {
		// No work waits for this expiry, and the worker may take a while to respond first.
		left = ExpiryBound(max(k.Lease, k.authority.Monotonic.Sub(now)))
	}
	h := &holder{
		keeper: k, vm: w.VM, token: w.Token, generation: w.Generation, startedEmpty: w.Empty, nextBoot: w.NextBoot, cancel: cancel, began: now, priorExpiry: now.Add(left),
		orders: newOrderQueue(), runs: make(map[runKey]*runState), completionsRecorded: make(chan struct{}, 1),
		renewalSignal: make(chan struct{}, 1),
	}
	k.holders[w.VM.ID], k.byToken[w.Token] = h, h
	k.group.Go(func() {
		defer cancel()
		h.run(ctx)
	})
}

// QueueOrders queues orders to the workers: starts once the command of their job is known,
// all others at once.
func (k *Keeper) QueueOrders(msg proto.KeeperOrders) {
	starts := make(map[string][]pendingStart)
	for i, h := range k.holdersOf(msg) {
		o := msg.Orders[i]
		switch {
		case h == nil:
		case o.Kind == proto.OrderStart:
			starts[o.Task.Job] = append(starts[o.Task.Job], pendingStart{h, o})
		default:
			h.enqueue(o, "")
		}
	}
	for job, list := range starts {
		if text, known := k.commands.Get(job); known || k.FetchCommand == nil {
			queueStarts(list, text)
			continue
		}
		k.group.Go(func() { k.startWithCommand(job, msg.Origins[job], list) })
	}
}

// pendingStart is a start that waits for its job's command.
type pendingStart struct {
	holder *holder
	order  proto.Order
}

func queueStarts(list []pendingStart, text string) {
	for _, x := range list {
		x.holder.enqueue(x.order, text)
	}
}

// startWithCommand fetches the command of a job and queues the starts that wait for it. If
// that fails, the starts are guaranteed to have no effect and are reported as not started.
func (k *Keeper) startWithCommand(job, origin string, list []pendingStart) {
	text, err := k.FetchCommand(k.ctx, job, origin)
	if err == nil {
		k.commands.Add(job, text)
		queueStarts(list, text)
		return
	}
	k.count("Keep.NoCommand")
	k.Log.Info("could not fetch the command of a job, its tasks are not started",
		zap.String("job", job), zap.String("origin", origin), zap.Error(err))
	for _, x := range list {
		x.holder.reportNotStarted(x.order)
	}
}

// holdersOf returns the holder of each order, nil if there is none. It releases the keeper's lock
// before the orders are queued, since a holder that can't queue an order acquires it to report that.
func (k *Keeper) holdersOf(msg proto.KeeperOrders) []*holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	if msg.Session != k.session {
		return nil
	}
	k.messages++
	out := make([]*holder, len(msg.Orders))
	for i, o := range msg.Orders {
		out[i] = k.byToken[o.Token]
	}
	return out
}

// Poll returns the events since the last poll of the session. It waits for an event, and
// then a moment longer for others that follow closely. A zero session in the response means that the
// session of the request is not the keeper's current one.
func (k *Keeper) Poll(ctx context.Context, req proto.KeeperPollRequest) proto.KeeperPollResponse {
	resp := k.waitForEvents(ctx, req)
	now := time.Now()
	resp.Stamp = now.Sub(k.started)
	k.mu.Lock()
	defer k.mu.Unlock()
	if resp.Session == k.session {
		k.answeredAt = now
	}
	return resp
}

func (k *Keeper) waitForEvents(ctx context.Context, req proto.KeeperPollRequest) proto.KeeperPollResponse {
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	for {
		resp, ready := k.collect(req)
		if ready {
			return resp
		}
		select {
		case <-ctx.Done():
			return resp
		case <-timer.C:
			resp.Session = req.Session
			return resp
		case <-k.wake:
			duty.Sleep(ctx, batchDelay)
		}
	}
}

// collect returns the response to a poll, and whether it is to be sent without further waiting.
func (k *Keeper) collect(req proto.KeeperPollRequest) (proto.KeeperPollResponse, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if req.Session != k.session || k.overflowed || req.Messages > k.messages {
		return proto.KeeperPollResponse{Term: k.session.Term}, true
	}
	if req.Stamp > 0 && req.Stamp == k.answeredAt.Sub(k.started) {
		k.authority.extend(DeadlineAt(k.answeredAt.Add(req.Authority)))
	}
	k.ended, k.endedSent = k.ended[k.endedSent:], 0 // Another poll means that the last response was received.
	if len(k.events) == 0 && len(k.ended) == 0 {
		return proto.KeeperPollResponse{}, false
	}
	resp := proto.KeeperPollResponse{Session: k.session, Events: append(k.releasedEvents(), k.events...)}
	k.events, k.endedSent = nil, len(k.ended)
	return resp, true
}

// releasedEvents returns the events for the ended assignments.
func (k *Keeper) releasedEvents() []proto.KeeperEvent {
	out := make([]proto.KeeperEvent, 0, len(k.ended))
	for _, e := range k.ended {
		out = append(out, proto.KeeperEvent{
			Kind: proto.EventReleased, Worker: e.worker, Token: e.token, Turn: e.generation, Left: max(0, time.Until(e.leaseExpiry)),
		})
	}
	return out
}

// collectEvents queues a holder's events for the planner. Events of a replaced holder are dropped, and so are
// all that are queued once there are more than maxEvents.
func (k *Keeper) collectEvents(h *holder) {
	k.mu.Lock()
	defer k.mu.Unlock()
	events := h.takeEvents()
	if len(events) == 0 || k.holders[h.vm.ID] != h || k.overflowed {
		return
	}
	k.events = append(k.events, events...)
	if len(k.events) > maxEvents {
		k.Log.Error("event queue of the keeper is full; its session ends", zap.Int("events", len(k.events)))
		k.events, k.overflowed = nil, true
		k.count("Keep.Overflowed")
	}
	duty.Signal(k.wake)
}

// authorityLeft returns how long the keeper may still renew leases.
func (k *Keeper) authorityLeft() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.authority.Left()
}

func (k *Keeper) count(name string) {
	metrics.GetOrRegisterCounter(name, k.Metrics).Inc(1)
}
