package region

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// configBound is how long after the store's confirmation requests may be handled by an older configuration.
const configBound = 2 * time.Second

// writeConfig has the operator write a version of the configuration, and returns when the store confirmed it.
func (w *world) writeConfig(version uint64) time.Time {
	w.setStore(func(s *simStore) { s.put("op/config", mustJSON(simConfig(version)), 0) })
	return time.Now()
}

// handledBy returns the version of the configuration by which an entry handles a request that arrives now.
func (n *simNode) handledBy() uint64 {
	config, _ := n.node.CurrentConfig(n.world.ctx, "check")
	return config.Version
}

// checkInForce waits until a configuration has to be in force, and checks that all running entries handle
// requests by it or a newer one.
func (w *world) checkInForce(version uint64, confirmedAt time.Time) {
	w.t.Helper()
	time.Sleep(time.Until(confirmedAt.Add(configBound)))
	for _, n := range w.nodes {
		if n.node == nil {
			continue
		}
		if got := n.handledBy(); got < version {
			w.t.Errorf("%s (planner %t) handles requests by version %d, %v after version %d was confirmed",
				n.host, n.node.leadership.Load() != nil, got, time.Since(confirmedAt), version)
		}
	}
}

// hangOperatorWatches makes the calls for the operator's changes of some entries that began in a period get
// no response.
func (w *world) hangOperatorWatches(from, to time.Time, of func(host string) bool) {
	w.setStore(func(s *simStore) {
		s.hangsWatch = func(host, prefix string, begin time.Time) bool {
			return strings.HasPrefix(prefix, "op/") && of(host) && !begin.Before(from) && begin.Before(to)
		}
	})
}

// follower returns an entry that is neither planner nor standby.
func (w *world) follower() *simNode {
	for _, n := range w.nodes {
		if n.node != nil && !n.node.needsMembers() {
			return n
		}
	}
	return nil
}

// Guards against a confirmed configuration that is not in force in time because the call by which an entry learns of
// changes hangs, while the store answers its other calls: nobody tells the planner, and followers learn only from it.
func TestConfigurationIsInForceThoughCallsForChangesHang(t *testing.T) {
	t.Parallel()
	long := 20 * time.Second
	everywhere := func(string) bool { return true }
	for _, c := range []struct {
		name  string
		fault func(w *world)
	}{
		{"one call of the planner", func(w *world) {
			planner := w.planner().host
			w.hangOperatorWatches(time.Time{}, time.Now(), func(host string) bool { return host == planner })
		}},
		{"one call of each entry", func(w *world) {
			w.hangOperatorWatches(time.Time{}, time.Now(), everywhere)
		}},
		{"all calls of the planner", func(w *world) {
			planner := w.planner().host
			w.hangOperatorWatches(time.Time{}, time.Now().Add(long), func(host string) bool { return host == planner })
		}},
		{"all calls of all entries", func(w *world) {
			w.hangOperatorWatches(time.Time{}, time.Now().Add(long), everywhere)
		}},
		{"all calls of an entry without a link to the planner", func(w *world) {
			planner, lost := w.planner().host, w.follower().host
			w.hangOperatorWatches(time.Time{}, time.Now().Add(long), func(host string) bool { return host == lost })
			w.mu.Lock()
			defer w.mu.Unlock()
			w.brokenLinks[simPath{planner, lost}]++
		}},
		{"the planner is lost, and one call of each entry", func(w *world) {
			w.hangOperatorWatches(time.Time{}, time.Now(), everywhere)
			w.planner().kill()
		}},
		{"a slow store, and one call of each entry", func(w *world) {
			w.setStore(func(s *simStore) { s.extraDelay = 300 * time.Millisecond })
			w.hangOperatorWatches(time.Time{}, time.Now(), everywhere)
		}},
		{"the store refuses the planner, and all calls of all entries", func(w *world) {
			w.refuseEntry(w.planner().node.Name)
			w.hangOperatorWatches(time.Time{}, time.Now().Add(long), everywhere)
		}},
		{"the change history is gone, and one call of each entry", func(w *world) {
			w.hangOperatorWatches(time.Time{}, time.Now(), everywhere)
			w.setStore(func(s *simStore) { s.compact() })
		}},
		{"planner and standby are lost, and all calls of all entries", func(w *world) {
			w.hangOperatorWatches(time.Time{}, time.Now().Add(long), everywhere)
			for _, n := range w.nodes {
				if n.node.needsMembers() {
					n.kill()
				}
			}
		}},
		{"the first calls after an outage", func(w *world) {
			w.setStoreUnavailable(true)
			time.Sleep(5 * time.Second)
			w.setStoreUnavailable(false)
			w.hangOperatorWatches(time.Time{}, time.Now().Add(time.Second), everywhere)
			time.Sleep(500 * time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := regionOf(t, 3)
				c.fault(w)
				w.writeConfig(2)
				time.Sleep(40 * time.Millisecond)
				w.writeConfig(3)
				time.Sleep(40 * time.Millisecond)
				w.checkInForce(4, w.writeConfig(4))
				w.end()
			})
		})
	}
}

