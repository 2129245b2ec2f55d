package keep

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// close stops sending starts and renewing the lease. It returns the time at which all leases
// at the worker are guaranteed to have expired, and whether this is the worker's last known
// assignment: a later one may have renewed the lease.
func (h *holder) close() (expiry time.Time, last bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return h.lapse(), !h.fenced
}

// leaseExpiry returns when all leases at the worker are guaranteed to have expired unless
// they are renewed. The caller holds the mutex.
func (h *holder) lapse() time.Time {
	return later(h.prior, h.own)
}

// lowerPriorExpiry sets an earlier expiry of the leases granted under earlier assignments.
// It has no effect once the worker has responded: from then on the planner relies on this
// keeper for these leases and no longer sends their remaining time.
func (h *holder) learn(left time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := time.Now().Add(left); !h.empty && !h.listed && until.Before(h.prior) {
		h.prior = until
	}
}

// waitForRenewal waits until the lease may be renewed, or until a timeout.
func (h *holder) waitOpen(ctx context.Context) {
	h.mu.Lock()
	open := h.open
	h.mu.Unlock()
	if open {
		return
	}
	timer := time.NewTimer(openTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.opened:
	}
}

// logFields returns what determines when an unresponsive worker is lost: how long it has
// been assigned, its last contact, how long its lease may still run, and the error of the
// last call. The caller holds the mutex.
func (h *holder) describe(err error) []zap.Field {
	now := time.Now()
	fields := []zap.Field{
		zap.String("worker", h.vm.ID), zap.Uint64("token", h.token), zap.Int("runs", len(h.runs)),
		zap.Duration("held", now.Sub(h.began)), zap.Duration("lapsesIn", h.lapse().Sub(now)),
		zap.String("error", err.Error()),
	}
	if cause := merry.Cause(err); cause != nil {
		fields = append(fields, zap.String("cause", cause.Error()))
	}
	if !h.heard.IsZero() {
		fields = append(fields, zap.Duration("heardAgo", now.Sub(h.heard)))
	}
	return fields
}

// ExpiryBound returns the local duration after which a duration on a worker's clock is
// guaranteed to have passed there too, including the time to deliver the call and to end
// the runs.
func Surely(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDrift/(1-clockDrift)) + lapseMargin
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
