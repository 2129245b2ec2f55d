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

	"plantainwinch/coord/retry"
	"plantainwinch/proto"
	"plantainwinch/state/ledger"
	"plantainwinch/trans/exec"
	"plantainwinch/winch"
)

const (
	// maxAttempts bounds how often one repeatable request is sent.
	maxAttempts = 3
	// maxStoredResponse is the size of the largest response to a non-repeatable request that the ledger stores
	// to answer a resubmission.
	maxStoredResponse = 4 << 10
	// defaultMaxRunTime applies to classes that set no maximum run time.
	defaultMaxRunTime = time.Minute
)

// Call is a caller's request to a service.
type Call struct {
	Key       string
	Service   string
	Class     string
	RequestID string
	// Deadline is when the caller stops waiting for a response; if it is zero, the class sets the deadline.
	Deadline time.Time
	Path     string
	Header   http.Header
	Body     io.Reader
	Length   int64 // Length is the size of Body in bytes, or -1 if it is unknown.
}

// Reply is the outcome of a Call. The caller of Call must read Body, if there is one, to its end and then call Finish.
type Reply struct {
	Result winch.Result
	Status int
	Header http.Header
	Body   io.Reader
	// Buffered says that Body is complete in memory, so that reading it cannot fail.
	Buffered bool
	finish   func(complete bool)
}

// Finish releases what the reply holds. The argument says whether the body was read to its end; if not, the
// executor may still be running the request.
func (r *Reply) Finish(complete bool) {
	if r.finish != nil {
		r.finish(complete)
		r.finish = nil
	}
}

// pendingCall is one call that has not been answered yet.
type pendingCall struct {
	entry    *Entry
	call     Call
	caller   caller
	deadline time.Time
	maxRun   time.Duration
	// body is the request's body if it is small enough to be buffered. resendable reports whether the request can be
	// sent again, because its body is buffered or it has none.
	body           []byte
	resendable     bool
	triedExecutors []string
}

// Call serves a caller's request: it admits the call, acquires a slot and sends the request to an executor.
func (e *Entry) Call(ctx context.Context, call Call) *Reply {
	e.inProgress.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(e.drainCtx, cancel)
	reply := e.serveCall(ctx, call)
	e.countCall(reply.Result)
	finish := reply.finish
	reply.finish = func(complete bool) {
		if finish != nil {
			finish(complete)
		}
		release()
		cancel()
		e.inProgress.Add(-1)
	}
	return reply
}

func (e *Entry) countCall(r winch.Result) {
	name := string(r.Outcome)
	if r.OK() {
		name = string(winch.Done)
	}
	metrics.GetOrRegisterCounter("Calls."+name, e.Metrics).Inc(1)
	if r.Reason != "" {
		metrics.GetOrRegisterCounter("Calls.Reason."+string(r.Reason), e.Metrics).Inc(1)
	}
}

// replyWith returns a reply that has a result and no response.
func replyWith(r winch.Result) *Reply { return &Reply{Result: r} }

func (e *Entry) serveCall(ctx context.Context, call Call) *Reply {
	who, r := e.admit(call.Key, call.Class)
	if !r.OK() {
		return replyWith(r)
	}
	service, r := e.approved(call.Service, who.team)
	if !r.OK() {
		return replyWith(r)
	}
	p := &pendingCall{entry: e, call: call, caller: who}
	if r := p.check(service); !r.OK() {
		return replyWith(r)
	}
	if r := p.bufferBody(); !r.OK() {
		return replyWith(r)
	}
	if r := e.units.RecordRunTime(ctx, p.maxRun); !r.OK() {
		return replyWith(r)
	}
	if r := e.units.Take(ctx, who.team.Name, time.Until(p.latestStart())); !r.OK() {
		return replyWith(r)
	}
	return p.execute(ctx)
}

// check validates the request and sets its deadline and maximum run time.
func (p *pendingCall) check(service winch.Service) winch.Result {
	c := p.caller.class
	if !c.Repeatable && p.call.RequestID == "" {
		return winch.Refuse(winch.BadRequest, "class "+c.Name+" is not repeatable: name the request in the header Winch-Request-Id, so that a resubmission can be told from a new request")
	}
	if service.MaxBody > 0 && p.call.Length > int64(service.MaxBody) {
		return winch.Refuse(winch.TooLarge, "the body is larger than the service takes")
	}
	if service.MaxBody > 0 && p.call.Body != nil {
		p.call.Body = &limitReader{r: p.call.Body, remaining: int64(service.MaxBody)}
	}
	p.maxRun = c.MaxRun
	if p.maxRun == 0 {
		p.maxRun = defaultMaxRunTime
	}
	p.deadline = p.call.Deadline
	if p.deadline.IsZero() {
		p.deadline = time.Now().Add(c.Wait + p.maxRun)
	}
	if !p.deadline.After(time.Now()) {
		return winch.Refuse(winch.DeadlinePassed, "the deadline in the header Winch-Deadline has passed")
	}
	return winch.Result{}
}

// latestStart returns until when the request may wait for a slot: the class's target, or the request's own deadline.
func (p *pendingCall) latestStart() time.Time {
	if wait := p.caller.class.Wait; wait > 0 && p.call.Deadline.IsZero() {
		return p.deadline.Add(-p.maxRun)
	}
	return p.deadline
}

// bufferBody reads a small body into memory, so that it can be sent again and is known to be complete before any
// executor receives it.
func (p *pendingCall) bufferBody() winch.Result {
	limit := int64(p.entry.Settings.Limits.ReplayBody)
	if p.call.Body == nil {
		p.resendable = true
		return winch.Result{}
	}
	head, err := io.ReadAll(io.LimitReader(p.call.Body, limit+1))
	if err != nil {
		return bodyResult(err)
	}
	if int64(len(head)) <= limit {
		p.body, p.resendable = head, true
		p.call.Length = int64(len(head))
		return winch.Result{}
	}
	p.call.Body = io.MultiReader(bytes.NewReader(head), p.call.Body)
	return winch.Result{}
}

func bodyResult(err error) winch.Result {
	if errors.Is(err, errTooLarge) {
		return winch.Refuse(winch.TooLarge, "the body is larger than the service takes")
	}
	return winch.Refuse(winch.CallerGone, "the body broke off")
}

// execute sends the request until it gets a response or no further attempt is allowed. Each attempt uses a unit of the
// team's limit, which is returned once the attempt's work is guaranteed to have ended.
func (p *pendingCall) execute(ctx context.Context) *Reply {
	e := p.entry
	budget := retry.Key{Team: p.caller.team.Name, Class: p.caller.class.Name}
	e.budgets.Earn(budget)
	for {
		g, r := e.acquireSlot(ctx, p)
		if !r.OK() {
			e.units.Release(p.caller.team.Name)
			return replyWith(r)
		}
		reply, retryable := p.attempt(ctx, g)
		if !retryable || len(p.triedExecutors) >= maxAttempts || !e.budgets.Spend(budget) {
			return reply
		}
		reply.Finish(true) // The response was an error and is complete.
		metrics.GetOrRegisterCounter("Calls.Retries", e.Metrics).Inc(1)
		if r := e.units.Take(ctx, p.caller.team.Name, time.Until(p.latestStart())); !r.OK() {
			return replyWith(r)
		}
	}
}

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
	if echo := response.Header.Get(exec.RequestIDHeader); echo != "" && echo != req.ID {
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

var errTooLarge = errors.New("request body is larger than the service accepts")

// limitReader fails once more than the remaining bytes were read, where io.LimitReader would end as if the body
// were complete.
type limitReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errTooLarge
	}
	return n, err
}
