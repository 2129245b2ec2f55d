package region

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// lateOffice is the start of a term whose planner learns late that it has the office: the store executes the
// transaction, and its response takes delay. onTaken is called when the transaction takes effect.
type lateOffice struct {
	delay   time.Duration
	onTaken func()
	once    sync.Once
}

// commitDelay is the hook of the simulated store.
func (o *lateOffice) commitDelay(_ string, txn winch.Txn) (late time.Duration) {
	for _, x := range txn.Writes {
		if x.Key == keyOffice {
			o.once.Do(func() {
				late = o.delay
				o.onTaken()
			})
		}
	}
	return late
}

// takeOverLate has the planner turned away by the store, and its standby learn late that it has taken the office.
// Jobs are accepted meanwhile, which the old planner starts: the other entries do not learn of the new planner. The
// store returns few changes in one response, so the new planner's first reading ends before most of these jobs; its
// next call for changes hangs for a time. It returns the jobs' IDs.
func (w *world) takeOverLate(is *is.I, hang time.Duration) []string {
	planner := w.planner()
	l := planner.node.leadership.Load()
	standby := ""
	is.True(w.awaitLeadState(l, 3*time.Second, func() bool {
		if l.standby != nil && l.standby.name == l.namedStandby {
			standby, _, _ = strings.Cut(l.standby.name, "/")
		}
		return standby != ""
	}))
	var loadedAt atomic.Pointer[time.Time]
	onLine := func(line string) {
		if now := time.Now(); strings.Contains(line, "jobs read from the store") {
			loadedAt.Store(&now)
		}
	}
	w.log.onLine.Store(&onLine)
	taken := make(chan struct{})
	late := lateOffice{delay: time.Second, onTaken: func() { close(taken) }}
	w.setStore(func(s *simStore) {
		s.maxChanges, s.commitDelay = 5, late.commitDelay
		s.hangsWatch = func(host, prefix string, begin time.Time) bool {
			if host == standby {
				at := loadedAt.Load()
				return prefix == prefixJobs && at != nil && !begin.Before(*at) && begin.Before(at.Add(hang))
			}
			return strings.HasPrefix(prefix, prefixCell)
		}
	})
	w.refuseEntry(planner.node.Name)
	<-taken
	ids := w.submitBurst(24, planner.host, standby)
	time.Sleep(2 * time.Second)
	w.setStore(func(s *simStore) { s.refusedHosts = nil })
	return ids
}

// Guards against tasks that run twice after a takeover: while the standby waits for the store's response to its
// transaction for the office, it acknowledges starts of jobs that were accepted after that transaction. The
// completions are listed to it before it knows the jobs.
func TestJobsThatANewPlannerLearnsOfAfterTheirCompletionsRunOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 400+seed, 3, 9)
				settle()
				ids := w.takeOverLate(is, time.Second)
				w.awaitAll(ids, 40*time.Second)
				time.Sleep(5 * time.Second)
				w.end()
			})
		})
	}
}

// submitBurst submits jobs of one task, one every few milliseconds, through entries other than the given ones, and
// returns their IDs.
func (w *world) submitBurst(count int, except ...string) (ids []string) {
	var via []*Node
	for i := range len(w.nodes) {
		if n := w.nodeAt(i); !strings.Contains(strings.Join(except, " "), n.host) {
			via = append(via, n.node)
		}
	}
	for i := range count {
		job := &winch.PhasedJob{
			ID: fmt.Sprintf("%016x", 0xb000+i), Queue: "preview", Team: "choir", Command: "work", Accepted: time.Now(),
			Phases: []winch.Phase{simPhase(1)},
		}
		if result := via[i%len(via)].Submit(w.ctx, job); !result.OK() {
			w.t.Errorf("job %s is refused: %v", job.ID, result)
			continue
		}
		ids = append(ids, job.ID)
	}
	return ids
}

// Guards against a planner that panics when a run that it found at a worker, before it knew the run's job, completes
// after that job was added.
func TestRunsThatAreFoundBeforeTheirJobsComplete(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 410+seed, 3, 9)
				settle()
				ids := w.takeOverLate(is, 0)
				w.awaitAll(ids, 40*time.Second)
				time.Sleep(5 * time.Second)
				defer func() {
					if x := recover(); x != nil {
						t.Errorf("an entry panicked: %v", x)
					}
				}()
				w.end()
			})
		})
	}
}
