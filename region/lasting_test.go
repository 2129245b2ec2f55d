package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

const (
	// lastingWork is the command of tasks that run until they are stopped.
	lastingWork = "last"
	// lastingAim is how soon after its run has ended a task that lasts runs again,
	// while there is room for it.
	lastingAim = 6 * time.Second
)

// lastingView tells, as the workers see it, which tasks that last do not run. The
// world's mutex guards it.
type lastingView struct {
	down map[winch.RunID]time.Time
	// longest is the longest that a task was down.
	longest time.Duration
}

// began notes that a run of a task that lasts has begun.
func (v *lastingView) began(w *world, task winch.RunID) {
	if v.down == nil {
		v.down = make(map[winch.RunID]time.Time)
	}
	if at, down := v.down[task]; down && !at.IsZero() {
		v.back(w, task, time.Since(at))
	}
	v.down[task] = time.Time{}
}

// ended notes that a run of a task has ended.
func (v *lastingView) ended(task winch.RunID) {
	if _, lasts := v.down[task]; lasts {
		v.down[task] = time.Now()
	}
}

// back checks how long a task was down.
func (v *lastingView) back(w *world, task winch.RunID, took time.Duration) {
	v.longest = max(v.longest, took)
	if w.windows == nil && took > lastingAim {
		w.breaks("%v: %v did not run for %v", time.Since(w.log.begin), task, took)
	}
}

// last hands a job in whose tasks last, and waits until they all run.
func (w *world) last(id string, count int) {
	phase := winch.Phase{Count: count, Need: winch.Room{Milli: simMilli}, Estimate: simWork, Lasting: true}
	w.hand(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: lastingWork, Phases: []winch.Phase{phase}})
	for w.lastingUp() < count && w.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// lastingUp counts the tasks that last and run.
func (w *world) lastingUp() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	up := 0
	for _, at := range w.lasting.down {
		if at.IsZero() {
			up++
		}
	}
	return up
}

// endLasting checks the tasks that are still down.
func (w *world) endLasting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, at := range w.lasting.down {
		if !at.IsZero() {
			w.lasting.back(w, task, time.Since(at))
		}
	}
}

// endWorker ends a worker's process: what runs there is gone, and nothing answers.
func (w *world) endWorker(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[id]
	x.mu.Lock()
	defer x.mu.Unlock()
	for key := range x.runs {
		x.end(w, key, winch.EndLapsed)
	}
	x.down, x.over = true, true
	w.log.note("%s is gone", id)
}

// leave ends a worker that has said so before; its entry goes with it.
func (w *world) leave(id string) {
	w.endWorker(id)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.remove("workers/" + id)
}

// drain has a worker say that it takes no new work and is about to leave.
func (w *world) drain(id string) {
	w.mu.Lock()
	vm := w.workers[id].vm
	w.mu.Unlock()
	vm.Draining = true
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.put("workers/"+id, mustJSON(vm), 0)
}

// runsAt counts the runs at a worker.
func (w *world) runsAt(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.workers[id].runs)
}

// busiest returns the worker with the most runs.
func (w *world) busiest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := ""
	for id, x := range w.workers {
		if x.over {
			continue
		}
		if best == "" || x.used > w.workers[best].used || x.used == w.workers[best].used && id < best {
			best = id
		}
	}
	return best
}

// stopsInSeries stops entries as planned, one every two seconds, the planner first,
// each ended two seconds later and started again at once.
func (w *world) stopsInSeries(count int) {
	for range count {
		n := w.planner()
		if n == nil {
			n = w.anyNode()
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

// A worker is gone at the moment at which the planner is stopped as planned, and
// more entries are stopped after it, one every two seconds. No planner that follows
// has ever had an answer of the worker. The listener of a room that should stay
// open all week finds it closed until long after the last of the stops, though
// other workers have room for it. What ran there could go on until the last lease had
// lapsed; each keeper that got the worker knew nothing of that lease and counted the
// longest one from its own beginning. The keepers' logs prove it: the worker was lost
// 7.7 s after the last holding of it had begun, however long it had been gone.
func TestLastingTaskIsBackWhileEntriesStopInSeries(t *testing.T) {
	t.Parallel()
	for _, millis := range []int{0, 30, 300, 700, 1100, 1400} {
		after := time.Duration(millis) * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 21, 3, 9)
				settle()
				w.last("00000000000000a1", 12)
				time.Sleep(2 * time.Second)
				w.group.Go(func() {
					time.Sleep(after)
					w.leave(w.busiest())
				})
				w.stopsInSeries(8)
				time.Sleep(10 * time.Second)
				w.endLasting()
				t.Log("longest time down:", w.lasting.longest)
				w.end()
			})
		})
	}
}

// A worker is gone while nothing else happens. What ran there may go on as far as
// anybody knows until its lease has lapsed, on a slow clock too; a lease as long as
// workers grant would leave nothing of the six seconds for finding another place.
func TestLastingTaskIsBackAfterItsWorkerIsGone(t *testing.T) {
	t.Parallel()
	for _, millis := range []int{0, 400, 800, 1200, 1600} {
		after := time.Duration(millis) * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 22, 3, 9)
				settle()
				w.last("00000000000000a1", 12)
				time.Sleep(2*time.Second + after)
				w.leave(w.busiest())
				time.Sleep(10 * time.Second)
				w.endLasting()
				t.Log("longest time down:", w.lasting.longest)
				w.end()
			})
		})
	}
}

// A worker says that it is about to leave, and leaves three seconds later. Tasks that
// last were left to end with it, and then waited for until its lease had lapsed: the
// rooms there closed for some five seconds with each worker that was replaced, though
// it had been announced and there was room for them elsewhere.
func TestLastingTasksLeaveADrainingWorker(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 23, 3, 9)
		settle()
		w.last("00000000000000a1", 12)
		time.Sleep(time.Second)
		for range 3 {
			id := w.busiest()
			w.drain(id)
			time.Sleep(3 * time.Second)
			is.Equal(w.runsAt(id), 0)
			is.Equal(w.lastingUp(), 12)
			w.leave(id)
		}
		time.Sleep(8 * time.Second)
		w.endLasting()
		t.Log("longest time down:", w.lasting.longest)
		w.end()
	})
}
