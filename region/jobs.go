package region

import (
	"context"

	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/proto"
	"plantainwinch/winch"
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

// state answers what is known of a job.
func (l *lead) state(ctx context.Context, id string) proto.StateGive {
	var give proto.StateGive
	_ = l.duty.Do(ctx, func() {
		if l.valid.Load().left() > -staleTime {
			give.State, give.Known = l.planner.State(id)
		}
	}) // Without an answer the store is asked.
	return give
}
