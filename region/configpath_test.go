package region

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// refusesOlder reports whether an entry does not handle requests by a version older than the given one: it has that
// version or a newer one, or it refuses the request.
func (n *simNode) refusesOlder(version uint64) bool {
	config, state := n.node.CurrentConfig(n.world.ctx, "check")
	return state == winch.ConfigUnconfirmed || config.Version >= version
}

// checkNoneHandlesOlder checks from when a configuration has to be in force, for a while, that no running entry
// handles requests by an older one.
func (w *world) checkNoneHandlesOlder(version uint64, from time.Time) {
	w.t.Helper()
	for time.Sleep(time.Until(from)); time.Since(from) < 4*time.Second; time.Sleep(90 * time.Millisecond) {
		for _, n := range w.nodes {
			if n.node != nil && !n.refusesOlder(version) {
				w.t.Errorf("%s handles a request by a version before %d, %v after that has to be in force", n.host, version, time.Since(from))
				return
			}
		}
	}
}

// failOperatorReads makes the reads of the operator's settings fail that begin before a time.
func (w *world) failOperatorReads(how readFailure, until time.Time) {
	w.setStore(func(s *simStore) {
		s.failsRead = func(_, prefix string, begin time.Time) readFailure {
			if strings.HasPrefix(prefix, "op/") && begin.Before(until) {
				return how
			}
			return readAnswered
		}
	})
}

// Guards against an entry that goes on by an old configuration because its reads of the configuration fail, though the
// store answers its other calls: it takes that for a store that nobody reaches.
func TestOldConfigurationIsNotUsedThoughReadsFail(t *testing.T) {
	t.Parallel()
	const long = time.Minute
	everywhere := func(string) bool { return true }
	for _, c := range []struct {
		name  string
		fault func(w *world)
	}{
		{"reads get no response", func(w *world) { w.failOperatorReads(readHangs, time.Now().Add(long)) }},
		{"reads are refused", func(w *world) { w.failOperatorReads(readRefused, time.Now().Add(long)) }},
		{"the first reads after an outage get no response", func(w *world) {
			w.setStoreUnavailable(true)
			time.Sleep(5 * time.Second)
			w.failOperatorReads(readHangs, time.Now().Add(5*time.Second))
			w.setStoreUnavailable(false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := regionOf(t, 3)
				w.hangOperatorWatches(time.Time{}, time.Now().Add(long), everywhere)
				c.fault(w)
				time.Sleep(50 * time.Millisecond) // Calls that the store is answering have ended.
				w.checkNoneHandlesOlder(2, w.writeConfig(2).Add(configBound))
				for _, n := range w.nodes {
					if n.node.Config().Version < 2 && n.node.Ready() {
						t.Errorf("%s refuses requests and is ready for more", n.host)
					}
				}
				w.end()
			})
		})
	}
}

// Guards against an entry that goes on by an old configuration because the store refuses it and the peers that it asks,
// though it is linked to others that the store answers.
func TestOldConfigurationIsNotUsedWhileSomePeerIsServed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 20, 3)
				settle()
				time.Sleep(5 * time.Second)
				w.setNotifyDelay(func(_, _ string, kind winch.Kind) (time.Duration, bool) { return 0, kind != proto.KindWaitingJobs })
				w.setStore(func(s *simStore) {
					s.refusedHosts = make(map[string]bool)
					for host, n := range w.nodes {
						s.refusedHosts[host] = !n.node.needsMembers()
					}
				})
				time.Sleep(50 * time.Millisecond) // Calls that the store is answering have ended.
				w.checkNoneHandlesOlder(2, w.writeConfig(2).Add(configBound))
				w.end()
			})
		})
	}
}

// Guards against a configuration that counts as confirmed by the first report of a planner, which has waited on its way
// for longer than the later ones.
func TestFirstReportOfAPlannerIsNotDatedTooLate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := regionOf(t, 3)
		f := w.follower()
		const queued = 5 * time.Second
		w.setNotifyDelay(func(_, to string, kind winch.Kind) (time.Duration, bool) {
			if to == f.host && kind == proto.KindWaitingJobs {
				return queued, true
			}
			return 0, true
		})
		w.setRequestLoss(func(from, _ string, kind winch.Kind) bool {
			return from == f.node.Name && kind == proto.KindSettingsRequest
		})
		w.planner().kill()
		time.Sleep(3 * time.Second) // There is a new planner, and its first report waits.
		w.refuseEntry(f.node.Name)
		at := w.writeConfig(2)
		for time.Sleep(configBound); time.Since(at) < 2*queued; time.Sleep(50 * time.Millisecond) {
			config, state := f.node.CurrentConfig(w.ctx, "check")
			if state == winch.ConfigCurrent && config.Version < 2 {
				t.Errorf("%s takes version %d for current %v after version 2 was confirmed", f.host, config.Version, time.Since(at))
				break
			}
		}
		w.end()
	})
}

