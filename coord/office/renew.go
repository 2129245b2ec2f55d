package office

import (
	"context"
	"time"

	"plantainwinch/winch"
)

const (
	// unresponsiveAfterFailures is the number of consecutive failed renewals after which a
	// worker counts as unresponsive.
	unresponsiveAfterFailures = 3
	// renewalRetryDelay is the pause after a failed renewal.
	renewalRetryDelay = 300 * time.Millisecond
)

// renewLoop renews the leases of one worker's tasks, with one message for all of them, and
// handles the completions that the worker reports.
func (s *plannerState) renewLoop(ctx context.Context, w *workerState) {
	full := true
	for ctx.Err() == nil {
		var call winch.Renewal
		if s.Duty.Do(ctx, func() { call = s.nextRenewal(w, full) }) != nil {
			return
		}
		report, err := s.Worker.Renew(ctx, w.vm, call)
		s.checkFenced(err)
		_ = s.Duty.Do(ctx, func() { full = s.handleReport(w, call, report, err) })
		if err != nil || call.Full && full {
			sleep(ctx, renewalRetryDelay)
		}
	}
}

// sleep pauses for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// nextRenewal returns the next message to a worker. The message to an unresponsive worker
// carries no lease: a message may arrive although its response is lost, and each one would
// postpone the time at which the worker's leases are guaranteed to have expired.
func (s *plannerState) nextRenewal(w *workerState, full bool) winch.Renewal {
	w.forget = s.completions.takeForgettable(w.vm.ID)
	w.acknowledged = s.Planner.ConfirmedOn(w.vm.ID)
	call := winch.Renewal{Epoch: s.term.epoch, Full: full || w.needsFullList, Forget: w.forget}
	if w.failures < unresponsiveAfterFailures && s.mayStart() {
		call.Lease = s.TaskLease
		w.lastContact = time.Now()
	}
	if w.failures == 0 && !call.Full {
		call.Wait = s.TaskLease / 3
	}
	return call
}

// handleReport applies a worker's response to a renewal, or its failure. It reports
// whether the next renewal must request the list of all tasks.
func (s *plannerState) handleReport(w *workerState, call winch.Renewal, report winch.Report, err error) bool {
	now := time.Now()
	if call.Lease > 0 {
		// The process may have been paused between creating and sending the message, so
		// the leases count from the end of the call and not from its start.
		w.lastContact = now
	}
	if err != nil {
		s.completions.restoreForgettable(w.vm.ID, w.forget)
		w.failures++
		if w.failures >= unresponsiveAfterFailures && w.reconciled && !w.expired && now.Sub(w.lastContact) > s.TaskLease+clockDriftMargin {
			s.expireWorker(w, now)
		}
		return true
	}
	w.failures = 0
	s.completions.removeForgotten(w.vm.ID, w.forget)
	s.restoreWorker(w)
	s.handleCompletions(w, report, now)
	if s.runsFewer(w, report) && !call.Full {
		w.needsFullList = true
	}
	if call.Full {
		w.needsFullList = false
		s.execute(s.Planner.Reconcile(w.vm.ID, report.Tasks, now))
		s.blockLostStarts(w, report)
		s.handleMissing(w, report, now)
		if !w.reconciled {
			w.reconciled = true
			s.PlanSoon()
		}
	}
	return false
}

// expireWorker removes an unresponsive worker from the planner. The leases of its tasks are
// guaranteed to have expired.
func (s *plannerState) expireWorker(w *workerState, now time.Time) {
	w.expired = true
	s.Planner.RemoveWorker(w.vm.ID, now)
	s.PlanSoon()
}

// restoreWorker adds a worker to the planner again if it had been removed because it was
// unresponsive for longer than its leases.
func (s *plannerState) restoreWorker(w *workerState) {
	if w.expired {
		w.expired = false
		s.Planner.SetVM(w.vm)
	}
}

// handleCompletions applies the completions in a worker's report. The worker keeps them
// until they are in the ledger: if this planner crashes before that, its successor can
// learn of a completion only from the worker, and would otherwise run the task again.
func (s *plannerState) handleCompletions(w *workerState, report winch.Report, now time.Time) {
	for _, t := range report.Tasks {
		if t.State == winch.TaskRunning || s.completions.has(w.vm.ID, t.Ref()) {
			continue
		}
		s.execute(s.Planner.TaskEnded(w.vm.ID, t, now))
		s.completions.add(w.vm.ID, t)
		s.PlanSoon()
	}
}

// blockLostStarts blocks the starts whose request may have been lost: the response was lost,
// and the worker's full list does not contain the task. Starts that are still in progress
// are not considered.
func (s *plannerState) blockLostStarts(w *workerState, report winch.Report) {
	listed := listedAttempts(report)
	for _, t := range s.Planner.UncertainOn(w.vm.ID) {
		if !listed[t.Ref()] {
			s.group.Go(func() { s.blockStart(w, t) })
		}
	}
}

func listedAttempts(report winch.Report) map[winch.Attempt]bool {
	listed := make(map[winch.Attempt]bool, len(report.Tasks))
	for _, t := range report.Tasks {
		listed[t.Ref()] = true
	}
	return listed
}

// runsFewer reports whether a worker runs fewer tasks than it had acknowledged before the
// renewal was sent, not counting those whose completion it reports.
func (s *plannerState) runsFewer(w *workerState, report winch.Report) bool {
	ended := make(map[winch.Attempt]bool, len(report.Tasks))
	for _, t := range report.Tasks {
		ended[t.Ref()] = t.State != winch.TaskRunning
	}
	expected := 0
	for _, a := range w.acknowledged {
		if !ended[a] {
			expected++
		}
	}
	return report.Running < expected
}

// handleMissing reports to the planner the tasks that the worker had acknowledged but that
// its full list does not contain. Otherwise they would count as running forever.
func (s *plannerState) handleMissing(w *workerState, report winch.Report, now time.Time) {
	listed := listedAttempts(report)
	for _, a := range w.acknowledged {
		if !listed[a] {
			s.execute(s.Planner.TaskMissing(w.vm.ID, a, now))
		}
	}
}

// blockStart makes the worker refuse a lost start request that may still arrive, before
// the task is started elsewhere. A worker whose process was paused may still have the
// request in its receive buffer, and the task would run twice.
func (s *plannerState) blockStart(w *workerState, t winch.Task) {
	ctx, cancel := context.WithTimeout(context.Background(), s.TaskLease/3)
	defer cancel()
	found, err := s.Worker.Stop(ctx, w.vm, s.term.epoch, t)
	s.checkFenced(err)
	_ = s.Duty.Do(context.Background(), func() {
		switch {
		case err != nil:
			w.needsFullList = true
		case found:
			s.Planner.StartConfirmed(t.Ref()) // The worker lists how the run ended; it may be done.
		default:
			s.execute(s.Planner.StartRefused(t.Ref(), time.Now()))
		}
		s.PlanSoon()
	})
}
