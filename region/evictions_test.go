package region

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/winch"
)

const (
	// savingCommand is the command of tasks that save their progress.
	savingCommand = "save"
	// savingDuration is how long such a task runs in all.
	savingDuration = 6 * time.Second
	// savingInterval is the interval at which such a task saves its progress.
	savingInterval = time.Second
	// longestStop is the longest time that such a task takes to stop.
	longestStop = 900 * time.Millisecond
)

// simSaves is the progress of a run that saves it.
type simSaves struct {
	startedAt time.Time
	// done is the work that was done before the run.
	done time.Duration
	// stopAt is when the run ends by the order to stop; zero if there is none.
	stopAt time.Time
}

// evictionCounter counts what happened to tasks that save their progress. The world's mutex guards
// it.
type evictionCounter struct {
	resumed int // resumed counts the runs that started from a checkpoint.
}

// runStarted returns the progress of a run that starts.
func (e *evictionCounter) runStarted(w *world, c winch.StartRequest) *simSaves {
	s := &simSaves{startedAt: time.Now()}
	if c.Checkpoint != "" {
		done, err := strconv.Atoi(c.Checkpoint)
		if err != nil {
			w.reportViolation("%v: %v starts with the checkpoint %q", time.Since(w.log.startedAt), c.Task, c.Checkpoint)
		}
		s.done = time.Duration(done) * time.Millisecond
		e.resumed++
	}
	return s
}

func (s *simSaves) end() time.Time { return s.startedAt.Add(savingDuration - s.done) }

// progress returns the work that is done.
func (s *simSaves) progress() time.Duration {
	return min(savingDuration, s.done+time.Since(s.startedAt))
}

// checkpoint returns the checkpoint that a run's completion carries.
func (s *simSaves) checkpoint(kind winch.CompletionKind) string {
	if s == nil || kind != winch.CompletionStopped {
		return ""
	}
	return strconv.Itoa(int(s.progress().Milliseconds()))
}

// report adds the progress and the last checkpoint to a run's report.
func (s *simSaves) report(r *winch.Running) {
	if s == nil {
		return
	}
	r.Percent = 100 * s.progress().Seconds() / savingDuration.Seconds()
	saved := s.done + time.Since(s.startedAt).Truncate(savingInterval)
	if saved > 0 {
		r.Checkpoint = strconv.Itoa(int(saved.Milliseconds()))
	}
}

// stop carries out an order to stop. Of repeated orders only the first counts.
func (s *simSaves) stop(w *world) {
	if s.stopAt.IsZero() {
		s.stopAt = time.Now().Add(time.Duration(w.intn(int(longestStop))))
	}
}

func (s *simSaves) stopped(now time.Time) bool {
	return !s.stopAt.IsZero() && now.After(s.stopAt)
}

// submitSaving submits a batch job whose tasks save their progress.
func (w *world) submitSaving(id string, count int) {
	phase := winch.Phase{Count: count, Need: winch.Capacity{Milli: taskMilli}, Estimate: savingDuration, Checkpoints: true}
	w.submitJob(&winch.PhasedJob{ID: id, Queue: "mix", Team: "choir", Command: savingCommand, Phases: []winch.Phase{phase}})
}

// longUrgentPhase returns a phase whose objective leaves time for a stop. Its tasks take less than
// estimated.
func longUrgentPhase(count int) winch.Phase {
	return winch.Phase{Count: count, Need: winch.Capacity{Milli: taskMilli}, Estimate: 2 * time.Second}
}

