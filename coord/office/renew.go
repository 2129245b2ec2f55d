package office

import (
	"context"
	"time"

	"plantainwinch/winch"
)

const (
	// unresponsiveAfterFailures is the number of consecutive failed renewals after which a
	// worker counts as unresponsive.
	silentAfter = 3
	// renewalRetryDelay is the pause after a failed renewal.
	retryRenewal = 300 * time.Millisecond
)

// renewLoop renews the leases of one worker's tasks, with one message for all of them, and
// handles the completions that the worker reports.
func (s *session) attendLoop(ctx context.Context, w *vmState) {
	full := true
	for ctx.Err() == nil {
		var call winch.Renewal
		if s.Duty.Do(ctx, func() { call = s.renewal(w, full) }) != nil {
			return
		}
		report, err := s.Worker.Renew(ctx, w.vm, call)
		s.heard(err)
		_ = s.Duty.Do(ctx, func() { full = s.answered(w, call, report, err) })
		if err != nil || call.Full && full {
			wait(ctx, retryRenewal)
		}
	}
}

// sleep pauses for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// nextRenewal returns the next message to a worker. The message to an unresponsive worker
// carries no lease: a message may arrive although its response is lost, and each one would
// postpone the time at which the worker's leases are guaranteed to have expired.
func (s *session) renewal(w *vmState, full bool) winch.Renewal {
	w.forget = s.ends.take(w.vm.ID)
	w.expect = s.Planner.ConfirmedOn(w.vm.ID)
	call := winch.Renewal{Epoch: s.term.epoch, Full: full || w.doubt, Forget: w.forget}
	if w.failures < silentAfter && s.mayAct() {
		call.Lease = s.TaskLease
		w.contacted = time.Now()
	}
	if w.failures == 0 && !call.Full {
		call.Wait = s.TaskLease / 3
	}
	return call
}

// handleReport applies a worker's response to a renewal, or its failure. It reports
// whether the next renewal must ask for all tasks.
func (s *session) answered(w *vmState, call winch.Renewal, report winch.Report, err error) bool {
	now := time.Now()
	if call.Lease > 0 {
		// The process may have been paused between creating and sending the message, so
		// the leases count from the end of the call and not from its start.
		w.contacted = now
	}
	if err != nil {
		s.ends.restore(w.vm.ID, w.forget)
		w.failures++
		if w.failures >= silentAfter && w.known && !w.gone && now.Sub(w.contacted) > s.TaskLease+driftMargin {
			s.lapse(w, now)
		}
		return true
	}
	w.failures = 0
	s.ends.forgotten(w.vm.ID, w.forget)
	s.returned(w)
	s.ended(w, report, now)
	if s.short(w, report) && !call.Full {
		w.doubt = true
	}
	if call.Full {
		w.doubt = false
		s.carryOut(s.Planner.Reconcile(w.vm.ID, report.Tasks, now))
		s.missing(w, report)
		s.vanished(w, report, now)
		if !w.known {
			w.known = true
			s.Wake()
		}
	}
	return false
}

// expireWorker removes an unresponsive worker from the planner. The leases of its tasks are
// guaranteed to have expired.
func (s *session) lapse(w *vmState, now time.Time) {
	w.gone = true
	s.Planner.RemoveWorker(w.vm.ID, now)
	s.Wake()
}

// restoreWorker adds a worker to the planner again if it had been removed because it was
// unresponsive for longer than its leases.
func (s *session) returned(w *vmState) {
	if w.gone {
		w.gone = false
		s.Planner.SetVM(w.vm)
	}
}

// handleCompletions applies the completions in a worker's report. The worker keeps them
// until they are in the ledger: if this planner crashes before that, its successor can
// learn of a completion only from the worker, and would otherwise run the task again.
func (s *session) ended(w *vmState, report winch.Report, now time.Time) {
	for _, t := range report.Tasks {
		if t.State == winch.TaskRunning || s.ends.has(w.vm.ID, t.Ref()) {
			continue
		}
		s.carryOut(s.Planner.TaskEnded(w.vm.ID, t, now))
		s.ends.add(w.vm.ID, t)
		s.Wake()
	}
}

// blockLostStarts blocks the starts whose request may have been lost: the response was lost,
// and the worker's full list does not contain the task. Starts that are still in progress
// are not considered.
func (s *session) missing(w *vmState, report winch.Report) {
	listed := make(map[winch.TaskID]bool, len(report.Tasks))
	for _, t := range report.Tasks {
		listed[t.ID] = true
	}
	for _, t := range s.Planner.UncertainOn(w.vm.ID) {
		if !listed[t.ID] {
			s.group.Go(func() { s.bar(w, t) })
		}
	}
}

// runsFewer reports whether a worker runs fewer tasks than it had acknowledged before the
// renewal was sent, not counting those whose completion it reports.
func (s *session) short(w *vmState, report winch.Report) bool {
	ended := make(map[winch.Attempt]bool, len(report.Tasks))
	for _, t := range report.Tasks {
		ended[t.Ref()] = t.State != winch.TaskRunning
	}
	expected := 0
	for _, a := range w.expect {
		if !ended[a] {
			expected++
		}
	}
	return report.Running < expected
}

// handleMissing tells the planner of tasks that the worker had acknowledged but that its
// full list does not contain. Otherwise they would count as running forever.
func (s *session) vanished(w *vmState, report winch.Report, now time.Time) {
	listed := make(map[winch.Attempt]bool, len(report.Tasks))
	for _, t := range report.Tasks {
		listed[t.Ref()] = true
	}
	for _, a := range w.expect {
		if !listed[a] {
			s.carryOut(s.Planner.TaskMissing(w.vm.ID, a, now))
		}
	}
}

// blockStart makes the worker refuse a lost start request that may still arrive, before
// the task is started elsewhere. A worker whose process was paused may still have the
// request in its receive buffer, and the task would run twice.
func (s *session) bar(w *vmState, t winch.Task) {
	ctx, cancel := context.WithTimeout(context.Background(), s.TaskLease/3)
	defer cancel()
	found, err := s.Worker.Stop(ctx, w.vm, s.term.epoch, t)
	s.heard(err)
	_ = s.Duty.Do(context.Background(), func() {
		switch {
		case err != nil:
			w.doubt = true
		case found:
			t.State = winch.TaskStopped
			s.carryOut(s.Planner.TaskEnded(w.vm.ID, t, time.Now()))
		default:
			s.carryOut(s.Planner.StartRefused(t.Ref(), time.Now()))
		}
		s.Wake()
	})
}
