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

// Costs are the times that an eviction takes in addition to the work.
type Costs struct {
	Stop    time.Duration // Stop is the time from the order until the capacity is free.
	Restore time.Duration // Restore is the time that a task takes to resume from its checkpoint.
	Ticket  time.Duration // Ticket is the time that the stopped task takes to get a new ticket.
}

// Total returns the sum of the costs.
func (c Costs) Total() time.Duration {
	return c.Stop + c.Restore + c.Ticket
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
	Stops int // Stops is how often the task was stopped before.
}

// AtRisk returns the processor time since the last known checkpoint.
func (r Run) AtRisk() time.Duration {
	return time.Duration(float64(r.Unsaved) * float64(r.Frees.Milli) / 1000)
}

// Eligible reports whether the run may be stopped for work that then holds the capacity for the
// given time. The run must not be near its end, and its job must be able to wait for the stop, the
// urgent work and the restart.
func (r Run) Eligible(c Costs, hold time.Duration) bool {
	return r.Stops < MaxStops && r.Remaining > c.Total() && r.Slack >= c.Total()+hold
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
}

// Choose returns the indices of the runs to stop so that all tasks of the demand can start in time,
// or nil if that is not possible. Runs with the least processor time at risk are chosen first, then
// those with the most slack. free returns the capacity of a worker that the demand may use without
// an eviction; it must not cover a whole task, as tasks that fit without an eviction lack no
// capacity. A chosen run frees enough for at least one more task. One that frees enough for several
// tasks serves several, so no more runs are stopped than tasks lack capacity.
func Choose(d Demand, runs []Run, c Costs, free func(worker int) winch.Capacity) []int {
	if d.Tasks <= 0 || d.Spare < c.Stop {
		return nil
	}
	var order []int
	for i := range runs {
		if runs[i].Eligible(c, d.Hold) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(runs[a].AtRisk(), runs[b].AtRisk()), cmp.Compare(runs[b].Slack, runs[a].Slack))
	})
	var out []int
	freed := make(map[int]winch.Capacity)
	served, missing := make(map[int]int), d.Tasks
	for _, i := range order {
		w := runs[i].Worker
		after := freed[w].Add(runs[i].Frees)
		n := Fit(d.Need, free(w).Add(after), d.Tasks)
		if d.PerWorker != nil {
			n = min(n, d.PerWorker(w))
		}
		if n <= served[w] {
			continue
		}
		out = append(out, i)
		missing -= n - served[w]
		freed[w], served[w] = after, n
		if missing <= 0 {
			return out
		}
	}
	return nil
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
