package fleet

import (
	"strconv"
	"time"
)

// task is one task of a phase.
type task struct {
	phase *phase
	index int
	done  bool
	// waiting and live say how the task counts in its phase, see updateCounts.
	waiting, live bool
	// runs holds the runs that may exist. There is more than one only while an unwanted one is
	// being stopped, and two if one is a copy of the other, see phase.permitsCopies.
	runs       []*run
	checkpoint string
	// checkpointPercent is the progress of the run that wrote the checkpoint when that was reported.
	checkpointPercent float64
	copies            int // copies counts the copies that were started.
	// avoidWorker is the worker at which the task last failed or was slow.
	avoidWorker string
	// restarts counts how often the task was restarted because it was slow.
	restarts int
	// evicted is set while the task waits after it was stopped for urgent work, stops counts how
	// often that happened, and resumesAt is the progress in percent at the last such stop.
	evicted   bool
	stops     int
	resumesAt float64
	// latestRun is the highest run known of the task, lastEnd the last end of a run.
	latestRun uint64
	lastEnd   RunEnd
	// lastWorkedAt is when a run that has since ended was last known to do the task's work.
	lastWorkedAt time.Time
}

// failureKey returns the key by which failures are counted: that of a task, or of a whole gang.
func (t *task) failureKey() string {
	s := t.phase
	key := strconv.Itoa(s.repetition) + "." + strconv.Itoa(s.index)
	if s.spec.Gang {
		return key
	}
	return key + "." + strconv.Itoa(t.index)
}

// updateCounts updates the phase's counters after a change of the task.
func (t *task) updateCounts() {
	s := t.phase
	live := t.activeRun() != nil
	waiting := !live && !t.done
	by := change(&t.live, live)
	s.live += by
	s.job.live += by
	s.waiting += change(&t.waiting, waiting)
	s.evicted.set(t.index, waiting && t.evicted)
	s.startable.set(t.index, t.startable())
	s.job.planner.enqueueIfReady(s)
	if s.waiting == 0 {
		s.anticipate()
		s.noteCopyable()
	}
}

// change sets a flag and returns by how much the number of flags that are set changes.
func change(flag *bool, value bool) int {
	switch {
	case value == *flag:
		return 0
	case value:
		*flag = true
		return 1
	}
	*flag = false
	return -1
}

// activeRun returns a run that does the task's work, or nil. A task with a copy has two.
func (t *task) activeRun() *run {
	for _, r := range t.runs {
		if !r.stopping {
			return r
		}
	}
	return nil
}

// startable reports whether the task may be started: it is not done and has no run that may exist.
func (t *task) startable() bool {
	return !t.done && len(t.runs) == 0
}
