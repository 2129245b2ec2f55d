package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

// Run exchanges units with the pool until ctx ends: regularly, and soon after a change of
// the demand.
func (h *Holder) Run(ctx context.Context) {
	for {
		pause := balanceInterval
		if h.shortage.Load() {
			pause = shortageInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-h.balanceRequested:
		case <-timer.C:
		}
		timer.Stop()
		if err := h.Balance(ctx); err != nil {
			metrics.GetOrRegisterCounter("Quota.BalanceFailed", h.Metrics).Inc(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minBalanceInterval):
		}
	}
}

// transferPlan holds the units to move in one exchange with the pool, by team. A positive
// number takes units from the pool, a negative one returns units to it.
type transferPlan map[string]int

// Balance takes missing units from the pool and returns idle ones to it.
func (h *Holder) Balance(ctx context.Context) error {
	var plan transferPlan
	var epoch uint64
	var force, stale bool
	err := h.Duty.Do(ctx, func() {
		plan, epoch, force = h.planTransfers(), h.epoch, h.uncertain
		stale = h.Document() != nil && h.configVersion < h.Document().Version
	})
	if err != nil {
		return err
	}
	if len(plan) == 0 && !force && !stale {
		return nil
	}
	return h.exchange(ctx, plan, epoch, force)
}

// planTransfers returns the units to move. It withholds the units to be returned, so that no
// start uses them during the write.
func (h *Holder) planTransfers() transferPlan {
	doc := h.Document()
	if doc == nil {
		return nil
	}
	plan := make(transferPlan)
	shortage := false
	for name, team := range doc.Teams {
		shortage = shortage || len(h.account(name).waiting) > 0
		if n := h.transferFor(name, team.Limit); n != 0 {
			plan[name] = n
		}
	}
	h.shortage.Store(shortage)
	for name, a := range h.accounts {
		if _, ok := doc.Teams[name]; !ok && a.free() > 0 {
			plan[name] = -a.free()
		}
	}
	for name, n := range plan {
		if n < 0 {
			h.accounts[name].returning += -n
		}
	}
	return plan
}

// transferFor returns how many units of a team to take (positive) or return (negative).
func (h *Holder) transferFor(name string, limit int) int {
	a := h.account(name)
	defer a.restartMinimum()
	headroom := limit / h.HeadroomDivisor
	need := max(len(a.waiting), a.currentDemand())
	missing := need - a.free()
	if a.owed > 0 && a.free() > 0 {
		return -min(a.owed, a.free())
	}
	if missing > 0 && h.shouldYield(name, a) {
		return -a.free()
	}
	if missing > 0 {
		return missing + headroom
	}
	if h.otherDemand[name] > 0 && a.free() > need {
		return -min(h.otherDemand[name], a.free()-need)
	}
	idle := min(a.minFree, a.free()) - headroom
	if idle > 0 && time.Since(a.minFreeSince) >= idlePeriod {
		return -idle
	}
	if a.free() < headroom && a.rowUnits < limit && h.otherDemand[name] == 0 {
		return headroom - a.free()
	}
	return 0
}

// shouldYield decides at random whether to return free units that are too few for the work
// that waits here, if other holders want units too. Otherwise two holders that each have
// half of the units that a gang needs would wait for each other forever.
func (h *Holder) shouldYield(name string, a *account) bool {
	return h.otherDemand[name] > 0 && a.free() > 0 && len(a.waiting) == 0 && rand.IntN(2) == 0
}

// currentDemand returns the most units that a recent TryTake failed to take. It returns 0 if
// a later call succeeded or no call failed within demandLifetime.
func (a *account) currentDemand() int {
	if time.Since(a.demandAt) > demandLifetime {
		return 0
	}
	return a.demand
}

// restartMinimum starts a new measurement of the fewest free units if the present one has
// lasted for idlePeriod.
func (a *account) restartMinimum() {
	if time.Since(a.minFreeSince) >= idlePeriod {
		a.minFree, a.minFreeSince = a.free(), time.Now()
	}
}

