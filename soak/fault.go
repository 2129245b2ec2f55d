package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"plantainwinch/duty"
	"plantainwinch/platform/fake"
)

// injectFault injects one random fault and reverts it after the fault's duration. Faults may
// overlap.
func (s *Soak) fault(ctx context.Context) {
	p := s.procs[s.rnd.IntN(len(s.procs))]
	worker := s.rnd.IntN(s.site.Size())
	long := time.Duration(300+s.rnd.IntN(4000)) * time.Millisecond
	short := time.Duration(20+s.rnd.IntN(1500)) * time.Millisecond
	kinds := []kind{
		{"kill", func() { p.end(syscall.SIGKILL) }, func() { s.restart(p) }, short},
		{"stop", func() { p.end(syscall.SIGTERM) }, func() { s.restart(p) }, short},
		{"freeze", func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }, long},
		{"silent", func() { p.relay.setSilent(true) }, func() { p.relay.setSilent(false) }, long},
		{"reset", p.relay.reset, func() {}, 0},
		{"delay", func() { p.relay.setDelay(150 * time.Millisecond) }, func() { p.relay.setDelay(0) }, long},
		{"store silent", func() { s.site.Store.SetFaults(fake.StoreFaults{Unresponsive: true}) }, s.calm, long},
		{"store busy", func() { s.site.Store.SetFaults(fake.StoreFaults{Busy: true}) }, s.calm, long},
		{"store slow", func() { s.site.Store.SetFaults(fake.StoreFaults{Delay: 250 * time.Millisecond}) }, s.calm, long},
		{"store loses", func() { s.site.Store.SetFaults(fake.StoreFaults{LoseEvery: 3}) }, s.calm, long},
		{"history gone", s.site.Store.Compact, func() {}, 0},
		{"worker boots", func() { s.site.Reboot(worker) }, func() {}, 0},
		{"worker mute", func() { s.site.LoseResponses(worker, true) }, func() { s.site.LoseResponses(worker, false) }, long},
		{"configuration", s.site.Configure, func() {}, 0},
		{"kill all", s.killAll, s.restartAll, short},
	}
	k := kinds[s.rnd.IntN(len(kinds))]
	s.note("%s %s w%d for %v", k.name, p.name, worker, k.time)
	s.group.Go(func() {
		switch k.name {
		case "configuration": // A configuration change does not relax any check.
		case "stop":
			s.site.Checker.RecordPlannedWork(true)
			defer s.site.Checker.RecordPlannedWork(false)
		default:
			s.site.Checker.RecordDisturbance(true)
			defer s.site.Checker.RecordDisturbance(false)
		}
		k.do()
		duty.Sleep(ctx, k.time)
		k.undo()
	})
}

// faultKind is a kind of fault: how it is injected and reverted, and how long it lasts.
type kind struct {
	name string
	do   func()
	undo func()
	time time.Duration
}

// logFault appends a fault to the fault log and counts it in the report.
func (s *Soak) note(format string, args ...any) {
	s.count(func(r *Report) { r.Faults++ })
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.faults, "%s %8.3f %s\n", time.Now().Format("15:04:05.000"), time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// clearStoreFaults ends all faults of the store.
func (s *Soak) calm() { s.site.Store.SetFaults(fake.StoreFaults{}) }

func (s *Soak) restart(p *proc) {
	if err := p.start(); err != nil {
		s.problem("entry %s could not be restarted: %v", p.name, err)
	}
}

func (s *Soak) killAll() {
	for _, p := range s.procs {
		p.end(syscall.SIGKILL)
	}
}

func (s *Soak) restartAll() {
	for _, p := range s.procs {
		s.restart(p)
	}
}
