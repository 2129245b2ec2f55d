package fleet

import (
	"time"
)

const (
	// minFailedJobs is how many distinct jobs must fail at a worker in a row, without a success in
	// between, before the worker is quarantined. A job that can never succeed fails everywhere,
	// but it counts only once.
	minFailedJobs = 3
	// minQuarantine and maxQuarantine limit a quarantine, which doubles in length while the worker
	// keeps failing.
	minQuarantine = 2 * time.Second
	maxQuarantine = 30 * time.Second
	// refusedQuarantine is how long a worker gets no new work after it refused a start for lack of
	// capacity or did not respond: its next lists arrive within that time.
	refusedQuarantine = 300 * time.Millisecond
)

// health tracks the failures at a worker, to distinguish a worker that fails everything from jobs
// that fail everywhere.
type health struct {
	jobs map[string]bool
	// until is the end of the quarantine, period the length of the last one.
	until  time.Time
	period time.Duration
}

func (h *health) succeeded() {
	h.jobs = nil
	h.period = 0
}

func (h *health) failed(now time.Time, job string) {
	if h.jobs == nil {
		h.jobs = make(map[string]bool)
	}
	h.jobs[job] = true
	if len(h.jobs) < minFailedJobs {
		return
	}
	h.period = min(max(minQuarantine, 2*h.period), maxQuarantine)
	h.quarantine(now, h.period)
}

func (h *health) quarantine(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(h.until) {
		h.until = until
	}
}

func (h *health) quarantined(now time.Time) bool {
	return now.Before(h.until)
}
