package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/winch"
)

const (
	// copyCommand is the command of jobs whose phases permit copies. Their runs report progress.
	copyCommand = "copies"
	// copiedDuration is how long such runs take, lagFactor the factor by which one in lagDivisor of them takes
	// longer.
	copiedDuration = 1200 * time.Millisecond
	lagFactor      = 8
	lagDivisor     = 4
	// maxTransit bounds the time from the order to start a copy until a worker carries it out: the order is
	// sent again to the keeper when messages are lost, and is valid for a second at the worker.
	maxTransit = 3 * time.Second
)

// copyChecker checks the runs of tasks that may have copies. The world's mutex guards it.
type copyChecker struct {
	acknowledgedAt map[winch.RunID]time.Time // acknowledgedAt holds when the first completion of each task was acknowledged.
	started, twice int                       // started counts the runs, twice those that were started beside another one.
}

func newCopyChecker() copyChecker {
	return copyChecker{acknowledgedAt: make(map[winch.RunID]time.Time)}
}

// allowedBeside returns how many other runs of the task may go on when a run starts.
func (v *copyChecker) allowedBeside(c winch.StartRequest) int {
	if c.Command == copyCommand {
		return 1
	}
	return 0
}

// allowedAfter returns how many runs of a task may start after another run of it has succeeded: a copy may, as
// long as the planner has not received the completion.
func (v *copyChecker) allowedAfter(c winch.StartRequest) int {
	if c.Command == copyCommand {
		return 1
	}
	return 0
}

// inTransit reports whether a start that is carried out after the task's completion was acknowledged may have
// been ordered before.
func (v *copyChecker) inTransit(c winch.StartRequest) bool {
	return c.Command == copyCommand && time.Since(v.acknowledgedAt[c.Task]) <= maxTransit
}

// acknowledged records that the completion of a task was acknowledged.
func (v *copyChecker) acknowledged(task winch.RunID) {
	if _, known := v.acknowledgedAt[task]; !known {
		v.acknowledgedAt[task] = time.Now()
	}
}

// runStarted draws how long a run takes.
func (v *copyChecker) runStarted(w *world, c winch.StartRequest, r *simRun) {
	v.started++
	if w.running[c.Task] > 1 {
		v.twice++
	}
	length := copiedDuration
	if w.intn(lagDivisor) == 0 {
		length *= lagFactor
	}
	r.startedAt = time.Now()
	r.end = r.startedAt.Add(length)
	r.fails = w.intn(20) == 0
}

// percent returns the progress that a run reports.
func (r *simRun) percent() float64 {
	if r.startedAt.IsZero() {
		return 100
	}
	return 100 * time.Since(r.startedAt).Seconds() / r.end.Sub(r.startedAt).Seconds()
}

// submitCopied submits a job with a phase that permits copies and returns its ID.
func (w *world) submitCopied(id string) string {
	phase := simPhase(6)
	phase.Copies, phase.Estimate = true, copiedDuration
	w.submitJob(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: copyCommand, Phases: []winch.Phase{phase}})
	return id
}

// Guards against copies that are not started, counted or logged, and against a task that runs more than twice
// at once.
func TestStragglersRunTwice(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, 3, 12)
		settle()
		w.awaitAll(w.submitManyCopied(12), 40*time.Second)
		twice, metrics := w.copyChecks.twice, w.planner().node.Metrics
		started, won, lost := copyCount(metrics, "Started"), copyCount(metrics, "Won"), copyCount(metrics, "Lost")
		time.Sleep(2 * time.Second)
		w.end()
		is.True(twice > 0)
		is.True(won > 0)
		is.Equal(started, won+lost)
		is.Equal(int(started), w.log.count("copy started"))
		is.Equal(int(won+lost), w.log.count("copy ended"))
	})
}

// Guards against runs that are stopped or started again by a takeover while tasks have two runs. Each of
// several planners is killed while copies run.
func TestCopiesSurviveTakeovers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 4, 3, 12)
		settle()
		killed := 0
		w.group.Go(func() {
			for w.ctx.Err() == nil && killed < 4 {
				time.Sleep(50 * time.Millisecond)
				w.mu.Lock()
				overlap := false
				for _, n := range w.running {
					overlap = overlap || n > 1
				}
				w.mu.Unlock()
				if p := w.planner(); overlap && p != nil {
					killed++
					p.kill()
					time.Sleep(500 * time.Millisecond)
					p.start()
					time.Sleep(3 * time.Second)
				}
			}
		})
		w.awaitAll(w.submitManyCopied(12), 60*time.Second)
		w.end()
		is.True(killed > 1)
	})
}

// submitManyCopied submits jobs with phases that permit copies, one every two seconds, and returns their IDs.
func (w *world) submitManyCopied(count int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, w.submitCopied(fmt.Sprintf("%016x", i)))
		time.Sleep(2 * time.Second)
	}
	return ids
}

// copyCount returns the counter of copies with a name.
func copyCount(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter("Planner.Copies."+name, r).Count()
}
