package ledger

import (
	"context"
	"errors"
	"time"

	"plantainwinch/winch"
)

// Begin records that the attempt named in the record is about to send a
// non-repeatable call. If it returns true, this attempt and no other may send the
// call. Otherwise the returned record holds the state of the earlier attempt.
func (l *Ledger) Begin(ctx context.Context, call winch.CallRecord) (winch.CallRecord, bool, error) {
	var rec winch.CallRecord
	var owned bool
	err := l.Commit(ctx, call.ID, func(p *Partition) error {
		old, ok := p.Calls[call.ID]
		mayRetry := ok && old.Result.Outcome == winch.NotRun
		if ok && !mayRetry {
			rec, owned = old, old.Owner == call.Owner
			if old.Digest != call.Digest {
				return ErrDuplicate
			}
			return ErrFinal
		}
		if !ok && p.estimateSize() > maxPartitionSize {
			return ErrFull
		}
		p.Calls[call.ID] = call
		rec, owned = call, true
		return nil
	})
	if errors.Is(err, winch.ErrUncertain) {
		// The change may still be applied and write rec and owned concurrently.
		return winch.CallRecord{}, false, err
	}
	if err == ErrFinal { //nolint:errorlint // The change above returns it unwrapped.
		err = nil
	}
	return rec, owned, err
}

// Call returns the record of a call, or winch.ErrNotFound if there is none.
func (l *Ledger) Call(ctx context.Context, id string) (winch.CallRecord, error) {
	p, err := l.Read(ctx, id)
	if err != nil {
		return winch.CallRecord{}, err
	}
	c, ok := p.Calls[id]
	if !ok {
		return c, winch.ErrNotFound
	}
	return c, nil
}

// End records the result of a call that Begin allowed this attempt to send.
func (l *Ledger) End(ctx context.Context, call winch.CallRecord) error {
	return l.Commit(ctx, call.ID, func(p *Partition) error {
		old, ok := p.Calls[call.ID]
		if ok && old.Owner != call.Owner {
			return ErrFinal
		}
		call.Finished = time.Now().UTC()
		p.Calls[call.ID] = call
		return nil
	})
}

// ResultOf returns the result that a resubmission of a recorded call gets. If the
// call's result was not recorded, the outcome is unknown: with a delay for a retry
// while the call may still run, and finally after that.
func ResultOf(rec winch.CallRecord, now time.Time) winch.Result {
	if !rec.Finished.IsZero() {
		return rec.Result
	}
	out := winch.Uncertain(winch.ExecutorFailed, "the request was sent before and its end was not recorded; it is not sent again")
	if left := rec.Committed.Add(rec.MaxRun).Sub(now); left > 0 {
		out.Detail = "the same request is under way"
		out.RetryAfter = left
	}
	return out
}
