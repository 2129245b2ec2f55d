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
	// attemptsMost bounds how often one repeatable request is sent.
	attemptsMost = 3
	// answerKept is the largest answer to a non-repeatable request that the
	// ledger keeps for a resubmission.
	answerKept = 4 << 10
	// defaultMaxRun stands in where a class has no longest run time.
	defaultMaxRun = time.Minute
)

// Call is a caller's request to a service.
type Call struct {
	Key       string
	Service   string
	Class     string
	RequestID string
	// Deadline is when the caller wants no answer any more; zero for the class's own.
	Deadline time.Time
	Path     string
	Header   http.Header
	Body     io.Reader
	Length   int64 // Length is -1 if it is not known.
}

// Reply is the answer to a Call. With an answer, the caller of Call must read
// Body to its end and then call Finish.
type Reply struct {
	Result winch.Result
	Status int
	Header http.Header
	Body   io.Reader
	// Held says that Body is complete in memory, so that it cannot break off.
	Held   bool
	finish func(whole bool)
}

// Finish ends the use of the answer. Whole says that the body was read to its
// end; if not, the executor may still be running the request.
func (r *Reply) Finish(whole bool) {
	if r.finish != nil {
		r.finish(whole)
		r.finish = nil
	}
}

// flight is one call on its way.
type flight struct {
	entry    *Entry
	call     Call
	who      caller
	deadline time.Time
	maxRun   time.Duration
	// body is the request's body if it is small enough to be sent again.
	body   []byte
	replay bool
	tried  []string
}

