package office

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/state/ledger"
	"plantainwinch/winch"
)

// recordFinishedJobs starts writing the results of finished jobs to the ledger.
func (s *plannerState) recordFinishedJobs(ctx context.Context) {
	for _, f := range s.Planner.TakeCompletions() {
		rec, ok := s.Planner.Record(f.Job)
		if !ok {
			continue
		}
		rec.State, rec.Reason, rec.Detail = f.State, f.Reason, f.Detail
		rec.Finished = time.Now().UTC()
		s.group.Go(func() { s.recordFinishedJob(ctx, rec) })
	}
}

// recordCompletions starts writing the completions of tasks whose jobs are unfinished, at
// most once per recordInterval, and removes finished jobs from the planner.
func (s *plannerState) recordCompletions() {
	if time.Since(s.lastRecording) < recordInterval {
		return
	}
	s.lastRecording = time.Now()
	for id := range s.finishedJobs {
		if s.Planner.Forget(id) {
			s.reads.outdate(id)
			delete(s.finishedJobs, id)
		}
	}
	for id, done := range s.completions.takeUnrecorded() {
		if s.finishedJobs[id] {
			s.completions.markRecorded(id, done)
			continue
		}
		if rec, ok := s.Planner.Record(id); ok && rec.State.Final() {
			continue // The result of the whole job will be recorded.
		}
		s.group.Go(func() { s.recordTasks(id, done) })
	}
}

// recordInterval is the shortest time between two writes of task completions. A task whose
// completion is not written yet does not run again as long as its worker lives.
const recordInterval = 500 * time.Millisecond

// recordTasks writes the successful ones of a job's ended tasks to the ledger. It then lets
// the workers forget all of the ended tasks, or has them written again after an error.
func (s *plannerState) recordTasks(id string, done []winch.Task) {
	var succeeded []int
	for _, t := range done {
		if t.State == winch.TaskDone {
			succeeded = append(succeeded, t.ID.Index)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.TaskLease)
	defer cancel()
	err := error(nil)
	if len(succeeded) > 0 {
		err = s.Ledger.Progress(ctx, id, succeeded)
	}
	if err == nil || errors.Is(err, ledger.ErrFinal) || errors.Is(err, winch.ErrNotFound) {
		_ = s.Duty.Do(context.Background(), func() { s.handleTasksRecorded(id, done) })
	} else {
		_ = s.Duty.Do(context.Background(), func() { s.completions.retryRecording(id) })
	}
}

// handleTasksRecorded lets the workers forget ended tasks that are in the ledger, or whose
// job is not in the ledger any more.
func (s *plannerState) handleTasksRecorded(id string, done []winch.Task) {
	s.completions.markRecorded(id, done)
	if _, known := s.Planner.Record(id); !known {
		s.Planner.ForgetEarly(id, done)
		s.reads.outdate(id)
	}
}

// recordRetryDelay is the pause before the result of a job is written again.
const recordRetryDelay = 500 * time.Millisecond

// recordFinishedJob retries until the result of the job is in the ledger or the term ends.
func (s *plannerState) recordFinishedJob(ctx context.Context, rec winch.Job) {
	for s.term.active() && ctx.Err() == nil {
		call, cancel := context.WithTimeout(context.Background(), s.TaskLease)
		err := s.Ledger.Finish(call, rec)
		cancel()
		if err == nil || errors.Is(err, ledger.ErrFinal) {
			_ = s.Duty.Do(context.Background(), func() { s.handleJobRecorded(rec) })
			return
		}
		sleep(ctx, recordRetryDelay)
	}
}

// handleJobRecorded lets the workers forget the tasks of a job whose result is recorded.
func (s *plannerState) handleJobRecorded(rec winch.Job) {
	s.finishedJobs[rec.ID] = true
	s.completions.markRecorded(rec.ID, nil)
	metrics.GetOrRegisterCounter("Office.Finished", s.Metrics).Inc(1)
}
