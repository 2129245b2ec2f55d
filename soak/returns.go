package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/platform/fake"
)

const (
	// meanReturnInterval is the mean time between two crashes of workers that are cut off soon after.
	meanReturnInterval = 5 * time.Second
	// meanLongInterval is the mean time between two jobs of long tasks, and meanLongIntervalAlone that while nothing else
	// goes on.
	meanLongInterval      = 3 * time.Second
	meanLongIntervalAlone = 2 * time.Second
	quickIntervalAlone    = 80 * time.Millisecond
	// longJobsAlone is how many come at once then: as many as fill a sixth of the region.
	longJobsAlone = 4
	// maxOutlivingDelay bounds how late the next boot executes an order to the last one.
	maxOutlivingDelay = 2 * time.Second
)

// runLongJobs submits urgent and batch jobs of long tasks until activeCtx ends, and then waits for the end of each.
// The first ones come at once. If quickInterval is not zero, all are urgent, so that lost tasks start again at once, and jobs of
// tasks of about a second come at that interval too, so that starts are on their way to each worker at all times.
func (s *Soak) runLongJobs(ctx, activeCtx context.Context, stream uint64, atOnce int, meanInterval, quickInterval time.Duration) {
	rnd := rand.New(rand.NewPCG(s.Seed, stream))
	c := &fake.Caller{HTTP: http.Client{Timeout: 4 * time.Second}}
	var group conc.WaitGroup
	defer group.Wait()
	if quickInterval > 0 {
		quickRnd := rand.New(rand.NewPCG(s.Seed, stream+1))
		group.Go(func() {
			for n := 0; activeCtx.Err() == nil; n++ {
				j := fake.Job{
					ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x9000, n), Team: "choir",
					RunDuration: time.Duration(500+quickRnd.IntN(1000)) * time.Millisecond, Tasks: []int{1 + quickRnd.IntN(3)},
				}
				entryRnd := rand.New(rand.NewPCG(s.Seed, quickRnd.Uint64()))
				group.Go(func() { s.runJob(ctx, c, j, entryRnd, false) })
				duty.Sleep(activeCtx, quickInterval)
			}
		})
	}
	for n := 0; activeCtx.Err() == nil; n++ {
		j := fake.Job{
			ID: fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, 0x8000+stream, n), Team: "choir", Batch: rnd.IntN(2) == 0 && quickInterval == 0,
			RunDuration: time.Duration(5000+rnd.IntN(4000)) * time.Millisecond, Tasks: []int{2 + rnd.IntN(5)},
		}
		entryRnd := rand.New(rand.NewPCG(s.Seed, rnd.Uint64()))
		group.Go(func() { s.runJob(ctx, c, j, entryRnd, false) })
		if n >= atOnce {
			duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanInterval))))
		}
	}
}

// addWorkerRelay starts the relay in front of a worker VM and returns its address.
func (s *Soak) addWorkerRelay(id, address string) (string, error) {
	r := &relay{target: address, losesCloses: true, log: func(format string, args ...any) {
		s.logRun("relay of %s "+format, append([]any{id}, args...)...)
	}}
	if err := r.start(); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workerRelays[id] = r
	return r.address(), nil
}

// workerReturn is how workers crash, are another boot under the same ID and are cut off soon after.
type workerReturn struct {
	workers          []int
	downtime         time.Duration
	registersAfter   time.Duration // registersAfter is how long after the return a boot takes calls and is not in the list.
	leads            bool          // leads means that the connections to the last boot lead to the next.
	delayed          []int         // delayed are the directions that are held, on connections to the last boot, from before the crash until delay after the return.
	delay            time.Duration
	ordersOutlive    bool
	notice           time.Duration // notice is how long before the crash that begins.
	cutAfter, cutFor time.Duration
	kind             cutKind
	directions       []int
	// againAfter is when the workers crash again while they are cut off; zero if they do not.
	againAfter time.Duration
	// plannerKilled is how long after the return the planner is killed; zero if it is not.
	plannerKilled time.Duration
}

// String returns the settings as they are written to the fault log.
func (r *workerReturn) String() string {
	return fmt.Sprintf("down for %v, registers after %v, connections led on: %t, held past the return: %v for %v, orders outlive the boot: %t, both from %v before it, cut off after %v for %v: %v %v, again after %v, planner killed after %v",
		r.downtime, r.registersAfter, r.leads, directionNames(r.delayed), r.delay, r.ordersOutlive, r.notice, r.cutAfter, r.cutFor, [2]string{"lossy", "held"}[r.kind], directionNames(r.directions), r.againAfter, r.plannerKilled)
}

func directionNames(directions []int) string {
	var out []string
	for _, d := range directions {
		out = append(out, [2]string{"requests", "responses"}[d])
	}
	return "[" + strings.Join(out, " ") + "]"
}

