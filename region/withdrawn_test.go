package region

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// stableWindow is how long after a fault bounds on times hold again.
const stableWindow = 3 * time.Second

// lastingJob returns a job of two lasting tasks.
func lastingJob(id string) *winch.PhasedJob {
	phase := winch.Phase{Count: 2, Need: winch.Capacity{Milli: taskMilli}, Estimate: taskDuration, Lasting: true}
	return &winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: lastingCommand, Phases: []winch.Phase{phase}, Accepted: time.Now()}
}

// submits reports whether a transaction stores one of the jobs.
func submits(txn winch.Txn, ids ...string) bool {
	return slices.ContainsFunc(txn.Writes, func(x winch.Write) bool {
		id, part := parseJobKey(x.Key)
		return part == partJob && (len(ids) == 0 || slices.Contains(ids, id))
	})
}

// attempt submits a job at an entry, if that runs and has a configuration; the caller leaves after the given time.
func (w *world) attempt(n *simNode, job *winch.PhasedJob, wait time.Duration) winch.Result {
	w.mu.Lock()
	node := n.node
	w.mu.Unlock()
	if node == nil || node.Config() == nil {
		return winch.Refuse(winch.StoreUnavailable, "the entry does not run")
	}
	ctx, cancel := context.WithTimeout(w.ctx, wait)
	defer cancel()
	return node.Submit(ctx, job)
}

// Guards against tasks of a cancelled job that run: the job's submission was on its way to the store when it was cancelled at another
// entry, and is stored after the cancellation has been acknowledged.
func TestJobThatIsCancelledBeforeItIsStoredDoesNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id, other = "00000000000000a1", "00000000000000a2"
		w := newWorld(t, 91, 3, 9)
		settle()
		w.setStore(func(s *simStore) {
			s.executesLate = func(txn winch.Txn) time.Duration {
				if submits(txn, id) {
					return 5 * time.Second
				}
				return 0
			}
		})
		is.True(!w.attempt(w.nodes["d0-0"], lastingJob(id), time.Second).OK())
		is.True(w.nodes["d1-0"].node.Cancel(w.ctx, id).OK())
		is.True(w.attempt(w.nodes["d0-0"], lastingJob(other), time.Second).OK())
		time.Sleep(10 * time.Second)
		is.Equal(w.runsOf(id), 0)
		is.Equal(w.runsOf(other), 2)
		state, result := w.nodes["d2-0"].node.State(w.ctx, id)
		is.True(result.OK())
		is.Equal(state, winch.JobCancelled)
		w.end()
	})
}

// Guards against a job that runs although it is cancelled: its submission arrives again after the cancellation.
func TestSubmissionThatArrivesAgainAfterItsCancellationDoesNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id = "00000000000000a1"
		w := newWorld(t, 92, 3, 9)
		settle()
		is.True(w.nodes["d1-0"].node.Cancel(w.ctx, id).OK())
		is.True(w.nodes["d2-0"].node.Cancel(w.ctx, id).OK())
		for _, host := range []string{"d0-0", "d1-0", "d2-1"} {
			is.True(w.attempt(w.nodes[host], lastingJob(id), time.Second).OK())
			time.Sleep(time.Second)
			state, _ := w.nodes["d0-1"].node.State(w.ctx, id)
			is.Equal(state, winch.JobCancelled)
		}
		is.Equal(w.runsOf(id), 0)
		w.end()
	})
}

// endedRecords returns how many records of ended jobs the store holds.
func (w *world) endedRecords() (n int) {
	w.setStore(func(s *simStore) {
		for key := range s.items {
			if strings.HasPrefix(key, prefixEnded) {
				n++
			}
		}
	})
	return n
}

// Guards against records of cancelled jobs that stay in the store for ever, and against callers that fill it by cancelling unknown
// jobs.
func TestRecordsOfUnknownCancelledJobsAreBoundedAndRemoved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id = "00000000000000a1"
		w := newWorld(t, 93, 3, 9)
		settle()
		w.submitJob(lastingJob(id))
		refused := 0
		for i := range 1000 {
			result := w.nodes["d1-0"].node.Cancel(w.ctx, fmt.Sprintf("%016x", 0xb000+i))
			if !result.OK() {
				is.Equal(result.Reason, winch.Overloaded)
				is.True(result.RetryAfter > 0)
				refused++
			}
		}
		recorded := w.endedRecords()
		is.Equal(recorded, 1000-refused)
		is.True(recorded >= withdrawalBurst && recorded < 3*withdrawalBurst)
		is.True(w.nodes["d1-0"].node.Cancel(w.ctx, id).OK()) // A job that is known can always be cancelled.
		time.Sleep(retained + endedReadInterval + sweepInterval)
		is.Equal(w.endedRecords(), 0)
		w.submitJob(lastingJob("000000000000b000"))
		is.True(w.awaitRuns("000000000000b000", 2, 5*time.Second))
		w.end()
	})
}

