package duty_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

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

// startLoop runs a loop until stop is called, which waits for its end.
func startLoop(t *testing.T) (loop *duty.Loop, ctx context.Context, stop func()) {
	loop = duty.New("test", 0, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { loop.Run(ctx) })
	return loop, ctx, func() {
		cancel()
		group.Wait()
	}
}

// Guards against a caller that waits for a busy loop beyond its deadline, and against a function that runs after
// its caller has left.
func TestCallerLeavesABusyLoopAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		loop, ctx, stop := startLoop(t)
		defer stop()
		is.NoErr(loop.Post(func() { time.Sleep(10 * time.Second) }))

		begin, ran := time.Now(), false
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		is.Equal(loop.Do(short, func() { ran = true }), context.DeadlineExceeded)
		is.Equal(time.Since(begin), time.Second)

		is.NoErr(loop.Do(ctx, func() {}))
		is.Equal(time.Since(begin), 10*time.Second)
		is.True(!ran)
	})
}

// Guards against a response that others wait for and that is handled only after a long queue of events.
func TestUrgentFunctionRunsBeforeTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		loop, ctx, stop := startLoop(t)
		defer stop()
		ran, ranAt := 0, 0
		is.NoErr(loop.Post(func() { time.Sleep(time.Second) })) // The others are queued behind it.
		for range 100 {
			is.NoErr(loop.Post(func() {
				time.Sleep(time.Second)
				if ran++; ran == 3 {
					is.NoErr(loop.PostUrgent(func() { ranAt = ran }))
				}
			}))
		}
		is.NoErr(loop.Do(ctx, func() {}))
		is.Equal(ran, 100)
		is.Equal(ranAt, 3)
	})
}

// Guards against a caller that leaves while its function runs, which may write to the caller's variables.
func TestCallerWaitsForAFunctionThatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		loop, ctx, stop := startLoop(t)
		defer stop()
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		done := false
		is.NoErr(loop.Do(short, func() {
			time.Sleep(5 * time.Second)
			done = true
		}))
		is.True(done)
	})
}
