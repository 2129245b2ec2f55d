package quota

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/duty"
	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

const (
	// balanceInterval is the longest time between two exchanges with the pool.
	balanceInterval = time.Second
	// shortageInterval replaces balanceInterval while callers wait for units here. Other
	// holders return units through the store without notifying this one, so a returned unit
	// would stay unused for the rest of balanceInterval.
	shortageInterval = 200 * time.Millisecond
	// minBalanceInterval is the shortest pause between two exchanges. It limits the store
	// calls of one holder.
	minBalanceInterval = 50 * time.Millisecond
	// idlePeriod is how long units must have been unused before they are returned.
	idlePeriod = 10 * time.Second
	// demandLifetime is how long a failed TryTake counts as demand if it is not repeated.
	demandLifetime = 3 * time.Second
	// storeTimeout limits one change of the rows in the store.
	storeTimeout = 3 * time.Second
)

// ErrFenced is returned for a change of an office's row under an outdated epoch.
var ErrFenced = errors.New("quota: row belongs to a newer epoch of the office")

// account is a holder's state for one team.
type account struct {
	rowUnits  int // The units in the holder's row in the store.
	inUse     int // The units in use.
	returning int // The units being returned to the pool.
	// inherited is the number of units that an earlier holder of the office may be using.
	// adopted counts the units of its work that has been found. CompleteTakeover sets both to
	// zero once all of that work has been found.
	inherited, adopted int
	// waiting holds the waiting calls of Take in the order of their arrival.
	waiting      []*waiter
	minFree      int // The fewest free units since minFreeSince.
	minFreeSince time.Time
	// demand is the most units that a recent TryTake failed to take, last at demandAt. Waiting
	// calls of Take are not included.
	demand   int
	demandAt time.Time
	owed     int // The units that all holders together must return after the limit was lowered.
	limit    int // The team's limit when the row was last read.
}

// free returns the units that are neither in use, nor being returned, nor possibly in use by
// work of an earlier holder of the office. It is negative if more is in use than the row has.
func (a *account) free() int {
	own := a.inUse - a.adopted
	return a.rowUnits - own - max(a.inherited, a.adopted) - a.returning
}

// usable returns how many units may be taken now. While the holders owe units, released
// units return to the pool first. If they were taken again at once, a lowered limit would
// never come into force under load.
func (h *Holder) usable(team string, a *account) int {
	if a.owed > 0 {
		return 0
	}
	if doc := h.Document(); doc != nil && doc.Teams[team].Limit < a.limit {
		return 0 // The limit was lowered and the rows do not reflect that yet.
	}
	return a.free()
}

// waiter is a call of Take that waits for n units.
type waiter struct {
	n     int
	reply chan winch.Result
}

// Holder takes and returns units on behalf of one entry or office. The exported fields must
// be set before Prepare and Run.
type Holder struct {
	Name string
	// Office is set if the row belongs to an office, the planner's leadership lease, and
	// passes from one holder of the office to the next.
	Office bool
	Store  winch.Store
	Duty   *duty.Loop
	// Document returns the current configuration, or nil if none was read yet.
	Document func() *winch.Document
	// Valid reports whether the holder may still start work against its units. It must
	// return false once the store has been unreachable for so long that other entries may
	// reclaim the units.
	Valid func() bool
	// HeadroomDivisor sets how many units are taken in advance: the team's limit divided by it.
	HeadroomDivisor int
	// OnRefill is called in Duty when a team has more free units than before. It may be nil.
	OnRefill func(team string)
	Metrics  metrics.Registry

	accounts         map[string]*account
	epoch            uint64
	balanceRequested chan struct{}
	// otherDemand is the number of units that other holders want, by team.
	otherDemand    map[string]int
	longestRunTime atomic.Int64 // The longest run time that is recorded in the store.
	// configVersion is the version of the configuration when the rows were last read.
	configVersion uint64
	shortage      atomic.Bool // Set if callers waited for units at the last exchange.
	// uncertain is set while a write with an unknown outcome may still take effect.
	uncertain bool
}

