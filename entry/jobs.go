package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"plantainwinch/coord/member"
	"plantainwinch/proto"
	"plantainwinch/state/ledger"
	"plantainwinch/winch"
)

// maxTasks bounds the tasks of one job and maxCommandSize the bytes of its command, so that a partition of the ledger
// stays far below the largest value that the store accepts.
const (
	maxTasks       = 2000
	maxCommandSize = 4 << 10
)

// Submission is a caller's request to run a job.
type Submission struct {
	Key       string
	Class     string
	RequestID string
	Spec      winch.JobSpec
}

// JobView is a job as its caller sees it.
type JobView struct {
	winch.Job
	// Why says why tasks wait; it is empty if none does.
	Why     string `json:",omitempty"`
	Running int
	// Forecast is the expected time until the job starts, if it waits for capacity.
	Forecast time.Duration `json:",omitempty"`
}

// Submit accepts a job. If the returned result is OK, the job is recorded.
func (e *Entry) Submit(ctx context.Context, s Submission) (winch.Job, winch.Result) {
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	who, r := e.admit(s.Key, s.Class)
	if !r.OK() {
		return winch.Job{}, r
	}
	if r := checkSpec(s); !r.OK() {
		return winch.Job{}, r
	}
	domain, r := e.chooseDomain(s.Spec, who.team)
	if !r.OK() {
		return winch.Job{}, r
	}
	job, r := e.accept(ctx, s, who, domain)
	if r.OK() {
		e.notifyPlanner(ctx, job.Domain, job.ID)
	}
	return job, r
}

func checkSpec(s Submission) winch.Result {
	spec := s.Spec
	bad := func(detail string) winch.Result { return winch.Refuse(winch.BadRequest, detail) }
	switch {
	case s.RequestID == "":
		return bad("RequestId is missing: give each job an id of your own, so that a resubmission can be told from a new job")
	case spec.Kind != winch.Batch && spec.Kind != winch.Gang && spec.Kind != winch.LongRunning:
		return bad("Kind is " + quote(string(spec.Kind)) + ": write Batch, Gang or Service")
	case spec.Tasks < 1 || spec.Tasks > maxTasks:
		return bad(fmt.Sprintf("Tasks is %d: write a number from 1 to %d", spec.Tasks, maxTasks))
	case spec.Need.Processors < 1 || spec.Need.Memory < 1 || spec.Need.Accelerators < 0:
		return bad("Need must have at least one processor and some memory")
	case spec.RunTime < 0:
		return bad("RunTime is negative")
	case strings.ContainsFunc(spec.Command, unicode.IsControl):
		return bad("Command has control characters")
	case len(spec.Command) > maxCommandSize:
		return bad(fmt.Sprintf("Command is longer than %d bytes", maxCommandSize))
	}
	return winch.Result{}
}

func (e *Entry) accept(ctx context.Context, s Submission, who caller, domain string) (winch.Job, winch.Result) {
	data, err := json.Marshal(struct {
		Class string
		Spec  winch.JobSpec
	}{s.Class, s.Spec})
	if err != nil {
		return winch.Job{}, winch.Refuse(winch.BadRequest, err.Error())
	}
	job := winch.Job{
		ID: ledger.ID("J", who.team.Name, s.RequestID), Team: who.team.Name, KeyID: who.key.ID, Class: s.Class,
		RequestID: s.RequestID, Digest: ledger.Digest(data), Spec: s.Spec, Domain: domain, State: winch.JobQueued,
		Submitted: time.Now().UTC(), Epoch: e.epochOf(domain),
	}
	recorded, err := e.jobs.Accept(ctx, job)
	switch {
	case err == nil:
		return recorded, winch.Result{}
	case errors.Is(err, ledger.ErrDuplicate):
		return recorded, winch.Refuse(winch.DuplicateRequest, "the request id was used for a different job of the team")
	case errors.Is(err, winch.ErrUncertain):
		return job, winch.Uncertain(winch.StoreUnavailable, "the job may have been recorded: submit it again under the same id")
	default:
		return job, winch.RefuseFor(winch.StoreUnavailable, "the job could not be recorded", time.Second)
	}
}

