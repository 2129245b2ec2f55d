package region

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/coord/fleet"
	"plantainwinch/winch"
)

// find returns the lines that contain all of the parts.
func (l *simLog) find(parts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
next:
	for _, line := range l.lines {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue next
			}
		}
		out = append(out, line)
	}
	return out
}

// keepRunsAlive keeps postponing the end of all runs, so that none completes.
func (w *world) keepRunsAlive() {
	for w.ctx.Err() == nil {
		for _, x := range w.workers {
			x.mu.Lock()
			for _, r := range x.runs {
				r.end = time.Now().Add(time.Hour)
			}
			x.mu.Unlock()
		}
		time.Sleep(taskDuration / 4)
	}
}

// stallGauges returns the values of the stall metrics at the planner's entry.
func (w *world) stallGauges() (longest, runs int64) {
	n := w.planner().node
	return metrics.GetOrRegisterGauge("Planner.LastingWait.Milliseconds", n.Metrics).Value(),
		metrics.GetOrRegisterGauge("Planner.RunsNotHeard", n.Metrics).Value()
}

// Guards against a log that does not explain why a lasting task is down. A worker with such a task
// stops responding, and the task's users wait until everything there is guaranteed to have ended.
// Meanwhile the log must say, with the job's ID, which run at which worker and keeper delays the task,
// and finally that the stall has ended.
func TestLogSaysWhyALastingTaskWaits(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1, 3, 3)
		settle()
		w.group.Go(w.keepRunsAlive)
		phase := simPhase(1)
		phase.Lasting = true
		w.submit("service", phase)
		time.Sleep(5 * time.Second)
		is.Equal(len(w.log.find("lasting task waits")), 0)

		at := ""
		for id, x := range w.workers {
			x.mu.Lock()
			if len(x.runs) > 0 {
				at = id
			}
			x.mu.Unlock()
		}
		is.True(at != "")
		w.setUnresponsive(at, true)
		time.Sleep(6 * time.Second)
		lines := w.log.find("lasting task waits", `"job": "service"`, fleet.WaitRun.String(),
			`"worker": "`+at+`"`, `"quiet": true`, `"run"`, `"term"`, `"keeper": "d`)
		is.True(len(lines) > 0)
		is.True(len(lines) <= 2) // Once, and again after five seconds.
		is.True(len(w.log.find("worker with runs is unresponsive", `"worker": "`+at+`"`, `"runs": 1`)) > 0)
		longest, runs := w.stallGauges()
		is.True(longest > 3000) // It has waited for most of the six seconds.
		is.Equal(runs, int64(1))

		time.Sleep(6 * time.Second)
		is.Equal(len(w.log.find("stall ended", `"job": "service"`)), 1)
		is.Equal(len(w.log.find("stall ended", `"worker": "`+at+`"`)), 1)
		longest, runs = w.stallGauges()
		is.Equal(longest, int64(0))
		is.Equal(runs, int64(0))
		w.end()
	})
}

// Guards against gauges that show old stalls. An entry that gives up the office (the planner's
// leadership lease in the store) must reset them: the next planner reports what is stalled from then
// on.
func TestStallGaugesAreResetWhenTheOfficeIsGivenUp(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1, 3, 3)
		settle()
		n := w.planner().node
		n.updateStallGauges(stallSnapshot{unresponsive: []fleet.UnresponsiveWorker{{Runs: 3}}})
		n.Stop(w.ctx)
		time.Sleep(time.Second)
		is.Equal(metrics.GetOrRegisterGauge("Planner.RunsNotHeard", n.Metrics).Value(), int64(0))
		w.end()
	})
}

// Guards against a log that is flooded when hundreds of tasks wait at once, as they do when a failure
// domain is lost. The log must stay bounded, say how many lines were omitted, and name each task in
// turn.
func TestLogOfManyStallsIsBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &simLog{startedAt: time.Now()}
		s := stallMonitor{log: log.logger("e"), reported: make(map[string]stallReport)}
		var look stallSnapshot
		for i := range 50 {
			look.waiting = append(look.waiting, fleet.WaitingTask{
				Task:   winch.RunID{Job: fmt.Sprintf("j%02d", i)},
				Reason: fleet.WaitCapacity,
			})
		}
		for i := range 3 {
			s.report(look, 0)
			is.Equal(len(log.find("lasting task waits")), min(50, (i+1)*maxStallLines))
			time.Sleep(stallCheckInterval)
		}
		is.Equal(len(log.find("stall reports omitted", `"lines": 30`)), 1)
		for i := range look.waiting {
			is.Equal(len(log.find("lasting task waits", look.waiting[i].Task.Job)), 1)
		}
		look.waiting[7].Reason = fleet.WaitLimit
		s.report(look, 0) // Nothing else is due yet.
		is.Equal(len(log.find("lasting task waits")), 51)
		is.Equal(len(log.find("lasting task waits", "j07", fleet.WaitLimit.String())), 1)
		time.Sleep(stallCheckInterval)
		s.report(stallSnapshot{}, 0)
		is.Equal(len(log.find("stall ended")), maxStallLines)
	})
}