// Guards against an evacuation that the planner does not know in time because its call for changes hangs.
func TestEvacuationIsKnownThoughCallsForChangesHang(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		w.hangOperatorWatches(time.Time{}, time.Now().Add(20*time.Second), func(string) bool { return true })
		w.setStore(func(s *simStore) { s.put("op/evacuate/d1", []byte("{}"), 0) })
		time.Sleep(configBound)
		for _, n := range w.nodes {
			is.True(n.node.evacuations.load().Contains("d1")) // d1 is evacuated
		}
		w.end()
	})
}

// Guards against a store that is read by each entry in vain: only the planner reads the operator's settings while
// nothing changes, and the others learn from its reports that theirs are the newest.
func TestOnlyThePlannerReadsSettingsThatDoNotChange(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 10)
		reads := make(map[string]int)
		w.setStore(func(s *simStore) {
			s.onRead = func(host, prefix string) {
				if prefix == "op/" {
					reads[host]++
				}
			}
		})
		time.Sleep(10 * time.Second)
		w.store.mu.Lock()
		is.True(reads[w.planner().host] <= int(10*time.Second/waitingInterval)+1)
		is.Equal(len(reads), 1) // entries that read the settings
		w.store.mu.Unlock()
		for _, n := range w.nodes {
			is.True(n.node.settings.age() < n.node.Timing.refreshAge())
		}
		w.end()
	})
}

// Guards against requests that are held up or refused during an outage of the store: an entry that reaches neither the
// store nor an entry that does goes on with the configuration that it has.
func TestRequestsAreHandledAtOnceDuringAnOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		w.setStoreUnavailable(true)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for _, n := range w.nodes {
				begin := time.Now()
				config, state := n.node.CurrentConfig(w.ctx, "check")
				is.True(config != nil && state != winch.ConfigUnconfirmed)
				is.True(time.Since(begin) <= probeTimeout+askedPeers*networkDelay)
			}
		}
		w.setStoreUnavailable(false)
		w.checkInForce(2, w.writeConfig(2))
		w.end()
	})
}

// Guards against a configuration that counts as confirmed although the report that confirms it waited on its way, as
// in the buffers of a process that was paused: it is dated by the planner's clock, which is compared by a request.
func TestReportsThatWaitedConfirmNothingRecent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		f, planner := w.follower().node, w.planner().node
		is.True(f.settings.age() < time.Second)
		f.settings.mu.Lock()
		clock := f.settings.clocks[planner.Name]
		f.settings.mu.Unlock()
		ahead := f.uptime() - planner.uptime()
		is.True(clock.lowest(f.uptime()) <= ahead)                                        // it is a bound
		is.True(ahead-clock.lowest(f.uptime()) <= 2*networkDelay+clock.slack(f.uptime())) // and a close one
		w.setNotifyDelay(func(_, _ string, kind winch.Kind) (time.Duration, bool) { return 0, kind != proto.KindWaitingJobs })
		w.setRequestLoss(func(_, _ string, kind winch.Kind) bool { return kind == proto.KindSettingsRequest })
		w.setStoreUnavailable(true)
		time.Sleep(5 * time.Second)
		late := proto.WaitingJobs{Settings: 1, SettingsAge: time.Second, SentAt: planner.uptime() - 3*time.Second}
		f.settings.noteReport("other", late)
		is.True(f.settings.age() > 5*time.Second) // the sender's clock is not known
		f.settings.noteReport(planner.Name, late)
		is.True(f.settings.age() >= 4*time.Second && f.settings.age() < 4500*time.Millisecond)
		w.end()
	})
}

// Guards against a job that waits for the planner to learn of its queue: the entry that accepted the job knows the
// configuration that names the queue, and tells the planner.
func TestPlannerLearnsOfAConfigurationWithTheFirstJob(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		planner := w.planner()
		w.hangOperatorWatches(time.Time{}, time.Now().Add(20*time.Second), func(host string) bool { return host == planner.host })
		w.refuseEntry(planner.node.Name)
		w.writeConfig(2)
		time.Sleep(20 * time.Millisecond)
		job := &winch.PhasedJob{ID: "00000000000000c1", Queue: "preview", Team: "choir", Command: "work", Phases: []winch.Phase{{Count: 1}}}
		is.True(w.follower().node.Submit(w.ctx, job).OK())
		time.Sleep(200 * time.Millisecond)
		is.Equal(planner.node.Config().Version, uint64(2))
		w.end()
	})
}

// Guards against a planner whose link is full, so that its standby replaces it: a configuration that the store reports
// to nobody is known to the planner first, and all entries fetched their copies from it.
func TestEntriesDoNotFetchAConfigurationFromThePlanner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 10)
		planner := w.planner().node.Name
		asked := 0
		w.setRequestLoss(func(_, to string, kind winch.Kind) bool {
			if kind == proto.KindSettingsRequest && to == planner {
				asked++
			}
			return false
		})
		w.hangOperatorWatches(time.Time{}, time.Now().Add(20*time.Second), func(string) bool { return true })
		w.checkInForce(2, w.writeConfig(2))
		w.mu.Lock()
		is.True(asked <= 1) // requests to the planner
		w.mu.Unlock()
		w.end()
	})
}
