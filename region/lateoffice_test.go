package region

import (
	"fmt"
	"slices"
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
	successor := w.namedStandby()
	is.True(successor != nil)
	standby, loadedAt := successor.host, w.noteLoad()
	taken := make(chan struct{})
	late := lateOffice{delay: time.Second, onTaken: func() { close(taken) }}
	w.setStore(func(s *simStore) {
		s.maxChanges, s.commitDelay = 5, late.commitDelay
		s.hangsWatch = func(host, prefix string, begin time.Time) bool {
			if host == standby {
				return prefix == prefixJobs && hangsAfter(loadedAt, begin, hang)
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

// Guards against tasks that run twice because another entry than the standby takes the office: the standby goes on
// acknowledging the starts of the planner before. Jobs are accepted after the new planner has read the jobs, while its
// read of the roster takes long; their completions are listed to it before it knows them.
func TestJobsStartedAfterTheNewPlannersReadingRunOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 420+seed, 3, 9)
				settle()
				planner, standby := w.planner(), w.namedStandby()
				is.True(standby != nil)
				var next *simNode
				for i := range len(w.nodes) {
					if n := w.nodeAt(i); n != planner && n != standby && n.domain != planner.domain {
						next = n
					}
				}
				loadedAt := w.noteLoad()
				reads := make(chan struct{})
				var once sync.Once
				w.setStore(func(s *simStore) {
					s.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
						refused := slices.ContainsFunc(txn.Writes, func(x winch.Write) bool {
							var held office
							return x.Key == keyOffice && decode(x.Data, &held) == nil && held.Holder == standby.node.Name
						})
						return !refused, !refused
					}
					s.readDelay = func(host, prefix string) (late time.Duration) {
						if host == next.host && prefix == keyRoster {
							once.Do(func() {
								late = 800 * time.Millisecond
								close(reads)
							})
						}
						return late
					}
					s.hangsWatch = func(host, prefix string, begin time.Time) bool {
						switch host {
						case next.host:
							return prefix == prefixJobs && hangsAfter(loadedAt, begin, time.Second)
						case standby.host:
							return false
						}
						return strings.HasPrefix(prefix, prefixCell)
					}
				})
				w.refuseEntry(planner.node.Name)
				<-reads
				time.Sleep(10 * time.Millisecond)
				ids := w.submitBurst(16, planner.host, standby.host, next.host)
				time.Sleep(2 * time.Second)
				w.setStore(func(s *simStore) { s.refusedHosts, s.commitOutcome = nil, nil })
				w.awaitAll(ids, 40*time.Second)
				time.Sleep(5 * time.Second)
				w.end()
			})
		})
	}
}

// namedStandby returns the planner's standby once the store names it, or nil.
func (w *world) namedStandby() (standby *simNode) {
	l := w.planner().node.leadership.Load()
	w.awaitLeadState(l, 3*time.Second, func() bool {
		if l.standby != nil && l.standby.name == l.namedStandby {
			host, _, _ := strings.Cut(l.standby.name, "/")
			standby = w.nodes[host]
		}
		return standby != nil
	})
	return standby
}

// noteLoad returns when a planner last had read the region's records, from now on.
func (w *world) noteLoad() *atomic.Pointer[time.Time] {
	var loadedAt atomic.Pointer[time.Time]
	onLine := func(line string) {
		if now := time.Now(); strings.Contains(line, "jobs read from the store") {
			loadedAt.Store(&now)
		}
	}
	w.log.onLine.Store(&onLine)
	return &loadedAt
}

// hangsAfter reports whether a call begins within a time after the records were read.
func hangsAfter(loadedAt *atomic.Pointer[time.Time], begin time.Time, length time.Duration) bool {
	at := loadedAt.Load()
	return at != nil && !begin.Before(*at) && begin.Before(at.Add(length))
}
