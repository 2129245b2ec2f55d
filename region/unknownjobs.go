package region

import (
	"context"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/duty"
)

// concurrentJobLookups is how many unknown jobs are looked up in the store at once.
const concurrentJobLookups = 4

// signalUnknown has the jobs looked up that the planner does not know and of which workers report runs or completions.
func (l *leadership) signalUnknown() {
	if l.planner.HasUnknownJobs() {
		duty.Signal(l.unknownCh)
	}
}

// runUnknownJobs looks up unknown jobs in the store until ctx ends.
func (l *leadership) runUnknownJobs(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.unknownCh:
		}
		var ids []string
		if l.duty.Do(ctx, func() { ids = l.planner.UnknownJobs() }) != nil {
			return
		}
		group := pool.New().WithMaxGoroutines(concurrentJobLookups).WithErrors()
		for _, id := range ids {
			group.Go(func() error { return l.lookUpJob(ctx, id) })
		}
		if err := group.Wait(); err != nil {
			l.node.Log.Info("unknown jobs not looked up; retrying", zap.Int("jobs", len(ids)), zap.Error(err))
			duty.Sleep(ctx, retryDelay)
			duty.Signal(l.unknownCh)
		}
	}
}

// lookUpJob reads a job from the store and adds it to the planner, or reports that it has ended.
func (l *leadership) lookUpJob(ctx context.Context, id string) error {
	var s storedJob
	ended, err := l.node.readEndedRecord(ctx, id)
	if err == nil && ended == nil {
		s, _, err = l.node.readJob(ctx, id)
	}
	if err != nil {
		return err
	}
	l.node.Log.Info("job looked up of which a worker reported", zap.String("job", id), zap.Bool("found", s.job != nil))
	l.post(func() {
		if s.job == nil {
			l.planner.JobMissing(id)
		} else {
			l.planner.AddAll([]fleet.StoredJob{{Job: s.job, Progress: s.progress, Revision: s.revision}})
		}
		if s.cancelled {
			l.planner.Cancel(id)
		}
		l.decideSoon()
	})
	return nil
}
