package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/coord/route"
	"plantainwinch/coord/slots"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// maxHomes bounds from how many homes one call requests a slot. The home of an executor is the entry that grants its
// slots. Another home is tried only if the one before is guaranteed to have granted no slot.
const maxHomes = 3

// maxHomeRetries and homeRetryDelay bound how long a call waits while no executor of its service has a home, for
// example while the home is being replaced.
const (
	maxHomeRetries = 20
	homeRetryDelay = 50 * time.Millisecond
)

// acquireSlot acquires a slot for a call. It retries only while the platform lists executors of the service but none of
// them has a home that grants slots.
func (e *Entry) acquireSlot(ctx context.Context, p *pendingCall) (*grant, winch.Result) {
	for retries := 0; ; retries++ {
		g, r := e.tryHomes(ctx, p)
		noHome := r.Reason == winch.NoExecutor || r.Reason == winch.Stopping
		if !noHome || retries == maxHomeRetries || len(p.triedExecutors) > 0 || !e.executorListed(p.call.Service) {
			return g, r
		}
		if time.Until(p.latestStart()) < homeRetryDelay || !sleep(ctx, homeRetryDelay) {
			return g, r
		}
	}
}

// executorListed reports whether the platform lists an executor of the service that accepts work.
func (e *Entry) executorListed(service string) bool {
	return slices.ContainsFunc(e.members.View().VMs, func(vm winch.VM) bool {
		return vm.Service == service && vm.Role == winch.RoleExecutor && vm.AcceptsWork()
	})
}

// noExecutorDetail says why no entry grants slots of a service.
func (e *Entry) noExecutorDetail(service string) string {
	evacuated := slices.ContainsFunc(e.members.View().VMs, func(vm winch.VM) bool {
		return vm.Service == service && vm.Role == winch.RoleExecutor && vm.Evacuated
	})
	if evacuated && !e.executorListed(service) {
		return slots.DetailEvacuated
	}
	return "no live entry has an executor of the service"
}

// tryHomes requests a slot from the homes of the service's executors, one after the other. Each is at most one hop away.
func (e *Entry) tryHomes(ctx context.Context, p *pendingCall) (*grant, winch.Result) {
	skip := make(map[string]bool)
	last := winch.RefuseFor(winch.NoExecutor, e.noExecutorDetail(p.call.Service), time.Second)
	for range maxHomes {
		home := e.pickHome(p.call.Service, skip)
		if home == "" {
			return nil, last
		}
		g, r := e.requestSlot(ctx, p, home)
		if r.OK() {
			return g, r
		}
		last = r
		if r.Reason != winch.Stopping && r.Reason != winch.NoExecutor {
			return nil, r
		}
		skip[home] = true
	}
	return nil, last
}

// pickHome returns the home to try next, or an empty string if there is none.
func (e *Entry) pickHome(service string, skip map[string]bool) string {
	rnd, release := e.lockRandom()
	defer release()
	return route.Pick(e.members.View(), service, e.table.Loads(), skip, rnd)
}

// requestSlot requests a slot from a home.
func (e *Entry) requestSlot(ctx context.Context, p *pendingCall, home string) (*grant, winch.Result) {
	g := &grant{id: rand.Text(), home: home}
	request := proto.SlotRequest{
		Grant: g.id, Service: p.call.Service, Class: p.caller.class.Name, Team: p.caller.team.Name, KeyID: p.caller.key.ID,
		Remaining: time.Until(p.latestStart()), MaxRun: p.maxRun, Avoid: p.triedExecutors, Process: e.incarnation,
	}
	if request.Remaining <= 0 {
		return nil, winch.RefuseFor(winch.DeadlinePassed, "no slot came free before the deadline", time.Second)
	}
	held := heldGrant{home: home, team: p.caller.team.Name, expires: time.Now().Add(request.Remaining + p.maxRun)}
	e.grants.add(g.id, held) // The home may grant the slot long before this goroutine learns of it.
	response, err := e.sendSlotRequest(ctx, home, request)
	if err != nil {
		e.grants.remove(g.id)
		return nil, e.handleSlotError(ctx, g, err)
	}
	if !response.Refused.OK() {
		e.grants.remove(g.id)
		return nil, response.Refused
	}
	if ctx.Err() != nil {
		e.returnSlot(g, proto.SlotRelease{Grant: g.id})
		return nil, winch.Refuse(winch.CallerGone, "the caller went away")
	}
	g.vm = response.Executor
	held.executor, held.expires = g.vm.ID, time.Now().Add(p.maxRun)
	e.grants.add(g.id, held)
	return g, winch.Result{}
}

// sendSlotRequest sends a slot request to a home, which may be this entry.
func (e *Entry) sendSlotRequest(ctx context.Context, home string, request proto.SlotRequest) (response proto.SlotResponse, err error) {
	if home == e.Name() {
		return e.table.Acquire(ctx, home, request), nil
	}
	metrics.GetOrRegisterCounter("Calls.Hops", e.Metrics).Inc(1)
	ctx, cancel := context.WithTimeout(ctx, request.Remaining+storeTimeout)
	defer cancel()
	err = e.Peers.Request(ctx, home, proto.KindSlot, request, &response)
	return response, err
}

// handleSlotError handles a slot request without a response. The home may have granted the slot, so the entry notifies
// it that the slot is not used. If the connection broke, the list of used slots that is sent first over the next
// connection has the same effect.
func (e *Entry) handleSlotError(ctx context.Context, g *grant, err error) winch.Result {
	if !errors.Is(err, winch.ErrNoPeer) {
		_ = e.Peers.Notify(g.home, proto.KindSlotRelease, proto.SlotRelease{Grant: g.id})
	}
	if ctx.Err() != nil {
		return winch.Refuse(winch.CallerGone, "the caller went away")
	}
	return winch.RefuseFor(winch.NoExecutor, "the executor's home entry could not be reached", time.Second)
}

// returnSlot returns a slot to the home that granted it and to the executor's present home. While an executor changes
// its home, the old one may already have handed the grant over; without the second message, the new one would keep the
// slot in use for the maximum run time.
func (e *Entry) returnSlot(g *grant, done proto.SlotRelease) {
	home := e.grants.remove(g.id)
	if home == "" {
		home = g.home
	}
	e.notifySlotDone(home, done)
	if g.vm.ID == "" {
		return
	}
	if present := e.members.View().Home(g.vm); present != home && present != "" {
		e.notifySlotDone(present, done)
	}
}

func (e *Entry) notifySlotDone(home string, done proto.SlotRelease) {
	if home == e.Name() {
		_ = e.table.Return(done)
		return
	}
	_ = e.Peers.Notify(home, proto.KindSlotRelease, done)
}