// epochOf returns the latest epoch of a domain's planner that this entry knows. A planner considers a job new only if
// the job's epoch is not older than its own.
func (e *Entry) epochOf(domain string) uint64 {
	_, epoch := e.plannerOf(domain)
	return epoch
}

// plannerOf returns the name and epoch of a domain's planner as far as this entry knows them.
func (e *Entry) plannerOf(domain string) (string, uint64) {
	name, epoch := e.members.View().Planner(domain)
	if domain == e.Domain() {
		if own, ownEpoch := e.office.Holder(); ownEpoch >= epoch {
			return own, ownEpoch
		}
	}
	return name, epoch
}

// chooseDomain returns the failure domain for a job: of those whose workers could ever run it, the one with the lowest
// load, waiting work included, and an evacuated one only if there is no other. A job that no domain could run is refused
// at once instead of waiting forever.
func (e *Entry) chooseDomain(spec winch.JobSpec, team winch.Team) (string, winch.Result) {
	if spec.Kind == winch.Gang && spec.Tasks > team.Limit {
		return "", winch.Refuse(winch.NeverFits, fmt.Sprintf("a gang of %d tasks can never start within the team's upper limit of %d", spec.Tasks, team.Limit))
	}
	view := e.members.View()
	if !view.Listed {
		return e.Domain(), winch.Result{}
	}
	best, bestLoad := "", 0.0
	for _, domain := range view.Domains() {
		if !couldRun(view, domain, spec) {
			continue
		}
		load := e.domainLoad(view, domain)
		if e.evacuated(domain) {
			load += evacuatedLoad
		}
		if best == "" || load < bestLoad || load == bestLoad && domain == e.Domain() {
			best, bestLoad = domain, load
		}
	}
	if best == "" {
		return "", winch.Refuse(winch.NeverFits, "no failure domain has workers that could run it: a task is larger than any worker, or the gang larger than a domain")
	}
	return best, winch.Result{}
}

// couldRun reports whether the empty workers of a domain could run a job.
func couldRun(view *member.View, domain string, spec winch.JobSpec) bool {
	capacity := 0
	for _, vm := range view.VMs {
		if vm.Role == winch.RoleWorker && vm.Domain == domain && !vm.Leaving {
			capacity += tasksPerWorker(vm.Size, spec.Need)
		}
	}
	if spec.Kind == winch.Gang {
		return capacity >= spec.Tasks
	}
	return capacity > 0
}

// tasksPerWorker returns how many tasks with this need fit on an empty worker of this size.
func tasksPerWorker(size, need winch.Resources) int {
	n := size.Processors / need.Processors
	n = min(n, int(size.Memory/need.Memory))
	if need.Accelerators > 0 {
		n = min(n, size.Accelerators/need.Accelerators)
	}
	return n
}

// domainLoad returns the load of a domain: its used processors plus its waiting tasks, relative to its processors.
func (e *Entry) domainLoad(view *member.View, domain string) float64 {
	load := func(l *proto.OfficeLoad) float64 {
		if l == nil || l.Size.Processors == 0 {
			return 0
		}
		return float64(l.Used.Processors+l.Waiting) / float64(l.Size.Processors)
	}
	if holder, _ := e.office.Holder(); domain == e.Domain() && holder == e.Name() {
		own := e.office.Load(context.Background())
		return load(&own)
	}
	for _, p := range view.Peers {
		if p.Beat.Domain == domain && p.Beat.Office != nil {
			return load(p.Beat.Office)
		}
	}
	return 1 // Without a known planner the domain counts as fully used, so that the others are preferred.
}

// notifyPlanner notifies the domain's planner that a job was accepted or cancelled. If the message is lost, the planner
// learns of the change from its watch of the ledger.
func (e *Entry) notifyPlanner(ctx context.Context, domain, id string) {
	name, _ := e.plannerOf(domain)
	if name == e.Name() {
		e.handleJobHint(ctx, id)
		return
	}
	_ = e.Peers.Notify(name, proto.KindJobHint, proto.JobHint{ID: id})
}

func (e *Entry) handleJobHint(_ context.Context, id string) {
	e.background.submit(func(ctx context.Context) { e.office.JobChanged(ctx, id) })
}

