package front

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"plantainwinch/conf"
	"plantainwinch/entry"
	"plantainwinch/winch"
)

// maxBodySize limits the JSON bodies of callers' and operators' requests.
const maxBodySize = 1 << 20

// maxWait limits how long one request waits for the end of a job.
const maxWait = time.Minute

// JobBody is the body of a request to submit a job.
type JobBody struct {
	RequestID string `json:"RequestId"`
	Class     string
	Kind      winch.JobKind
	Tasks     int
	Need      NeedBody
	RunTime   string // RunTime is a duration such as 90s.
	Command   string
}

// NeedBody holds the resources that each task needs.
type NeedBody struct {
	Processors   int
	Memory       string // Memory is an amount such as 2GB.
	Accelerators int    `json:",omitempty"`
}

// spec checks the body and returns the specification of the job.
func (b JobBody) spec() (winch.JobSpec, error) {
	memory, err := conf.ParseBytes(b.Need.Memory)
	if err != nil {
		return winch.JobSpec{}, errors.New("Need.Memory is " + err.Error())
	}
	var runTime time.Duration
	if b.RunTime != "" {
		if runTime, err = time.ParseDuration(b.RunTime); err != nil {
			return winch.JobSpec{}, errors.New("RunTime is no duration: write it as 90s or 2h")
		}
	}
	need := winch.Resources{Processors: b.Need.Processors, Memory: memory, Accelerators: b.Need.Accelerators}
	return winch.JobSpec{Kind: b.Kind, Tasks: b.Tasks, Need: need, RunTime: runTime, Command: b.Command}, nil
}

// readJSON decodes a request's body into the given value. If that fails, it writes
// the error response and returns false. Unknown fields are errors, since a misspelt
// field would otherwise silently get its default.
func readJSON(w http.ResponseWriter, req *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodySize))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil && d.More() {
		err = errors.New("there is more after the JSON value")
	}
	if err == nil {
		return true
	}
	if req.Context().Err() != nil {
		writeResult(w, winch.RefuseFor(winch.Stopping, "the entry stops; the body has not arrived", time.Second))
		return false
	}
	var large *http.MaxBytesError
	reason := winch.BadRequest
	if errors.As(err, &large) {
		reason = winch.TooLarge
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("it is empty")
	}
	writeResult(w, winch.Refuse(reason, "the body is not the JSON expected: "+err.Error()))
	return false
}

func (c *callers) submit(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	var body JobBody
	if !readJSON(w, req, &body) {
		return
	}
	spec, err := body.spec()
	if err != nil {
		writeResult(w, winch.Refuse(winch.BadRequest, err.Error()))
		return
	}
	job, r := c.backend.Submit(req.Context(), entry.Submission{
		Key: bearerToken(req), Class: body.Class, RequestID: body.RequestID, Spec: spec,
	})
	if !r.OK() {
		writeResult(w, r)
		return
	}
	w.Header().Set("Location", "/Jobs/"+job.ID)
	writeJSON(w, http.StatusAccepted, job)
}

func (c *callers) job(w http.ResponseWriter, req *http.Request, ps httprouter.Params) {
	var wait time.Duration
	if text := req.URL.Query().Get("Wait"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			writeResult(w, winch.Refuse(winch.BadRequest, "Wait is no duration: write it as 10s"))
			return
		}
		wait = min(d, maxWait)
	}
	view, r := c.backend.Job(req.Context(), bearerToken(req), ps.ByName("ID"), wait)
	writeJSONOrError(w, r, view)
}

func writeJSONOrError(w http.ResponseWriter, r winch.Result, v any) {
	if !r.OK() {
		writeResult(w, r)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func (c *callers) cancel(w http.ResponseWriter, req *http.Request, ps httprouter.Params) {
	view, r := c.backend.CancelJob(req.Context(), bearerToken(req), ps.ByName("ID"))
	writeJSONOrError(w, r, view)
}

func (c *callers) list(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	jobs, r := c.backend.ListJobs(req.Context(), bearerToken(req))
	writeJSONOrError(w, r, jobs)
}
