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
	// maxEvents bounds the events queued for the planner. A planner that lets so many pile
	// up has lost the session, and a new session lists everything anyway.
	mostEvents = 20_000
	// orderQueueSize bounds the orders queued for one worker.
	ringSize = 128
	// batchDelay is how long events are collected into one response: the tasks of a job
	// complete close together, and a message costs the planner as much as ten events.
	gatherTime = 4 * time.Millisecond
	// endedRetention is how long an ended assignment is kept for later planners: longer
	// than an outage of the store.
	lastTime = 10 * time.Minute
)

// Keeper manages the workers assigned to it. The exported fields must be set before Run.
type Keeper struct {
	Runner  winch.Runner
	Log     *zap.Logger
	Metrics metrics.Registry
	// Lease is how long workers continue to run their tasks without contact to a keeper.
	Lease time.Duration
	// FetchCommand fetches the command of a job from the entry that accepted it, its origin.
	Command func(ctx context.Context, job, origin string) (string, error)

	trips trips

	mu      sync.Mutex
	session proto.Session
	started time.Time
	until   time.Time // authorityUntil is when the authority granted by the planner ends.
	holders map[string]*holder
	// byToken holds the same holders by the fencing tokens that identify them in orders.
	byToken  map[uint64]*holder
	commands Commands
	events   []proto.KeepEvent
	// ended holds the ended assignments whose lease expiry the planner may not know yet;
	// endedSent is how many of them the last response reported.
	ended  []endedHolding
	handed int
	// lastEnded holds the most recent ended assignment of each worker, even if it was reported
	// already: a later planner starts from a stored record that may be older than what the
	// earlier planner knew.
	last  map[string]endedHolding
	wake  chan struct{}
	group *conc.WaitGroup
	ctx   context.Context
	over  bool // stopped reports that Run has ended and no worker is managed anymore.
}

// endedAssignment is an assignment that has ended. At leaseExpiry the leases granted under
// it and under earlier ones are guaranteed to have expired.
type endedHolding struct {
	worker string
	token  uint64
	turn   uint64
	lapse  time.Time
}

// Prepare initializes the keeper. Run must be called afterwards.
func (k *Keeper) Prepare() {
	k.started = time.Now()
	k.holders = make(map[string]*holder)
	k.byToken = make(map[uint64]*holder)
	k.last = make(map[string]endedHolding)
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
		k.drop(h)
	}
	k.over = true
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
func (k *Keeper) Set(set proto.KeepSet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.over || newer(k.session, set.Session) {
		return
	}
	if newer(set.Session, k.session) {
		k.begin(set.Session)
		k.until = time.Now().Add(set.Authority)
	}
	wanted := make(map[string]bool, len(set.Workers))
	for _, w := range set.Workers {
		wanted[w.VM.ID] = true
		h := k.holders[w.VM.ID]
		if h != nil && h.token == w.Token {
			h.learn(w.Left)
			continue
		}
		if h != nil {
			k.letGo(h)
			k.drop(h)
		}
		k.hold(w)
	}
	for id, h := range k.holders {
		if !wanted[id] {
			k.letGo(h)
			k.drop(h)
		}
	}
}

// remove removes a holder from the maps.
func (k *Keeper) drop(h *holder) {
	if k.holders[h.vm.ID] == h {
		delete(k.holders, h.vm.ID)
	}
	delete(k.byToken, h.token)
}

// endAssignment ends an assignment and records its lease expiry. Without that record the
// worker's next keeper would have to assume the longest lease that could have been granted.
func (k *Keeper) letGo(h *holder) {
	h.cancel()
	if expiry, last := h.close(); last {
		e := endedHolding{h.vm.ID, h.token, h.turn, expiry}
		k.ended, k.last[e.worker] = append(k.ended, e), e
		duty.Signal(k.wake)
	}
}

// beginSession ends all assignments and begins a session. If it belongs to a later planner,
// the runs and lease expiries known so far are reported to that planner.
func (k *Keeper) begin(s proto.Session) {
	k.events = nil
	k.handed = 0
	if s.Term > k.session.Term {
		k.ended = k.lastOfEach() // A later planner starts from the stored record, which may be outdated.
	}
	for id, h := range k.holders {
		k.letGo(h)
		k.drop(h)
		if running, whole := h.known(); whole && s.Term > k.session.Term {
			k.events = append(k.events, proto.KeepEvent{Kind: proto.EventKnown, Worker: id, Running: running, Turn: h.turn})
		}
	}
	k.session = s
	k.Log.Info("keeper session started", zap.Uint64("term", s.Term), zap.Uint64("session", s.Number))
}

// lastEndedAssignments returns the last ended assignment of each unassigned worker.
func (k *Keeper) lastOfEach() []endedHolding {
	maps.DeleteFunc(k.last, func(_ string, e endedHolding) bool { return time.Since(e.lapse) > lastTime })
	return slices.SortedFunc(maps.Values(k.last), func(a, b endedHolding) int { return cmp.Compare(a.worker, b.worker) })
}

