// Package slots grants the slots of executors. Each executor has one home, the entry
// whose table alone grants its slots; other entries request them over their peer link.
// A slot becomes free only when the work in it is guaranteed to have ended.
package slots

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// sweepInterval is the interval at which the slots of expired grants are freed.
	sweepInterval = 100 * time.Millisecond
	// DefaultQueueLimit is the default of Table.QueueLimit.
	DefaultQueueLimit = 1000
	// failuresToQuarantine is the number of failures in a row after which an executor is
	// quarantined.
	failuresToQuarantine = 5
	// minQuarantine and maxQuarantine bound the duration of a quarantine.
	minQuarantine = time.Second
	maxQuarantine = 30 * time.Second
	// earlyHandoffLifetime is how long a handoff may arrive before its executor is known here:
	// the entries' views of the homes differ for seconds.
	earlyHandoffLifetime = 10 * time.Second
	// runTimeWeight is the weight of a new sample in the moving average of run times.
	runTimeWeight = 0.1
)

// grant is a slot in use.
type grant struct {
	id       string
	holder   string
	team     string
	executor *executor
	// expires is when the work is guaranteed to have ended, even if no report of it
	// arrives.
	expires time.Time
}

// executor is an executor whose home is this entry.
type executor struct {
	vm winch.VM
	// openSlots bounds the slots in use. After a change of home without a handoff it starts
	// at one and grows with each answered call, since calls that the previous home granted
	// may still occupy the other slots.
	openSlots        int
	busy             int
	failures         int
	quarantinedUntil time.Time
	backoff          time.Duration
}

// free returns the number of slots that may be granted now.
func (e *executor) free(now time.Time) int {
	if !e.vm.AcceptsWork() || now.Before(e.quarantinedUntil) {
		return 0
	}
	return e.openSlots - e.busy
}

// Table manages the slots of the executors whose home is this entry. Set the exported
// fields before calling Prepare.
type Table struct {
	Duty *duty.Loop
	// QueueLimit bounds the waiting calls of one class and service. Zero means
	// DefaultQueueLimit.
	QueueLimit int
	// Share returns a team's share.
	Share   func(team string) int
	Metrics metrics.Registry
	Rand    *rand.Rand

	executors     map[string]*executor
	services      map[string]*service
	grants        map[string]*grant
	returnedEarly map[string]time.Time // returnedEarly holds when slots were returned that were not granted yet.
	inUse         map[string]int       // inUse counts the slots in use by team.
	// earlyHandoffs holds handoffs of executors that are not known here yet.
	earlyHandoffs map[string]earlyHandoff
	loads         atomic.Pointer[[]proto.Load]
}

// Prepare sets defaults for the fields that are not set and makes the table ready for Run.
func (t *Table) Prepare() {
	if t.QueueLimit == 0 {
		t.QueueLimit = DefaultQueueLimit
	}
	if t.Metrics == nil {
		t.Metrics = metrics.NewRegistry()
	}
	if t.Duty == nil {
		t.Duty = duty.New("Slots", 0, t.Metrics)
	}
	if t.Rand == nil {
		t.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if t.Share == nil {
		t.Share = func(string) int { return 1 }
	}
	t.executors = make(map[string]*executor)
	t.services = make(map[string]*service)
	t.grants = make(map[string]*grant)
	t.returnedEarly = make(map[string]time.Time)
	t.inUse = make(map[string]int)
	t.earlyHandoffs = make(map[string]earlyHandoff)
}

// Run processes the table's requests and frees the slots of expired grants until ctx is done.
func (t *Table) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	t.Duty.RunWithTick(ctx, ticker.C, t.sweep)
}

