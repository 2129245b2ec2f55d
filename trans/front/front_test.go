package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/entry"
	"plantainwinch/winch"
)

// fakeBackend is a fake entry that records the last call and submission.
type fakeBackend struct {
	call       entry.Call
	body       string
	submission entry.Submission
	// reply returns the response to a call with the given body.
	reply    func(body string) *entry.Reply
	notReady bool
}

func (b *fakeBackend) Call(_ context.Context, call entry.Call) *entry.Reply {
	data, _ := io.ReadAll(call.Body)
	b.call, b.body = call, string(data)
	return b.reply(b.body)
}

func (b *fakeBackend) Submit(_ context.Context, s entry.Submission) (winch.Job, winch.Result) {
	b.submission = s
	return winch.Job{ID: "J1", State: winch.JobQueued}, winch.Result{}
}

func (b *fakeBackend) Job(_ context.Context, _, id string, wait time.Duration) (entry.JobView, winch.Result) {
	return entry.JobView{Job: winch.Job{ID: id}, Why: wait.String()}, winch.Result{}
}

func (b *fakeBackend) CancelJob(context.Context, string, string) (entry.JobView, winch.Result) {
	return entry.JobView{}, winch.Uncertain(winch.StoreUnavailable, "may be recorded")
}

func (b *fakeBackend) ListJobs(context.Context, string) ([]winch.Job, winch.Result) {
	return nil, winch.RefuseFor(winch.StoreUnavailable, "down", 1500*time.Millisecond)
}

func (b *fakeBackend) Ready() bool { return !b.notReady }

func startServer(t *testing.T, b *fakeBackend) string {
	t.Helper()
	s := httptest.NewServer(Callers(b, metrics.NewRegistry()))
	t.Cleanup(s.Close)
	return s.URL
}