// statusPollInterval is the interval at which the status of a job that a caller waits for is read.
const statusPollInterval = 200 * time.Millisecond

// Job returns a job of the caller's team. It returns once the job has ended or waitFor has passed.
func (e *Entry) Job(ctx context.Context, key, id string, waitFor time.Duration) (JobView, winch.Result) {
	team, r := e.teamOf(key)
	if !r.OK() {
		return JobView{}, r
	}
	until := time.Now().Add(waitFor)
	for {
		view, r := e.lookUp(ctx, team, id)
		if !r.OK() || view.State.Final() || !time.Now().Before(until) || e.stopping.Load() {
			return view, r
		}
		if !sleep(ctx, min(statusPollInterval, time.Until(until))) {
			return view, r
		}
	}
}

func (e *Entry) teamOf(key string) (string, winch.Result) {
	doc, r := e.document()
	if !r.OK() {
		return "", r
	}
	_, team, r := e.identify(doc, key)
	return team.Name, r
}

func (e *Entry) lookUp(ctx context.Context, team, id string) (JobView, winch.Result) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	job, err := e.jobs.Job(ctx, id)
	if errors.Is(err, winch.ErrNotFound) || err == nil && job.Team != team {
		return JobView{}, winch.Refuse(winch.UnknownJob, "the team has no job "+id+", or it ended long ago")
	}
	if err != nil {
		return JobView{}, winch.RefuseFor(winch.StoreUnavailable, "the ledger cannot be read", time.Second)
	}
	view := JobView{Job: job}
	if !job.State.Final() {
		e.addStatus(ctx, &view)
	}
	return view, winch.Result{}
}

// addStatus adds what the domain's planner knows beyond the ledger.
func (e *Entry) addStatus(ctx context.Context, view *JobView) {
	name, _ := e.plannerOf(view.Domain)
	var status proto.JobStatus
	if name == e.Name() {
		status = e.office.Status(ctx, view.ID)
	} else if e.Peers.Request(ctx, name, proto.KindJobStatus, proto.JobStatusRequest{ID: view.ID}, &status) != nil {
		view.Why = "the placer of domain " + view.Domain + " cannot be reached"
		return
	}
	if !status.Known {
		view.Why = "the placer of domain " + view.Domain + " has not taken the job up yet"
		return
	}
	view.Why, view.Running, view.Forecast = status.Why, status.Running, status.Forecast
	if status.Running > 0 {
		view.State = winch.JobRunning
	}
	if view.Started.IsZero() {
		view.Started = status.Started
	}
}

// CancelJob cancels a job of the caller's team. If the job ended first, it returns the ended job.
func (e *Entry) CancelJob(ctx context.Context, key, id string) (JobView, winch.Result) {
	team, r := e.teamOf(key)
	if !r.OK() {
		return JobView{}, r
	}
	view, r := e.lookUp(ctx, team, id)
	if !r.OK() || view.State.Final() {
		return view, r
	}
	err := e.jobs.Cancel(ctx, id)
	switch {
	case errors.Is(err, ledger.ErrFinal):
		return e.lookUp(ctx, team, id)
	case errors.Is(err, winch.ErrUncertain):
		return view, winch.Uncertain(winch.StoreUnavailable, "the cancellation may have been recorded: cancel again")
	case err != nil:
		return view, winch.RefuseFor(winch.StoreUnavailable, "the cancellation could not be recorded", time.Second)
	}
	view.Cancel = true
	e.notifyPlanner(ctx, view.Domain, id)
	return view, winch.Result{}
}

// ListJobs returns the team's jobs that the ledger still holds, oldest first.
func (e *Entry) ListJobs(ctx context.Context, key string) ([]winch.Job, winch.Result) {
	team, r := e.teamOf(key)
	if !r.OK() {
		return nil, r
	}
	jobs, err := e.jobs.Jobs(ctx)
	if err != nil {
		return nil, winch.RefuseFor(winch.StoreUnavailable, "the ledger cannot be read", time.Second)
	}
	return slices.DeleteFunc(jobs, func(j winch.Job) bool { return j.Team != team }), winch.Result{}
}
