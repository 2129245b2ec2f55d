package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/coord/route"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// homesTried bounds how many homes one call asks. Only a home that surely gave
// no slot is followed by another.
const homesTried = 3

// homeRounds and homePause bound how long a call waits for executors that are
// between two homes, as while their home is being replaced.
const (
	homeRounds = 20
	homePause  = 50 * time.Millisecond
)

// seekSlot gets a slot for a call. Only while the platform lists executors of the
// service, none of which has a home at the moment, is it tried again.
func (e *Entry) seekSlot(ctx context.Context, f *flight) (*grant, winch.Result) {
	for round := 0; ; round++ {
		g, r := e.trySlot(ctx, f)
		between := r.Reason == winch.NoExecutor || r.Reason == winch.Stopping
		if !between || round == homeRounds || len(f.tried) > 0 || !e.listed(f.call.Service) {
			return g, r
		}
		if time.Until(f.startBy()) < homePause || !wait(ctx, homePause) {
			return g, r
		}
	}
}

// listed reports whether the platform lists an executor of the service that stays.
func (e *Entry) listed(service string) bool {
	return slices.ContainsFunc(e.members.View().VMs, func(vm winch.VM) bool {
		return vm.Service == service && vm.Role == winch.RoleExecutor && !vm.Leaving
	})
}

// trySlot asks the homes of executors, each one hop away at most.
func (e *Entry) trySlot(ctx context.Context, f *flight) (*grant, winch.Result) {
	skip := make(map[string]bool)
	last := winch.RefuseFor(winch.NoExecutor, "no live entry has an executor of the service", time.Second)
	for range homesTried {
		home := e.pickHome(f.call.Service, skip)
		if home == "" {
			return nil, last
		}
		g, r := e.askSlot(ctx, f, home)
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

func (e *Entry) pickHome(service string, skip map[string]bool) string {
	rnd, release := e.random()
	defer release()
	return route.Pick(e.members.View(), service, e.table.Loads(), skip, rnd)
}

func (e *Entry) askSlot(ctx context.Context, f *flight, home string) (*grant, winch.Result) {
	g := &grant{id: rand.Text(), home: home}
	ask := proto.SlotRequest{
		Grant: g.id, Service: f.call.Service, Class: f.who.class.Name, Team: f.who.team.Name, KeyID: f.who.key.ID,
		Remaining: time.Until(f.startBy()), MaxRun: f.maxRun, Avoid: f.tried,
	}
	if ask.Remaining <= 0 {
		return nil, winch.RefuseFor(winch.DeadlinePassed, "no slot came free before the deadline", time.Second)
	}
	give, err := e.ask(ctx, home, ask)
	if err != nil {
		return nil, e.askFailed(ctx, g, err)
	}
	if !give.Refused.OK() {
		return nil, give.Refused
	}
	if ctx.Err() != nil {
		e.giveBack(g, proto.SlotRelease{Grant: g.id})
		return nil, winch.Refuse(winch.CallerGone, "the caller went away")
	}
	g.vm = give.Executor
	e.grants.add(g.id, heldGrant{home: home, executor: g.vm.ID, team: f.who.team.Name, until: time.Now().Add(f.maxRun)})
	return g, winch.Result{}
}

func (e *Entry) ask(ctx context.Context, home string, ask proto.SlotRequest) (give proto.SlotResponse, err error) {
	if home == e.Name() {
		return e.table.Acquire(ctx, home, ask), nil
	}
	metrics.GetOrRegisterCounter("Calls.Hops", e.Metrics).Inc(1)
	ctx, cancel := context.WithTimeout(ctx, ask.Remaining+storeCall)
	defer cancel()
	err = e.Peers.Request(ctx, home, proto.KindSlot, ask, &give)
	return give, err
}

// askFailed handles a question without an answer. The home may have granted the
// slot, so it is told that nobody uses it; where the link broke, the list that
// goes first over the next link tells it the same.
func (e *Entry) askFailed(ctx context.Context, g *grant, err error) winch.Result {
	if !errors.Is(err, winch.ErrNoPeer) {
		_ = e.Peers.Notify(g.home, proto.KindSlotRelease, proto.SlotRelease{Grant: g.id})
	}
	if ctx.Err() != nil {
		return winch.Refuse(winch.CallerGone, "the caller went away")
	}
	return winch.RefuseFor(winch.NoExecutor, "the executor's home entry could not be reached", time.Second)
}

// giveBack returns a slot to the home that the grant is known by, and to the
// executor's present one: while an executor changes its home, the old one may
// have handed the grant on already, and the new one would keep the slot taken
// for the longest run time.
func (e *Entry) giveBack(g *grant, done proto.SlotRelease) {
	home := e.grants.remove(g.id)
	if home == "" {
		home = g.home
	}
	e.tellDone(home, done)
	if g.vm.ID == "" {
		return
	}
	if now := e.members.View().Home(g.vm); now != home && now != "" {
		e.tellDone(now, done)
	}
}

func (e *Entry) tellDone(home string, done proto.SlotRelease) {
	if home == e.Name() {
		_ = e.table.Return(done)
		return
	}
	_ = e.Peers.Notify(home, proto.KindSlotRelease, done)
}
