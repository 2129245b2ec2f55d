package duty

import (
	"context"
	"time"
)

// Sleep waits for the duration d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Signal wakes the receiver of a channel with a buffer of one. If a signal is already
// pending, the two are merged.
func Signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
