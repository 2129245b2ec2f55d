package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// leaseCheckInterval is how often the leases at workers are compared with what the planner knows of them.
const leaseCheckInterval = 25 * time.Millisecond

// checkLeases reports a violation if a lease with runs outlasts the time after which the planner takes it to have expired. A
// planner whose office another one holds by now may not know of leases that were renewed since.
func (w *world) checkLeases() {
	w.group.Go(func() {
		for w.ctx.Err() == nil {
			time.Sleep(leaseCheckInterval)
			if p := w.planner(); p != nil {
				w.checkLeasesOf(p)
			}
		}
	})
}

func (w *world) checkLeasesOf(p *simNode) {
	w.mu.Lock()
	node := p.node
	w.mu.Unlock()
	if node == nil {
		return
	}
	l := node.leadership.Load()
	if l == nil {
		return
	}
	_ = l.duty.Do(w.ctx, func() {
		held := false
		w.setStore(func(s *simStore) { held = s.items[keyOffice].Version == l.revision })
		if !held || l.validity.Load().remaining() <= 0 || len(l.roster) == 0 {
			return
		}
		for id, vm := range l.workers {
			if expiry := l.expiries.expiresIn(id); expiry > 0 {
				w.checkLease(id, vm.Born, expiry)
			}
		}
	})
}

// checkLease reports a violation if a lease with runs at a boot of a worker lasts longer than the given time.
func (w *world) checkLease(id string, born int64, expiry time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[id]
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	left := x.leaseUntil - x.clock()
	if x.vm.Born == born && len(x.runs) > 0 && left > expiry {
		w.reportViolation("%v: the lease of %s lasts %v longer than its planner knows", time.Since(w.log.startedAt), id, left-expiry)
	}
}

// playClockSteps steps the time of day of the planner's VM, and injects a fault at an entry, a link or the store soon after.
func (w *world) playClockSteps(steps int) {
	for range steps {
		time.Sleep(time.Duration(2000+w.intn(4000)) * time.Millisecond)
		p := w.planner()
		if p == nil {
			continue
		}
		by := time.Duration(w.intn(8000)-3000) * time.Millisecond
		length := time.Duration(500+w.intn(8000)) * time.Millisecond
		w.stepClock(p, by)
		time.Sleep(time.Duration(w.intn(300)) * time.Millisecond)
		kind := w.intn(6)
		w.log.note("injecting fault of kind %d for %v", kind, length)
		switch kind {
		case 0, 1:
			domain := w.otherDomain(p)
			w.breakLinks(domain, true)
			w.group.Go(func() {
				time.Sleep(length)
				w.breakLinks(domain, false)
			})
		case 2:
			w.cutPlanner(length)
		case 3:
			w.killAndRestart(w.randomNode(), length/4)
		case 4:
			w.injectFor(length, func(on bool) { w.setStoreUnavailable(on) })
		case 5:
			p.stop()
			w.killAndRestart(p, length/4)
		}
	}
}

// Guards against leases that outlast what the planner knows of them, and so against tasks that run twice: the time of day of
// planners steps while failure domains are cut off, entries are killed or stopped, and the store is down.
func TestRandomClockSteps(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				settle()
				w.startDowntimeChecks()
				w.addDisturbance(true)
				w.startLasting("00000000000000a1", 12)
				w.checkLeases()
				w.group.Go(func() { w.playClockSteps(12) })
				ids := w.submitJobs(0, 40)
				time.Sleep(60 * time.Second)
				w.awaitAll(ids, 60*time.Second)
				w.end()
			})
		})
	}
}
