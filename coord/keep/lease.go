package keep

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// close ends the sending of starts and the renewing of the lease. It returns when all
// leases at the worker have surely lapsed, and whether this was its last holding as
// far as is known: a later one may have renewed the lease.
func (h *holder) close() (lapse time.Time, last bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return h.lapse(), !h.fenced
}

// lapse returns when all leases at the worker have surely lapsed if they are not
// renewed. The mutex is held.
func (h *holder) lapse() time.Time {
	return later(h.prior, h.own)
}

// learn takes an earlier end of the leases that earlier holdings gave. Once the worker
// has answered, the planner counts on this keeper for them and tells nothing of them.
func (h *holder) learn(left time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := time.Now().Add(left); !h.empty && !h.listed && until.Before(h.prior) {
		h.prior = until
	}
}

// waitOpen waits until the lease may be renewed, not for long.
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

// describe returns what decides when a worker that does not answer is lost: how
// long it has been held, when it last answered, how long its lease may yet run, and
// what became of the last call. The mutex is held.
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

// Surely returns after how long of ours a time on a worker's clock has passed there
// too, with the way of the call and the end of the runs.
func Surely(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDrift/(1-clockDrift)) + lapseMargin
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
