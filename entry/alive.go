package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/coord/office"
	"plantainwinch/coord/quota"
	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

const (
	// memberPrefix comes before the names of live entries in the store.
	memberPrefix = "Member/"
	// memberLease is the lease on an entry's own key.
	memberLease = 10 * time.Second
	// memberRetry is the pause after a try that failed, as when an entry starts
	// before the store can be reached.
	memberRetry = 500 * time.Millisecond
	// reclaimEvery is how often rows of holders that are gone are looked for.
	reclaimEvery = 10 * time.Second
	// clockMargin covers clocks that run at different rates.
	clockMargin = 2 * time.Second
	storeCall   = 2 * time.Second
)

// alive tracks when this entry last surely reached the store.
type alive struct {
	last atomic.Pointer[time.Time] // last is when the last confirmed call was sent.
}

func (a *alive) confirm(sent time.Time) {
	a.last.Store(&sent)
}

// within reports whether the last confirmed call was sent less than d ago.
func (a *alive) within(d time.Duration) bool {
	last := a.last.Load()
	return last != nil && time.Since(*last) < d
}

// since returns how long ago the last confirmed call was sent, zero if there was none.
func (a *alive) since() time.Duration {
	if last := a.last.Load(); last != nil {
		return time.Since(*last)
	}
	return 0
}

// memberRecord is the value of an entry's own key.
type memberRecord struct {
	Holder  string
	Address string
}

// runAlive keeps the entry's own key in the store, by which others know that
// its units are in use.
func (e *Entry) runAlive(ctx context.Context) {
	lease := ""
	for {
		sent := time.Now()
		var err error
		pause := memberRetry
		if lease, err = e.keepMember(ctx, lease); err == nil {
			e.alive.confirm(sent)
			pause = memberLease / 3
		}
		if !wait(ctx, pause) {
			return
		}
	}
}

// keepMember renews the lease, or takes a new one where it has lapsed. A key
// left by an earlier process under this name is replaced: that process listened
// on the same address, so it is gone.
func (e *Entry) keepMember(ctx context.Context, lease string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	if lease != "" {
		err := e.Store.Renew(ctx, lease)
		if !errors.Is(err, winch.ErrNotFound) {
			return lease, err
		}
	}
	lease, err := e.Store.Grant(ctx, memberLease)
	if err != nil {
		return "", err
	}
	data, err := json.Marshal(memberRecord{Holder: e.holderName(), Address: e.Settings.Listen.Callers})
	if err != nil {
		return "", err
	}
	old, err := e.Store.Get(ctx, memberPrefix+e.Name())
	if err != nil && !errors.Is(err, winch.ErrNotFound) {
		return "", err
	}
	if _, err := e.Store.Put(ctx, memberPrefix+e.Name(), data, old.Version, lease); err != nil {
		return "", err
	}
	return lease, nil
}

// runBalance tells both holders of units what other entries want, and, on the
// placer, gives the units of holders that are gone back to the pool.
func (e *Entry) runBalance(ctx context.Context) {
	missing := make(map[string]time.Time)
	last := time.Now()
	for wait(ctx, e.Settings.Timing.Heartbeat) {
		e.tellWants(ctx)
		e.noteReach()
		holder, _ := e.office.Holder()
		if holder == e.Name() && time.Since(last) >= reclaimEvery {
			last = time.Now()
			if err := e.reclaim(ctx, missing); err != nil {
				metrics.GetOrRegisterCounter("Quota.ReclaimFailed", e.Metrics).Inc(1)
			}
		}
	}
}

func (e *Entry) tellWants(ctx context.Context) {
	wants := make(map[string]int)
	for _, p := range e.members.View().Peers {
		for _, use := range p.Beat.Teams {
			wants[use.Team] += use.Want
		}
	}
	own, _ := e.units.Usage(ctx)
	jobs, _ := e.office.Quota.Usage(ctx)
	e.units.SetOtherDemand(ctx, addWants(wants, jobs))
	e.office.Quota.SetOtherDemand(ctx, addWants(wants, own))
}

func addWants(wants map[string]int, use map[string][2]int) map[string]int {
	out := make(map[string]int, len(wants)+len(use))
	for team, n := range wants {
		out[team] = n
	}
	for team, n := range use {
		out[team] += n[1]
	}
	return out
}

// reclaim returns the rows of entries whose own key has been missing for longer
// than they may use their units without the store, and longer than any work
// started with them can run.
func (e *Entry) reclaim(ctx context.Context, missing map[string]time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCall)
	defer cancel()
	units, err := swap.Read[quota.Units](ctx, e.Store, quota.Key)
	if err != nil {
		return err
	}
	values, err := e.Store.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	live := make(map[string]string, len(values))
	for _, v := range values {
		var rec memberRecord
		if json.Unmarshal(v.Data, &rec) == nil {
			live[strings.TrimPrefix(v.Key, memberPrefix)] = rec.Holder
		}
	}
	gone := e.goneHolders(units.Body, live, missing)
	if len(gone) == 0 {
		return nil
	}
	e.Log.Info("units of gone holders return to the pool", zap.Strings("Holders", gone))
	return quota.Reclaim(ctx, e.Store, gone)
}

func (e *Entry) goneHolders(u quota.Units, live map[string]string, missing map[string]time.Time) []string {
	var gone []string
	for holder := range u.Holders() {
		name, _, isEntry := strings.Cut(holder, "/")
		if !isEntry || strings.HasPrefix(holder, office.LeasePrefix) || live[name] == holder {
			delete(missing, holder)
			continue
		}
		since, ok := missing[holder]
		if !ok {
			missing[holder] = time.Now()
			continue
		}
		term := e.Settings.Timing.UnitTerm
		if _, replaced := live[name]; replaced || e.listedGone(name) {
			term = 0 // The process surely ended, so only its work in executors may go on.
		}
		if time.Since(since) > term+u.Longest[holder]+clockMargin {
			gone = append(gone, holder)
			delete(missing, holder)
		}
	}
	return gone
}

// listedGone reports whether the platform's list has been read and does not
// name the entry's VM any more. Entries that were never listed do not count.
func (e *Entry) listedGone(name string) bool {
	view := e.members.View()
	entries := view.WithRole(winch.RoleEntry)
	if !view.Listed || len(entries) == 0 {
		return false
	}
	for _, vm := range entries {
		if vm.ID == name {
			return false
		}
	}
	return true
}