// Guards against a cancellation that is acknowledged and has no effect: the job is stored between the two calls of
// the cancellation to the store.
func TestJobThatIsStoredWhileItIsCancelledDoesNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id = "00000000000000a1"
		w := newWorld(t, 94, 3, 9)
		settle()
		submitted := false
		w.setStore(func(s *simStore) {
			s.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
				if len(txn.Writes) == 1 && txn.Writes[0].Key == keyEnded(id) && !submitted {
					submitted = true
					_, err := s.execute(winch.Txn{Writes: []winch.Write{{Key: keyJob(id), Data: encode(lastingJob(id))}, {Key: keyCommand(id), Data: []byte(lastingCommand)}}})
					is.NoErr(err)
				}
				return true, true
			}
		})
		is.True(w.nodes["d1-0"].node.Cancel(w.ctx, id).OK())
		is.True(submitted)
		time.Sleep(cancelLimit)
		is.Equal(w.runsOf(id), 0)
		w.end()
	})
}

// Guards against tasks that start after their job's cancellation was acknowledged: the store loses responses or executes
// transactions late, callers leave and cancel at other entries, submissions arrive again, and planners are killed.
func TestRandomWithdrawals(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				settle()
				w.setStore(func(s *simStore) {
					s.executesLate = func(txn winch.Txn) time.Duration {
						if len(txn.Writes)%3 == 0 || s.revision%3 != 0 {
							return 0
						}
						return time.Duration(1+s.revision%6) * time.Second
					}
				})
				w.group.Go(func() {
					for range 3 {
						time.Sleep(time.Duration(1+w.intn(4)) * time.Second)
						if p := w.planner(); p != nil {
							w.killAndRestart(p, 500*time.Millisecond)
						}
					}
				})
				for i := range 24 {
					id := fmt.Sprintf("%016x", 0xc000+i)
					w.group.Go(func() { w.submitAndCancel(id) })
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(15 * time.Second)
				w.end()
			})
		})
	}
}

// submitAndCancel submits a job, whose caller leaves soon, cancels it at other entries until that is acknowledged, and submits it again now
// and then. It reports a violation if tasks run too long after the acknowledgement.
func (w *world) submitAndCancel(id string) {
	for range 1 + w.intn(2) {
		w.attempt(w.randomNode(), lastingJob(id), time.Duration(50+w.intn(800))*time.Millisecond)
	}
	w.cancelJob(id)
	acknowledged := time.Now()
	if w.intn(3) == 0 {
		w.attempt(w.randomNode(), lastingJob(id), time.Second)
	}
	for time.Since(acknowledged) < 14*time.Second {
		time.Sleep(200 * time.Millisecond)
		if after := time.Since(acknowledged); after > cancelLimit+stableWindow && w.runsOf(id) > 0 {
			w.mu.Lock()
			w.reportViolation("tasks of %s run %v after its cancellation was acknowledged", id, after)
			w.mu.Unlock()
			return
		}
	}
}

// Guards against a job that runs although its caller was told that it never will: the caller's first attempt got no response, a second one at
// another entry is refused, and the store executes the first one's transaction after that.
func TestRefusedSubmissionIsNotStoredByAnEarlierAttempt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id = "00000000000000a1"
		w := newWorld(t, 95, 3, 9)
		settle()
		w.setStore(func(s *simStore) {
			s.executesLate = func(txn winch.Txn) time.Duration {
				if submits(txn, id) {
					return 3 * time.Second
				}
				return 0
			}
		})
		is.True(!w.attempt(w.nodes["d0-0"], lastingJob(id), 500*time.Millisecond).OK())
		refuse := func(on bool) {
			w.setStore(func(s *simStore) {
				s.refusedHosts = make(map[string]bool)
				for host := range w.nodes {
					s.refusedHosts[host] = on
				}
			})
		}
		refuse(true)
		result := w.attempt(w.nodes["d1-0"], lastingJob(id), time.Second)
		refuse(false)
		is.True(!result.OK())
		time.Sleep(8 * time.Second)
		is.True(result.Outcome != winch.NotRun || w.runsOf(id) == 0)
		w.end()
	})
}