// Prepare sets the defaults and creates the maps and channels. It must be called before Run.
func (h *Holder) Prepare() {
	if h.Metrics == nil {
		h.Metrics = metrics.NewRegistry()
	}
	if h.Duty == nil {
		h.Duty = duty.New("Quota", 0, h.Metrics)
	}
	if h.HeadroomDivisor == 0 {
		h.HeadroomDivisor = 12
	}
	if h.Valid == nil {
		h.Valid = func() bool { return true }
	}
	h.accounts = make(map[string]*account)
	h.otherDemand = make(map[string]int)
	h.balanceRequested = make(chan struct{}, 1)
}

// account returns the account of a team and creates it if needed.
func (h *Holder) account(team string) *account {
	a := h.accounts[team]
	if a == nil {
		a = &account{minFreeSince: time.Now()}
		h.accounts[team] = a
	}
	return a
}

// RecordRunTime ensures that the store records at least the given run time as the longest of
// this holder's work. It must be called before such work starts: if the holder crashes, its
// units are reclaimed only after the longest recorded run time.
func (h *Holder) RecordRunTime(ctx context.Context, run time.Duration) winch.Result {
	if time.Duration(h.longestRunTime.Load()) >= run {
		return winch.Result{}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := swap.Update(ctx, h.Store, Key, func(u *Units) error {
		u.applyConfig(h.Document())
		u.Longest[h.Name] = max(u.Longest[h.Name], run)
		return nil
	})
	if err != nil {
		return winch.RefuseFor(winch.StoreUnavailable, "the first use of this class at this entry could not be recorded", time.Second)
	}
	_ = h.Duty.Do(ctx, func() { h.longestRunTime.Store(max(h.longestRunTime.Load(), int64(run))) })
	return winch.Result{}
}

// Take takes a unit of the team. If none is free, it waits for one and refuses after the
// given time or when ctx ends.
func (h *Holder) Take(ctx context.Context, team string, wait time.Duration) winch.Result {
	w := &waiter{n: 1, reply: make(chan winch.Result, 1)}
	if err := h.Duty.Do(ctx, func() { h.admit(team, w) }); err != nil {
		return winch.RefuseFor(winch.QueueFull, "the entry is overloaded", time.Second)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-w.reply:
		return r
	case <-timer.C:
		h.refuseWaiter(team, w, winch.RefuseFor(winch.OverLimit, "team "+team+" is at its upper limit", time.Second))
	case <-ctx.Done():
		h.refuseWaiter(team, w, winch.Refuse(winch.CallerGone, "the caller went away"))
	}
	return <-w.reply
}

// admit gives a unit to the call, lets it wait, or refuses it.
func (h *Holder) admit(team string, w *waiter) {
	doc := h.Document()
	if doc == nil || doc.Teams[team].Limit <= 0 {
		w.reply <- winch.RefuseFor(winch.OverLimit, "team "+team+" has no limit to run under", time.Minute)
		return
	}
	if !h.Valid() {
		w.reply <- winch.RefuseFor(winch.StoreUnavailable, "this entry has been without the store for too long to use its part of the limit", time.Second)
		return
	}
	a := h.account(team)
	if len(a.waiting) == 0 && h.usable(team, a) > 0 {
		h.takeUnit(a)
		w.reply <- winch.Result{}
		return
	}
	a.waiting = append(a.waiting, w)
	h.balanceSoon()
}

// takeUnit counts one more unit as in use.
func (h *Holder) takeUnit(a *account) {
	a.inUse++
	if f := a.free(); f < a.minFree {
		a.minFree = f
	}
}

// refuseWaiter refuses a waiting call unless it has received its unit in the meantime.
func (h *Holder) refuseWaiter(team string, w *waiter, refusal winch.Result) {
	err := h.Duty.Do(context.Background(), func() {
		a := h.account(team)
		for i, other := range a.waiting {
			if other == w {
				a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
				w.reply <- refusal
				return
			}
		}
	})
	if err == nil {
		return
	}
	select {
	case w.reply <- refusal:
	default:
	}
}

// Release releases a unit. The work that used it must be guaranteed to have ended.
func (h *Holder) Release(team string) {
	_ = h.Duty.Do(context.Background(), func() {
		a := h.account(team)
		a.inUse--
		if a.inUse < 0 {
			panic("quota: team " + team + " returned more units than it took")
		}
		h.serveWaiting(team, a)
	})
}

// TryTake takes n units at once or none, and reports whether it did. It must be called in
// Duty or before Run.
func (h *Holder) TryTake(team string, n int) bool {
	a := h.account(team)
	if h.usable(team, a) < n || !h.Valid() {
		a.demand, a.demandAt = max(a.currentDemand(), n), time.Now()
		h.balanceSoon()
		return false
	}
	a.demand = 0
	for range n {
		h.takeUnit(a)
	}
	return true
}

// Charge counts n units as in use by work that was found running, without checking for free
// units. The free units may become negative; then nothing starts until enough work has
// ended. It must be called in Duty.
func (h *Holder) Charge(team string, n int) {
	a := h.account(team)
	a.inUse += n
	a.adopted += n
}

// CompleteTakeover must be called once all work of an office's earlier holder has been found
// and charged. Until then, every unit that the row had at the takeover counts as in use: the
// earlier holder may have started work on workers that have not responded yet. It must be
// called in Duty.
func (h *Holder) CompleteTakeover() {
	for team, a := range h.accounts {
		a.inherited, a.adopted = 0, 0
		h.serveWaiting(team, a)
	}
}

// Return releases n units. It must be called in Duty.
func (h *Holder) Return(team string, n int) {
	a := h.account(team)
	a.inUse -= n
	if a.inUse < 0 {
		panic("quota: team " + team + " returned more units than it took")
	}
	h.serveWaiting(team, a)
}

// serveWaiting gives free units to waiting calls. If free units are owed or wanted by other
// holders, it starts the next exchange early, which returns them.
func (h *Holder) serveWaiting(team string, a *account) {
	if a.owed > 0 && a.free() > 0 {
		h.balanceSoon()
	}
	for len(a.waiting) > 0 && h.usable(team, a) > 0 {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		h.takeUnit(a)
		w.reply <- winch.Result{}
	}
	if h.otherDemand[team] > 0 && a.free() > 0 {
		h.balanceSoon() // Other holders want the free units.
	}
}

// BalanceSoon starts the next exchange early, for example after a change of the limits.
func (h *Holder) BalanceSoon() { h.balanceSoon() }

func (h *Holder) balanceSoon() {
	select {
	case h.balanceRequested <- struct{}{}:
	default:
	}
}

// Usage returns, by team, the number of units in use and the number that are missing.
func (h *Holder) Usage(ctx context.Context) (map[string][2]int, error) {
	out := make(map[string][2]int)
	err := h.Duty.Do(ctx, func() {
		for team, a := range h.accounts {
			missing := max(len(a.waiting), a.currentDemand()) - max(0, a.free())
			if a.inUse > 0 || missing > 0 {
				out[team] = [2]int{a.inUse, max(0, missing)}
			}
		}
	})
	return out, err
}

// SetOtherDemand sets how many units other holders want, by team. Free units of this holder
// are returned for them.
func (h *Holder) SetOtherDemand(ctx context.Context, demand map[string]int) {
	_ = h.Duty.Do(ctx, func() {
		h.otherDemand = demand
		for team, n := range demand {
			if a := h.accounts[team]; a != nil && n > 0 && a.free() > 0 {
				h.balanceSoon()
			}
		}
	})
}