func (k *Keeper) hold(w proto.Kept) {
	delete(k.last, w.VM.ID)
	ctx, cancel := context.WithCancel(k.ctx)
	now := time.Now()
	left := w.Left
	if w.Empty {
		// No work waits for this expiry, and the worker may take a while to respond first.
		left = Surely(max(k.Lease, k.until.Sub(now)))
	}
	h := &holder{
		keeper: k, vm: w.VM, token: w.Token, turn: w.Turn, empty: w.Empty, cancel: cancel, began: now, prior: now.Add(left),
		ring: make(chan command, ringSize), runs: make(map[runKey]*known), recorded: make(chan struct{}, 1),
		opened: make(chan struct{}, 1),
	}
	k.holders[w.VM.ID], k.byToken[w.Token] = h, h
	k.group.Go(func() {
		defer cancel()
		h.run(ctx)
	})
}

// QueueOrders queues orders to the workers: starts once the command of their job is known,
// all others at once.
func (k *Keeper) Orders(msg proto.KeepOrders) {
	starts := make(map[string][]pending)
	for i, h := range k.addressed(msg) {
		o := msg.Orders[i]
		switch {
		case h == nil:
		case o.Kind == proto.OrderStart:
			starts[o.Task.Job] = append(starts[o.Task.Job], pending{h, o})
		default:
			h.take(o, "")
		}
	}
	for job, list := range starts {
		if text, known := k.commands.Get(job); known || k.Command == nil {
			startAll(list, text)
			continue
		}
		k.group.Go(func() { k.fetch(job, msg.Origins[job], list) })
	}
}

// pendingStart is a start that waits for its job's command.
type pending struct {
	holder *holder
	order  proto.Order
}

func startAll(list []pending, text string) {
	for _, x := range list {
		x.holder.take(x.order, text)
	}
}

// startWithCommand fetches the command of a job and queues the starts that wait for it. If
// that fails, the starts are guaranteed to have no effect and are reported as not started.
func (k *Keeper) fetch(job, origin string, list []pending) {
	text, err := k.Command(k.ctx, job, origin)
	if err == nil {
		k.commands.Add(job, text)
		startAll(list, text)
		return
	}
	k.count("Keep.NoCommand")
	k.Log.Info("could not fetch the command of a job, its tasks are not started",
		zap.String("job", job), zap.String("origin", origin), zap.Error(err))
	for _, x := range list {
		x.holder.refuse(x.order)
	}
}

// holdersOf returns the holder of each order. It returns before any holder is locked, since
// holders acquire the two locks in the opposite order.
func (k *Keeper) addressed(msg proto.KeepOrders) []*holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	if msg.Session != k.session {
		return nil
	}
	out := make([]*holder, len(msg.Orders))
	for i, o := range msg.Orders {
		out[i] = k.byToken[o.Token]
	}
	return out
}

// Poll returns the events since the last poll of the session. It waits for an event, and
// shortly for others that come with it. A zero session in the response means that the
// session of the request is not the keeper's current one.
func (k *Keeper) Poll(ctx context.Context, req proto.KeepPoll) proto.KeepNews {
	resp := k.await(ctx, req)
	resp.Stamp = time.Since(k.started)
	return resp
}

func (k *Keeper) await(ctx context.Context, req proto.KeepPoll) proto.KeepNews {
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
			duty.Pause(ctx, gatherTime)
		}
	}
}

func (k *Keeper) collect(req proto.KeepPoll) (proto.KeepNews, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if req.Session != k.session {
		return proto.KeepNews{Term: k.session.Term}, true
	}
	if until := k.started.Add(req.Stamp + req.Authority); req.Stamp > 0 && until.After(k.until) {
		k.until = until
	}
	k.ended, k.handed = k.ended[k.handed:], 0 // Another poll means that the last response was received.
	if len(k.events) == 0 && len(k.ended) == 0 {
		return proto.KeepNews{}, false
	}
	resp := proto.KeepNews{Session: k.session, Events: append(k.released(), k.events...)}
	k.events, k.handed = nil, len(k.ended)
	return resp, true
}

// releasedEvents returns the events for the ended assignments.
func (k *Keeper) released() []proto.KeepEvent {
	out := make([]proto.KeepEvent, 0, len(k.ended))
	for _, e := range k.ended {
		out = append(out, proto.KeepEvent{
			Kind: proto.EventReleased, Worker: e.worker, Token: e.token, Turn: e.turn, Left: max(0, time.Until(e.lapse)),
		})
	}
	return out
}

// emit queues events for the planner. Events of a replaced holder are dropped.
func (k *Keeper) emit(h *holder, events ...proto.KeepEvent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holders[h.vm.ID] != h || len(k.events) > mostEvents {
		return
	}
	k.events = append(k.events, events...)
	duty.Signal(k.wake)
}

// authorityLeft returns how long the keeper may still renew leases.
func (k *Keeper) authority() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Until(k.until)
}

func (k *Keeper) count(name string) {
	metrics.GetOrRegisterCounter(name, k.Metrics).Inc(1)
}
