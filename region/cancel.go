package region

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// maxCancelAttempts bounds how often a cancellation is decided again because the job's records have changed.
	maxCancelAttempts = 3
	// withdrawalBurst bounds the cancellations of unknown jobs that an entry records at once, and withdrawalRate is
	// how many per second follow. Any caller may cancel any ID, and each record takes a write and stays for the
	// retention period.
	withdrawalBurst = 100
	withdrawalRate  = 5
)

// Cancel implements winch.Region. It returns when the cancellation is stored.
func (n *Node) Cancel(ctx context.Context, id string) winch.Result {
	if !n.storeResponsive() {
		return winch.RefuseFor(winch.StoreUnavailable, "the store does not answer", retryAfter)
	}
	for range maxCancelAttempts {
		s, ended, err := n.readJob(ctx, id)
		switch {
		case err != nil:
			return winch.RefuseFor(winch.StoreUnavailable, "the store did not answer", retryAfter)
		case ended != nil, s.cancelled, s.progress != nil && s.progress.State.Final():
			return winch.Result{Outcome: winch.Done}
		}
		stored := s.job != nil
		if stored {
			err = n.recordCancel(ctx, id, s.job.Revision)
		} else if n.withdrawals.allow(time.Now()) {
			err = n.withdraw(ctx, id)
		} else {
			metrics.GetOrRegisterCounter("Cancel.UnknownRefused", n.Metrics).Inc(1)
			return winch.RefuseFor(winch.Overloaded, "too many unknown submissions are being cancelled", retryAfter)
		}
		switch {
		case errors.Is(err, winch.ErrConflict) && !stored:
			continue // It has been stored since.
		case err == nil || errors.Is(err, winch.ErrConflict):
			// A conflict means that the stored job is already cancelled or has ended.
			n.notifyPlanner(proto.KindCancel, proto.CancelJob{ID: id})
			return winch.Result{Outcome: winch.Done}
		case errors.Is(err, winch.ErrUnavailable):
			return winch.RefuseFor(winch.StoreUnavailable, "the store did not take the cancel", retryAfter)
		}
		return uncertainCancel()
	}
	return uncertainCancel()
}

func uncertainCancel() winch.Result {
	return winch.Uncertain(winch.StoreUnavailable, "it is not known whether the cancel is stored; cancel again")
}

// recordCancel records the cancellation of a stored job.
func (n *Node) recordCancel(ctx context.Context, id string, revision uint64) error {
	key := keyCancel(id)
	_, err := n.Table.Commit(ctx, winch.Txn{
		Expect: map[string]uint64{key: 0, keyJob(id): revision}, Writes: []winch.Write{{Key: key, Data: encode(time.Now())}},
	})
	return err
}

// withdraw records a job of which the store holds nothing as cancelled. Its submission may still be on the way to the store, or
// arrive again: it then finds this record, and is not stored.
func (n *Node) withdraw(ctx context.Context, id string) error {
	end := endedRecord{State: winch.JobCancelled, At: time.Now()}
	_, err := n.Table.Commit(ctx, winch.Txn{
		Expect: map[string]uint64{keyJob(id): 0, keyEnded(id): 0}, Writes: []winch.Write{{Key: keyEnded(id), Data: encode(end)}},
	})
	metrics.GetOrRegisterCounter("Cancel.Unknown", n.Metrics).Inc(1)
	n.Log.Info("unknown job cancelled", zap.String("job", id), zap.Error(err))
	return err
}

// withdrawals limits the cancellations of unknown jobs. The zero value allows a burst.
type withdrawals struct {
	mu   sync.Mutex
	used float64 // used is how much of the burst is used up as of at.
	at   time.Time
}

// allow reports whether another one may be recorded.
func (x *withdrawals) allow(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.used = max(0, x.used-withdrawalRate*now.Sub(x.at).Seconds())
	x.at = now
	if x.used+1 > withdrawalBurst {
		return false
	}
	x.used++
	return true
}