// Guards against a planner that decides by an older configuration than its entry has, since two versions that arrive by
// different ways reach its decisions in the other order.
func TestPlannerDecidesByTheNewestConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		held, release := make(chan bool, 1), make(chan bool)
		w := regionOf(t, 3)
		planner := w.planner().host
		onLine := func(line string) {
			if strings.Contains(line, planner+"\tconfiguration applied\t{\"version\": 2,") {
				held <- true
				<-release
			}
		}
		w.log.onLine.Store(&onLine)
		moved := simConfig(2)
		moved.Queues[0].Service = "elsewhere" // It has no workers.
		w.setStore(func(s *simStore) { s.put("op/config", mustJSON(moved), 0) })
		<-held
		w.writeConfig(3)
		time.Sleep(time.Second) // The planner's read before a report finds version 3.
		is.Equal(w.planner().node.Config().Version, uint64(3))
		close(release)
		w.submit("00000000000000d1", winch.Phase{Count: 1})
		is.Equal(w.await("00000000000000d1", 5*time.Second), winch.JobDone)
		w.end()
	})
}

// effectBound is how long after a worker saw the effect of a version at an entry's order that entry may still handle
// requests by an older one.
const effectBound = 250 * time.Millisecond

// Guards against a configuration that goes back in the eyes of callers: an entry carries out orders of a planner that
// decides by a newer version, and handles requests by an older one after that.
func TestRequestsAreHandledByTheVersionOfEarlierOrders(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := regionOf(t, 3)
		planner := w.planner()
		w.hangOperatorWatches(time.Time{}, time.Now().Add(time.Minute), func(host string) bool { return host != planner.host })
		version := uint64(1)
		w.mu.Lock()
		w.onStart = func(node *Node) {
			version := version
			w.group.Go(func() {
				time.Sleep(effectBound)
				if t.Failed() {
					return // One report suffices.
				}
				if config, state := node.CurrentConfig(w.ctx, "check"); state != winch.ConfigUnconfirmed && config.Version < version {
					t.Errorf("%s handles a request by version %d, %v after it started work by version %d", node.Name, config.Version, effectBound, version)
				}
			})
		}
		w.mu.Unlock()
		for range 6 {
			time.Sleep(1730 * time.Millisecond)
			w.mu.Lock()
			version++
			w.mu.Unlock()
			w.writeConfig(version)
			time.Sleep(30 * time.Millisecond) // The planner knows it.
			job := &winch.PhasedJob{ID: fmt.Sprintf("00000000000000e%d", version), Queue: "preview", Team: "choir", Command: "work", Phases: []winch.Phase{{Count: 12, Need: winch.Capacity{Milli: taskMilli}}}}
			if !planner.node.Submit(w.ctx, job).OK() {
				t.Errorf("job of version %d was not accepted", version)
			}
		}
		time.Sleep(time.Second)
		w.end()
	})
}

// Guards against a job that is stored by an entry that knows better: the one that passes it on allowed it by an older
// configuration, in which its queue still exists.
func TestPassedOnJobIsJudgedByTheNewerConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		f := w.follower()
		w.refuseEntry(f.node.Name)
		w.setNotifyDelay(func(_, to string, _ winch.Kind) (time.Duration, bool) { return 0, to != f.host })
		time.Sleep(time.Second)
		// The entry has just been confirmed, so that it asks nobody before the jobs are submitted.
		for f.node.settings.age() > f.node.Timing.refreshAge()/2 {
			time.Sleep(5 * time.Millisecond)
		}
		next := simConfig(2)
		next.Queues = next.Queues[:1]
		next.Teams[0].Keys = []string{"valid"}
		w.setStore(func(s *simStore) { s.put("op/config", mustJSON(next), 0) })
		time.Sleep(50 * time.Millisecond)
		is.Equal(f.node.Config().Version, uint64(1))
		submit := func(id, queue, key string) winch.Result {
			return f.node.Submit(w.ctx, &winch.PhasedJob{
				ID: id, Queue: queue, Team: "choir", Settings: 1, Key: key, Command: "work", Phases: []winch.Phase{{Count: 1}},
			})
		}
		is.Equal(submit("00000000000000f1", "mix", "valid").Reason, winch.UnknownService) // the queue is gone
		is.Equal(submit("00000000000000f2", "preview", "withdrawn").Reason, winch.UnknownKey)
		is.True(submit("00000000000000f3", "preview", "valid").OK())
		w.end()
	})
}

// Guards against followers that do not know a new planner while their calls for changes hang and it has no link to them.
func TestNewPlannerIsKnownThoughCallsForChangesHang(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		f := w.follower()
		w.setStore(func(s *simStore) {
			s.hangsWatch = func(host, prefix string, _ time.Time) bool {
				return host == f.host && strings.HasPrefix(prefix, prefixCell)
			}
		})
		w.setNotifyDelay(func(_, to string, kind winch.Kind) (time.Duration, bool) {
			return 0, to != f.host || kind != proto.KindWaitingJobs
		})
		w.planner().kill()
		time.Sleep(officeTTL + time.Second)
		planner := w.planner()
		is.True(planner != nil)
		time.Sleep(configBound)
		is.Equal(f.node.cell.holder(), planner.node.Name)
		w.end()
	})
}

// Guards against a new entry without work for seconds because the planner's call for changes of the records hangs.
func TestNewEntryIsKnownThoughThePlannersCallForChangesHangs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		planner, restarted := w.planner(), w.follower()
		restarted.kill()
		time.Sleep(2 * time.Second)
		w.setStore(func(s *simStore) {
			s.hangsWatch = func(host, prefix string, _ time.Time) bool {
				return host == planner.host && strings.HasPrefix(prefix, prefixCell)
			}
		})
		restarted.start()
		time.Sleep(1500 * time.Millisecond)
		is.True(planner.node.cell.addressOf(restarted.node.Name) != "")
		w.end()
	})
}