// Call serves a caller's request.
func (e *Entry) Call(ctx context.Context, call Call) *Reply {
	e.running.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(e.drained, cancel)
	reply := e.serveCall(ctx, call)
	e.countCall(reply.Result)
	finish := reply.finish
	reply.finish = func(whole bool) {
		if finish != nil {
			finish(whole)
		}
		release()
		cancel()
		e.running.Add(-1)
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

func refused(r winch.Result) *Reply { return &Reply{Result: r} }

func (e *Entry) serveCall(ctx context.Context, call Call) *Reply {
	who, r := e.admit(call.Key, call.Class)
	if !r.OK() {
		return refused(r)
	}
	service, r := e.approved(call.Service, who.team)
	if !r.OK() {
		return refused(r)
	}
	f := &flight{entry: e, call: call, who: who}
	if r := f.check(service); !r.OK() {
		return refused(r)
	}
	if r := f.keepBody(); !r.OK() {
		return refused(r)
	}
	if r := e.units.RecordRunTime(ctx, f.maxRun); !r.OK() {
		return refused(r)
	}
	if r := e.units.Take(ctx, who.team.Name, time.Until(f.startBy())); !r.OK() {
		return refused(r)
	}
	return f.run(ctx)
}

// check validates the request and sets its times.
func (f *flight) check(service winch.Service) winch.Result {
	c := f.who.class
	if !c.Repeatable && f.call.RequestID == "" {
		return winch.Refuse(winch.BadRequest, "class "+c.Name+" is not repeatable: name the request in the header Winch-Request-Id, so that a resubmission can be told from a new request")
	}
	if service.MaxBody > 0 && f.call.Length > int64(service.MaxBody) {
		return winch.Refuse(winch.TooLarge, "the body is larger than the service takes")
	}
	if service.MaxBody > 0 && f.call.Body != nil {
		f.call.Body = &limitReader{r: f.call.Body, left: int64(service.MaxBody)}
	}
	f.maxRun = c.MaxRun
	if f.maxRun == 0 {
		f.maxRun = defaultMaxRun
	}
	f.deadline = f.call.Deadline
	if f.deadline.IsZero() {
		f.deadline = time.Now().Add(c.Wait + f.maxRun)
	}
	if !f.deadline.After(time.Now()) {
		return winch.Refuse(winch.DeadlinePassed, "the deadline in the header Winch-Deadline has passed")
	}
	return winch.Result{}
}

// startBy is until when the request may wait: its class's target or its own deadline.
func (f *flight) startBy() time.Time {
	if wait := f.who.class.Wait; wait > 0 && f.call.Deadline.IsZero() {
		return f.deadline.Add(-f.maxRun)
	}
	return f.deadline
}

// keepBody reads a small body, so that it can be sent again and is known to be
// whole before any executor sees it.
func (f *flight) keepBody() winch.Result {
	limit := int64(f.entry.Settings.Limits.ReplayBody)
	if f.call.Body == nil {
		f.replay = true
		return winch.Result{}
	}
	head, err := io.ReadAll(io.LimitReader(f.call.Body, limit+1))
	if err != nil {
		return bodyResult(err)
	}
	if int64(len(head)) <= limit {
		f.body, f.replay = head, true
		f.call.Length = int64(len(head))
		return winch.Result{}
	}
	f.call.Body = io.MultiReader(bytes.NewReader(head), f.call.Body)
	return winch.Result{}
}

func bodyResult(err error) winch.Result {
	if errors.Is(err, errTooLarge) {
		return winch.Refuse(winch.TooLarge, "the body is larger than the service takes")
	}
	return winch.Refuse(winch.CallerGone, "the body broke off")
}

// run sends the request until there is an answer or nothing more may be tried.
// It holds a unit of the team's limit, which it gives back when the work has
// surely ended.
func (f *flight) run(ctx context.Context) *Reply {
	e := f.entry
	budget := retry.Key{Team: f.who.team.Name, Class: f.who.class.Name}
	e.budgets.Earn(budget)
	for {
		g, r := e.seekSlot(ctx, f)
		if !r.OK() {
			e.units.Release(f.who.team.Name)
			return refused(r)
		}
		reply, again := f.attempt(ctx, g)
		if !again || len(f.tried) >= attemptsMost || !e.budgets.Spend(budget) {
			return reply
		}
		reply.Finish(true) // The answer was an error and ended whole.
		metrics.GetOrRegisterCounter("Calls.Retries", e.Metrics).Inc(1)
		if r := e.units.Take(ctx, f.who.team.Name, time.Until(f.startBy())); !r.OK() {
			return refused(r)
		}
	}
}

// grant is a slot that was granted to a call, and its unit.
type grant struct {
	id    string
	home  string
	vm    winch.VM
	began time.Time
}

// attempt sends the request once. The second result says that it surely ended
// without a useful answer and may be sent again.
func (f *flight) attempt(ctx context.Context, g *grant) (*Reply, bool) {
	e := f.entry
	f.tried = append(f.tried, g.vm.ID)
	if !e.valid(f.who.key.ID) {
		f.release(g, proto.Unused, 0)
		return refused(winch.Refuse(winch.KeyWithdrawn, "the key was withdrawn while the request waited")), false
	}
	if !f.who.class.Repeatable {
		return f.attemptOnce(ctx, g), false
	}
	reply, left := f.send(ctx, g)
	switch {
	case !left:
		return reply, f.replay || reply.Result.Reason == winch.ExecutorFailed && !f.replay && f.call.Body == nil
	case reply.Result.OK() && reply.Status == http.StatusServiceUnavailable && f.replay:
		return reply, true
	default:
		return reply, false
	}
}

// attemptOnce sends a non-repeatable request: its record is committed first, so
// that no entry sends it again whatever happens after.
func (f *flight) attemptOnce(ctx context.Context, g *grant) *Reply {
	e := f.entry
	rec := winch.CallRecord{
		ID: ledger.ID("C", f.who.team.Name, f.call.RequestID), Team: f.who.team.Name, RequestID: f.call.RequestID,
		Digest: ledger.Digest(append([]byte(f.call.Service+"\x00"+f.call.Path+"\x00"), f.body...)),
		Owner:  g.id, Committed: time.Now().UTC(), MaxRun: f.maxRun,
	}
	if !f.replay {
		f.release(g, proto.Unused, 0)
		return refused(winch.Refuse(winch.TooLarge, "the body of a non-repeatable request must be within the entry's ReplayBody"))
	}
	old, mine, err := e.calls.Begin(ctx, rec)
	if err != nil || !mine {
		f.release(g, proto.Unused, 0)
		return f.notMine(ctx, old, rec, err)
	}
	reply, left := f.send(ctx, g)
	if !left {
		reply.Result.Outcome = winch.NotRun
	}
	f.recordEnd(rec, reply)
	return reply
}

// notMine answers a request that another attempt has recorded, or that could
// not be recorded. In the last case this attempt has sent nothing and never
// will; its record, if it came to be, is marked so.
func (f *flight) notMine(ctx context.Context, old, rec winch.CallRecord, err error) *Reply {
	switch {
	case errors.Is(err, ledger.ErrDuplicate):
		return refused(winch.Refuse(winch.DuplicateRequest, "the request id was used for a different request of the team"))
	case err != nil:
		rec.Result = winch.Refuse(winch.StoreUnavailable, "the request could not be recorded")
		if errors.Is(err, winch.ErrUncertain) {
			f.entry.background.do(func(ctx context.Context) { f.entry.recordUntil(ctx, rec) })
		}
		return refused(winch.RefuseFor(winch.StoreUnavailable, "the request could not be recorded, so it was not sent", time.Second))
	}
	old = f.awaitEnd(ctx, old)
	r := ledger.Judge(old, time.Now())
	if !r.OK() {
		return refused(r)
	}
	reply := &Reply{Result: winch.Result{Outcome: winch.Done}, Status: old.Status, Header: http.Header{}, Held: true}
	if old.Answer == nil {
		reply.Result.Reason = winch.AnswerNotKept
		reply.Result.Detail = "the request ran before; its answer was too large to keep"
		return reply
	}
	reply.Body = bytes.NewReader(old.Answer)
	return reply
}

// awaitEnd waits for the end of an earlier attempt that may still be running,
// as when a caller lost its connection and asks again.
func (f *flight) awaitEnd(ctx context.Context, rec winch.CallRecord) winch.CallRecord {
	for rec.Finished.IsZero() && ledger.Judge(rec, time.Now()).RetryAfter > 0 && time.Now().Before(f.startBy()) {
		if !wait(ctx, statusPoll/4) {
			break
		}
		if now, err := f.entry.calls.Call(ctx, rec.ID); err == nil {
			rec = now
		}
	}
	return rec
}

// recordEnd writes what became of a non-repeatable request. A held answer is
// kept for a resubmission; that of a streamed one is not known here.
func (f *flight) recordEnd(rec winch.CallRecord, reply *Reply) {
	rec.Result, rec.Status = reply.Result, reply.Status
	if rec.Result.OK() {
		rec.Result.Outcome = winch.Done
	}
	if held, ok := reply.Body.(*bytes.Reader); ok && held.Len() <= answerKept {
		rec.Answer = make([]byte, held.Len())
		_, _ = held.ReadAt(rec.Answer, 0)
	}
	f.entry.background.do(func(ctx context.Context) { f.entry.recordUntil(ctx, rec) })
}

// recordTries bounds how often the end of a call is written.
const recordTries = 120

func (e *Entry) recordUntil(ctx context.Context, rec winch.CallRecord) {
	for range recordTries {
		err := e.calls.End(ctx, rec)
		if err == nil || errors.Is(err, ledger.ErrFinal) || !wait(ctx, watchRetry) {
			return
		}
	}
}

// send sends the request to the executor of a grant. The second result is false
// if no byte of it left, so that it surely did not run.
func (f *flight) send(ctx context.Context, g *grant) (*Reply, bool) {
	e := f.entry
	g.began = time.Now()
	end := g.began.Add(f.maxRun)
	if f.deadline.Before(end) {
		end = f.deadline
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	req := winch.Request{ID: rand.Text(), Team: f.who.team.Name, Path: f.call.Path, Header: f.call.Header, Length: f.call.Length}
	if f.replay {
		req.Body = bytes.NewReader(f.body)
	} else {
		req.Body = f.call.Body
	}
	answer, left, err := e.Executor.Send(ctx, g.vm, req)
	if err != nil {
		defer cancel()
		return f.sendFailed(ctx, g, left, err), left
	}
	if echo := answer.Header.Get(exec.RequestIDHeader); echo != "" && echo != req.ID {
		cancel()
		_ = answer.Body.Close()
		f.release(g, proto.Failed, f.maxRun)
		metrics.GetOrRegisterCounter("Calls.CrossedAnswers", e.Metrics).Inc(1)
		return refused(winch.Uncertain(winch.WrongAnswer, "the executor answered another request")), true
	}
	return f.receive(ctx, cancel, g, answer), true
}

func (f *flight) sendFailed(ctx context.Context, g *grant, left bool, err error) *Reply {
	switch {
	case !left:
		f.release(g, proto.Rejected, 0)
		return refused(winch.RefuseFor(winch.ExecutorFailed, "the executor could not be reached", time.Second))
	case errors.Is(err, errTooLarge):
		f.release(g, proto.Failed, f.maxRun)
		return refused(winch.Uncertain(winch.TooLarge, "the body turned out larger than the service takes"))
	case f.entry.drained.Err() != nil:
		f.release(g, proto.Failed, f.maxRun)
		return refused(f.mayRun(winch.Stopping, "the entry stopped before the executor answered"))
	case ctx.Err() != nil:
		f.release(g, proto.Failed, f.maxRun)
		return refused(f.mayRun(winch.ExecutorTimeout, "the executor did not answer in time"))
	default:
		f.release(g, proto.Failed, f.maxRun)
		return refused(f.mayRun(winch.ExecutorFailed, "the executor broke the connection"))
	}
}

// mayRun is the result of a request that may still be running. A repeatable one
// may be asked again once it has surely ended, and not before, since it would
// run in two places.
func (f *flight) mayRun(reason winch.Reason, detail string) winch.Result {
	r := winch.Uncertain(reason, detail)
	if f.who.class.Repeatable {
		r.RetryAfter = f.maxRun
	}
	return r
}

// receive takes the answer. A small one is read whole first, so that a break is
// told as an outcome; a large one is streamed, and a break ends the connection
// to the caller, so that it cannot be taken for whole.
func (f *flight) receive(ctx context.Context, cancel context.CancelFunc, g *grant, answer *winch.Response) *Reply {
	limit := int64(f.entry.Settings.Limits.HoldAnswer)
	head, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		timeout := ctx.Err() != nil
		cancel()
		_ = answer.Body.Close()
		f.release(g, proto.Failed, f.maxRun)
		if timeout {
			return refused(f.mayRun(winch.ExecutorTimeout, "the executor did not finish its answer in time"))
		}
		return refused(f.mayRun(winch.AnswerCut, "the executor's answer broke off"))
	}
	reply := &Reply{Status: answer.Status, Header: answer.Header}
	if int64(len(head)) <= limit {
		cancel()
		_ = answer.Body.Close()
		f.release(g, verdict(answer.Status), 0)
		reply.Body, reply.Held = bytes.NewReader(head), true
		return reply
	}
	reply.Body = io.MultiReader(bytes.NewReader(head), answer.Body)
	reply.finish = func(whole bool) {
		cancel()
		_ = answer.Body.Close()
		if whole {
			f.release(g, verdict(answer.Status), 0)
			return
		}
		f.release(g, proto.Failed, f.maxRun)
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

// release gives back the slot and the unit: now if the work has surely ended,
// or once its longest run time has passed since it began.
func (f *flight) release(g *grant, v proto.Verdict, maxRun time.Duration) {
	e := f.entry
	took := time.Since(g.began)
	after := max(0, maxRun-took)
	if g.began.IsZero() {
		took, after = 0, 0
	}
	e.giveBack(g, proto.SlotRelease{Grant: g.id, Verdict: v, After: after, Took: took})
	team := f.who.team.Name
	if after == 0 {
		e.units.Release(team)
		return
	}
	time.AfterFunc(after, func() { e.units.Release(team) })
}

var errTooLarge = errors.New("body too large")

// limitReader fails once more than left bytes were read, where io.LimitReader
// would end as if the body were whole.
type limitReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}
