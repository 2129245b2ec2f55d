package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/coord/retry"
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
