package fleet

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// roomyPlanner returns a planner whose workers have capacity for any number of small tasks.
func roomyPlanner(workers int) *Planner {
	p := New(1)
	p.SetConfig(&winch.RegionConfig{Version: 1, Queues: []winch.Queue{urgentQueue(), normalQueue()}, Teams: []winch.RegionTeam{{Name: "choir"}, {Name: "duct"}}})
	var list []winch.WorkerVM
	for i := range workers {
		list = append(list, winch.WorkerVM{
			ID: fmt.Sprintf("w%04d", i), Service: "render", Domain: "d1", Rack: "r1", Room: winch.Capacity{Milli: 1 << 30, Memory: 1 << 50}, Born: 1,
		})
	}
	p.SetWorkers(list)
	for _, vm := range list {
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: vm.ID})
	}
	return p
}

// smallTasks returns a phase of tasks that need next to nothing.
func smallTasks(count int) winch.Phase {
	return winch.Phase{Count: count, Need: winch.Capacity{Milli: 1, Memory: 1 << 20}, Estimate: time.Second}
}

func addPhased(p *Planner, id, queue string, phases ...winch.Phase) {
	p.Add(&winch.PhasedJob{ID: id, Queue: queue, Team: "choir", Phases: phases, Accepted: time.Now(), Revision: 7}, nil, 0)
}

// startAll schedules until no start is ordered any more, confirms the starts and returns them.
func startAll(p *Planner) (starts []proto.Order) {
	for began := true; began; {
		began = false
		p.Schedule()
		for _, o := range p.Orders() {
			if o.Kind == proto.OrderStart {
				began = true
				starts = append(starts, o)
				p.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
			}
		}
	}
	return starts
}

// endAll has the workers report the successful ends of runs, and saves the records of jobs now and then.
func endAll(p *Planner, starts []proto.Order) {
	numbers := make(map[string]uint64)
	for i, o := range starts {
		numbers[o.Worker]++
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: o.Worker, Ended: []winch.Completion{
			{Number: numbers[o.Worker], Task: o.Task, Run: o.Run, Kind: winch.CompletionDone},
		}})
		if i%1000 == 999 || i == len(starts)-1 {
			for _, r := range p.Records(1000) {
				p.Saved(r, 10)
			}
		}
	}
}

// costGrowth returns by how much the processor time that f takes for each of n tasks grows when n does from 1,000 to
// 16,000. Of several measurements the shortest counts. Time in which other processes had the processor is no cost.
func costGrowth(f func(n int)) float64 {
	cost := func(n int) time.Duration {
		shortest := time.Hour
		for range 3 {
			begin := processorTime()
			f(n)
			shortest = min(shortest, processorTime()-begin)
		}
		return shortest / time.Duration(n)
	}
	return float64(cost(16_000)) / float64(cost(1000))
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// maxCostGrowth is far below 16, the growth of a cost that is proportional to the square.
const maxCostGrowth = 5

// Guards against a start or an end of a task that takes time in proportion to the width of its phase.
func TestCostOfATaskDoesNotGrowWithItsPhase(t *testing.T) {
	growth := costGrowth(func(n int) {
		p := roomyPlanner(48)
		addPhased(p, "large", "mix", smallTasks(n))
		starts := startAll(p)
		if len(starts) != n {
			t.Fatalf("%d of %d tasks were started", len(starts), n)
		}
		endAll(p, starts)
		if state, _ := p.State("large"); state != winch.JobDone {
			t.Fatalf("the job is %s", state)
		}
	})
	is.New(t).True(growth < maxCostGrowth)
}

// Guards against a takeover that takes time in proportion to the square of the number of tasks that are done.
func TestCostOfRestoringATaskDoesNotGrowWithItsPhase(t *testing.T) {
	growth := costGrowth(func(n int) {
		bits := make([]byte, n/8)
		for i := range bits {
			bits[i] = 0xff
		}
		bits[0] = 0
		p := roomyPlanner(1)
		p.Add(&winch.PhasedJob{ID: "large", Queue: "mix", Team: "choir", Phases: []winch.Phase{smallTasks(n)}, Accepted: time.Now(), Revision: 7},
			&winch.Progress{Done: map[int][][]byte{0: {bits}}}, 9)
		if s := p.jobs["large"].phases[0]; s.done != n-8 || s.waiting != 8 || s.startable.count != 8 {
			t.Fatalf("%d tasks are done, %d wait", s.done, s.waiting)
		}
	})
	is.New(t).True(growth < maxCostGrowth)
}

// Guards against events about one task of a wide phase that take time in proportion to its width, by what the phase asks for
// and by what happens to its tasks.
func TestCostOfAnEventDoesNotGrowWithItsPhase(t *testing.T) {
	plain := func(*winch.Phase) {}
	for _, c := range []struct {
		name   string
		change func(*winch.Phase)
		then   func(*Planner, []proto.Order)
	}{
		{"limit per worker", func(s *winch.Phase) { s.MostPerVM = 1 << 20 }, endAll},
		{"same rack", func(s *winch.Phase) { s.SameRack = true }, endAll},
		{"data in a rack", func(s *winch.Phase) { s.Rack = "r2" }, endAll},
		{"copies", func(s *winch.Phase) { s.Copies = true }, endAll},
		{"progress", plain, reportProgress},
		{"failures", plain, failAll},
		{"cancellation", plain, func(p *Planner, _ []proto.Order) { p.Cancel("large") }},
		{"crashes", plain, func(p *Planner, _ []proto.Order) { crashWorkers(p, 8) }},
		{"takeover", plain, adoptAll},
	} {
		t.Run(c.name, func(t *testing.T) {
			growth := costGrowth(func(n int) {
				p := roomyPlanner(48)
				phase := smallTasks(n)
				c.change(&phase)
				addPhased(p, "large", "mix", phase)
				starts := startAll(p)
				if len(starts) != n {
					t.Fatalf("%d of %d tasks were started", len(starts), n)
				}
				c.then(p, starts)
			})
			t.Logf("the cost has grown %.1f times", growth)
			is.New(t).True(growth < maxCostGrowth)
		})
	}
}

// reportProgress has the workers report progress of all runs twice.
func reportProgress(p *Planner, starts []proto.Order) {
	begin := time.Now()
	for round := range 3 {
		now := begin.Add(time.Duration(round+1) * time.Second)
		p.Clock = func() time.Time { return now }
		running := make(map[string][]winch.Running)
		for _, o := range starts {
			running[o.Worker] = append(running[o.Worker], winch.Running{Task: o.Task, Run: o.Run, Percent: float64(25 * round)})
		}
		for id, list := range running {
			p.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: id, Running: list})
		}
	}
}

