package front

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/entry"
	"plantainwinch/winch"
)

// CallerBackend is the part of an entry that serves the callers' interface.
type CallerBackend interface {
	Call(ctx context.Context, call entry.Call) *entry.Reply
	Submit(ctx context.Context, s entry.Submission) (winch.Job, winch.Result)
	Job(ctx context.Context, key, id string, wait time.Duration) (entry.JobView, winch.Result)
	CancelJob(ctx context.Context, key, id string) (entry.JobView, winch.Result)
	ListJobs(ctx context.Context, key string) ([]winch.Job, winch.Result)
	Ready() bool
}

// Callers returns the HTTP handler of the callers' interface.
func Callers(backend CallerBackend, reg metrics.Registry) http.Handler {
	c := &callers{backend: backend}
	r := httprouter.New()
	r.POST("/Call/:Service", c.call)
	r.POST("/Call/:Service/*Path", c.call)
	r.POST("/Jobs", c.submit)
	r.GET("/Jobs", c.list)
	r.GET("/Jobs/:ID", c.job)
	r.DELETE("/Jobs/:ID", c.cancel)
	addCommonRoutes(r, backend, reg)
	return closeWhen(func() bool { return !backend.Ready() }, r)
}

// closeWhen asks callers to open a new connection for their next request once the entry is about to stop. Otherwise, a
// request that is being sent on a connection when the planned stop closes it would be interrupted.
func closeWhen(stops func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if stops() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// addCommonRoutes adds the routes that the callers' and the operators' interfaces
// share.
func addCommonRoutes(r *httprouter.Router, backend interface{ Ready() bool }, reg metrics.Registry) {
	r.GET("/Ready", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !backend.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	r.GET("/Metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(reg, w)
	})
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		writeJSON(w, http.StatusNotFound, ErrorBody{
			Outcome: winch.NotRun, Reason: winch.BadRequest, Detail: "nothing is served at " + req.Method + " " + req.URL.Path,
		})
	})
}

type callers struct {
	backend CallerBackend
}

func bearerToken(req *http.Request) string {
	key, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	return key
}

// notForwarded lists the headers that belong to the callers' interface or to the
// connection, and are not forwarded between callers and executors.
var notForwarded = map[string]bool{
	"Authorization": true, ClassHeader: true, DeadlineHeader: true, RequestIDHeader: true,
	"Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Expect": true, "Content-Length": true,
}

func forwardedHeaders(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if !notForwarded[name] {
			out[name] = values
		}
	}
	return out
}

// parseDeadline parses the deadline header, which holds a time or a duration from now.
func parseDeadline(req *http.Request) (time.Time, winch.Result) {
	text := req.Header.Get(DeadlineHeader)
	if text == "" {
		return time.Time{}, winch.Result{}
	}
	if d, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(d), winch.Result{}
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, winch.Refuse(winch.BadRequest, DeadlineHeader+" is neither a duration such as 5s nor a time such as 2006-01-02T15:04:05Z")
	}
	return at, winch.Result{}
}

func (c *callers) call(w http.ResponseWriter, req *http.Request, ps httprouter.Params) {
	at, r := parseDeadline(req)
	if !r.OK() {
		writeResult(w, r)
		return
	}
	reply := c.backend.Call(req.Context(), entry.Call{
		Key: bearerToken(req), Service: ps.ByName("Service"), Class: req.Header.Get(ClassHeader),
		RequestID: req.Header.Get(RequestIDHeader), Deadline: at, Path: ps.ByName("Path"),
		Header: forwardedHeaders(req.Header), Body: req.Body, Length: req.ContentLength,
	})
	writeReply(w, reply)
}

// writeReply forwards a response to the caller. A streamed response confirms in a
// trailer that it is complete. If it breaks off, the connection to the caller is
// aborted; otherwise the caller could take a truncated response for a complete one.
func writeReply(w http.ResponseWriter, reply *entry.Reply) {
	complete := false
	defer func() { reply.Finish(complete) }()
	if !reply.Result.OK() || reply.Body == nil {
		writeResult(w, reply.Result)
		return
	}
	h := w.Header()
	for name, values := range forwardedHeaders(reply.Header) {
		h[name] = values
	}
	if reply.Buffered {
		h.Set(OutcomeHeader, string(winch.Done))
	} else {
		h.Set("Trailer", OutcomeHeader)
	}
	w.WriteHeader(reply.Status)
	if _, err := io.Copy(w, reply.Body); err != nil {
		if !reply.Buffered {
			panic(http.ErrAbortHandler)
		}
		return
	}
	complete = true
	h.Set(OutcomeHeader, string(winch.Done))
}
