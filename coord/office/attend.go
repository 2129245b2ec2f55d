package office

import (
	"context"
	"time"

	"plantainwinch/winch"
)

const (
	// silentAfter is how many renewals must fail before a worker counts as silent.
	silentAfter = 3
	// retryRenewal is the pause after a failed renewal.
	retryRenewal = 300 * time.Millisecond
)

// attendLoop renews the leases of one worker's tasks with one message for all of
// them, and takes in what ended.
func (s *session) attendLoop(ctx context.Context, v *vmState) {
	full := true
	for ctx.Err() == nil {
		var call winch.Renewal
		if s.Duty.Do(ctx, func() { call = s.renewal(v, full) }) != nil {
			return
		}
		report, err := s.Worker.Renew(ctx, v.vm, call)
		s.heard(err)
		_ = s.Duty.Do(ctx, func() { full = s.answered(v, call, report, err) })
		if err != nil || call.Full && full {
			wait(ctx, retryRenewal)
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// renewal makes the next message. To a silent worker it carries no lease: each
// try could arrive although its answer does not, and would put off the time at
// which the worker's tasks have surely stopped.
func (s *session) renewal(v *vmState, full bool) winch.Renewal {
	v.forget = s.ends.take(v.vm.ID)
	v.expect = s.Planner.ConfirmedOn(v.vm.ID)
	call := winch.Renewal{Epoch: s.term.epoch, Full: full || v.doubt, Forget: v.forget}
	if v.failures < silentAfter && s.mayAct() {
		call.Lease = s.TaskLease
		v.contacted = time.Now()
	}
	if v.failures == 0 && !call.Full {
		call.Wait = s.TaskLease / 3
	}
	return call
}

// answered takes a worker's answer in and says whether the next renewal must
// ask for all tasks.
func (s *session) answered(v *vmState, call winch.Renewal, report winch.Report, err error) bool {
	now := time.Now()
	if call.Lease > 0 {
		// The process can have been paused between making the message and sending
		// it, so the leases count from the end of the call, not from its beginning.
		v.contacted = now
	}
	if err != nil {
		s.ends.restore(v.vm.ID, v.forget)
		v.failures++
		if v.failures >= silentAfter && v.known && !v.gone && now.Sub(v.contacted) > s.TaskLease+driftMargin {
			s.lapse(v, now)
		}
		return true
	}
	v.failures = 0
	s.ends.forgotten(v.vm.ID, v.forget)
	s.returned(v)
	s.ended(v, report, now)
	if s.short(v, report) && !call.Full {
		v.doubt = true
	}
	if call.Full {
		v.doubt = false
		s.carryOut(s.Planner.Known(v.vm.ID, report.Tasks, now))
		s.missing(v, report)
		s.vanished(v, report, now)
		if !v.known {
			v.known = true
			s.Wake()
		}
	}
	return false
}

// lapse gives a silent worker's tasks up: their leases have surely lapsed.
func (s *session) lapse(v *vmState, now time.Time) {
	v.gone = true
	s.Planner.Gone(v.vm.ID, now)
	s.Wake()
}

// returned takes a worker back that was silent for longer than its leases.
func (s *session) returned(v *vmState) {
	if v.gone {
		v.gone = false
		s.Planner.SetVM(v.vm)
	}
}

// ended takes in tasks that ended. The worker keeps them until their end is in
// the ledger: were this placer to die before, its successor could learn of the
// end only from the worker, and would else run the task again.
func (s *session) ended(v *vmState, report winch.Report, now time.Time) {
	for _, t := range report.Tasks {
		if t.State == winch.TaskRunning || s.ends.has(v.vm.ID, t.Ref()) {
			continue
		}
		s.carryOut(s.Planner.Ended(v.vm.ID, t, now))
		s.ends.add(v.vm.ID, t)
		s.Wake()
	}
}

// missing finds tasks that were committed to the worker, but that it does not
// run: their start was lost on the way. Only a full list can tell, and only of
// starts whose reply was lost, not of those still under way.
func (s *session) missing(v *vmState, report winch.Report) {
	listed := make(map[winch.TaskID]bool, len(report.Tasks))
	for _, t := range report.Tasks {
		listed[t.ID] = true
	}
	for _, t := range s.Planner.Doubtful(v.vm.ID) {
		if !listed[t.ID] {
			s.group.Go(func() { s.bar(v, t) })
		}
	}
}

// short reports whether a worker runs fewer tasks than it had acknowledged
// before the renewal was sent, less those whose end it reports.
func (s *session) short(v *vmState, report winch.Report) bool {
	ended := make(map[winch.Attempt]bool, len(report.Tasks))
	for _, t := range report.Tasks {
		ended[t.Ref()] = t.State != winch.TaskRunning
	}
	expected := 0
	for _, a := range v.expect {
		if !ended[a] {
			expected++
		}
	}
	return report.Running < expected
}

// vanished gives up tasks that a worker's full list does not hold although it
// had acknowledged them. They would else count as running for ever.
func (s *session) vanished(v *vmState, report winch.Report, now time.Time) {
	listed := make(map[winch.Attempt]bool, len(report.Tasks))
	for _, t := range report.Tasks {
		listed[t.Ref()] = true
	}
	for _, a := range v.expect {
		if !listed[a] {
			s.carryOut(s.Planner.Vanished(v.vm.ID, a, now))
		}
	}
}

// bar makes sure that a start which was lost on the way can no longer arrive,
// before the task is started elsewhere: a worker that was frozen could still
// find it among its unread requests, and the task would run in two places.
func (s *session) bar(v *vmState, t winch.Task) {
	ctx, cancel := context.WithTimeout(context.Background(), s.TaskLease/3)
	defer cancel()
	had, err := s.Worker.Stop(ctx, v.vm, s.term.epoch, t)
	s.heard(err)
	_ = s.Duty.Do(context.Background(), func() {
		switch {
		case err != nil:
			v.doubt = true
		case had:
			t.State = winch.TaskStopped
			s.carryOut(s.Planner.Ended(v.vm.ID, t, time.Now()))
		default:
			s.carryOut(s.Planner.Refused(t.Ref(), time.Now()))
		}
		s.Wake()
	})
}
