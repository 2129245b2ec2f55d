package region

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// inTouchTime is how long an entry and the store have to be undisturbed before each request at the entry has to be handled
// by a configuration in force.
const inTouchTime = 3 * time.Second

// returnScenario changes the configuration right after an outage of the store, while single calls and reports get lost.
type returnScenario struct {
	*world
	returnedAt time.Time
	quietAt    time.Time // quietAt is when the last fault has ended.
	mu         sync.Mutex
	confirmed  []confirmedVersion
}

// confirmedVersion is a version of the configuration with the time at which the store confirmed it.
type confirmedVersion struct {
	version uint64
	at      time.Time
}

// period is a period of time after the outage.
type period struct{ from, to time.Time }

func (p period) contains(t time.Time) bool { return !t.Before(p.from) && t.Before(p.to) }

// randomPeriod returns a period that begins within a time after the outage, or an empty one in half of the calls.
func (c *returnScenario) randomPeriod(begin, length time.Duration) period {
	if c.intn(2) == 0 {
		return period{}
	}
	from := c.returnedAt.Add(time.Duration(c.intn(int(begin))))
	p := period{from, from.Add(time.Duration(c.intn(int(length))))}
	if p.to.After(c.quietAt) {
		c.quietAt = p.to
	}
	return p
}

// injectFaults has calls for the operator's changes, reads of them, and reports fail at each entry for a while, each by
// its own draw or all alike, and the planner be lost.
func (c *returnScenario) injectFaults() {
	watches, reads, reports := make(map[string]period), make(map[string]period), make(map[string]period)
	delays := make(map[string]time.Duration)
	common, watch, read := c.intn(3) == 0, c.randomPeriod(50*time.Millisecond, 8*time.Second), c.randomPeriod(time.Second, 6*time.Second)
	for _, host := range slices.Sorted(maps.Keys(c.nodes)) {
		watches[host] = c.randomPeriod(50*time.Millisecond, 8*time.Second)
		reads[host] = c.randomPeriod(1500*time.Millisecond, 2*time.Second)
		if common {
			watches[host], reads[host] = watch, read
		}
		reports[host] = c.randomPeriod(time.Second, 4*time.Second)
		delays[host] = time.Duration(c.intn(int(5 * time.Second)))
	}
	c.setStore(func(s *simStore) {
		s.hangsWatch = func(host, prefix string, begin time.Time) bool {
			return prefix == "op/" && watches[host].contains(begin)
		}
		s.failsRead = func(host, prefix string, begin time.Time) readFailure {
			if strings.HasPrefix(prefix, "op/") && reads[host].contains(begin) {
				return readHangs
			}
			return readAnswered
		}
	})
	c.setNotifyDelay(func(_, to string, kind winch.Kind) (time.Duration, bool) {
		if kind != proto.KindWaitingJobs || !reports[to].contains(time.Now()) {
			return 0, true
		}
		return delays[to], delays[to] > time.Second
	})
	lost, at := c.intn(3) == 0, c.returnedAt.Add(time.Duration(c.intn(int(2*time.Second)))-500*time.Millisecond)
	c.group.Go(func() {
		time.Sleep(time.Until(at))
		if p := c.planner(); lost && p != nil {
			c.killAndRestart(p, 300*time.Millisecond)
		}
	})
}

// write has the operator write the next version.
func (c *returnScenario) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := uint64(len(c.confirmed)) + 2
	c.confirmed = append(c.confirmed, confirmedVersion{version, c.writeConfig(version)})
}

// inForce returns the version that has to be in force for a request that is sent at a time.
func (c *returnScenario) inForce(at time.Time) (version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.confirmed {
		if at.Sub(x.at) > configBound {
			version = x.version
		}
	}
	return version
}

// check sends a request to each entry and checks by which configuration it is handled.
func (c *returnScenario) check() {
	for _, n := range c.nodes {
		c.world.mu.Lock()
		node := n.node
		c.world.mu.Unlock()
		if node == nil || node.Config() == nil {
			continue
		}
		c.group.Go(func() {
			sent := time.Now()
			version := c.inForce(sent)
			config, state := node.CurrentConfig(c.ctx, "check")
			inTouch := sent.Sub(c.returnedAt) > inTouchTime
			old := config.Version < version && (state == winch.ConfigCurrent || state == winch.ConfigUnreachable && inTouch)
			refused := state != winch.ConfigCurrent && sent.Sub(c.quietAt) > inTouchTime && time.Since(node.started) > inTouchTime
			if old || refused {
				c.world.mu.Lock()
				c.reportViolation("%v: %s has version %d (state %d) %v after the outage; version %d has to be in force",
					time.Since(c.log.startedAt), n.host, config.Version, state, sent.Sub(c.returnedAt), version)
				c.world.mu.Unlock()
			}
		})
	}
}

// Guards against a configuration that is not in force in time when several versions are confirmed right after an outage of the
// store, while calls and reads hang and reports are lost or late, at entries of their own, and planners are lost.
func TestRandomConfigurationsAfterAnOutage(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				domains := 3
				if seed%10 == 0 {
					domains = 20
				}
				w := newWorld(t, seed, domains, 6)
				settle()
				time.Sleep(time.Duration(1000+w.intn(1000)) * time.Millisecond)
				c := &returnScenario{world: w}
				w.setStoreUnavailable(true)
				time.Sleep(time.Duration(1000+w.intn(6000)) * time.Millisecond)
				c.returnedAt = time.Now().Add(time.Millisecond)
				c.quietAt = c.returnedAt
				c.injectFaults()
				w.setStoreUnavailable(false)
				w.group.Go(func() {
					for _, pause := range []int{0, 40, 40, 900, 2000, 300, 1700} {
						time.Sleep(time.Duration(pause) * time.Millisecond)
						c.write()
						job := fmt.Sprintf("%016x", 0xb00+pause)
						w.submitJob(&winch.PhasedJob{
							ID: job, Queue: "preview", Team: "choir", Command: "work",
							Phases: []winch.Phase{{Count: 6, Need: winch.Capacity{Milli: taskMilli}}},
						})
					}
				})
				end := c.quietAt.Add(inTouchTime + 3*time.Second)
				if least := c.returnedAt.Add(10 * time.Second); end.Before(least) {
					end = least
				}
				for time.Now().Before(end) {
					time.Sleep(70 * time.Millisecond)
					c.check()
				}
				w.end()
			})
		})
	}
}
