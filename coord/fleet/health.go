package fleet

import (
	"time"
)

const (
	// failuresOfJobs is how many distinct jobs must fail at a worker in a row,
	// with no task ending well in between, before the worker is set aside. A job
	// that can never be done fails everywhere, but it is one job.
	failuresOfJobs = 3
	// firstRest and mostRest bound how long a worker is set aside; the time
	// doubles while it goes on failing.
	firstRest = 2 * time.Second
	mostRest  = 30 * time.Second
	// refusedRest is how long a worker that refused a start for want of room, or
	// did not answer, gets no new one: its next lists come within that time.
	refusedRest = 300 * time.Millisecond
)

// health tells a worker that fails all it starts from jobs that fail anywhere.
type health struct {
	jobs    map[string]bool
	until   time.Time
	penalty time.Duration
}

func (h *health) good() {
	h.jobs = nil
	h.penalty = 0
}

func (h *health) bad(now time.Time, job string) {
	if h.jobs == nil {
		h.jobs = make(map[string]bool)
	}
	h.jobs[job] = true
	if len(h.jobs) < failuresOfJobs {
		return
	}
	h.penalty = min(max(firstRest, 2*h.penalty), mostRest)
	h.rest(now, h.penalty)
}

func (h *health) rest(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(h.until) {
		h.until = until
	}
}

func (h *health) resting(now time.Time) bool {
	return now.Before(h.until)
}
