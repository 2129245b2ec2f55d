package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

const (
	// lastingCommand is the command of tasks that run until they are stopped.
	lastingCommand = "last"
	// maxRestartDelay is how soon after the end of its run a lasting task must run again, while
	// there is free capacity for it.
	maxRestartDelay = 6 * time.Second
)

// lastingStatus tracks which lasting tasks run at the workers. The world's mutex guards it.
type lastingStatus struct {
	// downSince holds, by task, the time at which its last run ended; zero while it runs.
	downSince map[winch.RunID]time.Time
	// longestDowntime is the longest time that a task was down.
	longestDowntime time.Duration
}

// runStarted records that a run of a lasting task has started.
func (v *lastingStatus) runStarted(w *world, task winch.RunID) {
	if v.downSince == nil {
		v.downSince = make(map[winch.RunID]time.Time)
	}
	if at, down := v.downSince[task]; down && !at.IsZero() {
		v.checkDowntime(w, task, time.Since(at))
	}
	v.downSince[task] = time.Time{}
}

// runEnded records that a run of a task has ended.
func (v *lastingStatus) runEnded(task winch.RunID) {
	if _, lasting := v.downSince[task]; lasting {
		v.downSince[task] = time.Now()
	}
}

// checkDowntime records how long a task was down, and reports a violation if that is too long. The
// random tests use downtimeChecker for the latter.
func (v *lastingStatus) checkDowntime(w *world, task winch.RunID, downtime time.Duration) {
	v.longestDowntime = max(v.longestDowntime, downtime)
	if w.downtimeChecks == nil && downtime > maxRestartDelay {
		w.reportViolation("%v: lasting task %v did not run for %v", time.Since(w.log.startedAt), task, downtime)
	}
}

// acceptLasting submits a job with lasting tasks, which need not run at once.
func (w *world) acceptLasting(id string, count int) {
	phase := winch.Phase{Count: count, Need: winch.Capacity{Milli: taskMilli}, Estimate: taskDuration, Lasting: true}
	w.submitJob(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: lastingCommand, Phases: []winch.Phase{phase}})
}

// startLasting submits a job with lasting tasks, and waits until they all run.
func (w *world) startLasting(id string, count int) {
	w.acceptLasting(id, count)
	for w.runningLasting() < count && w.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// runningLasting returns the number of lasting tasks that run.
func (w *world) runningLasting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 0
	for _, at := range w.lasting.downSince {
		if at.IsZero() {
			running++
		}
	}
	return running
}

// checkDownLasting checks how long the lasting tasks that do not run have been down.
func (w *world) checkDownLasting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, at := range w.lasting.downSince {
		if !at.IsZero() {
			w.lasting.checkDowntime(w, task, time.Since(at))
		}
	}
}

// terminateWorker ends a worker's process: its runs end, and it responds to nothing.
func (w *world) terminateWorker(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[id]
	x.mu.Lock()
	defer x.mu.Unlock()
	for key := range x.runs {
		x.endRun(w, key, winch.CompletionLeaseExpired)
	}
	x.unresponsive, x.terminated = true, true
	w.log.note("worker %s is terminated", id)
}

// leave makes a worker leave: its process ends and its record is removed at once.
func (w *world) leave(id string) {
	w.terminateWorker(id)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.remove("workers/" + id)
}

// drain makes a worker announce that it takes no new work and is about to leave.
func (w *world) drain(id string) {
	w.mu.Lock()
	vm := w.workers[id].vm
	w.mu.Unlock()
	vm.Draining = true
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.put("workers/"+id, mustJSON(vm), 0)
}

// runsAt returns the number of runs at a worker.
func (w *world) runsAt(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.workers[id].runs)
}

// busiestWorker returns the worker whose runs take the most capacity.
func (w *world) busiestWorker() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := ""
	for id, x := range w.workers {
		if x.terminated {
			continue
		}
		if best == "" || x.usedMilli > w.workers[best].usedMilli || x.usedMilli == w.workers[best].usedMilli && id < best {
			best = id
		}
	}
	return best
}

// stopInSeries stops entries as planned, one every two seconds: the planner if there is one, else a
// random entry. Each process ends two seconds after its stop and is restarted 300 ms later.
func (w *world) stopInSeries(count int) {
	for range count {
		n := w.planner()
		if n == nil {
			n = w.randomNode()
		}
		n.stop()
		w.group.Go(func() {
			time.Sleep(2 * time.Second)
			n.kill()
			time.Sleep(300 * time.Millisecond)
			if w.ctx.Err() == nil {
				n.start()
			}
		})
		time.Sleep(2 * time.Second)
	}
}

// Guards against lasting tasks that stay down while one planned stop follows the other, though other
// workers have free capacity. A worker leaves as the planner is stopped as planned, and another entry
// is stopped every two seconds after that, so no later planner ever has contact with the worker. Its
// runs may go on until its last lease expires. If each new keeper assumed the longest possible lease
// from its own start, the worker would count as lost only 7.7 s after its last assignment had begun,
// however long ago it had left.
func TestLastingTaskRestartsWhileEntriesStopInSeries(t *testing.T) {
	t.Parallel()
	for _, millis := range []int{0, 30, 300, 700, 1100, 1400} {
		after := time.Duration(millis) * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 21, 3, 9)
				settle()
				w.startLasting("00000000000000a1", 12)
				time.Sleep(2 * time.Second)
				w.group.Go(func() {
					time.Sleep(after)
					w.leave(w.busiestWorker())
				})
				w.stopInSeries(8)
				time.Sleep(10 * time.Second)
				w.checkDownLasting()
				t.Log("longest time down:", w.lasting.longestDowntime)
				w.end()
			})
		})
	}
}

// Guards against leases that are too long. A worker leaves and nothing else happens. Its runs may go
// on until the lease expires, even if its clock is slow. A lease of the longest duration that workers
// accept would use up the six seconds within which the tasks must run elsewhere.
func TestLastingTaskRestartsAfterItsWorkerLeft(t *testing.T) {
	t.Parallel()
	for _, millis := range []int{0, 400, 800, 1200, 1600} {
		after := time.Duration(millis) * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 22, 3, 9)
				settle()
				w.startLasting("00000000000000a1", 12)
				time.Sleep(2*time.Second + after)
				w.leave(w.busiestWorker())
				time.Sleep(10 * time.Second)
				w.checkDownLasting()
				t.Log("longest time down:", w.lasting.longestDowntime)
				w.end()
			})
		})
	}
}

// Guards against downtime of lasting tasks with each announced replacement of a worker. A worker
// announces that it is about to leave, and leaves three seconds later. If its lasting tasks run there
// until it ends, they restart only after its lease has expired: they are down for about five seconds,
// though other workers have free capacity.
func TestLastingTasksLeaveADrainingWorker(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 23, 3, 9)
		settle()
		w.startLasting("00000000000000a1", 12)
		time.Sleep(time.Second)
		for range 3 {
			id := w.busiestWorker()
			w.drain(id)
			time.Sleep(3 * time.Second)
			is.Equal(w.runsAt(id), 0)
			is.Equal(w.runningLasting(), 12)
			w.leave(id)
		}
		time.Sleep(8 * time.Second)
		w.checkDownLasting()
		t.Log("longest time down:", w.lasting.longestDowntime)
		w.end()
	})
}
