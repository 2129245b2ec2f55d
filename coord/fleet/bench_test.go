package fleet

import (
	"fmt"
	"testing"
	"time"

	"plantainwinch/coord/speed"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// BenchmarkSchedule measures one decision at several sizes, while few and while many tasks of
// several kinds of jobs wait and advice requests are pending.
func BenchmarkSchedule(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 3000} {
		for _, waiting := range []int{2000, 20_000} {
			for _, advised := range []bool{false, true} {
				b.Run(fmt.Sprintf("workers=%d/waiting=%d/advice=%t", workers, waiting, advised), func(b *testing.B) {
					p := waitingPlanner(workers, waiting, advised)
					for range 20 {
						p.Schedule()
						p.Orders()
						respondToAll(p)
					}
					b.ResetTimer()
					for b.Loop() {
						p.Schedule()
						p.Orders()
						p.AdviceRequests()
					}
				})
			}
		}
	}
}

// BenchmarkScheduleUneven measures one decision with workers of which 30 % are known to be slow.
func BenchmarkScheduleUneven(b *testing.B) {
	for _, advised := range []bool{false, true} {
		b.Run(fmt.Sprintf("advice=%t", advised), func(b *testing.B) {
			p := waitingPlanner(350, 20_000, advised)
			var known []speed.Entry
			for i := range 105 {
				known = append(known, speed.Entry{Worker: fmt.Sprintf("w%04d", i*10/3), Factor: 1.8, Samples: 20})
			}
			p.RestoreSpeeds(known, p.now())
			for range 20 {
				p.Schedule()
				p.Orders()
				respondToAll(p)
			}
			b.ResetTimer()
			for b.Loop() {
				p.Schedule()
				p.Orders()
				p.AdviceRequests()
			}
		})
	}
}

// BenchmarkScheduleEvicting measures decisions while urgent phases wait and all running tasks save
// their progress, so that runs to stop are searched as often as possible. With off, the mechanism is
// switched off.
func BenchmarkScheduleEvicting(b *testing.B) {
	for _, advised := range []bool{false, true} {
		for _, evicts := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=350/waiting=20000/advice=%t/evict=%t", advised, evicts), func(b *testing.B) {
				p := waitingPlanner(350, 20_000, advised)
				p.Policy.Evict = evicts
				for _, w := range p.workers {
					for _, r := range w.runs {
						r.task.phase.spec.Checkpoints = true
						r.started = true
						r.countEvictable(true)
					}
				}
				for range 20 {
					p.Schedule()
					p.Orders()
					respondToAll(p)
				}
				b.ResetTimer()
				for b.Loop() {
					p.Schedule()
					p.Orders()
					p.AdviceRequests()
				}
			})
		}
	}
}

// respondToAll allows every fourth worker named in the pending requests.
func respondToAll(p *Planner) {
	for _, a := range p.AdviceRequests() {
		var tickets []winch.Ticket
		for i, id := range a.Workers {
			if i%4 == 0 {
				tickets = append(tickets, winch.Ticket{Worker: id, Value: "t"})
			}
		}
		p.AdviceReceived(a, tickets, time.Hour, p.now())
	}
}

// waitingPlanner returns a planner with full workers and waiting tasks.
func waitingPlanner(workers, waiting int, advised bool) *Planner {
	p := New(1)
	queues := []winch.Queue{urgentQueue(), normalQueue()}
	if advised {
		for i := range queues {
			queues[i].Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: time.Hour}
		}
	}
	p.SetConfig(&winch.RegionConfig{Version: 1, Queues: queues, Teams: []winch.RegionTeam{{Name: "choir"}}})
	var list []winch.WorkerVM
	for i := range workers {
		list = append(list, winch.WorkerVM{ID: fmt.Sprintf("w%04d", i), Service: "render", Room: winch.Capacity{Milli: 16_000, Memory: 32 * gigabyte}, Born: 1})
	}
	p.SetWorkers(list)
	for _, vm := range list {
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: vm.ID})
	}
	for i := range workers {
		addJob(p, fmt.Sprintf("run%04d", i), "mix", 4, 4000, false)
	}
	for range 40 {
		p.Schedule()
		p.Orders()
		respondToAll(p)
	}
	const width = 20
	for i := range waiting / width {
		queue := "mix"
		if i%2 == 0 {
			queue = "preview"
		}
		addJob(p, fmt.Sprintf("wait%04d", i), queue, width, 5000, i%10 == 0)
	}
	return p
}

