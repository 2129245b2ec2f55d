// Package soak runs a region of real entry processes against a stand-in platform, injects
// faults from outside as a seed determines, and checks what callers and workers observe.
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
	// startupTime is how long the entries have to connect to each other before the first fault.
	startupTime = 3 * time.Second
	// recoveryTime is how long accepted work may take to end once all faults are over: twice
	// the longest wait of a new planner for earlier leases, and the work itself.
	recoveryTime = 60 * time.Second
	// cancelGrace is how long after an acknowledged cancellation a task may still start: the
	// start may already be in flight, or a planner may be taking over.
	cancelGrace = 5 * time.Second
	// limitMilli is the second team's limit for up to limitWorkers workers, low enough to be always in use. It grows with
	// their number.
	limitMilli   = 9000
	limitWorkers = 12
	// workerMilli is the capacity of each worker in thousandths of a processor.
	workerMilli = 8000
	// meanJobInterval is the mean time between two jobs of one caller.
	meanJobInterval = 400 * time.Millisecond
)

// Options are the settings of a run.
type Options struct {
	// Programs holds the paths of the plantainwinch executables under test. Entry I runs the one at I modulo their number.
	Programs []string
	Dir      string // Dir is where settings and logs are written.
	Seed     uint64
	Duration time.Duration // Duration is how long faults are injected.
	Domains  int
	Entries  int // Entries and Workers are per failure domain.
	Workers  int
	Callers  int
	// Returns has workers return under their IDs and be cut off, with work and late orders to match. Without it a seed is
	// what it was before these faults existed.
	Returns bool
	// Steady injects no faults. Entries are stopped as planned, one after the other, and no accepted job may stand still.
	Steady bool
	// Pauses has Steady pause all entries at once for moments, as a busy machine does.
	Pauses bool
	// Lasting is the number of lasting tasks of every second caller's jobs; zero means a few.
	Lasting int
}

// Soak is one run. Set the options before Run.
type Soak struct {
	Options

	platform   *fake.Platform
	procs      []*proc
	partitions partitions
	rnd        *rand.Rand
	delay      ownDelay
	lateRnd    *rand.Rand // lateRnd chooses whether late orders outlive the worker's boot.
	group      conc.WaitGroup
	mu         sync.Mutex
	report     Report
	// workerRelays holds the relays in front of the worker VMs by their IDs.
	workerRelays map[string]*relay
	started      time.Time
	faultLog     *os.File
	runLog       *os.File
}

// Report is the result of a run: counts of events, and the problems found.
type Report struct {
	Accepted, Refused, Cancelled, Done, Starts, Faults int
	Lasting                                            int // Lasting counts the lasting tasks that were running at the end.
	// GivenUp counts the jobs that the region gave up because they crash workers, and Crashed
	// counts the workers that they crashed.
	GivenUp, Crashed int
	Resumed          int // Resumed counts the runs that started from a checkpoint.
	Copies           int // Copies counts the runs that were started beside another run of their task.
	// Requests counts the requests on connections that callers keep open, and Cut those that a stopping entry left
	// without a response.
	Requests, Cut int
	Problems      []string
}

// Run runs the soak to the end and returns its report. It returns an error only if the
// soak could not be set up; problems that it finds are in the report.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.rnd, s.lateRnd = rand.New(rand.NewPCG(s.Seed, 1)), rand.New(rand.NewPCG(s.Seed, 15))
	s.started = time.Now()
	if err := s.prepare(); err != nil {
		return s.report, err
	}
	defer s.close()
	duty.Sleep(ctx, startupTime)
	var callers conc.WaitGroup
	if s.Returns && !s.Steady {
		s.returnWorkersAlone(ctx, &callers)
	}

	// Callers submit jobs and faults are injected until activeCtx ends. The planned operations
	// are over when plannedCtx ends.
	activeCtx, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	plannedCtx, endPlanned := context.WithCancel(ctx)
	defer endPlanned()
	for i := range s.Callers {
		callers.Go(func() { s.runCaller(ctx, activeCtx, i) })
		callers.Go(func() { s.runLastingJobs(ctx, activeCtx, plannedCtx, i) })
		callers.Go(func() { s.runGangJobs(ctx, activeCtx, i, 0) })
		callers.Go(func() { s.runCopiedJobs(ctx, activeCtx, i) })
	}
	var open conc.WaitGroup
	open.Go(func() { s.delay.run(plannedCtx) })
	for i := range openConnections * len(s.procs) {
		open.Go(func() { s.keepConnections(plannedCtx, s.procs[i%len(s.procs)], i) })
	}
	if s.Steady {
		s.stopInSeries(ctx, activeCtx)
	} else {
		s.injectFaults(ctx, activeCtx, &callers)
	}
	endPlanned()
	callers.Wait()
	open.Wait()
	s.checkLogs()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Problems = append(s.report.Problems, s.platform.Checker.Problems()...)
	s.report.Starts, s.report.Resumed = s.platform.Checker.Starts(), s.platform.Checker.Resumed()
	s.report.Copies = s.platform.Checker.Copies()
	return s.report, nil
}

