// Package fleet decides which task of which phased job runs on which worker VM of a region. It
// opens no connection and starts no goroutine: events arrive as method calls, and orders, requests
// to the advice service and changed records are fetched by method calls. All calls must come from
// one goroutine.
package fleet

import (
	"time"

	"plantainwinch/coord/copies"
	"plantainwinch/coord/evict"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// AdviceRequest is a request to the advice service.
type AdviceRequest struct {
	Phase   winch.RunID // Phase identifies the job, its repetition and the phase; the task index is zero.
	Workers []string
	// Urgent requests are sent before others and never wait behind slow ones.
	Urgent bool
	// Rank orders requests of the same urgency; the lowest is sent first.
	Rank float64
	// Cost is how long the service takes to respond.
	Cost    time.Duration
	Created time.Time
}

// Planner holds the state of all jobs and workers of a region. Term, Clock and Policy must be set
// before the first call; the other exported fields may be set between calls.
type Planner struct {
	// Term counts the planners of the region: it rises with each acquisition of the office, the
	// planner's leadership lease in the store. Run numbers start with it, so that they increase
	// from one planner to the next.
	Term uint64
	// Barrier is when all work that an earlier planner may have started on an unresponsive worker
	// is guaranteed to have ended. Until then, or until all workers of the roster have responded,
	// work of that planner is adopted but not started again.
	Barrier time.Time
	// AdoptedRevision is the last revision at which an accepted job may have been started by an
	// earlier planner. It is the highest number until that revision is known.
	AdoptedRevision uint64
	// LeaseExpiry, if set, is when the lease of this planner's office may have expired. Jobs added
	// later are not started: a later planner starts them.
	LeaseExpiry time.Time
	// Clock returns the current time; New sets time.Now.
	Clock func() time.Time
	// Policy selects the scheduling mechanisms in use; New sets winch.DefaultPolicy.
	Policy winch.Policy
	// Quota limits the advice requests of the next Schedule; New sets no limit.
	Quota RequestQuota

	jobs map[string]*job
	// active holds the jobs that have not ended; most jobs in memory have ended.
	active map[string]*job
	// ready holds the phases that may have waiting tasks, in the order of the last Schedule.
	ready []waitingPhase
	// anticipated holds the phases for which advice may be requested before their dependencies are
	// done.
	anticipated []*phase
	workers     map[string]*worker
	// byID lists the workers by ID; it is out of date while unsorted is set.
	byID     []*worker
	unsorted bool
	// vmRevisions counts the changes of what workers may run.
	vmRevisions uint64
	queues      map[string]*queue
	settings    uint64 // settings is the version of the configuration.
	teams       map[string]*team
	// roster holds the workers that earlier planners may have used and that have not yet listed
	// their runs.
	roster map[string]bool
	// earlier holds the workers that have left roster since the last call of EarlierKnown.
	earlier map[string][]string
	// assignedRuns counts the run numbers that this planner has assigned.
	assignedRuns uint64
	// evacuated holds the evacuated failure domains.
	evacuated map[string]bool
	// unreportedCharged is set while teams are charged for unreported runs, as of unreportedAt.
	unreportedCharged bool
	unreportedAt      time.Time
	domains           []string // domains holds the failure domains with usable workers, as of the last Schedule.
	// pools holds the capacity and the urgent demand of the workers of each service.
	pools map[string]*pool
	// reservedWorkers lists the workers with capacity that the last Schedule reserved for phases
	// of higher rank.
	reservedWorkers []*worker
	// plannedPhases counts the phases for which the last Schedule planned slots, searchedPhases
	// those for which it computed the slots again, and examined the workers that it examined.
	plannedPhases, searchedPhases, examined int
	// starts counts the runs that the last Schedule started, startLimit is the count up to which the phase
	// that is being placed may start runs, and unfinished is set if tasks were left because of such limits.
	starts, startLimit int
	unfinished         bool
	// resumeAt is the phase at which the last Schedule stopped if it did not finish.
	resumeAt *phase
	// markRound counts the calls of markByAdvice. Marks of earlier rounds are void.
	markRound uint64
	// initialQuota is Quota at the start of the last Schedule; starving lists the phases that have
	// waited long without an advice request.
	initialQuota RequestQuota
	starving     []waitingPhase
	// copyable holds the phases that may have stragglers, copies the runs that are copies of others.
	copyable []*phase
	copies   []*run
	// carried holds until when runs at replaced boots are kept: the next boot may have started them, see carryOver.
	carried map[*worker]time.Time
	// strays holds the runs for Strays.
	strays []Stray
	// awaited holds the workers that report runs or completions of jobs that the planner does not know, by job.
	awaited map[string]map[*worker]bool
	// pendingWorkers holds the workers with completions that have not been forgotten yet.
	pendingWorkers map[*worker]bool
	// probes holds the workers on which nothing may be started beside a probe; lostBoots holds the
	// boots that were lost recently.
	probes    map[*worker]*suspicion
	lostBoots []lostBoot
	// evictions holds the stops of runs for urgent work whose capacity is held, evictable counts the
	// runs that may be stopped for it. evictedAt is when such runs were last searched.
	evictions []*eviction
	evictable int
	evictedAt time.Time
	stopTime  evict.StopTime
	// ending holds the ended jobs whose runs are being stopped.
	ending []stopCursor
	// saved holds the checkpoints of stopped tasks that have not been started again.
	saved map[winch.RunID]string
	// unrecordedCrashes holds the runs that crashed their workers and whose crash is not yet
	// recorded in the store.
	unrecordedCrashes []unrecordedCrash
	unrecordedRuns    map[ClosedRun]bool // unrecordedRuns holds the runs of unrecordedCrashes.
	order             orderState
	forecasts         forecasts

	speeds speeds
	// The following fields collect output until the method that returns it is called.
	orders         []proto.Order
	adviceRequests []AdviceRequest
	dirty          []*job
	closedRuns     []ClosedRun
	listedRuns     []*run // listedRuns holds the runs that were listed since the last call of ListedRuns.
	summaries      []JobSummary
	losses         []Loss
	countedCrashes []CountedCrash
	anomalies      []Anomaly
	evictionLog    []Eviction
	savedChanges   []SavedCheckpoint
	copyStarts     []CopyStart
	copyEnds       []CopyEnd
	counts         Counts
}

// Counts are totals since the planner took over.
type Counts struct {
	Started, NotStarted, Done, Failed, Stopped, Lost, AdviceRequests, Restarted int64
	// Examined counts the workers examined by decisions, which causes most of the cost of scheduling.
	Examined int64
	Running  int
	// Evicted counts the runs stopped for urgent work. EvictionLost is the processor time that
	// their tasks did not work because of it.
	Evicted      int64
	EvictionLost time.Duration
}

// New returns an empty planner.
func New(term uint64) *Planner {
	return &Planner{
		Term: term, Policy: winch.DefaultPolicy(), Clock: time.Now, jobs: make(map[string]*job), active: make(map[string]*job), workers: make(map[string]*worker),
		queues: make(map[string]*queue), teams: make(map[string]*team), roster: make(map[string]bool), evacuated: make(map[string]bool),
		awaited:        make(map[string]map[*worker]bool),
		carried:        make(map[*worker]time.Time),
		pendingWorkers: make(map[*worker]bool), probes: make(map[*worker]*suspicion), pools: make(map[string]*pool), saved: make(map[winch.RunID]string), Quota: unlimitedQuota,
		speeds: newSpeeds(), unrecordedRuns: make(map[ClosedRun]bool),
	}
}

type queue struct {
	winch.Queue
	// allowedShare is the moving average of the fraction of requested workers that the advice
	// service allows.
	allowedShare float64
	// turnaround is the moving average of the time from a request to its response, including time
	// in the queue.
	turnaround time.Duration
	// usualTime is the moving average of the run times of the queue's tasks at usual workers; zero
	// before the first has ended.
	usualTime time.Duration
	order     queueOrder
	copies    copies.Ledger // copies is what copies of the queue's stragglers gained.
}

// adviceTime returns how long an advice request about objectiveWorkers workers takes. A job's
// objective allows for one such request per phase.
func (q *queue) adviceTime() time.Duration {
	if q == nil || q.Advice == nil {
		return 0
	}
	return q.Advice.Call + objectiveWorkers*q.Advice.Worker
}

type team struct {
	winch.RegionTeam
	// used is the capacity of all runs of the team that may exist, including those being stopped.
	used winch.Capacity
	// unreported is an upper bound on the capacity of the runs of earlier planners that are not known.
	unreported winch.Capacity
	urgent     demand
	share      shareBucket
	order      teamOrder
}

// SetConfig applies a configuration.
func (p *Planner) SetConfig(c *winch.RegionConfig) {
	for _, q := range c.Queues {
		known := p.queues[q.Name]
		if known == nil {
			p.addQueue(q)
			continue
		}
		known.set(q)
	}
	for _, t := range c.Teams {
		p.team(t.Name).RegionTeam = t
	}
	p.settings = c.Version
	for _, j := range p.active {
		if j.queue == nil {
			j.queue = p.queueOf(j.rec)
		}
		j.updateCriticalPaths()
		j.enqueueReady()
	}
	p.recountUrgent()
}

func (p *Planner) addQueue(q winch.Queue) *queue {
	added := &queue{allowedShare: initialAllowedShare}
	added.set(q)
	p.queues[q.Name] = added
	return added
}

func (q *queue) set(configured winch.Queue) {
	q.Queue = configured
	if q.turnaround == 0 && q.Advice != nil {
		q.turnaround = q.Advice.Call
	}
}

// SettingsVersion returns the version of the configuration by which the planner decides.
func (p *Planner) SettingsVersion() uint64 { return p.settings }

// queueOf returns the queue of a job, or nil if the job was allowed by a later configuration than the planner has, which may
// name another service for the queue. A queue that was removed before this planner's term has the terms that are stored with
// the job.
func (p *Planner) queueOf(rec *winch.PhasedJob) *queue {
	if rec.Settings > p.settings {
		return nil
	}
	if q := p.queues[rec.Queue]; q != nil || rec.Terms == nil {
		return q
	}
	return p.addQueue(rec.Terms.Queue(rec.Queue))
}

func (p *Planner) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{RegionTeam: winch.RegionTeam{Name: name}}
		p.teams[name] = t
	}
	return t
}

