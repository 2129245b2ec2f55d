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
	// memberPrefix is the prefix of the store keys of the member records. Each live entry has one.
	memberPrefix = "Member/"
	// memberLease is the lease on an entry's member record.
	memberLease = 10 * time.Second
	// memberRetryDelay is the delay after a failed renewal, for example when an entry starts before the store can be
	// reached.
	memberRetryDelay = 500 * time.Millisecond
	// reclaimInterval is the interval at which the planner looks for units of holders that have ended.
	reclaimInterval = 10 * time.Second
	// clockDriftMargin is added to waiting times because clocks run at different rates.
	clockDriftMargin = 2 * time.Second
	// storeTimeout bounds one operation on the store.
	storeTimeout = 2 * time.Second
)

// contactTime records the time of the last contact, for example with the store.
type contactTime struct {
	last atomic.Pointer[time.Time] // last is when the request of the last contact was sent; nil if there was none.
}

func (c *contactTime) record(sent time.Time) {
	c.last.Store(&sent)
}

// within reports whether the last contact was less than d ago.
func (c *contactTime) within(d time.Duration) bool {
	last := c.last.Load()
	return last != nil && time.Since(*last) < d
}

// age returns how long ago the last contact was, zero if there was none.
func (c *contactTime) age() time.Duration {
	if last := c.last.Load(); last != nil {
		return time.Since(*last)
	}
	return 0
}

// memberRecord is the value of an entry's member record in the store.
type memberRecord struct {
	Holder  string
	Address string
}

// runMembership keeps the entry's member record in the store; while it exists, nobody reclaims the entry's units.
func (e *Entry) runMembership(ctx context.Context) {
	lease := ""
	for {
		sent := time.Now()
		var err error
		delay := memberRetryDelay
		if lease, err = e.renewMember(ctx, lease); err == nil {
			e.storeContact.record(sent)
			delay = memberLease / 3
		}
		if !sleep(ctx, delay) {
			return
		}
	}
}

// renewMember renews the lease of the member record, or writes the record under a new lease if the old one has
// expired. It replaces a record left by an earlier process of this entry: that process listened on the same address,
// so it must have ended.
func (e *Entry) renewMember(ctx context.Context, lease string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
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

// runBalance passes the demand of other entries to both holders of units, the entry's own and the office's, and updates
// keysCurrent. On the planner it also returns the units of ended holders to the pool.
func (e *Entry) runBalance(ctx context.Context) {
	missing := make(map[string]time.Time)
	last := time.Now()
	for sleep(ctx, e.Settings.Timing.Heartbeat) {
		e.reportDemand(ctx)
		e.updateKeysCurrent()
		holder, _ := e.office.Holder()
		if holder == e.Name() && time.Since(last) >= reclaimInterval {
			last = time.Now()
			if err := e.reclaim(ctx, missing); err != nil {
				metrics.GetOrRegisterCounter("Quota.ReclaimFailed", e.Metrics).Inc(1)
			}
		}
	}
}

// reportDemand passes to each holder of units the demand of all others.
func (e *Entry) reportDemand(ctx context.Context) {
	demand := make(map[string]int)
	for _, p := range e.members.View().Peers {
		for _, use := range p.Beat.Teams {
			demand[use.Team] += use.Want
		}
	}
	own, _ := e.units.Usage(ctx)
	jobs, _ := e.office.Quota.Usage(ctx)
	e.units.SetOtherDemand(ctx, addDemand(demand, jobs))
	e.office.Quota.SetOtherDemand(ctx, addDemand(demand, own))
}

// addDemand returns the demand by team, increased by what the teams of one holder want.
func addDemand(demand map[string]int, use map[string][2]int) map[string]int {
	out := make(map[string]int, len(demand)+len(use))
	for team, n := range demand {
		out[team] = n
	}
	for team, n := range use {
		out[team] += n[1]
	}
	return out
}

// reclaim returns the units of ended entries to the pool. Those are entries whose member record has been missing for
// longer than they may use units without the store, plus the longest run time of work started with these units.
func (e *Entry) reclaim(ctx context.Context, missing map[string]time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
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
	ended := e.endedHolders(units.Body, live, missing)
	if len(ended) == 0 {
		return nil
	}
	e.Log.Info("reclaiming units of ended holders", zap.Strings("Holders", ended))
	return quota.Reclaim(ctx, e.Store, ended)
}

// endedHolders returns the holders whose units can be reclaimed. It maintains missing, which holds the time at which a
// holder's member record was first found missing.
func (e *Entry) endedHolders(u quota.Units, live map[string]string, missing map[string]time.Time) []string {
	var ended []string
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
		unitTerm := e.Settings.Timing.UnitTerm
		if _, replaced := live[name]; replaced || e.removedFromList(name) {
			unitTerm = 0 // The process is guaranteed to have ended, so only its work at executors may still be running.
		}
		if time.Since(since) > unitTerm+u.Longest[holder]+clockDriftMargin {
			ended = append(ended, holder)
			delete(missing, holder)
		}
	}
	return ended
}

// removedFromList reports whether the platform's list has been read, names entries and does not name this one.
// A list without any entry says nothing about them.
func (e *Entry) removedFromList(name string) bool {
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