// Acquire waits for a slot and grants it, or refuses the request. The result is final and
// is returned as soon as it is known.
func (t *Table) Acquire(ctx context.Context, holder string, request proto.SlotRequest) proto.SlotResponse {
	w := &waiter{request: request, holder: holder, reply: make(chan proto.SlotResponse, 1)}
	w.deadline = time.Now().Add(request.Remaining)
	if err := t.Duty.Do(ctx, func() { t.admit(w) }); err != nil {
		return proto.SlotResponse{Refused: winch.RefuseFor(winch.QueueFull, "the entry is overloaded", time.Second)}
	}
	timer := time.NewTimer(request.Remaining)
	defer timer.Stop()
	select {
	case response := <-w.reply:
		return response
	case <-timer.C:
		t.refuseWaiter(w, winch.RefuseFor(winch.DeadlinePassed, "no slot came free before the deadline", t.retryAfter(ctx, request.Service)))
	case <-ctx.Done():
		t.refuseWaiter(w, winch.Refuse(winch.CallerGone, "the caller went away"))
	}
	return <-w.reply
}

// refuseWaiter refuses a waiter unless it has received a response in the meantime.
func (t *Table) refuseWaiter(w *waiter, why winch.Result) {
	err := t.Duty.Do(context.Background(), func() {
		if t.dequeue(w) {
			w.reply <- proto.SlotResponse{Refused: why}
		}
	})
	if err == nil {
		return
	}
	select {
	case w.reply <- proto.SlotResponse{Refused: why}:
	default: // The waiter received its response before the table stopped.
	}
}

// retryAfter returns how long a refused caller of a service should wait before a retry.
func (t *Table) retryAfter(ctx context.Context, name string) (wait time.Duration) {
	_ = t.Duty.Do(ctx, func() {
		if s := t.services[name]; s != nil {
			wait = s.estimateWait(t.openSlots(name))
		}
	})
	return max(wait, time.Second)
}

// admit grants a slot at once, queues the waiter or refuses it.
func (t *Table) admit(w *waiter) {
	if _, returned := t.returnedEarly[w.request.Grant]; returned {
		w.reply <- proto.SlotResponse{Refused: winch.Refuse(winch.CallerGone, "the slot was given back before it was granted")}
		return
	}
	s := t.service(w.request.Service)
	if len(t.eligible(w.request)) == 0 {
		why := "no executor of the service is known here"
		if t.evacuated(w.request.Service) {
			why = DetailEvacuated
		}
		w.reply <- proto.SlotResponse{Refused: winch.RefuseFor(winch.NoExecutor, why, time.Second)}
		return
	}
	if s.queued == 0 {
		if e := t.pick(w.request); e != nil {
			t.grantTo(w, e)
			return
		}
	}
	if s.queuedByClass[w.request.Class] >= t.QueueLimit {
		w.reply <- proto.SlotResponse{Refused: winch.RefuseFor(winch.QueueFull, "the queue of class "+w.request.Class+" is full", s.estimateWait(t.openSlots(w.request.Service)))}
		return
	}
	if wait := s.estimateWait(t.openSlots(w.request.Service)); wait > w.request.Remaining {
		w.reply <- proto.SlotResponse{Refused: winch.RefuseFor(winch.DeadlineHopeless, "the queue is longer than the deadline", wait)}
		return
	}
	s.push(w)
	t.dispatch(s)
	t.publishLoads()
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{name: name, teams: make(map[string]*teamQueue), queuedByClass: make(map[string]int)}
		t.services[name] = s
	}
	return s
}

// eligible lists the executors that the request may be sent to, including busy ones.
func (t *Table) eligible(request proto.SlotRequest) []*executor {
	var out []*executor
	for _, e := range t.executors {
		if e.vm.Service == request.Service && e.vm.AcceptsWork() && !contains(request.Avoid, e.vm.ID) {
			out = append(out, e)
		}
	}
	return out
}

// DetailEvacuated is the detail of a refusal because all executors of a service are in evacuated failure
// domains.
const DetailEvacuated = "the executors of the service are in evacuated failure domains"

