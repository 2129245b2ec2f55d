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

// Run balances the row with the pool until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for {
		pause := balanceEvery
		if h.short.Load() {
			pause = shortEvery
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-h.wake:
		case <-timer.C:
		}
		timer.Stop()
		if err := h.Balance(ctx); err != nil {
			metrics.GetOrRegisterCounter("Quota.BalanceFailed", h.Metrics).Inc(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(balanceGap):
		}
	}
}

// plan is what one balance asks of the store, by team: units to take if
// positive, to give back if negative.
type plan map[string]int

// Balance takes missing units from the pool and gives idle ones back.
func (h *Holder) Balance(ctx context.Context) error {
	var p plan
	var epoch uint64
	var force, stale bool
	err := h.Duty.Do(ctx, func() {
		p, epoch, force = h.prepare(), h.epoch, h.doubt
		stale = h.Document() != nil && h.config < h.Document().Version
	})
	if err != nil {
		return err
	}
	if len(p) == 0 && !force && !stale {
		return nil
	}
	return h.exchange(ctx, p, epoch, force)
}

// prepare works out the plan and sets units that go back aside first, so that
// no start can use them while the write is under way.
func (h *Holder) prepare() plan {
	doc := h.Document()
	if doc == nil {
		return nil
	}
	p := make(plan)
	short := false
	for name, team := range doc.Teams {
		short = short || len(h.account(name).waiting) > 0
		if n := h.wish(name, team.Limit); n != 0 {
			p[name] = n
		}
	}
	h.short.Store(short)
	for name, a := range h.teams {
		if _, ok := doc.Teams[name]; !ok && a.free() > 0 {
			p[name] = -a.free()
		}
	}
	for name, n := range p {
		if n < 0 {
			h.teams[name].spare += -n
		}
	}
	return p
}

// wish returns how many units to take (positive) or give back (negative).
func (h *Holder) wish(name string, limit int) int {
	a := h.account(name)
	defer a.restart()
	ahead := limit / h.Part
	need := max(len(a.waiting), a.wanted())
	short := need - a.free()
	if a.owed > 0 && a.free() > 0 {
		return -min(a.owed, a.free())
	}
	if short > 0 && h.yield(name, a) {
		return -a.free()
	}
	if short > 0 {
		return short + ahead
	}
	if h.others[name] > 0 && a.free() > need {
		return -min(h.others[name], a.free()-need)
	}
	idle := min(a.low, a.free()) - ahead
	if idle > 0 && time.Since(a.lowAt) >= idleAfter {
		return -idle
	}
	if a.free() < ahead && a.row < limit && h.others[name] == 0 {
		return ahead - a.free()
	}
	return 0
}

// yield decides by chance to give units back that are too few for what waits
// here, since others want some too. Two holders that each hold half of what a
// gang needs would else wait for each other for ever.
func (h *Holder) yield(name string, a *account) bool {
	return h.others[name] > 0 && a.free() > 0 && len(a.waiting) == 0 && rand.IntN(2) == 0
}

// wanted returns how many units are missing, if that was said lately.
func (a *account) wanted() int {
	if time.Since(a.wantAt) > wantFor {
		return 0
	}
	return a.want
}

func (a *account) restart() {
	if time.Since(a.lowAt) >= idleAfter {
		a.low, a.lowAt = a.free(), time.Now()
	}
}

// exchange writes the plan and takes the rows over as they then stand.
func (h *Holder) exchange(ctx context.Context, p plan, epoch uint64, force bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	doc := h.Document()
	v, err := swap.Update(ctx, h.Store, Key, func(u *Units) error {
		resized := u.settle(doc)
		if h.Office && u.Offices[h.Name] != epoch {
			return ErrFenced
		}
		moved := 0
		for name, n := range p {
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
	return h.settle(p, epoch, v.Body, err)
}

func abs(n int) int {
	return max(n, -n)
}

// settle takes the outcome of a write over. While it is not known whether units
// went back to the pool, they stay set aside: using them could run the team
// over its limit. The next exchange is then made to write: a write based on the
// value as it was before can no longer take effect after that.
func (h *Holder) settle(p plan, epoch uint64, u Units, err error) error {
	_ = h.Duty.Do(context.Background(), func() {
		// An office that was taken anew meanwhile has read its row since. Undoing
		// what was set aside before that would make units that do not exist.
		if h.epoch == epoch {
			h.settleHere(p, u, err)
		}
	})
	if errors.Is(err, swap.ErrUnchanged) {
		return nil
	}
	return err
}

func (h *Holder) settleHere(p plan, u Units, err error) {
	switch {
	case err == nil || errors.Is(err, swap.ErrUnchanged):
		h.adopt(u)
	case errors.Is(err, winch.ErrUncertain):
		h.doubt = true
	default:
		h.undo(p)
	}
}

func (h *Holder) undo(p plan) {
	for name, n := range p {
		if n < 0 {
			h.account(name).spare += n
		}
	}
}

func (h *Holder) adopt(u Units) {
	h.doubt = false
	h.config = max(h.config, u.Config)
	for name, t := range u.Teams {
		a := h.account(name)
		before := a.free()
		a.row = t.Rows[h.Name].Units
		a.spare = 0
		a.owed = max(0, -t.Pool)
		a.limit = t.Limit
		h.serve(name, a)
		if a.free() > before && h.Refill != nil {
			h.Refill(name)
		}
	}
}

// Assume takes an office's row over under a new epoch. After it, no former
// holder can change the row. It must be called before work starts.
func (h *Holder) Assume(ctx context.Context, epoch uint64) error {
	doc := h.Document()
	v, err := swap.Update(ctx, h.Store, Key, func(u *Units) error {
		u.settle(doc)
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
		h.teams = make(map[string]*account)
		h.adopt(v.Body)
		for _, a := range h.teams {
			a.base = a.row
		}
	})
}

// Reclaim returns the rows of holders that are surely gone to the pool.
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
