package evict

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

var costs = Costs{Stop: 900 * time.Millisecond, Restore: 100 * time.Millisecond}

func milli(n int64) winch.Capacity { return winch.Capacity{Milli: n} }

func noneFree(int) winch.Capacity { return winch.Capacity{} }

// batchRun returns a run that may be stopped.
func batchRun(worker int, change func(*Run)) Run {
	r := Run{Worker: worker, Frees: milli(4500), Remaining: 5 * time.Second, Slack: 20 * time.Second, Ticket: 500 * time.Millisecond}
	if change != nil {
		change(&r)
	}
	return r
}

// chosen returns the indices of the runs that Choose chooses.
func chosen(d Demand, runs []Run, c Costs, free func(int) winch.Capacity) []int {
	var out []int
	for _, x := range Choose(d, runs, c, free) {
		out = append(out, x.Run)
	}
	return out
}

func demand(tasks int) Demand {
	return Demand{Need: milli(2200), Tasks: tasks, Spare: time.Second, Hold: time.Second}
}

// Guards against stops that cost more than they gain: of runs near their end, of jobs that would
// then be late, and of tasks stopped again and again.
func TestRunsThatMayNotBeStopped(t *testing.T) {
	for name, change := range map[string]func(*Run){
		"near its end":  func(r *Run) { r.Remaining = 1400 * time.Millisecond },
		"without slack": func(r *Run) { r.Slack = 2400 * time.Millisecond },
		"stopped often": func(r *Run) { r.Stops = MaxStops },
		"too small":     func(r *Run) { r.Frees = milli(2000) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(chosen(demand(1), []Run{batchRun(0, change)}, costs, noneFree), nil)
			is.Equal(chosen(demand(1), []Run{batchRun(0, change), batchRun(1, nil)}, costs, noneFree), []int{1})
		})
	}
}

// Guards against evictions for jobs that are late all the same: if a stop takes longer than the job
// can wait, or if not all of its tasks can be served.
func TestNothingIsStoppedIfTheJobIsLateAnyway(t *testing.T) {
	is := is.New(t)
	late := demand(1)
	late.Spare = 800 * time.Millisecond
	is.Equal(chosen(late, []Run{batchRun(0, nil)}, costs, noneFree), nil)
	is.Equal(chosen(demand(3), []Run{batchRun(0, nil)}, costs, noneFree), nil)
	is.Equal(chosen(demand(0), []Run{batchRun(0, nil)}, costs, noneFree), nil)
}

// Guards against losing more work than necessary if a worker is lost during the stop, and against
// stopping the job with the least slack.
func TestLeastProcessorTimeAtRiskIsStoppedFirst(t *testing.T) {
	is := is.New(t)
	runs := []Run{
		batchRun(0, func(r *Run) { r.Unsaved = time.Second }),
		batchRun(1, func(r *Run) { r.Unsaved, r.Frees = time.Second, milli(3000) }),
		batchRun(2, func(r *Run) { r.Unsaved, r.Frees, r.Slack = time.Second, milli(3000), 30*time.Second }),
		batchRun(3, func(r *Run) { r.Unsaved = 500 * time.Millisecond }),
	}
	is.Equal(chosen(demand(2), runs, costs, noneFree), []int{3})
	is.Equal(chosen(demand(3), runs, costs, noneFree), []int{3, 2})
	is.Equal(chosen(demand(4), runs, costs, noneFree), []int{3, 2, 1})
}

// Guards against stopping several runs at a worker where the capacity freed by one is enough, and
// against ignoring the limit of tasks at one worker.
func TestRunThatFreesEnoughServesSeveralTasks(t *testing.T) {
	is := is.New(t)
	runs := []Run{batchRun(0, nil), batchRun(0, nil), batchRun(1, nil)}
	is.Equal(chosen(demand(2), runs, costs, noneFree), []int{0})
	is.Equal(chosen(demand(4), runs, costs, noneFree), []int{0, 1})
	is.Equal(chosen(demand(3), runs[:1], costs, func(int) winch.Capacity { return milli(2150) }), []int{0})
	limited := demand(2)
	limited.PerWorker = func(int) int { return 1 }
	is.Equal(chosen(limited, runs, costs, noneFree), []int{0, 2})
	is.Equal(Choose(demand(3), runs, costs, noneFree), []Choice{{0, 2}, {1, 1}})
}

// Guards against keeping capacity for urgent work that is only expected from being freed at all, if
// not all of it can be freed.
func TestPartialDemandIsServedAsFarAsPossible(t *testing.T) {
	is := is.New(t)
	d := demand(5)
	d.Partial = true
	is.Equal(Choose(d, []Run{batchRun(0, nil), batchRun(1, nil)}, costs, noneFree), []Choice{{0, 2}, {1, 2}})
}

// Guards against evictions that take a large part of a service's capacity: over time they may take a
// tenth of it. A service so small that one run exceeds the budget of a second must still be able to
// evict.
func TestEvictionsPerSecondAreBounded(t *testing.T) {
	is := is.New(t)
	var b Budget
	total, one := winch.Capacity{Milli: 100_000, Memory: 1000}, winch.Capacity{Milli: 1000, Memory: 2}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	count := 0
	for range 1000 { // 100 s
		for b.Allows(now, one, total, costs) {
			b.Spend(now, one, total, costs)
			count++
		}
		now = now.Add(100 * time.Millisecond)
	}
	// Each eviction takes 1 s of a hundredth of the capacity, so 10 evictions per second are allowed.
	is.True(count > 900)
	is.True(count <= 1010)
	is.True(!b.Allows(now, one.Times(11), total, costs))
	is.True(!b.Allows(now, winch.Capacity{Memory: 200}, total, costs))
	now = now.Add(time.Minute)
	is.True(b.Allows(now, one.Times(50), total, costs))
	b.Spend(now, one.Times(50), total, costs) // The budget of 5 s.
	is.True(!b.Allows(now.Add(4*time.Second), one, total, costs))
	is.True(b.Allows(now.Add(5*time.Second), one, total, costs))
}

// Guards against plans by an optimistic stop time before any stop was observed, and against plans
// by the longest one when stops are short.
func TestStopTimeIsLearned(t *testing.T) {
	is := is.New(t)
	var s StopTime
	is.Equal(s.Expected(), maxStop)
	for range 100 {
		s.Observe(200 * time.Millisecond)
	}
	is.True(s.Expected() < 210*time.Millisecond)
	for i := range 200 {
		s.Observe(time.Duration(i%10) * 100 * time.Millisecond)
	}
	is.True(s.Expected() > 800*time.Millisecond)
	s.Observe(10 * time.Second)
	is.True(s.Expected() <= maxStop)
}
