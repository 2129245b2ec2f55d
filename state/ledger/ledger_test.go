package ledger

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/stand"
	"plantainwinch/winch"
)

// start runs a ledger in a bubble until the function returned is called.
func start(p winch.Store, partitions int) (*Ledger, func()) {
	l := &Ledger{Store: p, Prefix: JobsPrefix, Partitions: partitions}
	l.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { l.Run(ctx) })
	return l, func() {
		cancel()
		group.Wait()
	}
}

func job(i int) winch.Job {
	id := fmt.Sprint("request-", i)
	return winch.Job{ID: ID("J", "choir", id), Team: "choir", RequestID: id, State: winch.JobQueued, Digest: "d"}
}

// Many jobs are accepted at once while the store takes its time. They share
// writes, so the store sees far fewer calls than jobs.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		p.Set(stand.Faults{Latency: 5 * time.Millisecond})
		l, stop := start(p, 2)
		defer stop()
		var group conc.WaitGroup
		for i := range 200 {
			group.Go(func() {
				_, err := l.Accept(context.Background(), job(i))
				is.NoErr(err)
			})
		}
		group.Wait()
		jobs, err := l.Jobs(context.Background())
		is.NoErr(err)
		is.Equal(len(jobs), 200)
		is.True(p.Calls()["Put"] <= 8)
	})
}

// Two entries accept the same request at once and one of them loses the reply.
// Both give the same record.
func TestAcceptTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		p.Set(stand.Faults{LoseReplies: 1, LosePrefix: JobsPrefix, Latency: time.Millisecond})
		a, stopA := start(p, 4)
		b, stopB := start(p, 4)
		defer stopA()
		defer stopB()
		first, second := job(1), job(1)
		first.Domain, second.Domain = "d1", "d2"
		var one, two winch.Job
		var group conc.WaitGroup
		group.Go(func() { one, _ = a.Accept(context.Background(), first) })
		group.Go(func() { two, _ = b.Accept(context.Background(), second) })
		group.Wait()
		is.Equal(one.Domain, two.Domain)
		other := job(1)
		other.Digest = "another"
		_, err := a.Accept(context.Background(), other)
		is.True(errors.Is(err, ErrDuplicate))
	})
}

// The store is down for long and changes pile up. The ring is bounded: more
// than it holds is refused at once instead of waiting with the rest.
func TestRingFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		p.Set(stand.Faults{Latency: time.Second})
		l, stop := start(p, 1)
		defer stop()
		var group conc.WaitGroup
		results := make(chan error, 3*groupSize)
		for i := range 3 * groupSize {
			group.Go(func() {
				_, err := l.Accept(context.Background(), job(i))
				results <- err
			})
		}
		group.Wait()
		close(results)
		busy := 0
		for err := range results {
			if errors.Is(err, ErrBusy) {
				busy++
			} else {
				is.NoErr(err)
			}
		}
		is.True(busy >= groupSize-1)
	})
}

// A final state is recorded, then a late change arrives. The end stays.
func TestFinalStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, stop := start(&stand.Platform{}, 1)
		defer stop()
		ctx := context.Background()
		j, err := l.Accept(ctx, job(1))
		is.NoErr(err)
		is.NoErr(l.AddIntent(ctx, winch.TaskID{Job: j.ID, Index: 0}))
		j.State, j.Finished = winch.JobDone, time.Now()
		is.NoErr(l.Finish(ctx, j))
		is.True(errors.Is(l.Cancel(ctx, j.ID), ErrFinal))
		is.True(errors.Is(l.AddIntent(ctx, winch.TaskID{Job: j.ID, Index: 0}), ErrFinal))
		got, err := l.Job(ctx, j.ID)
		is.NoErr(err)
		is.Equal(got.State, winch.JobDone)
		is.Equal(got.Intent, []int{0})
	})
}