// evacuated reports whether there are executors of a service and all of them are in evacuated failure
// domains.
func (t *Table) evacuated(service string) bool {
	n := 0
	for _, e := range t.executors {
		if e.vm.Service != service {
			continue
		}
		if !e.vm.Evacuated {
			return false
		}
		n++
	}
	return n > 0
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// pick returns the less loaded of two random executors with a free slot, or nil. Two
// random choices spread the load nearly as well as a full comparison and do not direct
// all concurrent requests to the same executor.
func (t *Table) pick(request proto.SlotRequest) *executor {
	now := time.Now()
	var free []*executor
	for _, e := range t.executors {
		if e.vm.Service == request.Service && e.free(now) > 0 && !contains(request.Avoid, e.vm.ID) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	a, b := free[t.Rand.IntN(len(free))], free[t.Rand.IntN(len(free))]
	if b.busy < a.busy {
		return b
	}
	return a
}

// grantTo grants a slot of the executor to the waiter.
func (t *Table) grantTo(w *waiter, e *executor) {
	g := &grant{id: w.request.Grant, holder: w.holder, team: w.request.Team, executor: e}
	g.expires = time.Now().Add(w.request.MaxRun)
	t.addGrant(g)
	w.reply <- proto.SlotResponse{Executor: e.vm}
}

// addGrant records a slot as in use.
func (t *Table) addGrant(g *grant) {
	t.grants[g.id] = g
	g.executor.busy++
	t.inUse[g.team]++
	t.publishLoads()
}

// release frees the slot of a grant.
func (t *Table) release(g *grant) {
	delete(t.grants, g.id)
	g.executor.busy--
	t.inUse[g.team]--
	t.publishLoads()
}

// dispatch grants free slots to waiters until either runs out.
func (t *Table) dispatch(s *service) {
	for s.queued > 0 {
		w := s.next(t.inUse, t.Share)
		e := t.pick(w.request)
		if e == nil {
			return
		}
		s.remove(w)
		t.grantTo(w, e)
	}
}

// dequeue removes a waiter from its queue and reports whether it was queued.
func (t *Table) dequeue(w *waiter) bool {
	s := t.services[w.request.Service]
	if s == nil || !w.queued {
		return false
	}
	s.remove(w)
	return true
}

// Return gives a slot back. If the slot was not granted yet, its request is refused, also
// if it has yet to arrive, so that a return that overtakes its request leaks no slot.
func (t *Table) Return(done proto.SlotRelease) error {
	return t.Duty.Post(func() {
		g := t.grants[done.Grant]
		if g == nil {
			t.returnedEarly[done.Grant] = time.Now()
			t.cancelRequest(done.Grant)
			return
		}
		t.applyVerdict(g.executor, done)
		if done.After > 0 {
			g.expires = time.Now().Add(done.After)
			return
		}
		t.release(g)
		t.dispatch(t.service(g.executor.vm.Service))
	})
}

// cancelRequest refuses the waiter for a grant, if there is one.
func (t *Table) cancelRequest(id string) {
	for _, s := range t.services {
		if w := s.findWaiter(id); w != nil {
			s.remove(w)
			w.reply <- proto.SlotResponse{Refused: winch.Refuse(winch.CallerGone, "the request was given up")}
		}
	}
}

// sweep frees the slots of expired grants, whose work is guaranteed to have ended although
// no report arrived. It also grants the slots of executors whose quarantine has ended to
// waiters.
func (t *Table) sweep() {
	now := time.Now()
	for _, g := range t.grants {
		if now.After(g.expires) {
			t.release(g)
			metrics.GetOrRegisterCounter("Slots.RanOut", t.Metrics).Inc(1)
		}
	}
	for id, returnedAt := range t.returnedEarly {
		if now.Sub(returnedAt) > time.Minute {
			delete(t.returnedEarly, id)
		}
	}
	for id, h := range t.earlyHandoffs {
		if now.Sub(h.at) > earlyHandoffLifetime {
			delete(t.earlyHandoffs, id)
		}
	}
	for _, s := range t.services {
		t.dispatch(s)
	}
	t.publishLoads()
}