func (p *Planner) now() time.Time { return p.Clock() }

// Orders returns the orders issued since the last call.
func (p *Planner) Orders() []proto.Order {
	out := p.orders
	p.orders = nil
	return out
}

// Ordered returns the number of orders that Orders would return.
func (p *Planner) Ordered() int { return len(p.orders) }

// AdviceRequests returns the requests to the advice service made since the last call.
func (p *Planner) AdviceRequests() []AdviceRequest {
	out := p.adviceRequests
	p.adviceRequests = nil
	return out
}

// Counts returns the totals and the current number of runs.
func (p *Planner) Counts() Counts {
	c := p.counts
	for _, w := range p.workers {
		c.Running += len(w.runs)
	}
	return c
}

// Origin returns the entry that accepted a job.
func (p *Planner) Origin(id string) string {
	if j := p.jobs[id]; j != nil {
		return j.rec.Origin
	}
	return ""
}

// State returns the state of a job that callers may see, and whether the job is known. A final
// state becomes visible once it is recorded.
func (p *Planner) State(id string) (winch.JobState, bool) {
	j := p.jobs[id]
	if j == nil {
		return "", false
	}
	if j.cancelled && j.visibleState != winch.JobDone && j.visibleState != winch.JobFailed {
		return winch.JobCancelled, true
	}
	return j.visibleState, true
}

// EndsSoon reports whether a job may end soon: all remaining tasks are running, or all have ended
// and the end is not recorded yet.
func (p *Planner) EndsSoon(id string) bool {
	j := p.jobs[id]
	if j == nil || j.cancelled || j.visibleState.Final() {
		return false
	}
	if j.state.Final() {
		return true
	}
	for _, s := range j.phases {
		if s.spec.Lasting || s.done+s.live < len(s.tasks) {
			return false
		}
	}
	return len(j.phases) > 0
}

// Waiting returns the number of jobs that have not begun, by queue.
func (p *Planner) Waiting() map[string]int {
	out := make(map[string]int)
	for _, j := range p.active {
		if !j.begun && !j.cancelled && !j.state.Final() {
			out[j.rec.Queue]++
		}
	}
	return out
}
