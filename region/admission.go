package region

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/coord/admit"
	"plantainwinch/coord/fleet"
	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// lookupTimeout bounds the lookup of an ID before its refusal. A job that cannot be looked up in that
	// time is not refused.
	lookupTimeout = 300 * time.Millisecond
	// concurrentLookups bounds the lookups at once; while so many are outstanding, jobs are not refused.
	concurrentLookups = 16
	// maxKnownIDs bounds the IDs that an entry remembers. At 400 jobs per second at one entry they cover ten
	// seconds, after which the store is asked.
	maxKnownIDs = 4096
	// refusalInterval is how often an entry notifies the planner of refused jobs, maxRefusalRows bounds the
	// pairs of queue and team in one message, maxRefusedIDs the IDs.
	refusalInterval = 500 * time.Millisecond
	maxRefusalRows  = 16
	maxRefusedIDs   = 200
)

// admission decides at this entry which jobs are accepted.
type admission struct {
	mu   sync.Mutex
	gate admit.Gate
	// known holds the IDs of jobs that this entry has accepted, or sent to the store without a definite
	// answer, order in the order of their addition.
	known   map[string]bool
	order   []string
	refused map[refusedPair]int // refused counts the refused jobs of which the planner was not notified.
	// refusedIDs holds the admit.Hash of the IDs of these jobs.
	refusedIDs []uint32
	lookups    chan struct{}
}

// refusedPair names the queue and the team of refused jobs.
type refusedPair struct{ queue, team string }

func (a *admission) prepare() {
	a.known, a.refused = make(map[string]bool), make(map[refusedPair]int)
	a.lookups = make(chan struct{}, concurrentLookups)
}

// remember notes that a job may be stored from now on.
func (a *admission) remember(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known[id] {
		return
	}
	a.known[id] = true
	a.order = append(a.order, id)
	if len(a.order) > maxKnownIDs {
		delete(a.known, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *admission) knows(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known[id]
}

func (a *admission) decide(job admit.Job) admit.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Decide(job, time.Now())
}

func (a *admission) countRefused(job *winch.PhasedJob) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused[refusedPair{job.Queue, job.Team}]++
	if len(a.refusedIDs) < maxRefusedIDs {
		a.refusedIDs = append(a.refusedIDs, admit.Hash(job.ID))
	}
}

// takeRefused returns the refused jobs to notify the planner of, those of the largest counts first.
func (a *admission) takeRefused() (out proto.RefusedJobs) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pairs := slices.SortedFunc(maps.Keys(a.refused), func(x, y refusedPair) int {
		return cmp.Or(cmp.Compare(a.refused[y], a.refused[x]), cmp.Compare(x.queue, y.queue), cmp.Compare(x.team, y.team))
	})
	for _, x := range pairs[:min(len(pairs), maxRefusalRows)] {
		out.Jobs = append(out.Jobs, proto.RefusedCount{Queue: x.queue, Team: x.team, Count: a.refused[x]})
	}
	clear(a.refused)
	out.IDs, a.refusedIDs = a.refusedIDs, nil
	return out
}

// admissionJob returns what the gate needs to know of a job, and false for a job that is never refused:
// a lasting one, a repeated one, which is not started now, and one of an unknown queue.
func (n *Node) admissionJob(job *winch.PhasedJob) (admit.Job, bool) {
	config := n.Config()
	if config == nil || job.Times > 0 || slices.ContainsFunc(job.Phases, func(p winch.Phase) bool { return p.Lasting }) {
		return admit.Job{}, false
	}
	i := slices.IndexFunc(config.Queues, func(q winch.Queue) bool { return q.Name == job.Queue })
	if i < 0 {
		return admit.Job{}, false
	}
	q := &config.Queues[i]
	return admit.Job{ID: job.ID, Team: job.Team, Queue: q, Chain: fleet.EstimatedChain(job, q), MilliSeconds: fleet.JobMilliSeconds(job)}, true
}