// injectFaults injects faults until activeCtx ends, while jobs run that need them or fill the region, and then has planned
// operations follow.
func (s *Soak) injectFaults(ctx, activeCtx context.Context, callers *conc.WaitGroup) {
	callers.Go(func() { s.runCrashingJobs(ctx, activeCtx) })
	callers.Go(func() { s.runSavingJobs(ctx, activeCtx) })
	if s.Returns {
		callers.Go(func() { s.runLongJobs(ctx, activeCtx, 16, 1, meanLongInterval, 0) })
	}
	callers.Go(func() { s.runOverload(ctx, activeCtx) })
	callers.Go(func() { s.runBursts(ctx, activeCtx) })
	s.group.Go(func() { s.disruptWorkers(ctx, activeCtx) })
	s.group.Go(func() { s.shrinkWorkers(ctx, activeCtx) })
	s.group.Go(func() { s.injectPartitions(activeCtx) })
	s.group.Go(func() { s.evacuateDomains(ctx, activeCtx) })
	if s.Returns {
		s.group.Go(func() { s.returnWorkers(ctx, activeCtx) })
	}
	for activeCtx.Err() == nil {
		s.injectFault(activeCtx)
		duty.Sleep(activeCtx, time.Duration(100+s.rnd.IntN(1500))*time.Millisecond)
	}
	s.startPlannedOperations(ctx)
	s.group.Wait() // Each fault reverts itself.
	duty.Sleep(ctx, lastingRestartTime-finalGangsTime)
	s.runFinalGangs(ctx, callers)
}

// teams returns the teams in the operator's configuration.
func (s *Soak) teams() []fake.Team {
	limit := int64(limitMilli) * int64(max(limitWorkers, s.Domains*s.Workers)) / limitWorkers
	return []fake.Team{{Name: "choir"}, {Name: "duct", Milli: limit}, {Name: "echo", Weight: overloadWeight}}
}

// prepare starts the platform stand-in, and the relays and the process of each entry.
func (s *Soak) prepare() error {
	faults, err := os.Create(filepath.Join(s.Dir, "faults.log"))
	if err != nil {
		return merry.Wrap(err)
	}
	s.faultLog = faults
	if s.runLog, err = os.Create(filepath.Join(s.Dir, "runs.log")); err != nil {
		return merry.Wrap(err)
	}
	s.platform = &fake.Platform{Workers: s.Workers, Milli: workerMilli, SlowEvery: 3, Teams: s.teams()}
	for d := range s.Domains {
		s.platform.Domains = append(s.platform.Domains, fmt.Sprintf("d%d", d))
	}
	s.platform.Checker.Log, s.platform.Front, s.workerRelays = s.logRun, s.addWorkerRelay, make(map[string]*relay)
	if err := s.platform.Start(); err != nil {
		return err
	}
	for i := range s.Domains * s.Entries {
		name := fmt.Sprintf("e%d", i)
		p := &proc{
			name: name, domain: s.platform.Domains[i%s.Domains], program: s.Programs[i%len(s.Programs)], dir: s.Dir,
			storeRelay: &relay{target: s.platform.StoreAddress}, peerRelay: &relay{entry: name, partitions: &s.partitions, losesCloses: true},
		}
		if err := p.storeRelay.start(); err != nil {
			return err
		}
		if err := p.peerRelay.start(); err != nil {
			return err
		}
		if err := p.writeSettings(s.platform.AdviceAddress, s.order()); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		s.procs = append(s.procs, p)
	}
	return nil
}

func (s *Soak) close() {
	for _, p := range s.procs {
		p.stop(syscall.SIGKILL)
		p.storeRelay.stop()
		p.peerRelay.stop()
	}
	for _, r := range s.workerRelays {
		r.stop()
	}
	s.platform.Stop()
	_ = s.faultLog.Close()
	_ = s.runLog.Close()
}

// addProblem adds a violated guarantee that the soak observed to the report.
func (s *Soak) addProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Problems = append(s.report.Problems, fmt.Sprintf(format, args...))
}

func (s *Soak) updateReport(f func(r *Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.report)
}

// runCaller submits jobs until activeCtx ends, and then waits for the end of each. On average
// one of eight is cancelled.
func (s *Soak) runCaller(ctx, activeCtx context.Context, i int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(100+i)))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; activeCtx.Err() == nil; n++ {
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, i, n), Team: []string{"choir", "duct"}[rnd.IntN(2)],
			RunDuration: time.Duration(50+rnd.IntN(900)) * time.Millisecond, Tasks: []int{1 + rnd.IntN(4), 1 + rnd.IntN(3)},
		}
		cancels := rnd.IntN(8) == 0
		entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() { s.runJob(ctx, c, j, entryRnd, cancels) })
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanJobInterval))))
	}
}

