// Package evict decides which runs to stop so that urgent work can start. A stopped task saves its
// progress and continues later, so that it loses time but no work. The package has no clock: the
// caller passes durations relative to the time of the decision.
package evict

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

// MaxStops bounds how often one task may be stopped for urgent work, so that it ends however much
// urgent work arrives.
const MaxStops = 3

// Costs are the times for which an eviction keeps a task from working, whoever runs it.
type Costs struct {
	Stop    time.Duration // Stop is the time from the order until the capacity is free.
	Restore time.Duration // Restore is the time that a task takes to resume from its checkpoint.
}

// Total returns the sum of the costs.
func (c Costs) Total() time.Duration {
	return c.Stop + c.Restore
}

// Run is a run that may be stopped.
type Run struct {
	// Worker identifies the worker; runs with equal values share capacity.
	Worker int
	Frees  winch.Capacity // Frees is what becomes free when the run ends.
	// Remaining is how long the run is expected to take from now.
	Remaining time.Duration
	// Unsaved is the run time since the last known checkpoint. It is lost if the worker is lost
	// before the stop has ended.
	Unsaved time.Duration
	// Slack is how much later the run may end without its job missing its deadline.
	Slack time.Duration
	// Ticket is how long the stopped task waits for a new ticket.
	Ticket time.Duration
	Stops  int // Stops is how often the task was stopped before.
}

// AtRisk returns the processor time since the last known checkpoint.
func (r Run) AtRisk() time.Duration {
	return time.Duration(float64(r.Unsaved) * float64(r.Frees.Milli) / 1000)
}

// Eligible reports whether the run may be stopped for work that then holds the capacity for the
// given time. The run must not be near its end, and its job must be able to wait for the stop, the
// urgent work and the restart.
func (r Run) Eligible(c Costs, hold time.Duration) bool {
	pause := c.Total() + r.Ticket
	return r.Stops < MaxStops && r.Remaining > pause && r.Slack >= pause+hold
}

// Demand is urgent work that waits for capacity.
type Demand struct {
	// Need is what one task occupies at a worker, Tasks the number of tasks that lack capacity.
	Need  winch.Capacity
	Tasks int
	// Spare is how long a start may still be delayed without the job missing its objective.
	Spare time.Duration
	// Hold is how long a task is expected to hold its capacity.
	Hold time.Duration
	// PerWorker limits the tasks at one worker, given its identifier. Nil means no limit.
	PerWorker func(worker int) int
	// Partial permits serving only some of the tasks. Otherwise none is served if not all can be,
	// since a job is on time only if all of its tasks are.
	Partial bool
}

// Choice is a run to stop.
type Choice struct {
	Run   int // Run is the index of the run.
	Tasks int // Tasks is the number of waiting tasks that the freed capacity serves.
}

// Choose returns the runs to stop so that the tasks of the demand can start in time. Runs with the
// least processor time at risk are chosen first, then those with the most slack. free returns the
// capacity of a worker that the demand may use without an eviction; it must not cover a whole task,
// as tasks that fit without an eviction lack no capacity. Each run chosen frees capacity for at
// least one more task. One that frees enough for several serves several, so that no more runs are
// stopped than tasks lack capacity.
func Choose(d Demand, runs []Run, c Costs, free func(worker int) winch.Capacity) []Choice {
	if d.Tasks <= 0 || d.Spare < c.Stop {
		return nil
	}
	var out []Choice
	freed := make(map[int]winch.Capacity)
	served, missing := make(map[int]int), d.Tasks
	for _, i := range eligible(runs, c, d.Hold) {
		w := runs[i].Worker
		after := freed[w].Add(runs[i].Frees)
		n := Fit(d.Need, free(w).Add(after), d.Tasks)
		if d.PerWorker != nil {
			n = min(n, d.PerWorker(w))
		}
		if n <= served[w] {
			continue
		}
		more := min(missing, n-served[w])
		out = append(out, Choice{i, more})
		freed[w], served[w] = after, n
		if missing -= more; missing == 0 {
			return out
		}
	}
	if d.Partial {
		return out
	}
	return nil
}

// eligible returns the indices of the runs that may be stopped, the preferred ones first.
func eligible(runs []Run, c Costs, hold time.Duration) []int {
	var out []int
	for i := range runs {
		if runs[i].Eligible(c, hold) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(runs[a].AtRisk(), runs[b].AtRisk()), cmp.Compare(runs[b].Slack, runs[a].Slack))
	})
	return out
}

// Fit returns how many tasks with the given need fit into a capacity, at most limit.
func Fit(need, capacity winch.Capacity, limit int) int {
	n := limit
	if need.Milli > 0 {
		n = min(n, int(capacity.Milli/need.Milli))
	}
	if need.Memory > 0 {
		n = min(n, int(capacity.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, capacity.Accelerators/need.Accelerators)
	}
	return max(0, n)
}