func doRequest(t *testing.T, method, url, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func executorResponse(buffered bool, body io.Reader) *entry.Reply {
	return &entry.Reply{Status: http.StatusTeapot, Header: http.Header{"X-From": {"executor"}, "Connection": {"close"}}, Body: body, Buffered: buffered}
}

// Guards against a call losing its body, path, headers, status or deadline on the way
// to or from the executor, and against the interface's own headers being forwarded.
func TestCallIsForwarded(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{reply: func(body string) *entry.Reply { return executorResponse(true, strings.NewReader("re "+body)) }}
	url := startServer(t, b)
	resp, body, err := doRequest(t, http.MethodPost, url+"/Call/render/a/b", "part", "Authorization", "Bearer K1.x",
		ClassHeader, "preview", RequestIDHeader, "r1", DeadlineHeader, "5s", "X-Mine", "yes")
	is.NoErr(err)
	is.Equal(body, "re part")
	is.Equal(resp.StatusCode, http.StatusTeapot)
	is.Equal(resp.Header.Get(OutcomeHeader), "Done")
	is.Equal(resp.Header.Get("X-From"), "executor")
	is.Equal(b.call.Service, "render")
	is.Equal(b.call.Path, "/a/b")
	is.Equal(b.call.Key, "K1.x")
	is.Equal(b.call.Header.Get("X-Mine"), "yes")
	is.Equal(b.call.Header.Get("Authorization"), "")
	is.True(time.Until(b.call.Deadline) > 4*time.Second)
}

// brokenReader fails at the first read.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

// Guards against a truncated streamed response being taken for a complete one: only a
// complete one has the trailer, and one that breaks off aborts the connection.
func TestStreamedResponseConfirmsItsEnd(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("a", 1<<20)
	b := &fakeBackend{reply: func(body string) *entry.Reply {
		if body == "cut" {
			return executorResponse(false, io.MultiReader(strings.NewReader(long), brokenReader{}))
		}
		return executorResponse(false, strings.NewReader(long))
	}}
	url := startServer(t, b)
	resp, body, err := doRequest(t, http.MethodPost, url+"/Call/render", "whole")
	is.NoErr(err)
	is.Equal(body, long)
	is.Equal(resp.Trailer.Get(OutcomeHeader), "Done")
	resp, _, err = doRequest(t, http.MethodPost, url+"/Call/render", "cut")
	is.True(err != nil)
	is.Equal(resp.Trailer.Get(OutcomeHeader), "")
}

// Guards against a result being sent with the wrong status, reason or retry delay.
func TestResultStatusAndReason(t *testing.T) {
	for _, c := range []struct {
		result winch.Result
		status int
	}{
		{winch.Refuse(winch.UnknownKey, "x"), 401},
		{winch.Refuse(winch.NotApproved, "x"), 403},
		{winch.Refuse(winch.UnknownService, "x"), 404},
		{winch.Refuse(winch.DuplicateRequest, "x"), 409},
		{winch.Refuse(winch.TooLarge, "x"), 413},
		{winch.RefuseFor(winch.OverLimit, "x", time.Second), 429},
		{winch.RefuseFor(winch.QueueFull, "x", 1500*time.Millisecond), 503},
		{winch.Uncertain(winch.ExecutorFailed, "x"), 502},
		{winch.Uncertain(winch.ExecutorTimeout, "x"), 504},
		{winch.Result{Outcome: winch.Done, Reason: winch.AnswerNotKept}, 410},
	} {
		is := is.New(t)
		url := startServer(t, &fakeBackend{reply: func(string) *entry.Reply { return &entry.Reply{Result: c.result} }})
		resp, text, err := doRequest(t, http.MethodPost, url+"/Call/render", "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, c.status)
		var body ErrorBody
		is.NoErr(json.Unmarshal([]byte(text), &body))
		is.Equal(body.Outcome, c.result.Outcome)
		is.Equal(body.Reason, c.result.Reason)
		is.Equal(resp.Header.Get("Retry-After") != "", c.result.RetryAfter > 0)
		if c.result.RetryAfter == 1500*time.Millisecond {
			is.Equal(resp.Header.Get("Retry-After"), "2") // rounded up, never early
		}
	}
}

// Guards against malformed bodies and headers being accepted, or refused without
// saying what is wrong.
func TestMalformedRequestsAreRefused(t *testing.T) {
	b := &fakeBackend{reply: func(string) *entry.Reply { t.Error("a bad request reached the entry"); return &entry.Reply{} }}
	url := startServer(t, b)
	good := `{"RequestId":"j","Class":"mix","Kind":"Batch","Tasks":1,"Need":{"Processors":1,"Memory":"1GB"},"RunTime":"90s"}`
	for _, c := range []struct {
		method, path, body, want string
		status                   int
		header                   []string
	}{
		{"POST", "/Jobs", "", "it is empty", 400, nil},
		{"POST", "/Jobs", "{", "unexpected EOF", 400, nil},
		{"POST", "/Jobs", good + "{}", "there is more", 400, nil},
		{"POST", "/Jobs", strings.Replace(good, "Tasks", "Task", 1), `unknown field \"Task\"`, 400, nil},
		{"POST", "/Jobs", strings.Replace(good, "1GB", "1", 1), "Need.Memory", 400, nil},
		{"POST", "/Jobs", strings.Replace(good, "90s", "90", 1), "RunTime is no duration", 400, nil},
		{"POST", "/Jobs", `{"Command":"` + strings.Repeat("x", 2<<20) + `"}`, "too large", 413, nil},
		{"GET", "/Jobs/J1?Wait=soon", "", "Wait is no duration", 400, nil},
		{"POST", "/Call/render", "x", "neither a duration", 400, []string{DeadlineHeader, "soon"}},
		{"GET", "/Nothing", "", "nothing is served", 404, nil},
	} {
		is := is.New(t)
		resp, body, err := doRequest(t, c.method, url+c.path, c.body, c.header...)
		is.NoErr(err)
		is.Equal(resp.StatusCode, c.status) // status
		if !strings.Contains(body, c.want) {
			t.Errorf("%s %s: got %s, want %s", c.method, c.path, body, c.want)
		}
	}
	is := is.New(t)
	resp, _, err := doRequest(t, http.MethodPost, url+"/Jobs", good)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusAccepted)
	is.Equal(b.submission.Spec.Need.Memory, winch.Bytes(1<<30))
	is.Equal(b.submission.Spec.RunTime, 90*time.Second)
	_, body, _ := doRequest(t, http.MethodGet, url+"/Jobs/J1?Wait=2m", "")
	is.True(strings.Contains(body, `"Why":"1m0s"`)) // the wait is bounded
	resp, _, _ = doRequest(t, http.MethodDelete, url+"/Jobs/J1", "")
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	b.notReady = true
	resp, _, _ = doRequest(t, http.MethodGet, url+"/Ready", "")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
}
