package office

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/coord/place"
	"plantainwinch/winch"
)

// execute carries out the decisions in goroutines of their own, at most
// maxConcurrentDecisions at a time.
func (s *plannerState) execute(list []place.Decision) {
	for _, d := range list {
		s.group.Go(func() {
			s.semaphore <- struct{}{}
			defer func() { <-s.semaphore }()
			s.executeOne(d)
		})
	}
}

func (s *plannerState) executeOne(d place.Decision) {
	ctx, cancel := context.WithTimeout(context.Background(), s.TaskLease)
	defer cancel()
	switch d.Action {
	case place.Start:
		s.start(ctx, d)
	case place.Evict, place.Stop:
		_, err := s.Worker.Stop(ctx, d.VM, s.term.epoch, d.Task)
		s.checkFenced(err)
	}
}

// start starts a task. For a non-repeatable task it first records the intent, so that a
// later planner never starts the task again.
func (s *plannerState) start(ctx context.Context, d place.Decision) {
	err := s.recordIntent(ctx, d)
	if err == nil && !s.mayStart() {
		err = winch.ErrRefused
	}
	if err == nil && !s.stillPlaced(ctx, d) {
		return
	}
	if err == nil {
		err = s.Worker.Start(ctx, d.VM, s.term.epoch, d.Task, s.TaskLease)
	}
	s.checkFenced(err)
	_ = s.Duty.Do(context.Background(), func() {
		s.noteContact(d.VM.ID)
		s.handleStartResult(d, err)
	})
}

// stillPlaced reports whether a task is still to be started at its worker, and notes the
// contact with the worker. Recording the intent can take as long as the store is down. If
// the worker was unresponsive as well, its tasks may have been given up by then; a start
// would run the task twice and could exceed its team's limit.
func (s *plannerState) stillPlaced(ctx context.Context, d place.Decision) (ok bool) {
	_ = s.Duty.Do(ctx, func() {
		ok = s.Planner.StillPlaced(d.Task.Ref())
		s.noteContact(d.VM.ID)
	})
	return ok
}

// recordIntent records that a non-repeatable task is about to be started.
func (s *plannerState) recordIntent(ctx context.Context, d place.Decision) error {
	if d.Repeatable {
		return nil
	}
	err := s.Ledger.AddIntent(ctx, d.Task.ID)
	if err != nil {
		return errors.Join(winch.ErrRefused, err)
	}
	return nil
}

// noteContact notes that a message that extends leases may just have reached a worker.
func (s *plannerState) noteContact(id string) {
	if w := s.workers[id]; w != nil {
		w.lastContact = time.Now()
	}
}

// checkFenced ends the term if a worker refused a call because it knows a newer epoch.
func (s *plannerState) checkFenced(err error) {
	if errors.Is(err, winch.ErrFenced) {
		s.endTerm("a worker knows a newer epoch")
	}
}

// handleStartResult applies the outcome of a start. Any error other than a refusal means
// that the task may or may not run.
func (s *plannerState) handleStartResult(d place.Decision, err error) {
	switch {
	case err == nil:
		s.Planner.StartConfirmed(d.Task.Ref())
		metrics.GetOrRegisterCounter("Office.Starts", s.Metrics).Inc(1)
	case errors.Is(err, winch.ErrRefused) || errors.Is(err, winch.ErrFenced):
		s.execute(s.Planner.StartRefused(d.Task.Ref(), time.Now()))
		s.PlanSoon()
	default:
		s.Planner.StartUncertain(d.Task.Ref())
		if w := s.workers[d.VM.ID]; w != nil {
			w.needsFullList = true
		}
	}
}
