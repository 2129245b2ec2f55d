package duty_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/duty"
)

// Guards against a function that goes on waiting after the stop signal, and against reporting a
// function as stopped that returned by itself.
func TestRunUntilStopsOnSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stop := make(chan struct{})
		begin := time.Now()
		time.AfterFunc(time.Second, func() { close(stop) })
		is.True(duty.RunUntil(t.Context(), stop, func(ctx context.Context) { duty.Sleep(ctx, time.Hour) }))
		is.Equal(time.Since(begin), time.Second)
		is.Equal(duty.RunUntil(t.Context(), make(chan struct{}), func(context.Context) {}), false)
	})
}
