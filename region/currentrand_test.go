package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"plantainwinch/winch"
)

// hangPeriod is a period in which calls for the operator's changes that begin get no response.
type hangPeriod struct {
	from, to time.Time
	host     string // host is the entry; "" stands for all.
}

// configScenario changes the configuration during faults of the calls for changes, the store and the planner.
type configScenario struct {
	*world
	hangs []hangPeriod
	// answersSince is when the store last became available; zero while it is not. It is guarded by its mutex.
	answersSince time.Time
}

// playConfigFaults injects faults one after the other; each may last into the next.
func (c *configScenario) playConfigFaults(steps int) {
	for range steps {
		time.Sleep(time.Duration(200+c.intn(1500)) * time.Millisecond)
		length := time.Duration(50+c.intn(6000)) * time.Millisecond
		kind := c.intn(7)
		c.log.note("injecting configuration fault of kind %d for %v", kind, length)
		now := time.Now()
		switch kind {
		case 0, 1, 2:
			h := hangPeriod{from: now.Add(-time.Minute * time.Duration(c.intn(2))), to: now.Add(length)}
			if p := c.planner(); kind == 1 && p != nil {
				h.host = p.host
			}
			if kind == 2 {
				h.host = c.randomNode().host
			}
			c.setStore(func(*simStore) { c.hangs = append(c.hangs, h) })
		case 3:
			c.setAvailable(false)
			time.Sleep(length)
			c.setAvailable(true)
		case 4:
			c.refuseEntry(c.randomNode().host)
			c.group.Go(func() {
				time.Sleep(length)
				c.setStore(func(s *simStore) { s.refusedHosts = nil })
			})
		case 5:
			c.setStore(func(s *simStore) { s.compact() })
		case 6:
			if p := c.planner(); p != nil {
				c.killAndRestart(p, length/4)
			}
		}
	}
}

// noticeTime is how long after an outage of the store an entry may still go on with what it has: the store may
// answer its next call only then.
const noticeTime = time.Second

// setAvailable sets whether the store is available.
func (c *configScenario) setAvailable(on bool) {
	c.setStore(func(s *simStore) {
		s.down, c.answersSince = !on, time.Time{}
		if on {
			c.answersSince = time.Now()
		}
	})
}

// reachable reports whether all entries have had time to reach the store, or a peer that it answers.
func (c *configScenario) reachable() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return !c.answersSince.IsZero() && time.Since(c.answersSince) > noticeTime
}

// checkVersion checks that all entries handle requests by a version, or a newer one, when it has to be in force.
// An entry that reaches nobody goes on with what it has, or refuses requests; one that does may do neither. Entries
// that were started after the confirmation have time to begin.
func (c *configScenario) checkVersion(version uint64, confirmedAt time.Time) {
	time.Sleep(time.Until(confirmedAt.Add(configBound)))
	for _, n := range c.nodes {
		c.mu.Lock()
		node := n.node
		c.mu.Unlock()
		if node == nil || time.Since(node.started) < configBound {
			continue
		}
		reachable := c.reachable()
		config, state := node.CurrentConfig(c.ctx, "check")
		if reachable && state != winch.ConfigCurrent || state == winch.ConfigCurrent && config.Version < version {
			c.mu.Lock()
			c.reportViolation("%s handles a request by version %d (state %d) %v after version %d was confirmed; age %v, required %d, at %.3f", n.host, config.Version, state, configBound, version, node.settings.age(), node.settings.required.Load(), time.Since(c.log.startedAt).Seconds())
			c.mu.Unlock()
		}
	}
}

// Guards against entries that handle requests by a configuration that was replaced longer ago than the bound, while
// calls for changes hang, the store is unavailable, refuses entries or drops its history, and planners are lost.
func TestRandomConfigurationsAreInForceInTime(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 3)
				settle()
				c := &configScenario{world: w, answersSince: time.Now().Add(-noticeTime)}
				w.setStore(func(s *simStore) {
					s.hangsWatch = func(host, prefix string, begin time.Time) bool {
						for _, h := range c.hangs {
							if prefix == "op/" && (h.host == "" || h.host == host) && !begin.Before(h.from) && begin.Before(h.to) {
								return true
							}
						}
						return false
					}
				})
				faults := make(chan struct{})
				w.group.Go(func() {
					defer close(faults)
					c.playConfigFaults(15)
				})
				for version := uint64(2); ; version++ {
					select {
					case <-faults:
						time.Sleep(configBound + time.Second) // The last version is checked, too.
						w.end()
						return
					case <-time.After(time.Duration(20+w.intn(1200)) * time.Millisecond):
					}
					if !c.storeAvailable() {
						continue
					}
					at := w.writeConfig(version)
					w.group.Go(func() { c.checkVersion(version, at) })
				}
			})
		})
	}
}

// storeAvailable reports whether the store takes the operator's writes.
func (c *configScenario) storeAvailable() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return !c.store.down
}
