package ledger

import (
	"context"
	"errors"
	"time"

	"plantainwinch/winch"
)

// Begin records that a non-repeatable call is about to be sent by the attempt
// named in the record. If it returns mine, this attempt, and no other, may send
// it. Otherwise the record returned says what became of the earlier one.
func (l *Ledger) Begin(ctx context.Context, call winch.CallRecord) (winch.CallRecord, bool, error) {
	var rec winch.CallRecord
	var mine bool
	err := l.Commit(ctx, call.ID, func(p *Partition) error {
		old, ok := p.Calls[call.ID]
		again := ok && old.Result.Outcome == winch.NotRun
		if ok && !again {
			rec, mine = old, old.Owner == call.Owner
			if old.Digest != call.Digest {
				return ErrDuplicate
			}
			return ErrFinal
		}
		if !ok && p.size() > sizeMost {
			return ErrFull
		}
		p.Calls[call.ID] = call
		rec, mine = call, true
		return nil
	})
	if errors.Is(err, winch.ErrUncertain) {
		// The change may still be under way and write what is read here.
		return winch.CallRecord{}, false, err
	}
	if err == ErrFinal { //nolint:errorlint // It comes from the change above, unwrapped.
		err = nil
	}
	return rec, mine, err
}

// Call reads one call.
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

// End records what became of a call that Begin gave to this attempt.
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

// Judge tells a resubmission what became of a call that is recorded without an
// end: while it may still run it is unknown for now, after that for good.
func Judge(rec winch.CallRecord, now time.Time) winch.Result {
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
