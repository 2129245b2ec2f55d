package duty

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a timeout that ends early or late, or differs from that of the context package in what its context reports.
func TestTimeoutEndsLikeThatOfTheContextPackage(t *testing.T) {
	for _, d := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 1700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			ctx, cancel := WithTimeout(t.Context(), d)
			defer cancel()
			deadline, ok := ctx.Deadline()
			is.True(ok)
			is.Equal(deadline, began.Add(d))
			child, cancelChild := context.WithCancel(ctx)
			defer cancelChild()
			is.NoErr(ctx.Err())
			<-child.Done()
			is.Equal(time.Since(began), d)
			is.True(errors.Is(ctx.Err(), context.DeadlineExceeded))
		})
	}
}

// Guards against a timeout whose context reports a timeout after it was cancelled, and against one that outlives its parent.
func TestTimeoutThatIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := WithTimeout(t.Context(), time.Second)
		cancel()
		is.Equal(ctx.Err(), context.Canceled)
		time.Sleep(2 * time.Second)
		is.Equal(ctx.Err(), context.Canceled)
		parent, cancelParent := context.WithTimeout(t.Context(), time.Second)
		defer cancelParent()
		ctx, cancel = WithTimeout(parent, 5*time.Second)
		defer cancel()
		began := time.Now()
		deadline, _ := ctx.Deadline()
		is.Equal(deadline, began.Add(time.Second))
		<-ctx.Done()
		is.Equal(time.Since(began), time.Second)
	})
}

// Guards against a timer that fires after it was stopped, or not after it was started again.
func TestTimerIsStoppedAndStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var firedAt time.Time
		timer := AfterFunc(200*time.Millisecond, func() { firedAt = time.Now() })
		time.Sleep(150 * time.Millisecond)
		is.True(timer.Stop())
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(firedAt.IsZero())
		timer.Reset(300 * time.Millisecond)
		began := time.Now()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(firedAt.Sub(began), 300*time.Millisecond)
		is.True(!timer.Stop())
	})
}

// Guards against a timeout that counts time in which this process did not run, so that what arrived meanwhile is not read, and
// against one that does not end while timers are always late.
func TestTimeoutLeavesPausesOut(t *testing.T) {
	const late = 400 * time.Millisecond
	for _, x := range []struct {
		name  string
		late  func(part int) time.Duration
		parts int
	}{
		{"no pause", func(int) time.Duration { return MaxTimerDelay }, 8},
		{"a pause at the beginning", func(i int) time.Duration { return map[int]time.Duration{0: late}[i] }, 9},
		{"a pause at the end", func(i int) time.Duration { return map[int]time.Duration{7: late}[i] }, 9},
		{"two pauses", func(i int) time.Duration { return map[int]time.Duration{3: late, 7: late}[i] }, 10},
		{"always late", func(int) time.Duration { return late }, 10},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			p := newPatience(800 * time.Millisecond)
			parts := 1
			for !p.endPart(x.late(parts - 1)) {
				parts++
			}
			is.Equal(parts, x.parts)
		})
	}
}
