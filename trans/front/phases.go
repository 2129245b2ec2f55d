package front

import (
	"errors"
	"net/http"
	"regexp"
	"time"

	"github.com/julienschmidt/httprouter"

	"plantainwinch/conf"
	"plantainwinch/winch"
)

// PhasedBody is the body of a request to submit a job with phases.
type PhasedBody struct {
	Command string
	Phases  []PhaseBody
	// Times is the number of repetitions of the phases. The first starts at First and
	// the others follow at intervals of Every. Zero means once and immediately.
	Times int       `json:",omitempty"`
	First time.Time `json:",omitzero"`
	Every string    `json:",omitempty"`
}

// PhaseBody describes one phase. Durations are written as 90s, amounts of memory as
// 2GB.
type PhaseBody struct {
	Count       int
	Need        PhaseNeed
	Estimate    string `json:",omitempty"`
	After       []int  `json:",omitempty"`
	Checkpoints bool   `json:",omitempty"`
	Gang        bool   `json:",omitempty"`
	SameRack    bool   `json:",omitempty"`
	Label       string `json:",omitempty"`
	Rack        string `json:",omitempty"`
	MostPerVM   int    `json:",omitempty"`
	Copies      bool   `json:",omitempty"`
	Lasting     bool   `json:",omitempty"`
	MayMiss     int    `json:",omitempty"`
	Image       string `json:",omitempty"`
	Target      string `json:",omitempty"`
	Fills       bool   `json:",omitempty"`
}

// PhaseNeed holds the resources that each task of a phase needs.
type PhaseNeed struct {
	Processors   float64
	Memory       string
	Accelerators int `json:",omitempty"`
}

// PhasedState is the response to a request about a job.
type PhasedState struct {
	ID    string
	State winch.JobState
}

// QueueState is the response to a request about a queue.
type QueueState struct {
	Queue   string
	Waiting int // Waiting is the number of accepted jobs that have not started.
}

// jobIDPattern matches the ids that callers choose for their jobs. A resubmission has
// the same id, which makes submitting idempotent.
var jobIDPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// milliPerProcessor converts processors to thousandths of a processor.
const milliPerProcessor = 1000

// job parses and checks the body and returns the job that it describes.
func (b *PhasedBody) job() (*winch.PhasedJob, error) {
	j := &winch.PhasedJob{Command: b.Command, Times: b.Times, First: b.First}
	var err error
	if j.Every, err = parseDuration("Every", b.Every); err != nil {
		return nil, err
	}
	for i := range b.Phases {
		p, err := b.Phases[i].phase()
		if err != nil {
			return nil, err
		}
		j.Phases = append(j.Phases, p)
	}
	return j, j.Check()
}

func (b *PhaseBody) phase() (winch.Phase, error) {
	p := winch.Phase{
		Count: b.Count, After: b.After, Checkpoints: b.Checkpoints, Gang: b.Gang, SameRack: b.SameRack, Label: b.Label, Rack: b.Rack,
		MostPerVM: b.MostPerVM, Copies: b.Copies, Lasting: b.Lasting, MayMiss: b.MayMiss, Image: b.Image, Fills: b.Fills,
	}
	memory, err := conf.ParseBytes(b.Need.Memory)
	if err != nil {
		return p, errors.New("Need.Memory is " + err.Error())
	}
	p.Need = winch.Capacity{Milli: int64(milliPerProcessor * b.Need.Processors), Memory: memory, Accelerators: b.Need.Accelerators}
	if p.Estimate, err = parseDuration("Estimate", b.Estimate); err != nil {
		return p, err
	}
	p.Target, err = parseDuration("Target", b.Target)
	return p, err
}

// parseDuration parses a duration, which is zero if the text is empty.
func parseDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.New(field + " is no duration: write it as 90s or 2h")
	}
	return d, nil
}

// Phases returns the HTTP handler of a region's callers' interface, through which
// callers submit jobs with phases to queues.
func Phases(region winch.Region) http.Handler {
	p := phasesHandler{region}
	r := httprouter.New()
	r.GET("/Queues/:Queue", p.withQueue(p.queue))
	r.POST("/Queues/:Queue/Jobs/:ID", p.withQueue(p.submit))
	r.GET("/Queues/:Queue/Jobs/:ID", p.withQueue(p.state))
	r.DELETE("/Queues/:Queue/Jobs/:ID", p.withQueue(p.cancel))
	return closeWhen(region.Stopping, r)
}

type phasesHandler struct{ region winch.Region }

// phasesRequest is a request whose queue and team are known and whose job id is valid.
type phasesRequest struct {
	w               http.ResponseWriter
	r               *http.Request
	queue, team, id string
	version         uint64 // version is that of the configuration that allows the request.
}

// withQueue looks up the request's queue and team in the current configuration and
// calls the handler, or writes an error response.
func (p phasesHandler) withQueue(handle func(c phasesRequest)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		config, state := p.region.CurrentConfig(r.Context(), r.URL.Path)
		if config == nil {
			writeResult(w, winch.RefuseFor(winch.StoreUnavailable, "no configuration has been read yet", time.Second))
			return
		}
		c := phasesRequest{w: w, r: r, queue: ps.ByName("Queue"), id: ps.ByName("ID")}
		_, team, refused := config.Authorize(c.queue, bearerToken(r))
		if state == winch.ConfigUnconfirmed || state == winch.ConfigUnreachable && !refused.OK() {
			writeResult(w, winch.RefuseFor(winch.StoreUnavailable, "a newer configuration may be in force", time.Second))
			return
		}
		if !refused.OK() {
			writeResult(w, refused)
			return
		}
		if c.id != "" && !jobIDPattern.MatchString(c.id) {
			writeResult(w, winch.Refuse(winch.BadRequest, "a job's name has 16 hexadecimal digits"))
			return
		}
		c.team, c.version = team, config.Version
		handle(c)
	}
}

func (p phasesHandler) queue(c phasesRequest) {
	n, r := p.region.Waiting(c.r.Context(), c.queue)
	writeJSONOrError(c.w, r, QueueState{Queue: c.queue, Waiting: n})
}

func (p phasesHandler) submit(c phasesRequest) {
	var body PhasedBody
	if !readJSON(c.w, c.r, &body) {
		return
	}
	job, err := body.job()
	if err != nil {
		writeResult(c.w, winch.Refuse(winch.BadRequest, err.Error()))
		return
	}
	job.ID, job.Queue, job.Team, job.Accepted = c.id, c.queue, c.team, time.Now()
	job.Settings, job.Key = c.version, bearerToken(c.r)
	writeJSONOrError(c.w, p.region.Submit(c.r.Context(), job), PhasedState{ID: c.id, State: winch.JobQueued})
}

func (p phasesHandler) state(c phasesRequest) {
	state, r := p.region.State(c.r.Context(), c.id)
	writeJSONOrError(c.w, r, PhasedState{ID: c.id, State: state})
}

func (p phasesHandler) cancel(c phasesRequest) {
	writeJSONOrError(c.w, p.region.Cancel(c.r.Context(), c.id), PhasedState{ID: c.id, State: winch.JobCancelled})
}