func addJob(p *Planner, id, queue string, count int, milli int64, gang bool) {
	phase := winch.Phase{Count: count, Need: winch.Capacity{Milli: milli, Memory: gigabyte}, Estimate: 10 * time.Second, Gang: gang}
	p.Add(&winch.PhasedJob{ID: id, Queue: queue, Team: "choir", Phases: []winch.Phase{phase}, Accepted: time.Now(), Revision: 7}, nil, 0)
}

// BenchmarkCopies measures the part of a decision that looks for stragglers, while many tasks wait and all
// running tasks may have copies. All their phases are due at once, which is the most that one decision does.
func BenchmarkCopies(b *testing.B) {
	p := waitingPlanner(350, 20_000, false)
	for _, j := range p.active {
		for _, s := range j.phases {
			if s.live > 0 {
				s.spec.Copies = true
				s.noteCopyable()
			}
		}
	}
	p.Schedule()
	for b.Loop() {
		for _, s := range p.copyable {
			s.copying.checkedAt = time.Time{}
		}
		p.copyStragglers(p.now(), false)
	}
}

// BenchmarkLargeJobs measures the steps that large jobs lead to, in milliseconds: to add the jobs, the longest decision while
// all tasks are started, to handle the end of one task, to restore jobs of which all tasks but one are done, to adopt what half
// of the tasks run, to make one record, and to answer one question for a state.
func BenchmarkLargeJobs(b *testing.B) {
	for _, shape := range []struct {
		name                          string
		jobs, phases, tasks, repeated int
	}{
		{"tasks=1000", 1, 1, 1000, 0},
		{"tasks=10000", 1, 1, 10_000, 0},
		{"tasks=100000", 1, 1, 100_000, 0},
		{"phases=1000/tasks=100", 1, 1000, 100, 0},
		{"jobs=10000/tasks=10", 10_000, 1, 10, 0},
		{"repetitions=100000", 1, 1, 1, 100_000},
	} {
		b.Run(shape.name, func(b *testing.B) {
			phases := make([]winch.Phase, shape.phases)
			for i := range phases {
				phases[i] = smallTasks(shape.tasks)
			}
			job := func(n int) *winch.PhasedJob {
				return &winch.PhasedJob{
					ID: fmt.Sprintf("large%d", n), Queue: "mix", Team: "choir", Phases: phases, Accepted: time.Now(), Revision: 7,
					Times: shape.repeated, First: time.Now(),
				}
			}
			done := &winch.Progress{Done: make(map[int][][]byte)}
			for k := range max(1, shape.repeated) {
				for range phases {
					bits := make([]byte, (shape.tasks+7)/8)
					for i := range bits {
						bits[i] = 0xff
					}
					if k == 0 && len(done.Done[0]) == 0 {
						bits[0] = 0xfe
					}
					done.Done[k] = append(done.Done[k], bits)
				}
			}
			measured := make(map[string]time.Duration)
			measure := func(name string, f func()) {
				begin := time.Now()
				f()
				measured[name] = max(measured[name], time.Since(begin))
			}
			for b.Loop() {
				clear(measured)
				p := roomyPlanner(48)
				measure("add", func() {
					for n := range shape.jobs {
						p.Add(job(n), nil, 0)
					}
				})
				var starts []proto.Order
				for more := true; more; {
					measure("decision", p.Schedule)
					more = false
					for _, o := range p.Orders() {
						more = true
						starts = append(starts, o)
						p.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
					}
				}
				o := starts[len(starts)/2]
				measure("end", func() {
					p.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: o.Worker, Ended: []winch.Completion{{Number: 1, Task: o.Task, Run: o.Run, Kind: winch.CompletionDone}}})
				})
				measure("record", func() { p.Records(1) })
				measure("state", func() { p.State("large0"); p.EndsSoon("large0") })
				restored := roomyPlanner(48)
				measure("restore", func() {
					for n := range shape.jobs {
						restored.Add(job(n), done, 9)
					}
				})
				next := roomyPlanner(48)
				for n := range shape.jobs {
					next.Add(job(n), nil, 0)
				}
				running := make(map[string][]winch.Running)
				for _, o := range starts[:len(starts)/2] {
					running[o.Worker] = append(running[o.Worker], winch.Running{Task: o.Task, Run: o.Run})
				}
				measure("adopt", func() {
					for id, list := range running {
						next.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: id, Running: list})
					}
				})
			}
			for name, took := range measured {
				b.ReportMetric(float64(took)/float64(time.Millisecond), name+"-ms")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
