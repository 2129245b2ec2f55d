package region

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"plantainwinch/winch"
)

const (
	// crashCommand is the prefix of the command of tasks that crash their worker. The rest of the
	// command is the time from the start to the crash.
	crashCommand = "crash "
	// rebootDelay is how long after a crash the next boot follows, under a new ID at the same address.
	rebootDelay = 3200 * time.Millisecond
	// maxCrashes bounds the crashes that a task may cause: once maxCrashes workers have crashed
	// during its runs, it must be started fewer than maxCrashes more times.
	maxCrashes = 3
)

// crashAfter returns how long after its start a task with the command crashes its worker, and whether
// it crashes it at all.
func crashAfter(command string) (time.Duration, bool) {
	rest, crashes := strings.CutPrefix(command, crashCommand)
	if !crashes {
		return 0, false
	}
	d, err := time.ParseDuration(rest)
	return d, err == nil
}

// crashCounter counts, by task, the workers that crashed during its runs, and its starts after
// maxCrashes of them. The world's mutex guards it.
type crashCounter struct {
	crashedWorkers map[winch.RunID]int // crashedWorkers counts the workers that crashed.
	extraStarts    map[winch.RunID]int // extraStarts counts the starts after maxCrashes crashes.
	// disturbedUntil is when the last disturbance of an entry or the store ends. Starts during a
	// disturbance or soon after it do not count, since entries may not know of all crashes.
	disturbedUntil time.Time
}

// minUndisturbedTime is how long there must have been no disturbance of an entry or the store for a
// start to count.
const minUndisturbedTime = 3 * time.Second

// addDisturbance records a disturbance of an entry or the store that ends at the given time.
func (v *crashCounter) addDisturbance(at time.Time) {
	if at.After(v.disturbedUntil) {
		v.disturbedUntil = at
	}
}

// checkStart checks the start of a task that crashes its workers.
func (v *crashCounter) checkStart(w *world, task winch.RunID) {
	if v.crashedWorkers == nil {
		v.crashedWorkers, v.extraStarts = make(map[winch.RunID]int), make(map[winch.RunID]int)
	}
	if v.crashedWorkers[task] < maxCrashes || !v.disturbedUntil.IsZero() && time.Since(v.disturbedUntil) < minUndisturbedTime {
		return
	}
	v.extraStarts[task]++
	if v.extraStarts[task] == maxCrashes {
		w.reportViolation("%v: %v was started %d more times after %d workers had crashed during its runs", time.Since(w.log.startedAt), task, maxCrashes, maxCrashes)
	}
}

// crashDuringRun crashes a worker some time after the start of a run there, unless the run has ended by
// then, and boots the worker again after a delay.
func (w *world) crashDuringRun(x *simWorker, key runKey, after time.Duration) {
	time.Sleep(after + 10*time.Millisecond)
	w.mu.Lock()
	x.mu.Lock()
	running := x.runs[key] != nil
	x.mu.Unlock()
	if running {
		w.crashes.crashedWorkers[key.task]++
		x.refusesConnections = x.vm.Born%3 != 0
	}
	w.mu.Unlock()
	if !running || !w.terminateBoot(x, false) {
		return
	}
	if w.downtimeChecks != nil {
		w.addDisturbance(true)
		w.addDisturbance(false)
	}
	w.group.Go(func() {
		time.Sleep(crashedRecordLifetime)
		w.unlist(x)
	})
	time.Sleep(rebootDelay)
	w.mu.Lock()
	id := fmt.Sprintf("b%d", w.bootCount+1)
	w.mu.Unlock()
	w.bootWorker(simVM(id, x.vm.Address, x.vm.Domain), 0)
}

// crashesDuring returns the number of worker crashes during runs of a job's tasks.
func (w *world) crashesDuring(job string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, crashes := range w.crashes.crashedWorkers {
		if task.Job == job {
			n += crashes
		}
	}
	return n
}

// submitCrashing submits a job whose tasks crash their workers some time after their start.
func (w *world) submitCrashing(id string, count int, after time.Duration) {
	w.submitJob(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: crashCommand + after.String(), Phases: []winch.Phase{simPhase(count)}})
}

// awaitState waits until a job has ended, and checks its final state.
func (w *world) awaitState(id string, want winch.JobState, limit time.Duration) {
	if got := w.await(id, limit); got != want {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.reportViolation("job %s ended in state %q, want %q", id, got, want)
	}
}

// Guards against a task that crashes one worker after another. Each crash also ends the other runs
// there, and without a limit the task would be started again after each. Its job must fail, and the
// other jobs must complete.
func TestTaskThatCrashesItsWorkersFails(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{0, 1500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 31, 3, 9)
				settle()
				ids := w.submitJobs(0, 4)
				w.submitCrashing("00000000000000c1", 1, after)
				w.awaitState("00000000000000c1", winch.JobFailed, 40*time.Second)
				w.awaitAll(ids, 20*time.Second)
				w.end()
			})
		})
	}
}

// Guards against a crash count that starts at zero under each planner. The planner is killed after
// each crash; its successors would never reach the limit, and the job would go on crashing workers.
func TestCrashesAreCountedAcrossTakeovers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 32, 3, 9)
		settle()
		w.submitCrashing("00000000000000c1", 1, 0)
		killed := 0
		for w.ctx.Err() == nil && time.Since(w.log.startedAt) < 80*time.Second {
			if p := w.planner(); p != nil && w.crashesDuring("00000000000000c1") > killed {
				killed++
				time.Sleep(20 * time.Millisecond)
				p.kill()
				time.Sleep(500 * time.Millisecond)
				p.start()
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.awaitState("00000000000000c1", winch.JobFailed, 5*time.Second)
		w.end()
	})
}
