package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"plantainwinch/state/ledger"
	"plantainwinch/winch"
)

// answerUnsent answers a request that is not sent, because an earlier attempt has recorded it or because it could not
// be recorded. In the second case, if the record may have been written nevertheless, it is marked as not run.
func (p *pendingCall) answerUnsent(ctx context.Context, old, rec winch.CallRecord, err error) *Reply {
	switch {
	case errors.Is(err, ledger.ErrDuplicate):
		return replyWith(winch.Refuse(winch.DuplicateRequest, "the request id was used for a different request of the team"))
	case err != nil:
		rec.Result = winch.Refuse(winch.StoreUnavailable, "the request could not be recorded")
		if errors.Is(err, winch.ErrUncertain) {
			p.entry.background.submit(func(ctx context.Context) { p.entry.recordWithRetries(ctx, rec) })
		}
		return replyWith(winch.RefuseFor(winch.StoreUnavailable, "the request could not be recorded, so it was not sent", time.Second))
	}
	old = p.awaitCompletion(ctx, old)
	r := ledger.ResultOf(old, time.Now())
	if !r.OK() {
		return replyWith(r)
	}
	reply := &Reply{Result: winch.Result{Outcome: winch.Done}, Status: old.Status, Header: http.Header{}, Buffered: true}
	if old.Answer == nil {
		reply.Result.Reason = winch.AnswerNotKept
		reply.Result.Detail = "the request ran before; its answer was too large to keep"
		return reply
	}
	reply.Body = bytes.NewReader(old.Answer)
	return reply
}

// awaitCompletion waits for an earlier attempt that may still be running, for example when a caller lost its
// connection and sent the request again.
func (p *pendingCall) awaitCompletion(ctx context.Context, rec winch.CallRecord) winch.CallRecord {
	for rec.Finished.IsZero() && ledger.ResultOf(rec, time.Now()).RetryAfter > 0 && time.Now().Before(p.latestStart()) {
		if !sleep(ctx, statusPollInterval/4) {
			break
		}
		if current, err := p.entry.calls.Call(ctx, rec.ID); err == nil {
			rec = current
		}
	}
	return rec
}

// recordResult records the result of a non-repeatable request. A small buffered response is stored with it to answer
// a resubmission; a streamed one is not available here.
func (p *pendingCall) recordResult(rec winch.CallRecord, reply *Reply) {
	rec.Result, rec.Status = reply.Result, reply.Status
	if rec.Result.OK() {
		rec.Result.Outcome = winch.Done
	}
	if body, ok := reply.Body.(*bytes.Reader); ok && body.Len() <= maxStoredResponse {
		rec.Answer = make([]byte, body.Len())
		_, _ = body.ReadAt(rec.Answer, 0)
	}
	p.entry.background.submit(func(ctx context.Context) { p.entry.recordWithRetries(ctx, rec) })
}

// maxRecordAttempts bounds how often the entry tries to record the result of a call.
const maxRecordAttempts = 120

func (e *Entry) recordWithRetries(ctx context.Context, rec winch.CallRecord) {
	for range maxRecordAttempts {
		err := e.calls.End(ctx, rec)
		if err == nil || errors.Is(err, ledger.ErrFinal) || !sleep(ctx, watchRetryDelay) {
			return
		}
	}
}
