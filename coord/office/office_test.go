package office

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/coord/place"
	"plantainwinch/coord/quota"
	"plantainwinch/duty"
	"plantainwinch/stand"
	"plantainwinch/state/ledger"
	"plantainwinch/winch"
)

// testPlanner is a planner in its first term, with a simulated store and one accepted job.
type testPlanner struct {
	*plannerState
	doc   *winch.Document
	job   winch.Job
	store *hookStore
}

// hookStore runs a function after each read, to simulate an event during the read.
type hookStore struct {
	*stand.Platform
	afterGet func()
}

// Get implements winch.Store.
func (s *hookStore) Get(ctx context.Context, key string) (winch.Value, error) {
	v, err := s.Platform.Get(ctx, key)
	if s.afterGet != nil {
		s.afterGet()
	}
	return v, err
}

// withPlanner runs f with a planner whose duty loop and ledger are running.
func withPlanner(t *testing.T, f func(t *testing.T, p *testPlanner)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		p := newTestPlanner(t)
		group.Go(func() { p.Duty.Run(ctx) })
		group.Go(func() { p.Ledger.Run(ctx) })
		job, err := p.Ledger.Accept(ctx, p.job)
		if err != nil {
			t.Fatal(err)
		}
		p.job = job
		f(t, p)
	})
}

func newTestPlanner(t *testing.T) *testPlanner {
	t.Helper()
	p := &testPlanner{doc: &winch.Document{Version: 1, Classes: map[string]winch.Class{"mix": {Name: "mix", By: "06:00", Repeatable: true}}}}
	store := &hookStore{Platform: &stand.Platform{}}
	p.store = store
	jobs := &ledger.Ledger{Store: store, Prefix: ledger.JobsPrefix, Partitions: 1, Metrics: metrics.NewRegistry()}
	jobs.Prepare()
	loop := duty.New("Office", 0, nil)
	units := &quota.Holder{Name: "Office/d1", Office: true, Store: store, Duty: loop, Document: func() *winch.Document { return p.doc }}
	units.Prepare()
	o := &Office{
		Self: "d1-0", Domain: "d1", Store: store, Ledger: jobs, Duty: loop, Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Planner:  place.NewPlanner(units, func(string) winch.Team { return winch.Team{} }),
		Document: func() *winch.Document { return p.doc },
	}
	o.Prepare()
	p.plannerState = &plannerState{Office: o, term: &term{epoch: 1}, workers: make(map[string]*workerState), finishedJobs: make(map[string]bool)}
	o.current.Store(p.plannerState)
	p.job = winch.Job{
		ID: "Jone", Domain: "d1", Team: "choir", Class: "mix", State: winch.JobQueued, Epoch: 1,
		Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 1, Need: winch.Resources{Processors: 1, Memory: 1}, Command: "echo"},
	}
	return p
}

func (p *testPlanner) hasJob(ctx context.Context) (ok bool) {
	_ = p.Duty.Do(ctx, func() { _, ok = p.Planner.Record(p.job.ID) })
	return ok
}

// The process is paused while it handles the notification of a new job, until the context
// of that call expires. The planner must submit the job all the same: the caller has been
// notified that it is accepted and would otherwise wait forever.
func TestJobIsSubmittedAfterAPause(t *testing.T) {
	const tries = 20 // Duty.Do may or may not accept work if the context has expired.
	for range tries {
		withPlanner(t, func(t *testing.T, p *testPlanner) {
			is := is.New(t)
			p.loaded = true
			ctx, cancel := context.WithCancel(t.Context())
			p.store.afterGet = cancel
			p.JobsChanged(ctx, p.Ledger.Key(0))
			p.store.afterGet = nil
			p.loadJobs(t.Context())
			is.True(p.hasJob(t.Context()))
		})
	}
}

// A planner acquires the office before it has read the configuration. It must not lose the
// jobs in the ledger, whose classes it does not know yet: it must submit them once it has
// read the configuration.
func TestJobsAreSubmittedOnceTheConfigurationIsRead(t *testing.T) {
	withPlanner(t, func(t *testing.T, p *testPlanner) {
		is := is.New(t)
		doc := p.doc
		p.doc = nil
		p.loadJobs(t.Context())
		is.Equal(p.hasJob(t.Context()), false)
		p.doc = doc
		p.loadJobs(t.Context())
		is.True(p.hasJob(t.Context()))
	})
}
