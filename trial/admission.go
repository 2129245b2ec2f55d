package trial

import (
	"hash/fnv"
	"time"

	"plantainwinch/coord/admit"
	"plantainwinch/coord/fleet"
	"plantainwinch/winch"
)

const (
	// stateInterval is how often the planner sends its forecast for new jobs.
	stateInterval = 500 * time.Millisecond
	// maxSubmissions is how often a caller submits a job.
	maxSubmissions = 5
)

// admission simulates the gates of the entries and the callers whose jobs they refuse.
type admission struct {
	gates    []*admit.Gate
	sequence uint64
	// refusals counts the refusals of each job, gaveUp holds the jobs whose callers no longer submit them.
	refusals map[string]int
	gaveUp   map[string]bool
}

func newAdmission(entries int) admission {
	a := admission{refusals: make(map[string]int), gaveUp: make(map[string]bool)}
	for range entries {
		a.gates = append(a.gates, &admit.Gate{})
	}
	return a
}

// gateOf returns the gate at which an attempt to submit a job arrives.
func (a *admission) gateOf(id string, attempt int) *admit.Gate {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(attempt)})
	_, _ = h.Write([]byte(id))
	return a.gates[h.Sum64()%uint64(len(a.gates))]
}

// submit submits a job, and again when the caller of a refused job is told to come back.
func (r *simRegion) submit(a *jobArrival) {
	q := r.queue(a.job.Queue)
	attempt := r.admission.refusals[a.job.ID]
	d := r.admission.gateOf(a.job.ID, attempt).Decide(admit.Job{
		ID: a.job.ID, Team: a.job.Team, Queue: &q, Chain: fleet.EstimatedChain(&a.job, &q), MilliSeconds: fleet.JobMilliSeconds(&a.job),
	}, r.now)
	if !d.Refused {
		a.job.Accepted = r.now
		r.planner.Add(&a.job, nil, 0)
		r.scheduleDecision()
		return
	}
	r.planner.NoteRefused(a.job.Queue, a.job.Team, 1, r.now)
	r.planner.NoteRefusedIDs([]uint32{admit.Hash(a.job.ID)}, r.now)
	r.admission.refusals[a.job.ID]++
	if attempt+1 >= maxSubmissions {
		r.admission.gaveUp[a.job.ID] = true
		return
	}
	r.schedule(d.RetryAfter, func() { r.submit(a) })
}

// scheduleStates schedules the planner's forecasts.
func (r *simRegion) scheduleStates() {
	r.schedule(stateInterval, func() {
		r.sendState()
		r.scheduleStates()
	})
}

// sendState sends the planner's forecast to all entries.
func (r *simRegion) sendState() {
	r.admission.sequence++
	s := r.planner.Admission(r.now)
	s.Sequence, s.Entries = r.admission.sequence, len(r.admission.gates)
	r.schedule(messageDelay, func() {
		for _, g := range r.admission.gates {
			g.Update(s, r.now)
		}
	})
}

// tookSinceFirstSent returns how long a job took since its caller first sent it.
func (r *simRegion) tookSinceFirstSent(e fleet.JobSummary) time.Duration {
	return e.Accepted.Add(e.Took).Sub(r.begin.Add(r.jobs[e.Job].at))
}

// countAbandoned adds the jobs that were refused in the end, and those that were accepted and did not end
// within three objectives.
func (s *QueueOutcome) countAbandoned(r *simRegion) {
	within := 0
	for _, x := range s.Ratios {
		if x <= winch.LateFactor {
			within++
		}
	}
	for id := range r.admission.gaveUp {
		if r.jobs[id].job.Queue == s.Queue {
			s.Refused++
		}
	}
	s.Abandoned = s.Jobs - s.Refused - within
}
