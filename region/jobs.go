package region

import (
	"context"
	"time"

	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// endingWait is how long the answer for a job that may end soon waits for the end: from a
	// task's end until it is recorded it takes some 20 ms, more under load.
	endingWait = 60 * time.Millisecond
	// endingForget is how often those that have waited in vain are forgotten.
	endingForget = 10 * time.Second
)

// takeJobs adds the jobs that the planner does not know yet, and returns the IDs of those
// of which there are parts but no job.
func (l *lead) takeJobs(values []winch.Value) (orphans []string) {
	all := make(map[string]*stored)
	for _, v := range values {
		id, what := jobKey(v.Key)
		if what == partNone || what != partCancel && l.planner.Known(id) {
			continue
		}
		s := all[id]
		if s == nil {
			s = &stored{}
			all[id] = s
		}
		if err := s.take(what, v); err != nil {
			l.node.Log.Error("record cannot be read", zap.String("key", v.Key), zap.Error(err))
		}
	}
	var jobs []fleet.Stored
	for id, s := range all {
		if s.job != nil {
			jobs = append(jobs, fleet.Stored{Job: s.job, Progress: s.progress, Revision: s.revision})
		} else if !l.planner.Known(id) {
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

// followJobs reads what is accepted and cancelled after a revision.
func (l *lead) followJobs(ctx context.Context) {
	take := func(values []winch.Value) {
		l.post(func() {
			l.takeJobs(values)
			l.wake()
		})
	}
	l.node.follow(ctx, prefixJobs, pacing{gap: jobsGap, after: l.jobsAt}, take, func(events []winch.Event) {
		var values []winch.Value
		for _, e := range events {
			if !e.Deleted {
				values = append(values, e.Value)
			}
		}
		take(values)
	})
}

// take takes what an entry tells: jobs that were accepted, or a cancel.
func (l *lead) take(body any) {
	l.post(func() {
		switch m := body.(type) {
		case proto.Accepted:
			for _, a := range m.Jobs {
				if a.Revision <= l.jobsAt {
					continue // It was read, or had ended by then.
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
		}
		l.wake()
	})
}

// state answers what is known of a job. Callers often ask just as the last task ends, a
// moment before that is recorded and may be told; answered at once they would learn of it
// only when they ask again. So the answer for a job that may end soon waits a little.
func (l *lead) state(ctx context.Context, id string) proto.StateGive {
	var give proto.StateGive
	var ended chan struct{}
	if l.duty.Do(ctx, func() {
		if l.valid.Load().left() <= -staleTime {
			return
		}
		give.State, give.Known = l.planner.State(id)
		if l.planner.Ending(id) {
			ended = make(chan struct{})
			l.asking[id] = append(l.asking[id], ended)
		}
	}) != nil || ended == nil {
		return give // Without an answer the store is asked.
	}
	timer := time.NewTimer(endingWait)
	defer timer.Stop()
	select {
	case <-ended:
		give.State, give.Known = l.stateNow(ctx, id)
	case <-timer.C:
	case <-ctx.Done():
	}
	return give
}

// stateNow returns the state that the planner has of a job.
func (l *lead) stateNow(ctx context.Context, id string) (state winch.JobState, known bool) {
	_ = l.duty.Do(ctx, func() { state, known = l.planner.State(id) })
	return state, known
}

// tellAsking answers those that wait for the end of a job.
func (l *lead) tellAsking(id string) {
	for _, ended := range l.asking[id] {
		close(ended)
	}
	delete(l.asking, id)
}

// dropAsking forgets those that have waited in vain for jobs that did not end.
func (l *lead) dropAsking() {
	if time.Since(l.askingAt) > endingForget {
		l.askingAt = time.Now()
		clear(l.asking)
	}
}
