package region

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// completionWait is how long the response for a job that may end soon waits for its completion: it
	// takes some 20 ms from the end of a task until that is recorded, more under load.
	completionWait = 60 * time.Millisecond
	// waitersCleanupInterval is how often requests that timed out waiting are forgotten.
	waitersCleanupInterval = 10 * time.Second
)

// addJobs adds the jobs that the planner does not know yet, and returns the IDs of those of which the
// store holds other records but no job record.
func (l *leadership) addJobs(values []winch.Value) (orphans []string) {
	all := make(map[string]*storedJob)
	for _, v := range values {
		id, part := parseJobKey(v.Key)
		known := l.planner.HasJob(id) && !(part == partJob && l.planner.EndedBefore(id, v.Version))
		if part == partNone || part != partCancel && known {
			continue
		}
		s := all[id]
		if s == nil {
			s = &storedJob{}
			all[id] = s
		}
		if err := s.add(part, v); err != nil {
			l.node.Log.Error("job record cannot be decoded", zap.String("key", v.Key), zap.Error(err))
		}
	}
	var jobs []fleet.StoredJob
	for id, s := range all {
		if s.job != nil {
			jobs = append(jobs, fleet.StoredJob{Job: s.job, Progress: s.progress, Revision: s.revision})
		} else if !l.planner.HasJob(id) {
			orphans = append(orphans, id)
		}
	}
	l.planner.AddAll(jobs)
	for id, s := range all {
		if s.cancelled {
			l.planner.Cancel(id)
		}
	}
	return orphans
}

// followJobs watches the store for jobs that are accepted or cancelled after the revision that was read.
func (l *leadership) followJobs(ctx context.Context) {
	add := func(values []winch.Value, _ uint64) {
		l.post(func() {
			l.addJobs(values)
			l.decideSoon()
		})
	}
	l.node.watch(ctx, prefixJobs, watchOptions{delay: jobsPollInterval, after: l.jobsRevision}, add, func(events []winch.Event, asOf uint64) {
		var values []winch.Value
		for _, e := range events {
			if !e.Deleted {
				values = append(values, e.Value)
			}
		}
		add(values, asOf)
	})
}

// applyNotification applies an entry's notification: accepted jobs or a cancellation.
func (l *leadership) applyNotification(body any) {
	l.post(func() {
		switch m := body.(type) {
		case proto.AcceptedJobs:
			for _, a := range m.Jobs {
				if a.Revision <= l.jobsRevision {
					continue // It was read from the store, or had ended by then.
				}
				if a.Command != "" {
					l.node.commands.Add(a.Job.ID, a.Command)
				}
				job := a.Job
				job.Revision = a.Revision
				l.planner.Add(&job, nil, 0)
			}
		case proto.CancelJob:
			l.planner.Cancel(m.ID)
		case proto.RefusedJobs:
			l.noteRefused(m)
		}
		l.decideSoon()
	})
}

// state returns the known state of a job. Callers often ask just as the last task ends, a moment
// before that is recorded and may be reported; with an immediate response they would learn of it only
// when they ask again. So the response for a job that may end soon waits briefly.
func (l *leadership) state(ctx context.Context, id string) proto.StateResponse {
	var resp proto.StateResponse
	var ended <-chan struct{}
	if l.duty.Do(ctx, func() {
		if l.validity.Load().remaining() <= -maxOfficeOverrun {
			return
		}
		resp.State, resp.Known = l.planner.State(id)
		if l.planner.EndsSoon(id) {
			ended = l.addWaiter(id)
		}
	}) != nil || ended == nil {
		return resp // Without a response the caller reads the store.
	}
	timer := time.NewTimer(completionWait)
	defer timer.Stop()
	select {
	case <-ended:
		resp.State, resp.Known = l.stateNow(ctx, id)
	case <-timer.C:
	case <-ctx.Done():
	}
	return resp
}

// stateNow returns the state that the planner has of a job.
func (l *leadership) stateNow(ctx context.Context, id string) (state winch.JobState, known bool) {
	_ = l.duty.Do(ctx, func() { state, known = l.planner.State(id) })
	return state, known
}

// stateWaiter is a request that waits since a moment for the end of a job; ended is closed at the end.
type stateWaiter struct {
	since time.Time
	ended chan struct{}
}

// addWaiter registers a request that waits for the end of a job.
func (l *leadership) addWaiter(id string) <-chan struct{} {
	ended := make(chan struct{})
	l.stateWaiters[id] = append(l.stateWaiters[id], stateWaiter{time.Now(), ended})
	return ended
}

// notifyWaiters wakes the requests that wait for the end of a job.
func (l *leadership) notifyWaiters(id string) {
	for _, w := range l.stateWaiters[id] {
		close(w.ended)
	}
	delete(l.stateWaiters, id)
}

// dropWaiters forgets requests that timed out waiting for jobs that did not end.
func (l *leadership) dropWaiters() {
	if time.Since(l.waitersClearedAt) <= waitersCleanupInterval {
		return
	}
	l.waitersClearedAt = time.Now()
	for id, waiters := range l.stateWaiters {
		waiters = slices.DeleteFunc(waiters, func(w stateWaiter) bool { return time.Since(w.since) > completionWait })
		if len(waiters) == 0 {
			delete(l.stateWaiters, id)
			continue
		}
		l.stateWaiters[id] = waiters
	}
}
