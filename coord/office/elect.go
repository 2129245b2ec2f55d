package office

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

const (
	// electionInterval is the longest time between two reads of the office's keys in the store.
	electionInterval = 500 * time.Millisecond
	// successorHeadStart is how long an entry that is not the recorded successor waits
	// once the office is free, so that a live successor acquires it.
	successorHeadStart = time.Second
	// callTimeout limits one access to the store.
	callTimeout = 2 * time.Second
)

// knownHolder is the last known holder of the office and its epoch. Other goroutines read
// it, so a mutex protects it.
type knownHolder struct {
	mu    sync.Mutex
	name  string
	epoch uint64
}

func (h *knownHolder) get() (string, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.name, h.epoch
}

// set stores the holder unless a newer epoch is already known.
func (h *knownHolder) set(name string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch >= h.epoch {
		h.name, h.epoch = name, epoch
	}
}

// clear forgets the holder if it is this entry in the given epoch, whose term has ended.
func (h *knownHolder) clear(self string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.name == self && h.epoch == epoch {
		h.name = ""
	}
}

// term is one period in which this entry holds the office.
type term struct {
	epoch uint64
	lease string
	mu    sync.Mutex
	// validUntil is the time until which the lease is guaranteed to be valid. It is computed
	// from the time before the last confirmed renewal was sent, since the store received the
	// renewal later and the lease expires there no earlier.
	validUntil time.Time
	// lost is set once this entry has released the office or another one may hold it.
	lost bool
}

func (t *term) extend(sent time.Time, lease time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = sent.Add(lease)
}

// leaseValid reports whether the lease is guaranteed to be valid at the given time.
func (t *term) leaseValid(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lost && now.Before(t.validUntil)
}

// active reports whether the term goes on as far as this entry knows. The lease may have
// expired nevertheless.
func (t *term) active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lost
}

func (t *term) markLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = true
}

// campaign competes for the office until this entry has acquired it, and returns the term.
// It returns nil when ctx ends or the entry is leaving.
func (o *Office) campaign(ctx context.Context) *term {
	var freeSince time.Time
	for {
		select {
		case <-o.leaving:
			return nil
		default:
		}
		free, record, err := o.readOffice(ctx)
		switch {
		case err != nil || !free:
			freeSince = time.Time{}
		case freeSince.IsZero():
			freeSince = time.Now()
		}
		if free && err == nil && o.mayAcquire(record, freeSince) {
			if t := o.acquire(ctx); t != nil {
				return t
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-o.leaving:
			return nil
		case <-o.recheckRequested:
		case <-time.After(electionInterval):
		}
	}
}

// mayAcquire reports whether this entry may acquire the free office. The recorded successor
// may do so at once, as may any entry if there was no holder yet. Other entries wait for
// successorHeadStart.
func (o *Office) mayAcquire(record winch.DomainRecord, freeSince time.Time) bool {
	first := record.Successor == o.Self || record.Successor == "" && record.Placer == ""
	return first || time.Since(freeSince) >= successorHeadStart
}

// readOffice reads the office's record from the store and whether the office is free.
func (o *Office) readOffice(ctx context.Context) (bool, winch.DomainRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rec, err := swap.Read[winch.DomainRecord](ctx, o.Store, RecordPrefix+o.Domain)
	if err != nil {
		return false, winch.DomainRecord{}, err
	}
	_, err = o.Store.Get(ctx, LeasePrefix+o.Domain)
	switch {
	case errors.Is(err, winch.ErrNotFound):
		o.knownHolder.set("", rec.Body.Epoch)
		return true, rec.Body, nil
	case err == nil:
		o.knownHolder.set(rec.Body.Placer, rec.Body.Epoch)
	}
	return false, rec.Body, err
}

// acquire tries to acquire the office and returns nil if it fails. It first creates the
// lease key, which only one entry can do, and then writes the next epoch to the record.
func (o *Office) acquire(ctx context.Context) *term {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := time.Now()
	lease, err := o.Store.Grant(ctx, o.Lease)
	if err != nil {
		return nil
	}
	if _, err := o.Store.Put(ctx, LeasePrefix+o.Domain, []byte(o.Self), 0, lease); err != nil {
		_ = o.Store.Revoke(ctx, lease)
		return nil
	}
	rec, err := swap.Update(ctx, o.Store, RecordPrefix+o.Domain, func(r *winch.DomainRecord) error {
		*r = winch.DomainRecord{Domain: o.Domain, Placer: o.Self, Epoch: r.Epoch + 1, Successor: o.successor()}
		return nil
	})
	if err == nil {
		err = o.Quota.TakeOver(ctx, rec.Body.Epoch)
	}
	if err != nil {
		o.Log.Warn("acquiring the office lease failed", zap.String("Domain", o.Domain), zap.Error(err))
		_ = o.Store.Revoke(ctx, lease)
		return nil
	}
	t := &term{epoch: rec.Body.Epoch, lease: lease}
	t.extend(sent, o.Lease)
	o.knownHolder.set(o.Self, t.epoch)
	return t
}

// successor returns the entry that may acquire the office first after this one, or "".
func (o *Office) successor() string {
	if others := o.OtherEntries(); len(others) > 0 {
		return others[0]
	}
	return ""
}

// renewLoop renews the office lease until the office is lost or released.
func (o *Office) renewLoop(ctx context.Context, t *term) {
	ticker := time.NewTicker(o.Lease / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.leaving:
			o.release(t)
			return
		case <-ticker.C:
		}
		if !o.renewOnce(ctx, t) {
			return
		}
	}
}

// renewOnce renews the lease and reports whether the term goes on. An unreachable store
// does not end the term. Where workers compare epochs, they refuse this planner as soon as
// they know a successor's epoch. Where they do not, mayStart checks that the lease is valid.
func (o *Office) renewOnce(ctx context.Context, t *term) bool {
	ctx, cancel := context.WithTimeout(ctx, o.Lease/3)
	defer cancel()
	sent := time.Now()
	err := o.Store.Renew(ctx, t.lease)
	switch {
	case err == nil:
		t.extend(sent, o.Lease)
		return t.active()
	case errors.Is(err, winch.ErrNotFound):
		return o.reacquire(ctx, t)
	default:
		metrics.GetOrRegisterCounter("Office.RenewFailed", o.Metrics).Inc(1)
		return t.active()
	}
}

// reacquire creates the lease key again after the lease expired, for example in a long
// outage of the store or a pause of this process, if no other entry has acquired the office
// since. It reports whether the term goes on.
func (o *Office) reacquire(ctx context.Context, t *term) bool {
	sent := time.Now()
	rec, err := swap.Read[winch.DomainRecord](ctx, o.Store, RecordPrefix+o.Domain)
	if err != nil {
		return t.active()
	}
	if rec.Body.Epoch != t.epoch || !o.FenceAtVM {
		o.knownHolder.set(rec.Body.Placer, rec.Body.Epoch)
		t.markLost()
		return false
	}
	lease, err := o.Store.Grant(ctx, o.Lease)
	if err != nil {
		return t.active()
	}
	if _, err := o.Store.Put(ctx, LeasePrefix+o.Domain, []byte(o.Self), 0, lease); err != nil {
		_ = o.Store.Revoke(ctx, lease)
		if errors.Is(err, winch.ErrConflict) {
			t.markLost()
			return false
		}
		return t.active()
	}
	t.lease = lease
	t.extend(sent, o.Lease)
	return true
}

// release ends the term and revokes the lease for a planned stop.
func (o *Office) release(t *term) {
	t.markLost()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = o.Store.Revoke(ctx, t.lease)
}
