package place

import "time"

const (
	// failedJobsToQuarantine is how many distinct jobs must fail in a row on a worker
	// before it is quarantined.
	badJobs = 3
	// minQuarantine and maxQuarantine bound the time before the worker is tried again.
	asideFirst = 5 * time.Second
	asideMost  = 5 * time.Minute
	// quarantineDivisor bounds how many workers are quarantined at once: about one in
	// quarantineDivisor.
	asidePart = 5
)

// health distinguishes a worker that fails every job from jobs that fail on every worker.
type health struct {
	failed  map[string]bool
	backoff time.Duration
}

func (h *health) good() {
	h.failed = nil
	h.backoff = 0
}

// recordFailure records a failure of a job on a worker. A worker on which several
// distinct jobs failed in a row, none of them known to fail on other workers too, is
// quarantined. Otherwise it would always have free capacity, since its tasks end at
// once, and the whole queue would be started there and fail.
func (p *Planner) failedOn(n *node, j *job, now time.Time) {
	j.badOn[n.vm.ID] = true
	if len(j.badOn) > 1 {
		return
	}
	h := &n.health
	if h.failed == nil {
		h.failed = make(map[string]bool)
	}
	h.failed[j.rec.ID] = true
	if len(h.failed) < badJobs || p.asideCount(now)*asidePart >= len(p.nodes) {
		return
	}
	h.backoff = min(max(2*h.backoff, asideFirst), asideMost)
	n.aside = now.Add(h.backoff)
}

func (p *Planner) asideCount(now time.Time) (count int) {
	for _, n := range p.nodes {
		if now.Before(n.aside) {
			count++
		}
	}
	return count
}

// endQuarantines makes workers available again whose quarantine is over. One more
// failure of any job quarantines them again, for longer.
func (p *Planner) wakeNodes(now time.Time) {
	for _, n := range p.nodes {
		if !n.aside.IsZero() && !now.Before(n.aside) {
			n.aside = time.Time{}
			p.roomVersion++
		}
	}
}
