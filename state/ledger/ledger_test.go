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

// startLedger runs a ledger until the returned function is called.
func startLedger(p winch.Store, partitions int) (*Ledger, func()) {
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

func testJob(i int) winch.Job {
	id := fmt.Sprint("request-", i)
	return winch.Job{ID: ID("J", "choir", id), Team: "choir", RequestID: id, State: winch.JobQueued, Digest: "d"}
}

// Guards against one store write per job: many jobs accepted at the same time while
// the store is slow must share a few writes.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		p.SetFaults(stand.Faults{Latency: 5 * time.Millisecond})
		l, stop := startLedger(p, 2)
		defer stop()
		var group conc.WaitGroup
		for i := range 200 {
			group.Go(func() {
				_, err := l.Accept(context.Background(), testJob(i))
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

// Guards against two records of one request when two entries accept it at the same
// time and the store's response to one of them is lost.
func TestConcurrentAcceptsReturnTheSameRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		p.SetFaults(stand.Faults{LoseReplies: 1, LosePrefix: JobsPrefix, Latency: time.Millisecond})
		a, stopA := startLedger(p, 4)
		b, stopB := startLedger(p, 4)
		defer stopA()
		defer stopB()
		first, second := testJob(1), testJob(1)
		first.Domain, second.Domain = "d1", "d2"
		var one, two winch.Job
		var group conc.WaitGroup
		group.Go(func() { one, _ = a.Accept(context.Background(), first) })
		group.Go(func() { two, _ = b.Accept(context.Background(), second) })
		group.Wait()
		is.Equal(one.Domain, two.Domain)
		other := testJob(1)
		other.Digest = "another"
		_, err := a.Accept(context.Background(), other)
		is.True(errors.Is(err, ErrDuplicate))
	})
}

// Guards against an unbounded backlog while the store is slow: changes beyond the
// capacity of the queue must be refused immediately.
func TestFullQueueRefusesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		p.SetFaults(stand.Faults{Latency: time.Second})
		l, stop := startLedger(p, 1)
		defer stop()
		var group conc.WaitGroup
		results := make(chan error, 3*maxGroupSize)
		for i := range 3 * maxGroupSize {
			group.Go(func() {
				_, err := l.Accept(context.Background(), testJob(i))
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
		is.True(busy >= maxGroupSize-1)
	})
}

// Guards against a late change altering the record of a job that has ended.
func TestEndedJobIsNotChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, stop := startLedger(&stand.Platform{}, 1)
		defer stop()
		ctx := context.Background()
		j, err := l.Accept(ctx, testJob(1))
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

// Guards against a resubmission running again because the record of the ended job
// was deleted too early: the record is first reduced and only later deleted.
func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, stop := startLedger(&stand.Platform{}, 1)
		defer stop()
		ctx := context.Background()
		j, err := l.Accept(ctx, testJob(1))
		is.NoErr(err)
		j.State, j.Finished, j.Output = winch.JobDone, time.Now(), []string{"mixed"}
		is.NoErr(l.Finish(ctx, j))
		time.Sleep(2 * DefaultRetention)
		_, err = l.Accept(ctx, testJob(2)) // expired records are removed with the next write
		is.NoErr(err)
		again, err := l.Accept(ctx, testJob(1))
		is.NoErr(err)
		is.Equal(again.State, winch.JobDone)
		is.Equal(len(again.Output), 0)
		time.Sleep(DefaultIDRetention)
		_, err = l.Accept(ctx, testJob(3))
		is.NoErr(err)
		_, err = l.Job(ctx, j.ID)
		is.True(errors.Is(err, winch.ErrNotFound))
	})
}

// Guards against accepted jobs being dropped when a partition reaches the size limit
// of a store value: new requests must be refused instead.
func TestFullPartitionRefusesNewRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		l, stop := startLedger(p, 1)
		defer stop()
		accepted := 0
		for i := range 120 {
			j := testJob(i)
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

// Guards against a non-repeatable call being sent twice by attempts on different
// entries while responses of the store are lost. Another attempt is allowed only
// once the result NotRun is recorded.
func TestOnlyOneAttemptMaySendACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		p.SetFaults(stand.Faults{LoseReplies: 2, LosePrefix: JobsPrefix, Latency: time.Millisecond})
		var ledgers []*Ledger
		for range 3 {
			l, stop := startLedger(p, 1)
			defer stop()
			ledgers = append(ledgers, l)
		}
		results := make(chan bool, 3)
		var group conc.WaitGroup
		for i, l := range ledgers {
			group.Go(func() {
				rec := winch.CallRecord{ID: "C1", Owner: fmt.Sprint(i), Committed: time.Now(), MaxRun: time.Minute}
				_, owned, err := l.Begin(context.Background(), rec)
				is.NoErr(err)
				results <- owned
			})
		}
		group.Wait()
		close(results)
		owners := 0
		for owned := range results {
			if owned {
				owners++
			}
		}
		is.Equal(owners, 1)
		rec, err := ledgers[0].Call(context.Background(), "C1")
		is.NoErr(err)
		rec.Result = winch.Refuse(winch.ExecutorFailed, "not reached")
		is.NoErr(ledgers[0].End(context.Background(), rec))
		_, owned, err := ledgers[1].Begin(context.Background(), winch.CallRecord{ID: "C1", Owner: "later"})
		is.NoErr(err)
		is.True(owned)
	})
}

// Guards against a data race on the result variables when a caller's context ends
// at the moment at which its change is applied. Only the race detector finds it.
func TestCallerLeavesWhileItsChangeIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const latency = 100 * time.Millisecond
		p := &stand.Platform{}
		p.SetFaults(stand.Faults{Latency: latency})
		l, stop := startLedger(p, 1)
		defer stop()
		for i := range 30 {
			ctx, cancel := context.WithTimeout(t.Context(), latency)
			if i%2 == 0 {
				_, owned, err := l.Begin(ctx, winch.CallRecord{ID: fmt.Sprint("C", i), Owner: "o", Digest: "d"})
				is.Equal(owned, err == nil)
			} else {
				_, err := l.Accept(ctx, testJob(i))
				is.True(err == nil || errors.Is(err, winch.ErrUncertain))
			}
			cancel()
			time.Sleep(time.Second)
		}
	})
}