// exchange writes the planned transfers to the store and applies the resulting rows.
func (h *Holder) exchange(ctx context.Context, plan transferPlan, epoch uint64, force bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	doc := h.Document()
	v, err := swap.Update(ctx, h.Store, Key, func(u *Units) error {
		resized := u.applyConfig(doc)
		if h.Office && u.Offices[h.Name] != epoch {
			return ErrFenced
		}
		moved := 0
		for name, n := range plan {
			if t := u.Teams[name]; t != nil {
				moved += abs(t.move(h.Name, epoch, n))
			}
		}
		u.check()
		if moved == 0 && !force && !resized {
			return swap.ErrUnchanged
		}
		return nil
	})
	return h.handleOutcome(plan, epoch, v.Body, err)
}

func abs(n int) int {
	return max(n, -n)
}

// handleOutcome applies the outcome of a write. While it is unknown whether units returned
// to the pool, they stay withheld, since using them could exceed the team's limit. The next
// exchange then always writes. After that write, the uncertain one can no longer take
// effect, because it is based on an older version of the value.
func (h *Holder) handleOutcome(plan transferPlan, epoch uint64, u Units, err error) error {
	_ = h.Duty.Do(context.Background(), func() {
		// If the office has been acquired again in the meantime, its row has been read again.
		// Making units usable again that were withheld before would create units that do
		// not exist.
		if h.epoch == epoch {
			h.applyOutcome(plan, u, err)
		}
	})
	if errors.Is(err, swap.ErrUnchanged) {
		return nil
	}
	return err
}

// applyOutcome applies the outcome of a write to the accounts.
func (h *Holder) applyOutcome(plan transferPlan, u Units, err error) {
	switch {
	case err == nil || errors.Is(err, swap.ErrUnchanged):
		h.applyUnits(u)
	case errors.Is(err, winch.ErrUncertain):
		h.uncertain = true
	default:
		h.undoReturns(plan)
	}
}

// undoReturns makes units usable again whose return to the pool failed.
func (h *Holder) undoReturns(plan transferPlan) {
	for name, n := range plan {
		if n < 0 {
			h.account(name).returning += n
		}
	}
}

// applyUnits updates the accounts from the value in the store and serves waiting callers.
func (h *Holder) applyUnits(u Units) {
	h.uncertain = false
	h.configVersion = max(h.configVersion, u.Config)
	for name, t := range u.Teams {
		a := h.account(name)
		before := a.free()
		a.rowUnits = t.Rows[h.Name].Units
		a.returning = 0
		a.owed = max(0, -t.Pool)
		a.limit = t.Limit
		h.serveWaiting(name, a)
		if a.free() > before && h.OnRefill != nil {
			h.OnRefill(name)
		}
	}
}

// TakeOver takes over an office's row under a new epoch. After it returns, no earlier
// holder of the office can change the row. It must be called before work starts.
func (h *Holder) TakeOver(ctx context.Context, epoch uint64) error {
	doc := h.Document()
	v, err := swap.Update(ctx, h.Store, Key, func(u *Units) error {
		u.applyConfig(doc)
		if u.Offices[h.Name] > epoch {
			return ErrFenced
		}
		u.Offices[h.Name] = epoch
		return nil
	})
	if err != nil {
		return err
	}
	return h.Duty.Do(ctx, func() {
		h.epoch = epoch
		h.accounts = make(map[string]*account)
		h.applyUnits(v.Body)
		for _, a := range h.accounts {
			a.inherited = a.rowUnits
		}
	})
}

// Reclaim returns the rows of holders to the pool. The holders and the work they started
// must be guaranteed to have ended.
func Reclaim(ctx context.Context, store winch.Store, holders []string) error {
	_, err := swap.Update(ctx, store, Key, func(u *Units) error {
		found := false
		for _, holder := range holders {
			found = u.reclaim(holder) || found
		}
		if !found {
			return swap.ErrUnchanged
		}
		return nil
	})
	if errors.Is(err, swap.ErrUnchanged) {
		return nil
	}
	return err
}