// Guards against urgent jobs that wait for batch tasks of six seconds, and against evictions that do
// not show in the log and the metrics. All jobs must end.
func TestUrgentJobsEvictBatchTasks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 93, 3, 9)
		settle()
		slots := 9 * int(simVM("", "", "").Room.Milli) / taskMilli
		w.submitSaving("00000000000000f0", slots)
		time.Sleep(2 * time.Second)
		begin := time.Now()
		w.submit("00000000000000f1", longUrgentPhase(3))
		is.Equal(w.await("00000000000000f1", 10*time.Second), winch.JobDone)
		is.True(time.Since(begin) < 3250*time.Millisecond) // The objective; the batch tasks run for four more seconds.
		is.Equal(w.await("00000000000000f0", 30*time.Second), winch.JobDone)
		evicted := metrics.GetOrRegisterCounter(metricEvictions, w.planner().node.Metrics).Count()
		is.True(evicted > 0)
		is.Equal(w.log.count("run evicted"), int(evicted))
		is.True(metrics.GetOrRegisterCounter(metricEvictionLost, w.planner().node.Metrics).Count() > 0)
		is.True(w.log.count("evicted for urgent work") > 0) // The batch job's line on its end.
		is.Equal(w.evictions.resumed, int(evicted))
		w.end()
	})
}

// Guards against lost work if the planner is lost between a stop and the restart, when the worker has
// already forgotten the completion with the checkpoint: the standby knows it.
func TestEvictedTasksResumeAfterPlannerIsLost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 93, 3, 9)
		settle()
		slots := 9 * int(simVM("", "", "").Room.Milli) / taskMilli
		w.submitSaving("00000000000000f0", slots)
		time.Sleep(2 * time.Second)
		w.submit("00000000000000f1", longUrgentPhase(3))
		time.Sleep(longestStop + 200*time.Millisecond) // The stops have ended; the urgent tasks run.
		evicted := w.log.count("run evicted")
		is.True(evicted > 0)
		is.Equal(w.evictions.resumed, 0)
		w.planner().kill()
		is.Equal(w.await("00000000000000f0", 60*time.Second), winch.JobDone)
		is.True(w.evictions.resumed >= evicted)
		is.Equal(w.log.count("taking over as standby of the last planner"), 1)
		w.end()
	})
}

// Guards against checkpoints that are lost with the planner: a worker must not forget the completion of
// a stopped run before the standby knows the checkpoint.
func TestCheckpointIsForgottenOnceStandbyKnowsIt(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, seed, 3, 9)
				settle()
				forgotten, unknown := 0, 0
				w.mu.Lock()
				w.onForget = func(e winch.Completion) {
					if e.Checkpoint == "" {
						return
					}
					forgotten++
					if !w.anyMirrorKnows(e) {
						unknown++
					}
				}
				w.mu.Unlock()
				w.submitSaving("00000000000000f0", 9*int(simVM("", "", "").Room.Milli)/taskMilli)
				time.Sleep(2 * time.Second)
				w.submit("00000000000000f1", longUrgentPhase(3))
				is.Equal(w.await("00000000000000f0", 60*time.Second), winch.JobDone)
				is.Equal(w.log.count("taking over"), 0)
				w.end()
				is.True(forgotten > 0)
				is.Equal(unknown, 0)
			})
		})
	}
}

// anyMirrorKnows reports whether an entry has the checkpoint of a completion as standby, or a run of the
// task that has started since. The world's mutex is held.
func (w *world) anyMirrorKnows(e winch.Completion) bool {
	for _, n := range w.liveNodes() {
		n.mirror.mu.Lock()
		known := n.mirror.saved[e.Task] == e.Checkpoint
		for r := range n.mirror.runs {
			known = known || r.Task == e.Task && r.Run > e.Run
		}
		n.mirror.mu.Unlock()
		if known {
			return true
		}
	}
	return false
}

// Guards against jobs that never end, tasks that run twice at once, and starts beyond a worker's
// capacity, while urgent jobs evict batch tasks and faults of all kinds overlap.
func TestRandomEvictions(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				settle()
				w.group.Go(func() { w.playRandomFaults(10, entryFaults) })
				var ids []string
				for i := range 8 {
					batch, urgent := fmt.Sprintf("%016x", 0xf00+i), fmt.Sprintf("%016x", 0xe00+i)
					w.submitSaving(batch, 12)
					time.Sleep(2 * time.Second)
					w.submit(urgent, longUrgentPhase(6))
					ids = append(ids, batch, urgent)
				}
				w.awaitAll(ids, 90*time.Second)
				t.Log("evicted:", w.log.count("run evicted"), "resumed:", w.evictions.resumed)
				w.end()
			})
		})
	}
}
