// Package soak runs real processes of the program as one region against a
// stand-in platform, brings faults about from outside by a seed, and checks what
// callers and workers see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/platform/fake"
)

const (
	// settleTime is how long the entries have to find each other before faults begin.
	settleTime = 3 * time.Second
	// healTime is how long accepted work may take to end once all faults are over:
	// the longest barrier of a planner, twice, and the work itself.
	healTime = 60 * time.Second
	// cancelTime is how long after a cancel that was acknowledged a task may still
	// start: a start that was on its way, and a planner that is being replaced.
	cancelTime = 5 * time.Second
	// limitMilli bounds the second team, so that its limit is always in use.
	limitMilli = 9000
	// jobPause is the mean pause of one caller between two jobs.
	jobPause = 400 * time.Millisecond
)

// Options says what a run is to be.
type Options struct {
	Program string // Program is the file of the program that is tried.
	Dir     string // Dir takes settings and logs.
	Seed    uint64
	Time    time.Duration // Time is how long faults are brought about.
	Domains int
	Entries int // Entries and Workers are per failure domain.
	Workers int
	Callers int
}

// Soak is one run. Set the options before Run.
type Soak struct {
	Options

	site    *fake.Platform
	procs   []*proc
	cuts    cuts
	rnd     *rand.Rand
	group   conc.WaitGroup
	mu      sync.Mutex
	report  Report
	started time.Time
	faults  *os.File
}

// Report is what a run saw.
type Report struct {
	Accepted, Refused, Cancelled, Done, Starts, Faults int
	Lasting                                            int // Lasting counts the tasks that ran until the end.
	// GivenUp counts the jobs that were given up since they crash workers, Crashed those workers.
	GivenUp, Crashed int
	Problems         []string
}

// Run runs to the end and returns the report; an error says that it could not
// be run.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.rnd = rand.New(rand.NewPCG(s.Seed, 1))
	if err := s.prepare(); err != nil {
		return s.report, err
	}
	defer s.end()
	s.started = time.Now()
	duty.Sleep(ctx, settleTime)
	calls, stop := context.WithTimeout(ctx, s.Time)
	defer stop()
	var callers conc.WaitGroup
	planned, over := context.WithCancel(ctx)
	defer over()
	for i := range s.Callers {
		callers.Go(func() { s.caller(ctx, calls, i) })
		callers.Go(func() { s.lasting(ctx, calls, planned, i) })
		callers.Go(func() { s.gangs(ctx, calls, i, 0) })
	}
	callers.Go(func() { s.crashing(ctx, calls) })
	s.group.Go(func() { s.workers(ctx, calls) })
	s.group.Go(func() { s.shrinks(ctx, calls) })
	s.group.Go(func() { s.cutting(calls) })
	for calls.Err() == nil {
		s.fault(calls)
		duty.Sleep(calls, time.Duration(100+s.rnd.IntN(1500))*time.Millisecond)
	}
	s.planned(ctx)
	s.group.Wait() // All faults undo themselves.
	duty.Sleep(ctx, settledTime-gangsTime)
	s.quiet(ctx, &callers)
	over()
	callers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Problems = append(s.report.Problems, s.site.Checker.Problems()...)
	s.report.Starts = s.site.Checker.Starts()
	return s.report, nil
}

func (s *Soak) prepare() error {
	faults, err := os.Create(filepath.Join(s.Dir, "faults.log"))
	if err != nil {
		return merry.Wrap(err)
	}
	s.faults = faults
	s.site = &fake.Platform{Workers: s.Workers, Milli: 8000, Teams: []fake.Team{{Name: "choir"}, {Name: "duct", Milli: limitMilli}}}
	for d := range s.Domains {
		s.site.Domains = append(s.site.Domains, fmt.Sprintf("d%d", d))
	}
	if err := s.site.Start(); err != nil {
		return err
	}
	for i := range s.Domains * s.Entries {
		name := fmt.Sprintf("e%d", i)
		p := &proc{
			name: name, domain: s.site.Domains[i%s.Domains], program: s.Program, dir: s.Dir,
			relay: &relay{target: s.site.StoreAddress}, peers: &relay{entry: name, cuts: &s.cuts},
		}
		if err := p.relay.start(); err != nil {
			return err
		}
		if err := p.peers.start(); err != nil {
			return err
		}
		if err := p.settings(s.site.AdviceAddress); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		s.procs = append(s.procs, p)
	}
	return nil
}

