package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stepClock sets the time of day of an entry's VM forward or, with a negative step, back.
func (w *world) stepClock(n *simNode, by time.Duration) {
	w.log.note("the time of day of %s steps by %v", n.host, by)
	if l := n.node.leadership.Load(); l != nil {
		v := *l.validity.Load()
		v.Wall = v.Wall.Add(-by) // What was recorded before the step lies that much earlier on the clock.
		l.validity.Store(&v)
	}
}

// otherDomain returns a failure domain in which the entry is not.
func (w *world) otherDomain(n *simNode) string {
	for _, x := range w.nodes {
		if x.domain != n.domain {
			return x.domain
		}
	}
	return ""
}

// breakLinks separates a failure domain from the store and the other domains, or ends that; its links break at once.
func (w *world) breakLinks(domain string, on bool) {
	w.partition(domain, on)
	w.noteLinks()
}

// cutOffAndCheck cuts a failure domain off for longer than any authority, checks that all lasting tasks run again afterwards, and
// ends the world.
func (w *world) cutOffAndCheck(is *is.I, domain string) {
	w.breakLinks(domain, true)
	time.Sleep(9 * time.Second)
	w.breakLinks(domain, false)
	time.Sleep(6 * time.Second)
	is.Equal(w.runningLasting(), 18)
	w.end()
}

// Guards against tasks that run twice, in a failure domain that is cut off and outside, since its keepers' leases are taken to
// end before the authority that they were granted: the time of day of the planner's VM has stepped right before the cut.
func TestTasksOfACutOffDomainWaitForTheGrantedAuthority(t *testing.T) {
	t.Parallel()
	for i, step := range []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second, 5 * time.Second, -2 * time.Second, 0} {
		t.Run(fmt.Sprint(i, step), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := lastingWorld(t, 71)
				time.Sleep(time.Duration(i) * officeRenewInterval / 4)
				p := w.planner()
				domain := w.otherDomain(p)
				w.stepClock(p, step)
				time.Sleep(20 * time.Millisecond)
				w.cutOffAndCheck(is, domain)
			})
		})
	}
}

// Guards against tasks that run twice after a lease from before the last change of keeper: workers of a failure domain that was cut off
// get keepers of their own domain again, and the domain is cut off once more. A step of the planner's time of day lets it
// grant these less than the lease that the keepers before them have granted.
func TestTasksOfACutOffDomainWaitForLeasesOfEarlierKeepers(t *testing.T) {
	t.Parallel()
	for after := time.Duration(0); after <= 200*time.Millisecond; after += 20 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := lastingWorld(t, 72)
				p := w.planner()
				domain := w.otherDomain(p)
				w.breakLinks(domain, true)
				time.Sleep(2 * time.Second)
				w.breakLinks(domain, false)
				time.Sleep(after)
				w.checkLeases()
				w.stepClock(p, 5*time.Second)
				time.Sleep(160 * time.Millisecond)
				w.cutOffAndCheck(is, domain)
			})
		})
	}
}

// blockWorker cuts an entry off from a worker, or ends that.
func (w *world) blockWorker(n *simNode, worker string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delta := -1
	if on {
		delta = 1
	}
	w.blockedPaths[simPath{n.host, w.workers[worker].vm.Address}] += delta
}

// Guards against tasks that run twice after a planner was replaced without its knowledge: it is cut off from the store and the
// other entries while a worker that it keeps does not respond, and renews that worker's lease once it responds, although its
// standby has taken over with the time at which the lease expires.
func TestReplacedPlannerDoesNotRenewLeasesThatItsStandbyCountsAsExpiring(t *testing.T) {
	t.Parallel()
	for _, back := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second} {
		t.Run(back.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := lastingWorld(t, 41)
				p := w.planner()
				worker, _ := w.workerKeptBy(p, true)
				is.True(worker != "")
				for _, n := range w.nodes {
					w.blockWorker(n, worker, true)
				}
				for w.log.count("worker unresponsive") == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond) // The standby is notified.
				w.cutEntry(p, true, true)
				w.checkLeases()
				time.Sleep(back)
				w.blockWorker(p, worker, false)
				time.Sleep(12 * time.Second)
				for _, n := range w.nodes {
					if n != p {
						w.blockWorker(n, worker, false)
					}
				}
				w.cutEntry(p, true, false)
				time.Sleep(8 * time.Second)
				is.Equal(w.runningLasting(), 18)
				w.end()
			})
		})
	}
}
