package office

import (
	"context"
	"time"

	"plantainwinch/proto"
)

// JobsChanged handles a change of the ledger partition that is stored under key: it reads
// the partition's jobs and submits or cancels them at the planner.
func (o *Office) JobsChanged(ctx context.Context, key string) {
	s := o.current.Load()
	if s == nil {
		return
	}
	var read *ledgerRead
	if o.Duty.Do(context.Background(), func() { read = s.reads.begin() }) != nil {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	jobs, err := o.Ledger.JobsAt(readCtx, key)
	// The process may have been paused until ctx expired. The jobs are applied all the same.
	_ = o.Duty.Do(context.Background(), func() { s.applyRead(read, jobs, err, s.applyJob) })
	o.PlanSoon()
}

// Reload makes the planner read the whole ledger again.
func (o *Office) Reload() {
	if s := o.current.Load(); s != nil {
		s.markStale()
		o.PlanSoon()
	}
}

// markStale makes the planner read the whole ledger again because a change of it could not
// be read or applied.
func (s *plannerState) markStale() {
	_ = s.Duty.Do(context.Background(), func() { s.stale = true })
}

// JobChanged handles the acceptance or cancellation of a job: it reads the job's ledger
// partition.
func (o *Office) JobChanged(ctx context.Context, id string) {
	if s := o.current.Load(); s != nil {
		o.JobsChanged(ctx, o.Ledger.Key(o.Ledger.PartitionOf(id)))
	}
}

// AccessKeysChanged cancels the waiting jobs whose access keys have been withdrawn.
func (o *Office) AccessKeysChanged(ctx context.Context) {
	s := o.current.Load()
	if s == nil {
		return
	}
	_ = o.Duty.Do(ctx, func() {
		if !s.ended {
			s.cancelWithdrawnKeys()
		}
	})
	o.PlanSoon()
}

// Status returns what the planner knows of a job.
func (o *Office) Status(ctx context.Context, id string) (out proto.JobStatus) {
	if o.current.Load() == nil {
		return out
	}
	_ = o.Duty.Do(ctx, func() {
		st, ok := o.Planner.Status(id, time.Now())
		if !ok {
			return
		}
		out = proto.JobStatus{Known: true, Why: st.Why, Running: st.Running, Ended: st.Ended, Forecast: st.Forecast}
		out.Started = st.Started
	})
	return out
}

// Load returns the total and the used capacity of the domain's workers and the numbers of
// waiting and of running tasks.
func (o *Office) Load(ctx context.Context) (out proto.OfficeLoad) {
	_ = o.Duty.Do(ctx, func() {
		out.Size, out.Used, out.Waiting, out.Running = o.Planner.Load()
	})
	return out
}

// IsHolder reports whether this entry currently serves as the domain's planner.
func (o *Office) IsHolder() bool {
	return o.current.Load() != nil
}