// refuse decides whether a submission is refused because it could not end while its caller still waits.
// It returns the result for the caller in that case. Nothing of a refused job is written. A job that may
// have been accepted before, here or at another entry, is never refused.
func (n *Node) refuse(ctx context.Context, job *winch.PhasedJob) (winch.Result, bool) {
	if !n.Policy.Admit {
		return winch.Result{}, false
	}
	candidate, ok := n.admissionJob(job)
	if !ok || n.admission.knows(job.ID) {
		return winch.Result{}, false
	}
	d := n.admission.decide(candidate)
	if d.Refused && !n.isNew(ctx, job.ID) {
		d.Refused = false
	}
	n.updateAdmissionMetrics(d)
	if !d.Refused {
		return winch.Result{}, false
	}
	n.admission.countRefused(job)
	n.Log.Info("job refused", zap.String("job", job.ID), zap.String("queue", job.Queue), zap.String("team", job.Team),
		zap.Duration("wait", d.Wait), zap.Duration("allowed", d.Allowed), zap.Bool("excess", d.Excess), zap.Duration("retryAfter", d.RetryAfter),
		zap.Uint64("term", d.Term), zap.Duration("age", d.Age))
	return winch.RefuseFor(winch.Overloaded, fmt.Sprintf(
		"the job was not accepted and will not run: accepted work takes %.1f s, the job could wait for %.1f s (state of term %d, %d ms old)",
		d.Wait.Seconds(), d.Allowed.Seconds(), d.Term, d.Age.Milliseconds()), d.RetryAfter), true
}

// isNew reports whether it is certain that the store holds no job with the given ID.
func (n *Node) isNew(ctx context.Context, id string) bool {
	select {
	case n.admission.lookups <- struct{}{}:
		defer func() { <-n.admission.lookups }()
	default:
		return false
	}
	if !n.storeResponsive() {
		return false
	}
	metrics.GetOrRegisterCounter("Admission.Lookups", n.Metrics).Inc(1)
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	s, ended, err := n.readJob(ctx, id)
	return err == nil && s.job == nil && ended == nil
}

func (n *Node) updateAdmissionMetrics(d admit.Decision) {
	name := "Admission.Accepted"
	if d.Refused {
		name = "Admission.Refused"
	}
	metrics.GetOrRegisterCounter(name, n.Metrics).Inc(1)
	if d.Term != 0 {
		histogram(n.Metrics, "Admission.StateAgeMillis").Update(d.Age.Milliseconds())
	}
}

// updateAdmission applies a planner's forecast.
func (n *Node) updateAdmission(m proto.Admission) {
	n.admission.mu.Lock()
	defer n.admission.mu.Unlock()
	n.admission.gate.Update(m.State(), time.Now())
}

// runRefusals periodically notifies the planner of refused jobs, until ctx ends.
func (n *Node) runRefusals(ctx context.Context) {
	for ctx.Err() == nil {
		if msg := n.admission.takeRefused(); len(msg.Jobs) > 0 {
			n.notifyPlanner(proto.KindRefusedJobs, msg)
		}
		duty.Sleep(ctx, refusalInterval)
	}
}

// admissionInterval is how often the planner sends its forecast for new jobs.
const admissionInterval = 500 * time.Millisecond

// runAdmission sends all entries the forecast for new jobs, periodically and when the region is likely to
// have begun or ended refusing.
func (l *leadership) runAdmission(ctx context.Context) {
	sequence, refusing := uint64(0), false
	for ctx.Err() == nil {
		sequence++
		if state, ok := l.admissionState(ctx); ok {
			state.Sequence = sequence
			if state.Refusing() != refusing {
				refusing = state.Refusing()
				l.node.Log.Info("admission state changed", zap.Uint64("term", l.term), zap.Uint64("sequence", sequence), zap.Bool("refusing", refusing),
					zap.Any("queues", state.Queues), zap.Any("teams", state.Teams))
			}
			msg := proto.EncodeAdmission(state)
			l.node.updateAdmission(msg)
			for _, name := range l.node.Peers.Names() {
				// A peer that gets no message goes on with the last state for some seconds.
				_ = l.node.Peers.Notify(name, proto.KindAdmission, msg)
			}
		}
		timer := time.NewTimer(admissionInterval)
		select {
		case <-ctx.Done():
		case <-l.admissionCh:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// admissionState returns the forecast, and false if this planner has none: its office may have expired, or
// it does not know yet what runs. The entries then go on with the state of the earlier planner.
func (l *leadership) admissionState(ctx context.Context) (state admit.State, ok bool) {
	err := l.duty.Do(ctx, func() {
		ok = !l.planner.Adopting()
		if ok {
			state = l.planner.Admission(time.Now())
		}
	})
	state.Entries = len(l.node.Peers.Names()) + 1
	return state, err == nil && ok && l.validity.Load().remaining() > 0
}

// signalAdmission wakes runAdmission if the forecast is likely to have changed.
func (l *leadership) signalAdmission() {
	if l.planner.AdmissionChanging(time.Now()) {
		duty.Signal(l.admissionCh)
	}
}

// noteRefused counts the jobs that an entry has refused.
func (l *leadership) noteRefused(m proto.RefusedJobs) {
	for _, x := range m.Jobs {
		l.planner.NoteRefused(x.Queue, x.Team, x.Count, time.Now())
	}
	l.planner.NoteRefusedIDs(m.IDs, time.Now())
}