// A job ended an hour ago and again a day ago. Its record is shortened, then
// dropped; in between a resubmission is still recognized and does not run.
func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, stop := start(&stand.Platform{}, 1)
		defer stop()
		ctx := context.Background()
		j, err := l.Accept(ctx, job(1))
		is.NoErr(err)
		j.State, j.Finished, j.Output = winch.JobDone, time.Now(), []string{"mixed"}
		is.NoErr(l.Finish(ctx, j))
		time.Sleep(2 * DefaultKeep)
		_, err = l.Accept(ctx, job(2)) // a write takes the chance to tidy
		is.NoErr(err)
		again, err := l.Accept(ctx, job(1))
		is.NoErr(err)
		is.Equal(again.State, winch.JobDone)
		is.Equal(len(again.Output), 0)
		time.Sleep(DefaultRemember)
		_, err = l.Accept(ctx, job(3))
		is.NoErr(err)
		_, err = l.Job(ctx, j.ID)
		is.True(errors.Is(err, winch.ErrNotFound))
	})
}

// More is recorded than a value of the store can hold. New requests are refused
// as not recorded; none that was accepted is forgotten to make room.
func TestPartitionFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		l, stop := start(p, 1)
		defer stop()
		accepted := 0
		for i := range 120 {
			j := job(i)
			j.Spec.Command = strings.Repeat("x", 8000)
			if _, err := l.Accept(context.Background(), j); err == nil {
				accepted++
			} else {
				is.True(errors.Is(err, ErrFull))
			}
		}
		is.True(accepted > 50 && accepted < 120)
		jobs, err := l.Jobs(context.Background())
		is.NoErr(err)
		is.Equal(len(jobs), accepted)
	})
}

// Only one attempt may send a non-repeatable request, whichever entry it is on
// and whatever replies are lost. After a proven NotRun, the next one may.
func TestBeginOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		p.Set(stand.Faults{LoseReplies: 2, LosePrefix: JobsPrefix, Latency: time.Millisecond})
		var ledgers []*Ledger
		for range 3 {
			l, stop := start(p, 1)
			defer stop()
			ledgers = append(ledgers, l)
		}
		mineCount := make(chan bool, 3)
		var group conc.WaitGroup
		for i, l := range ledgers {
			group.Go(func() {
				rec := winch.CallRecord{ID: "C1", Owner: fmt.Sprint(i), Committed: time.Now(), MaxRun: time.Minute}
				_, mine, err := l.Begin(context.Background(), rec)
				is.NoErr(err)
				mineCount <- mine
			})
		}
		group.Wait()
		close(mineCount)
		winners := 0
		for mine := range mineCount {
			if mine {
				winners++
			}
		}
		is.Equal(winners, 1)
		rec, err := ledgers[0].Call(context.Background(), "C1")
		is.NoErr(err)
		rec.Result = winch.Refuse(winch.ExecutorFailed, "not reached")
		is.NoErr(ledgers[0].End(context.Background(), rec))
		_, mine, err := ledgers[1].Begin(context.Background(), winch.CallRecord{ID: "C1", Owner: "later"})
		is.NoErr(err)
		is.True(mine)
	})
}

// A caller goes away at the very moment at which its change is applied. Its result
// must not be read while the change writes it; the race detector shows it.
func TestGivenUpWhileTheChangeIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const latency = 100 * time.Millisecond
		p := &stand.Platform{}
		p.Set(stand.Faults{Latency: latency})
		l, stop := start(p, 1)
		defer stop()
		for i := range 30 {
			ctx, cancel := context.WithTimeout(t.Context(), latency)
			if i%2 == 0 {
				_, mine, err := l.Begin(ctx, winch.CallRecord{ID: fmt.Sprint("C", i), Owner: "o", Digest: "d"})
				is.Equal(mine, err == nil)
			} else {
				_, err := l.Accept(ctx, job(i))
				is.True(err == nil || errors.Is(err, winch.ErrUncertain))
			}
			cancel()
			time.Sleep(time.Second)
		}
	})
}
