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

// placer is a session over a stand-in store, with one accepted job.
type placer struct {
	*session
	doc   *winch.Document
	job   winch.Job
	store *slowStore
}

// slowStore runs a function after a read, as if time passed there.
type slowStore struct {
	*stand.Platform
	after func()
}

// Get implements winch.Store.
func (s *slowStore) Get(ctx context.Context, key string) (winch.Value, error) {
	v, err := s.Platform.Get(ctx, key)
	if s.after != nil {
		s.after()
	}
	return v, err
}

// withPlacer runs a test with a placer whose duty runs.
func withPlacer(t *testing.T, f func(t *testing.T, p *placer)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		p := newPlacer(t)
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

func newPlacer(t *testing.T) *placer {
	t.Helper()
	p := &placer{doc: &winch.Document{Version: 1, Classes: map[string]winch.Class{"mix": {Name: "mix", By: "06:00", Repeatable: true}}}}
	store := &slowStore{Platform: &stand.Platform{}}
	p.store = store
	jobs := &ledger.Ledger{Store: store, Prefix: ledger.JobsPrefix, Partitions: 1, Metrics: metrics.NewRegistry()}
	jobs.Prepare()
	own := duty.New("Office", 0, nil)
	units := &quota.Holder{Name: "Office/d1", Office: true, Store: store, Duty: own, Document: func() *winch.Document { return p.doc }}
	units.Prepare()
	o := &Office{
		Self: "d1-0", Domain: "d1", Store: store, Ledger: jobs, Duty: own, Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Planner:  place.NewPlanner(units, func(string) winch.Team { return winch.Team{} }),
		Document: func() *winch.Document { return p.doc },
	}
	o.Prepare()
	p.session = &session{Office: o, term: &term{epoch: 1}, vms: make(map[string]*vmState), closed: make(map[string]bool)}
	o.current.Store(p.session)
	p.job = winch.Job{
		ID: "Jone", Domain: "d1", Team: "choir", Class: "mix", State: winch.JobQueued, Epoch: 1,
		Spec: winch.JobSpec{Kind: winch.Batch, Tasks: 1, Need: winch.Resources{Processors: 1, Memory: 1}, Command: "echo"},
	}
	return p
}

func (p *placer) knows(ctx context.Context) (ok bool) {
	_ = p.Duty.Do(ctx, func() { _, ok = p.Planner.Record(p.job.ID) })
	return ok
}

// The placer's process stands still while it takes note of a new job, for longer
// than that may take. The job must not be forgotten: its caller was told that it
// is accepted, and would wait for ever.
func TestJobIsTakenUpAfterAPause(t *testing.T) {
	const tries = 20 // Whether a duty takes work whose time is over is left to chance.
	for range tries {
		withPlacer(t, func(t *testing.T, p *placer) {
			is := is.New(t)
			p.loaded = true
			ctx, cancel := context.WithCancel(t.Context())
			p.store.after = cancel
			p.JobsChanged(ctx, p.Ledger.Key(0))
			p.store.after = nil
			p.load(t.Context())
			is.True(p.knows(t.Context()))
		})
	}
}

// A placer takes office before it has read the configuration. The jobs that it
// finds in the ledger are taken up once it has.
func TestJobsAreTakenUpOnceTheConfigurationIsThere(t *testing.T) {
	withPlacer(t, func(t *testing.T, p *placer) {
		is := is.New(t)
		doc := p.doc
		p.doc = nil
		p.load(t.Context())
		is.Equal(p.knows(t.Context()), false)
		p.doc = doc
		p.load(t.Context())
		is.True(p.knows(t.Context()))
	})
}
