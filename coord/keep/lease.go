package keep

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// close stops sending starts and renewing the lease. It returns the time at which the leases
// that the assignment accounts for are guaranteed to have expired, and whether this is the
// worker's last known assignment: a later one may have renewed the lease. An assignment accounts
// for earlier leases only if the worker has responded in it: until then the planner and the
// roster name the earlier assignments.
func (h *holder) close() (expiry time.Time, last bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.listed {
		return h.leaseExpiry(), !h.fenced
	}
	return h.ownExpiry, !h.fenced
}

// leaseExpiry returns when all leases at the worker are guaranteed to have expired unless
// they are renewed, except at a next boot that a start without a response has reached. The
// caller holds the mutex.
func (h *holder) leaseExpiry() time.Time {
	return later(h.priorExpiry, h.ownExpiry)
}

// nextBootExpiry returns when the lease has expired that starts may have given the worker's next boot, if the intended one has not
// listed their runs. Their limits are times on another clock there, which may mean the longest lease. The caller holds the mutex.
func (h *holder) nextBootExpiry() time.Time {
	var expiry time.Time
	for _, r := range h.runs {
		if !r.sentAt.IsZero() && !r.listed {
			expiry = later(expiry, r.sentAt.Add(maxCallTimeout+ExpiryBound(max(h.keeper.Lease, h.keeper.WorkerLease))))
		}
	}
	return expiry
}

// lowerPriorExpiry sets an earlier expiry of the leases granted under earlier assignments.
// It has no effect once the worker has responded: from then on the planner relies on this
// keeper for these leases and no longer sends their remaining time.
func (h *holder) lowerPriorExpiry(left time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := time.Now().Add(left); !h.startedEmpty && !h.listed && until.Before(h.priorExpiry) {
		h.priorExpiry = until
	}
}

// waitForRenewal waits until the lease may be renewed, or until a timeout.
func (h *holder) waitForRenewal(ctx context.Context) {
	h.mu.Lock()
	allowed := h.renewalAllowed
	h.mu.Unlock()
	if allowed {
		return
	}
	timer := time.NewTimer(renewalTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.renewalSignal:
	}
}

// logFields returns what determines when an unresponsive worker is lost: how long it has
// been assigned, its last contact, how long its lease may still run, and the error of the
// last call. The caller holds the mutex.
func (h *holder) logFields(err error) []zap.Field {
	now := time.Now()
	fields := []zap.Field{
		zap.String("worker", h.vm.ID), zap.Uint64("token", h.token), zap.Int("runs", len(h.runs)),
		zap.Duration("held", now.Sub(h.began)), zap.Duration("lapsesIn", h.leaseExpiry().Sub(now)),
		zap.String("error", err.Error()),
	}
	if cause := merry.Cause(err); cause != nil {
		fields = append(fields, zap.String("cause", cause.Error()))
	}
	if !h.lastContact.IsZero() {
		fields = append(fields, zap.Duration("heardAgo", now.Sub(h.lastContact)))
	}
	return fields
}

// ExpiryBound returns the local duration after which a duration on a worker's clock is
// guaranteed to have passed there too, including the time to deliver the call and to end
// the runs.
func ExpiryBound(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*maxClockDrift/(1-maxClockDrift)) + expiryMargin
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