// failAll has all runs fail, and starts the tasks again.
func failAll(p *Planner, starts []proto.Order) {
	numbers := make(map[string]uint64)
	for _, o := range starts {
		numbers[o.Worker]++
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: o.Worker, Ended: []winch.Completion{
			{Number: numbers[o.Worker], Task: o.Task, Run: o.Run, Kind: winch.CompletionFailed},
		}})
	}
	for _, w := range p.workers {
		w.health = health{}
	}
	startAll(p)
}

// crashWorkers has some workers be replaced by other boots at the same time, and makes decisions as their tasks are suspects
// then.
func crashWorkers(p *Planner, count int) {
	later := time.Now().Add(5 * time.Second)
	p.Clock = func() time.Time { return later }
	for i := range count {
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: fmt.Sprintf("w%04d", i)})
	}
	for i := range count {
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: fmt.Sprintf("w%04d", i), Result: winch.StartOtherBoot})
	}
	for range 10 {
		p.Schedule()
		p.Orders()
	}
}

// adoptAll has another planner find all runs.
func adoptAll(p *Planner, starts []proto.Order) {
	next := roomyPlanner(48)
	next.Term = 2
	next.Add(p.jobs["large"].rec, nil, 0)
	running := make(map[string][]winch.Running)
	for _, o := range starts {
		running[o.Worker] = append(running[o.Worker], winch.Running{Task: o.Task, Run: o.Run})
	}
	for id, list := range running {
		next.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: id, Running: list})
	}
}

// Guards against an end of a task that takes time in proportion to the number of phases or repetitions of its job.
func TestCostOfATaskDoesNotGrowWithTheNumberOfPhases(t *testing.T) {
	growth := costGrowth(func(n int) {
		p := roomyPlanner(48)
		p.Add(&winch.PhasedJob{
			ID: "timed", Queue: "mix", Team: "choir", Phases: []winch.Phase{smallTasks(1)}, Accepted: time.Now(), Revision: 7,
			Times: n, First: time.Now(),
		}, nil, 0)
		endAll(p, startAll(p))
		if state, _ := p.State("timed"); state != winch.JobDone {
			t.Fatalf("the job is %s", state)
		}
	})
	t.Logf("the cost has grown %.1f times", growth)
	is.New(t).True(growth < maxCostGrowth)
}
