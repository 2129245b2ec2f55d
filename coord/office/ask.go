package office

import (
	"context"
	"time"

	"plantainwinch/proto"
)

// JobsChanged tells that a partition of the jobs' ledger has changed.
func (o *Office) JobsChanged(ctx context.Context, key string) {
	s := o.current.Load()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	jobs, err := o.Ledger.JobsAt(ctx, key)
	if err != nil {
		s.reload()
		return
	}
	err = o.Duty.Do(ctx, func() {
		for _, j := range jobs {
			s.take(j)
		}
	})
	if err != nil {
		s.reload() // The process stood still for so long that the time for this was over.
	}
	o.Wake()
}

// Reload has the placer read the whole ledger again.
func (o *Office) Reload() {
	if s := o.current.Load(); s != nil {
		s.reload()
		o.Wake()
	}
}

// reload makes the session read the whole ledger again, since a change of it
// could not be read.
func (s *session) reload() {
	_ = s.Duty.Do(context.Background(), func() { s.stale = true })
}

// JobChanged tells that a job was accepted or cancelled.
func (o *Office) JobChanged(ctx context.Context, id string) {
	if s := o.current.Load(); s != nil {
		o.JobsChanged(ctx, o.Ledger.Key(o.Ledger.PartitionOf(id)))
	}
}

// KeysChanged cancels the waiting jobs of keys that are no longer valid.
func (o *Office) KeysChanged(ctx context.Context) {
	s := o.current.Load()
	if s == nil {
		return
	}
	_ = o.Duty.Do(ctx, func() { s.withdraw() })
	o.Wake()
}

// Status tells what the placer knows of a job.
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

// Load returns how full the domain's workers are.
func (o *Office) Load(ctx context.Context) (out proto.OfficeLoad) {
	_ = o.Duty.Do(ctx, func() {
		out.Size, out.Used, out.Waiting = o.Planner.Load()
	})
	return out
}

// Holds reports whether this entry is doing the placer's work.
func (o *Office) Holds() bool {
	return o.current.Load() != nil
}
