package place

import "time"

const (
	// failedJobsToQuarantine is how many distinct jobs must fail in a row on a worker
	// before it is quarantined.
	failedJobsToQuarantine = 3
	// minQuarantine and maxQuarantine bound the time before the worker is tried again.
	minQuarantine = 5 * time.Second
	maxQuarantine = 5 * time.Minute
	// quarantineDivisor bounds how many workers are quarantined at once: about one in
	// quarantineDivisor.
	quarantineDivisor = 5
)

// health distinguishes a worker that fails every job from jobs that fail on every worker.
type health struct {
	failedJobs map[string]bool // failedJobs holds the jobs that failed since the last success.
	backoff    time.Duration   // backoff is the duration of the latest quarantine.
}

func (h *health) reset() {
	h.failedJobs = nil
	h.backoff = 0
}

// recordFailure records a failure of a job on a worker. A worker on which several
// distinct jobs failed in a row, none of them known to fail on other workers too, is
// quarantined. Otherwise it would always have free capacity, since its tasks end at
// once, and the whole queue would be started there and fail.
func (p *Planner) recordFailure(n *node, j *job, now time.Time) {
	j.failedWorkers[n.vm.ID] = true
	if len(j.failedWorkers) > 1 {
		return
	}
	h := &n.health
	if h.failedJobs == nil {
		h.failedJobs = make(map[string]bool)
	}
	h.failedJobs[j.rec.ID] = true
	if len(h.failedJobs) < failedJobsToQuarantine || p.quarantinedCount(now)*quarantineDivisor >= len(p.nodes) {
		return
	}
	h.backoff = min(max(2*h.backoff, minQuarantine), maxQuarantine)
	n.quarantinedUntil = now.Add(h.backoff)
}

func (p *Planner) quarantinedCount(now time.Time) (count int) {
	for _, n := range p.nodes {
		if now.Before(n.quarantinedUntil) {
			count++
		}
	}
	return count
}

// endQuarantines makes workers available again whose quarantine is over. One more
// failure of any job quarantines them again, for longer.
func (p *Planner) endQuarantines(now time.Time) {
	for _, n := range p.nodes {
		if !n.quarantinedUntil.IsZero() && !now.Before(n.quarantinedUntil) {
			n.quarantinedUntil = time.Time{}
			p.capacityVersion++
		}
	}
}
