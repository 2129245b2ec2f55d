package soak

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"plantainwinch/duty"
	"plantainwinch/platform/fake"
)

// injectFault injects one random fault and reverts it after the fault's duration. Faults may
// overlap.
func (s *Soak) injectFault(ctx context.Context) {
	p := s.procs[s.rnd.IntN(len(s.procs))]
	worker := s.rnd.IntN(s.platform.Size())
	long := time.Duration(300+s.rnd.IntN(4000)) * time.Millisecond
	short := time.Duration(20+s.rnd.IntN(1500)) * time.Millisecond
	outliveBoot := s.Returns && s.lateRnd.IntN(2) == 0
	// The names are written to the fault log. "freeze" pauses the entry's process, "silent" drops all data
	// between the entry and the store, "history gone" compacts the store's history, and "worker mute" makes
	// a worker execute orders without responding. "orders late" makes half of the workers execute them later, also
	// after newer ones, without responding, half the time also at the next boot, and "workers boot at once" starts boots right after runs have ended.
	kinds := []faultKind{
		{"kill", func() { p.stop(syscall.SIGKILL) }, func() { s.restart(p) }, short},
		{"stop", func() { p.stop(syscall.SIGTERM) }, func() { s.restart(p) }, short},
		{"freeze", func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }, long},
		{"silent", func() { p.storeRelay.cut(lossy, 1, requests, responses) }, func() { p.storeRelay.cut(lossy, -1, requests, responses) }, long},
		{"reset", p.storeRelay.reset, func() {}, 0},
		{"delay", func() { p.storeRelay.setDelay(150 * time.Millisecond) }, func() { p.storeRelay.setDelay(0) }, long},
		{"store silent", func() { s.platform.Store.SetFaults(fake.StoreFaults{Unresponsive: true}) }, s.clearStoreFaults, long},
		{"store busy", func() { s.platform.Store.SetFaults(fake.StoreFaults{Busy: true}) }, s.clearStoreFaults, long},
		{"store slow", func() { s.platform.Store.SetFaults(fake.StoreFaults{Delay: 250 * time.Millisecond}) }, s.clearStoreFaults, long},
		{"store loses", func() { s.platform.Store.SetFaults(fake.StoreFaults{LoseEvery: 3}) }, s.clearStoreFaults, long},
		{"history gone", s.platform.Store.Compact, func() {}, 0},
		{"store responds late", func() { s.platform.Store.SetFaults(fake.StoreFaults{ResponseDelay: short / 2}) }, s.clearStoreFaults, long},
		{"worker boots", func() { s.platform.Reboot(worker, bootDowntime) }, func() {}, 0},
		{"workers boot at once", func() { s.rebootAfterEnds(worker) }, func() {}, 0},
		{"orders late", func() { s.delayOrders(worker, maxOrderDelay, outliveBoot) }, func() { s.delayOrders(worker, 0, false) }, long},
		{"worker mute", func() { s.platform.LoseResponses(worker, true) }, func() { s.platform.LoseResponses(worker, false) }, long},
		{"configuration", s.platform.Configure, func() {}, 0},
		{"kill all", s.killAll, s.restartAll, short},
	}
	k := kinds[s.rnd.IntN(len(kinds))]
	s.logFault("%s %s w%d for %v", k.name, p.name, worker, k.duration)
	s.group.Go(func() {
		switch k.name {
		case "configuration": // A configuration change does not relax any check.
		case "stop":
			s.platform.Checker.RecordPlannedWork(true)
			defer s.platform.Checker.RecordPlannedWork(false)
		default:
			s.platform.Checker.RecordDisturbance(true)
			defer s.platform.Checker.RecordDisturbance(false)
		}
		k.inject()
		duty.Sleep(ctx, k.duration)
		k.revert()
	})
}

const (
	// bootDowntime is the downtime of a worker VM between two boots, and quickBootDowntime that of one which
	// boots at once.
	bootDowntime      = 300 * time.Millisecond
	quickBootDowntime = 50 * time.Millisecond
	// quickBoots is how many workers boot at once in turn, each when a run there has ended or after maxEndWait.
	quickBoots = 4
	maxEndWait = time.Second
	// maxOrderDelay bounds how late orders are executed.
	maxOrderDelay = 1200 * time.Millisecond
)

// rebootAfterEnds crashes workers in turn, starting with the given one, each when a run there has just ended,
// and starts their next boots at once.
func (s *Soak) rebootAfterEnds(first int) {
	for i := range quickBoots {
		worker := (first + i) % s.platform.Size()
		s.platform.AwaitEnd(worker, maxEndWait)
		s.platform.Reboot(worker, quickBootDowntime)
	}
}

// delayOrders makes every second worker, among them the given one, execute orders late; zero ends that. If outliveBoot is
// set, a worker's next boot executes what the last one has not.
func (s *Soak) delayOrders(worker int, maximum time.Duration, outliveBoot bool) {
	for i := worker % 2; i < s.platform.Size(); i += 2 {
		s.platform.DelayOrders(i, maximum, outliveBoot)
	}
}

// faultKind is a kind of fault: how it is injected and reverted, and how long it lasts.
type faultKind struct {
	name     string
	inject   func()
	revert   func()
	duration time.Duration
}

// logFault appends a fault to the fault log and counts it in the report.
func (s *Soak) logFault(format string, args ...any) {
	s.updateReport(func(r *Report) { r.Faults++ })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLine(s.faultLog, format, args...)
}

// logRun appends an event of a run to the log of the workers.
func (s *Soak) logRun(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLine(s.runLog, format, args...)
}

// writeLine appends a line to a log. The lock must be held.
func (s *Soak) writeLine(f *os.File, format string, args ...any) {
	_, _ = fmt.Fprintf(f, "%s %8.3f %s\n", time.Now().Format("15:04:05.000"), time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// clearStoreFaults ends all faults of the store.
func (s *Soak) clearStoreFaults() { s.platform.Store.SetFaults(fake.StoreFaults{}) }

func (s *Soak) restart(p *proc) {
	if err := p.start(); err != nil {
		s.addProblem("entry %s could not be restarted: %v", p.name, err)
	}
}

func (s *Soak) killAll() {
	for _, p := range s.procs {
		p.stop(syscall.SIGKILL)
	}
}

func (s *Soak) restartAll() {
	for _, p := range s.procs {
		s.restart(p)
	}
}