func (s *Soak) end() {
	for _, p := range s.procs {
		p.end(syscall.SIGKILL)
		p.relay.stop()
		p.peers.stop()
	}
	s.site.Stop()
	_ = s.faults.Close()
}

// problem notes what a caller saw that must not be.
func (s *Soak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Problems = append(s.report.Problems, fmt.Sprintf(format, args...))
}

func (s *Soak) count(f func(r *Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.report)
}

// caller hands jobs in until the calls are over, and then sees each to its end.
func (s *Soak) caller(ctx, calls context.Context, i int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(100+i)))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; calls.Err() == nil; n++ {
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, i, n), Team: []string{"choir", "duct"}[rnd.IntN(2)],
			RunDuration: time.Duration(50+rnd.IntN(900)) * time.Millisecond, Tasks: []int{1 + rnd.IntN(4), 1 + rnd.IntN(3)},
		}
		cancels := rnd.IntN(8) == 0
		pick := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() { s.job(ctx, c, j, pick, cancels) })
		duty.Sleep(calls, time.Duration(rnd.Int64N(int64(2*jobPause))))
	}
}

// job hands one job in and follows it.
func (s *Soak) job(ctx context.Context, c *fake.Caller, j fake.Job, rnd *rand.Rand, cancels bool) {
	at := func() string { return s.procs[rnd.IntN(len(s.procs))].callers }
	accepted, unsure := s.submit(ctx, c, j, at)
	switch {
	case accepted:
		s.count(func(r *Report) { r.Accepted++ })
	case unsure:
		return // It may have been accepted; nothing is promised either way.
	default:
		s.count(func(r *Report) { r.Refused++ })
		s.refused(ctx, j)
		return
	}
	if cancels {
		s.cancel(ctx, c, j, at)
		return
	}
	s.await(ctx, c, j, at)
}

// submitTries is how often a caller tries before it goes away.
const submitTries = 6

func (s *Soak) submit(ctx context.Context, c *fake.Caller, j fake.Job, at func() string) (accepted, unsure bool) {
	for range submitTries {
		switch c.Submit(ctx, at(), j) {
		case http.StatusOK:
			return true, unsure
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			unsure = true
		}
		duty.Sleep(ctx, 300*time.Millisecond)
	}
	return false, unsure
}

// refused checks that a job whose every try was refused never runs.
func (s *Soak) refused(ctx context.Context, j fake.Job) {
	duty.Sleep(ctx, cancelTime)
	if starts, _, _ := s.site.Checker.JobStats(j.ID); starts > 0 {
		s.problem("%s was refused, and ran", j.ID)
	}
}

func (s *Soak) cancel(ctx context.Context, c *fake.Caller, j fake.Job, at func() string) {
	s.site.Checker.ExpectCancel(&j)
	end := time.Now().Add(s.Time + healTime)
	for time.Now().Before(end) {
		if status := c.Cancel(ctx, at(), j); status == http.StatusOK || status == http.StatusNoContent {
			s.count(func(r *Report) { r.Cancelled++ })
			acked := time.Now()
			duty.Sleep(ctx, 2*cancelTime)
			if _, last, _ := s.site.Checker.JobStats(j.ID); last.After(acked.Add(cancelTime)) {
				s.problem("%s was started %v after its cancel was acknowledged", j.ID, last.Sub(acked))
			}
			return
		}
		duty.Sleep(ctx, 300*time.Millisecond)
	}
	s.problem("%s could not be cancelled", j.ID)
}

// await asks until the job is shown as done, which has to be true.
func (s *Soak) await(ctx context.Context, c *fake.Caller, j fake.Job, at func() string) {
	want := 0
	for _, n := range j.Tasks {
		want += n
	}
	status, state := 0, ""
	for end := time.Now().Add(s.Time + healTime); time.Now().Before(end) && ctx.Err() == nil; {
		status, state = c.State(ctx, at(), j)
		switch {
		case status == http.StatusGone:
			s.problem("%s was accepted, and is not known", j.ID)
			return
		case state == "completed":
			if _, _, done := s.site.Checker.JobStats(j.ID); done < want {
				s.problem("%s is shown as completed, and %d of %d tasks are done", j.ID, done, want)
			}
			s.count(func(r *Report) { r.Done++ })
			return
		case state == "failed" || state == "cancelled":
			s.problem("%s is shown as %s without cause", j.ID, state)
			return
		}
		duty.Sleep(ctx, 200*time.Millisecond)
	}
	s.problem("%s never ended: last answer %d %q", j.ID, status, state)
}
