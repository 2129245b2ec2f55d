package duty

import (
	"context"
	"time"
)

// Pause waits for a time, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Signal wakes whoever waits on a channel of one place; a signal that is there
// already stands for both.
func Signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
