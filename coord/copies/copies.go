// Package copies decides which straggling runs of a phase get a copy, a second run of the same task
// on another worker, and learns per queue what copies gain. It has no clock and no state beyond
// what its values hold: times are arguments.
package copies

import (
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// minSamples is the number of run times of a phase from which its usual run time is known: the
	// median of fewer says little about a further run.
	minSamples = 3
	// runTimeMargin is the factor by which the run time of a copy may exceed the usual one, as the
	// run times of a phase's tasks differ by about that much.
	runTimeMargin = 1.2
	// startTime is how long a copy takes until it does its first work: the order, the start and the
	// restore of a checkpoint.
	startTime = 150 * time.Millisecond
	// targetDivisor relates the least gain that justifies a copy to the queue's target, which is the
	// time that a job may take beyond its work: a smaller gain rarely makes a job on time.
	targetDivisor = 5
	// budgetDivisor is the part of the free capacity that copies may use. The rest is free for work
	// that arrives while copies run: a copy gives its capacity back only after its stop, which takes
	// up to 0.9 s.
	budgetDivisor = 4
)

// UsualRunTime returns the median of the run times of a phase's tasks, each divided by the factor
// of its worker, and whether it is known. The phase has the given number of tasks, and the median
// is known if it covers at least half of them.
func UsualRunTime(runTimes []time.Duration, tasks int) (time.Duration, bool) {
	if len(runTimes) < max(minSamples, (tasks+1)/2) {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(runTimes))
	return sorted[len(sorted)/2], true
}

// ExpectedEnd returns when a copy that is started now would end, given the part of the work that is
// left and the factor of its worker.
func ExpectedEnd(now time.Time, usual time.Duration, left, factor float64) time.Time {
	return now.Add(startTime + time.Duration(runTimeMargin*left*factor*float64(usual)))
}

// LeastGain returns by how much a copy must let a phase end earlier, for a queue with the given
// target.
func LeastGain(target time.Duration) time.Duration {
	return target / targetDivisor
}

// MaxPerPhase returns how many tasks of a phase may have copies at once. If half of the runs take
// longer than the others, the usual run time is not known.
func MaxPerPhase(tasks int) int {
	return max(1, (tasks-1)/2)
}

// Straggler is a run that may be copied, with the times at which it and its copy are expected to
// end.
type Straggler struct {
	End, CopyEnd time.Time
}

// Choose returns how many of the stragglers get copies, the first ones of the list. The list must be
// in descending order of End. rest is when all other tasks of the phase are expected to have ended.
// The result is the smallest number with which the phase ends about as early as copies can make it,
// and zero if that is not earlier by at least the given gain.
func Choose(list []Straggler, rest time.Time, limit int, gain time.Duration) int {
	if len(list) == 0 {
		return 0
	}
	without := later(rest, list[0].End)
	best, bestEnd := 0, without
	copied := rest // copied is when the tasks with copies, and all others, are expected to have ended.
	for i, x := range list[:min(limit, len(list))] {
		if !x.CopyEnd.Before(x.End) {
			break
		}
		copied = later(copied, x.CopyEnd)
		end := copied
		if i+1 < len(list) {
			end = later(end, list[i+1].End)
		}
		if bestEnd.Sub(end) >= max(gain, 1) {
			best, bestEnd = i+1, end
		}
	}
	return best
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Budget is the capacity of a service that copies may use.
type Budget struct {
	// Free is the free capacity, less what waiting work needs and what is kept free for urgent work.
	Free winch.Capacity
	// Used is what copies use now.
	Used winch.Capacity
}

// Allows reports whether another copy may be started that occupies the given capacity.
func (b Budget) Allows(charge winch.Capacity) bool {
	whole := b.Free.Add(b.Used)
	part := winch.Capacity{
		Milli: whole.Milli / budgetDivisor, Memory: whole.Memory / budgetDivisor, Accelerators: whole.Accelerators / budgetDivisor,
	}
	used := b.Used.Add(charge)
	// A kind of capacity that the copy does not occupy says nothing about it.
	return (charge.Milli == 0 || used.Milli <= part.Milli) && (charge.Memory == 0 || used.Memory <= part.Memory) &&
		(charge.Accelerators == 0 || used.Accelerators <= part.Accelerators)
}

// Take moves the capacity of a copy that is started from Free to Used.
func (b *Budget) Take(charge winch.Capacity) {
	b.Free, b.Used = b.Free.Sub(charge), b.Used.Add(charge)
}