// runJob submits one job and checks its course.
func (s *Soak) runJob(ctx context.Context, c *fake.Caller, j fake.Job, rnd *rand.Rand, cancels bool) {
	s.runJobInWave(ctx, c, j, rnd, cancels, time.Time{})
}

// runJobInWave submits one job and checks its course. It cancels the job, if it does, not before the given time.
func (s *Soak) runJobInWave(ctx context.Context, c *fake.Caller, j fake.Job, rnd *rand.Rand, cancels bool, cancelAt time.Time) {
	pickEntry := func() string { return s.procs[rnd.IntN(len(s.procs))].callersAddress }
	accepted, uncertain := s.submit(ctx, c, j, pickEntry)
	switch {
	case accepted:
		s.updateReport(func(r *Report) { r.Accepted++ })
		if s.Steady {
			s.platform.Checker.ExpectProgress(&j)
		}
	case uncertain:
		return // The job may or may not have been accepted, so there is nothing to check.
	default:
		s.updateReport(func(r *Report) { r.Refused++ })
		s.checkRefused(ctx, j)
		return
	}
	if cancels {
		duty.Sleep(ctx, time.Until(cancelAt))
		s.cancelJob(ctx, c, j, pickEntry)
		return
	}
	s.awaitCompleted(ctx, c, j, pickEntry)
}

// maxSubmitAttempts is how often a caller tries to submit a job before it gives up.
const maxSubmitAttempts = 6

// submit submits a job until it is accepted, at most maxSubmitAttempts times. The result
// uncertain reports whether an attempt ended without a clear response, so that the job may
// have been accepted.
func (s *Soak) submit(ctx context.Context, c *fake.Caller, j fake.Job, pickEntry func() string) (accepted, uncertain bool) {
	for range maxSubmitAttempts {
		switch c.Submit(ctx, pickEntry(), j) {
		case http.StatusOK:
			return true, uncertain
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			uncertain = true
		}
		duty.Sleep(ctx, 300*time.Millisecond)
	}
	return false, uncertain
}

// checkRefused checks that a job never runs if all attempts to submit it were refused.
func (s *Soak) checkRefused(ctx context.Context, j fake.Job) {
	duty.Sleep(ctx, cancelGrace)
	if starts, _, _ := s.platform.Checker.JobStats(j.ID); starts > 0 {
		s.addProblem("job %s was refused, but its tasks were started", j.ID)
	}
}

// cancelJob cancels a job, and checks that none of its tasks starts later than cancelGrace
// after the cancellation was acknowledged.
func (s *Soak) cancelJob(ctx context.Context, c *fake.Caller, j fake.Job, pickEntry func() string) {
	s.platform.Checker.ExpectCancel(&j)
	deadline := time.Now().Add(s.Duration + recoveryTime)
	for time.Now().Before(deadline) {
		if status := c.Cancel(ctx, pickEntry(), j); status == http.StatusOK || status == http.StatusNoContent {
			s.updateReport(func(r *Report) { r.Cancelled++ })
			acked := time.Now()
			duty.Sleep(ctx, 2*cancelGrace)
			if _, last, _ := s.platform.Checker.JobStats(j.ID); last.After(acked.Add(cancelGrace)) {
				s.addProblem("job %s had a task started %v after its cancellation was acknowledged", j.ID, last.Sub(acked))
			}
			return
		}
		duty.Sleep(ctx, 300*time.Millisecond)
	}
	s.addProblem("job %s could not be cancelled before the deadline", j.ID)
}

// awaitCompleted polls the job's state until it is reported as completed, and checks that all
// of its tasks are done by then.
func (s *Soak) awaitCompleted(ctx context.Context, c *fake.Caller, j fake.Job, pickEntry func() string) {
	want := 0
	for _, n := range j.Tasks {
		want += n
	}
	status, state := 0, ""
	for deadline := time.Now().Add(s.Duration + recoveryTime); time.Now().Before(deadline) && ctx.Err() == nil; {
		status, state = c.State(ctx, pickEntry(), j)
		switch {
		case status == http.StatusGone:
			s.addProblem("job %s was accepted, but is no longer known", j.ID)
			return
		case state == "completed":
			if _, _, done := s.platform.Checker.JobStats(j.ID); done < want {
				s.addProblem("job %s is reported as completed, but only %d of %d tasks are done", j.ID, done, want)
			}
			s.updateReport(func(r *Report) { r.Done++ })
			return
		case state == "failed" || state == "cancelled":
			s.addProblem("job %s is reported as %s without cause", j.ID, state)
			return
		}
		duty.Sleep(ctx, 200*time.Millisecond)
	}
	s.addProblem("job %s did not end before the deadline: last response %d %q", j.ID, status, state)
}