// drawReturn draws how a worker, or all of its failure domain, return. If early is set, the cut begins before the first lease
// is renewed and is longer than that, which is the case in half of the others.
func (s *Soak) drawReturn(rnd *rand.Rand, worker int, early bool) *workerReturn {
	millis := func(from, to int) time.Duration { return time.Duration(from+rnd.IntN(to-from)) * time.Millisecond }
	both := []int{requests, responses}
	r := &workerReturn{
		workers: []int{worker}, downtime: millis(50, 600), leads: rnd.IntN(2) == 0, ordersOutlive: rnd.IntN(3) == 0,
		cutAfter: millis(100, 2500), cutFor: millis(1000, 9000), kind: cutKind(rnd.IntN(2)), directions: [][]int{both, both, both[:1], both[1:]}[rnd.IntN(4)],
	}
	if rnd.IntN(3) > 0 {
		r.registersAfter = millis(1, 1000)
	}
	if rnd.IntN(2) == 0 || early {
		r.cutAfter, r.cutFor = r.registersAfter+millis(200, 900), millis(5500, 9000)
	}
	if domains := rnd.IntN(6); domains == 0 || early && domains < 3 { // A whole failure domain.
		first := worker / s.Workers * s.Workers
		r.workers = nil
		for i := range s.Workers {
			r.workers = append(r.workers, first+i)
		}
	}
	if rnd.IntN(3) == 0 {
		i := rnd.IntN(2)
		r.delayed, r.delay = both[i:i+1], millis(0, 1500)
	}
	if r.ordersOutlive || len(r.delayed) > 0 {
		r.notice = millis(1, 1500)
	}
	if rnd.IntN(5) == 0 {
		r.againAfter = millis(200, 3000)
	}
	if rnd.IntN(6) == 0 {
		r.plannerKilled = millis(1, 2500)
	}
	return r
}

// returnWorkers crashes single workers, or those of a failure domain, at random times until activeCtx ends. Each is
// another boot under the same ID soon after, and is cut off from the entries.
func (s *Soak) returnWorkers(ctx, activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 14))
	for {
		duty.Sleep(activeCtx, time.Duration(rnd.Int64N(int64(2*meanReturnInterval))))
		if activeCtx.Err() != nil {
			return
		}
		r := s.drawReturn(rnd, rnd.IntN(s.platform.Size()), false)
		s.group.Go(func() { s.perform(ctx, activeCtx, r) })
	}
}

// returnWorkersAlone does the same once while nothing else goes on but jobs of long tasks: other faults make the region wait
// for longer than a lease may last, which hides what goes wrong within it.
func (s *Soak) returnWorkersAlone(ctx context.Context, callers *conc.WaitGroup) {
	rnd := rand.New(rand.NewPCG(s.Seed, 18))
	alone, stop := context.WithCancel(ctx)
	defer stop()
	callers.Go(func() { s.runLongJobs(ctx, alone, 19, longJobsAlone, meanLongIntervalAlone, quickIntervalAlone) })
	duty.Sleep(ctx, time.Duration(500+rnd.IntN(1500))*time.Millisecond)
	s.perform(ctx, alone, s.drawReturn(rnd, rnd.IntN(s.platform.Size()), true))
}

// perform crashes workers and cuts them off as drawn, until activeCtx ends, and kills the planner if that was drawn.
func (s *Soak) perform(ctx, activeCtx context.Context, r *workerReturn) {
	s.platform.Checker.RecordDisturbance(true)
	defer s.platform.Checker.RecordDisturbance(false)
	var group conc.WaitGroup
	defer group.Wait()
	for _, i := range r.workers {
		group.Go(func() { s.returnWorker(activeCtx, r, i) })
	}
	if p, _ := s.planner(); p != nil && r.plannerKilled > 0 {
		duty.Sleep(ctx, r.downtime+r.plannerKilled)
		s.logFault("kill planner %s", p.name)
		p.stop(syscall.SIGKILL)
		duty.Sleep(ctx, r.downtime)
		s.restart(p)
	}
}

// returnWorker crashes a worker, starts its next boot and cuts it off, all until activeCtx ends.
func (s *Soak) returnWorker(activeCtx context.Context, r *workerReturn, i int) {
	id, reboot := s.platform.VM(i)
	s.mu.Lock()
	front := s.workerRelays[id]
	s.mu.Unlock()
	s.logFault("worker %s returns: %v", id, r)
	if r.ordersOutlive {
		s.platform.DelayOrders(i, maxOutlivingDelay, true)
		defer s.platform.DelayOrders(i, 0, false)
	}
	if r.leads {
		front.addLeading(1)
		defer front.addLeading(-1)
	}
	front.cut(heldOld, 1, r.delayed...)
	duty.Sleep(activeCtx, r.notice)
	s.logFault("worker %s crashes", id)
	reboot(r.downtime, r.registersAfter)
	s.logFault("worker %s is back", id)
	duty.Sleep(activeCtx, r.delay)
	front.cut(heldOld, -1, r.delayed...)
	duty.Sleep(activeCtx, r.cutAfter)
	s.logFault("worker %s is cut off: %s", id, directionNames(r.directions))
	front.cut(r.kind, 1, r.directions...)
	if again := min(r.againAfter, r.cutFor); again > 0 {
		duty.Sleep(activeCtx, again)
		s.logFault("worker %s is down while it is cut off", id)
		reboot(r.downtime, r.registersAfter)
		duty.Sleep(activeCtx, r.cutFor-again)
	} else {
		duty.Sleep(activeCtx, r.cutFor)
	}
	front.cut(r.kind, -1, r.directions...)
	s.logFault("worker %s is reached again", id)
}
