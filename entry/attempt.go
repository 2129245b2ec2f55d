package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/proto"
	"plantainwinch/state/ledger"
	"plantainwinch/winch"
)

// grant is a slot that was granted to a call, together with a unit of the team's limit.
type grant struct {
	id      string
	home    string
	vm      winch.VM
	started time.Time
}

// attempt sends the request once. The second result reports whether the attempt is guaranteed to have ended without a
// usable response, so that the request may be sent again.
func (p *pendingCall) attempt(ctx context.Context, g *grant) (*Reply, bool) {
	e := p.entry
	p.triedExecutors = append(p.triedExecutors, g.vm.ID)
	if !e.keyValid(p.caller.key.ID) {
		p.release(g, proto.Unused, 0)
		return replyWith(winch.Refuse(winch.KeyWithdrawn, "the key was withdrawn while the request waited")), false
	}
	if !p.caller.class.Repeatable {
		return p.attemptOnce(ctx, g), false
	}
	reply, sent := p.send(ctx, g)
	switch {
	case !sent:
		return reply, p.resendable || reply.Result.Reason == winch.ExecutorFailed && !p.resendable && p.call.Body == nil
	case reply.Result.OK() && reply.Status == http.StatusServiceUnavailable && p.resendable:
		return reply, true
	default:
		return reply, false
	}
}

// attemptOnce sends a non-repeatable request. Its record is committed first, so that no entry sends the request
// again, whatever happens afterwards.
func (p *pendingCall) attemptOnce(ctx context.Context, g *grant) *Reply {
	e := p.entry
	rec := winch.CallRecord{
		ID: ledger.ID("C", p.caller.team.Name, p.call.RequestID), Team: p.caller.team.Name, RequestID: p.call.RequestID,
		Digest: ledger.Digest(append([]byte(p.call.Service+"\x00"+p.call.Path+"\x00"), p.body...)),
		Owner:  g.id, Committed: time.Now().UTC(), MaxRun: p.maxRun,
	}
	if !p.resendable {
		p.release(g, proto.Unused, 0)
		return replyWith(winch.Refuse(winch.TooLarge, "the body of a non-repeatable request must be within the entry's ReplayBody"))
	}
	old, recorded, err := e.calls.Begin(ctx, rec)
	if err != nil || !recorded {
		p.release(g, proto.Unused, 0)
		return p.answerUnsent(ctx, old, rec, err)
	}
	reply, sent := p.send(ctx, g)
	if !sent {
		reply.Result.Outcome = winch.NotRun
	}
	p.recordResult(rec, reply)
	return reply
}

// send sends the request to the executor of a grant. The second result is false if no byte of it was sent, so that
// it cannot have run.
func (p *pendingCall) send(ctx context.Context, g *grant) (*Reply, bool) {
	e := p.entry
	g.started = time.Now()
	end := g.started.Add(p.maxRun)
	if p.deadline.Before(end) {
		end = p.deadline
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	req := winch.Request{ID: rand.Text(), Team: p.caller.team.Name, Path: p.call.Path, Header: p.call.Header, Length: p.call.Length}
	if p.resendable {
		req.Body = bytes.NewReader(p.body)
	} else {
		req.Body = p.call.Body
	}
	response, sent, err := e.Executor.Send(ctx, g.vm, req)
	if err != nil {
		defer cancel()
		return p.handleSendError(ctx, g, sent, err), sent
	}
	if response.RequestID != "" && response.RequestID != req.ID {
		cancel()
		_ = response.Body.Close()
		p.release(g, proto.Failed, p.maxRun)
		metrics.GetOrRegisterCounter("Calls.CrossedAnswers", e.Metrics).Inc(1)
		return replyWith(winch.Uncertain(winch.WrongAnswer, "the executor answered another request")), true
	}
	return p.receive(ctx, cancel, g, response), true
}

func (p *pendingCall) handleSendError(ctx context.Context, g *grant, sent bool, err error) *Reply {
	switch {
	case !sent:
		p.release(g, proto.Rejected, 0)
		return replyWith(winch.RefuseFor(winch.ExecutorFailed, "the executor could not be reached", time.Second))
	case errors.Is(err, errTooLarge):
		p.release(g, proto.Failed, p.maxRun)
		return replyWith(winch.Uncertain(winch.TooLarge, "the body turned out larger than the service takes"))
	case p.entry.drainCtx.Err() != nil:
		p.release(g, proto.Failed, p.maxRun)
		return replyWith(p.uncertainResult(winch.Stopping, "the entry stopped before the executor answered"))
	case ctx.Err() != nil:
		p.release(g, proto.Failed, p.maxRun)
		return replyWith(p.uncertainResult(winch.ExecutorTimeout, "the executor did not answer in time"))
	default:
		p.release(g, proto.Failed, p.maxRun)
		return replyWith(p.uncertainResult(winch.ExecutorFailed, "the executor broke the connection"))
	}
}

// uncertainResult returns the result of a request that may still be running. The caller may send a repeatable one again
// only once it is guaranteed to have ended; before that, it could run at two executors at once.
func (p *pendingCall) uncertainResult(reason winch.Reason, detail string) winch.Result {
	r := winch.Uncertain(reason, detail)
	if p.caller.class.Repeatable {
		r.RetryAfter = p.maxRun
	}
	return r
}

// receive returns the executor's response. A small one is read to its end first, so that a broken connection is
// reported as an outcome. A large one is streamed: a broken connection ends the connection to the caller too, so
// that the caller does not take a truncated response for a complete one.
func (p *pendingCall) receive(ctx context.Context, cancel context.CancelFunc, g *grant, response *winch.Response) *Reply {
	limit := int64(p.entry.Settings.Limits.HoldAnswer)
	head, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		timeout := ctx.Err() != nil
		cancel()
		_ = response.Body.Close()
		p.release(g, proto.Failed, p.maxRun)
		if timeout {
			return replyWith(p.uncertainResult(winch.ExecutorTimeout, "the executor did not finish its answer in time"))
		}
		return replyWith(p.uncertainResult(winch.AnswerCut, "the executor's answer broke off"))
	}
	reply := &Reply{Status: response.Status, Header: response.Header}
	if int64(len(head)) <= limit {
		cancel()
		_ = response.Body.Close()
		p.release(g, verdict(response.Status), 0)
		reply.Body, reply.Buffered = bytes.NewReader(head), true
		return reply
	}
	reply.Body = io.MultiReader(bytes.NewReader(head), response.Body)
	reply.finish = func(complete bool) {
		cancel()
		_ = response.Body.Close()
		if complete {
			p.release(g, verdict(response.Status), 0)
			return
		}
		p.release(g, proto.Failed, p.maxRun)
	}
	return reply
}

func verdict(status int) proto.Verdict {
	switch {
	case status == http.StatusServiceUnavailable:
		return proto.Rejected
	case status >= http.StatusInternalServerError:
		return proto.Failed
	default:
		return proto.Answered
	}
}

// release returns the slot and the unit: at once if maxRun is zero because the work is guaranteed to have ended,
// otherwise once maxRun has passed since the work started.
func (p *pendingCall) release(g *grant, v proto.Verdict, maxRun time.Duration) {
	e := p.entry
	took := time.Since(g.started)
	after := max(0, maxRun-took)
	if g.started.IsZero() {
		took, after = 0, 0
	}
	e.returnSlot(g, proto.SlotRelease{Grant: g.id, Verdict: v, After: after, Took: took})
	team := p.caller.team.Name
	if after == 0 {
		e.units.Release(team)
		return
	}
	time.AfterFunc(after, func() { e.units.Release(team) })
}
