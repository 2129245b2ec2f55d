package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// setCold lists the workers of a failure domain as slow for a while.
func (c *simRegion) setCold(domain string, left time.Duration) {
	var list []winch.WorkerVM
	for _, w := range c.planner.workers {
		vm := w.vm
		if vm.Domain == domain {
			vm.ColdLeft = left
		}
		list = append(list, vm)
	}
	c.planner.SetWorkers(list)
}

// startsIn counts the starts in a failure domain.
func (c *simRegion) startsIn(domain string, starts []proto.Order) (n int) {
	for _, o := range starts {
		if c.domainOf(o.Worker) == domain {
			n++
		}
	}
	return n
}

// The pattern is a third of the fleet that returns empty and cold from an evacuation while the rest
// is half full: being empty it would get all new work at once, and all of that would be slow.
func TestColdDomainGetsWorkOnceTheOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newDomainRegion(t, 9, urgentQueue())
		c.planner.SetEvacuated([]string{"d0"})
		c.addJobs("before", 12)
		is.Equal(len(c.schedule()), 48)
		c.planner.SetEvacuated(nil)
		c.setCold("d0", 4*time.Second)
		c.addJobs("fits", 6)
		starts := c.schedule()
		is.Equal(len(starts), 24)
		is.Equal(c.startsIn("d0", starts), 0)
		c.addJobs("more", 12)
		starts = c.schedule()
		is.Equal(len(starts), 48)
		is.True(c.startsIn("d0", starts) >= 24)
	})
}

// Guards against workers that stay unused after they are warm: the list need not change again for that,
// and a list that changes for another reason does not make them cold again.
func TestWorkerIsWarmAfterTheTimeItReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newDomainRegion(t, 9, urgentQueue())
		c.setCold("d0", 2*time.Second)
		w := c.planner.workers["w0"]
		is.Equal(w.vm.Domain, "d0")
		s := &phase{spec: &winch.Phase{}}
		s.spec.Estimate = 4 * time.Second
		is.Equal(w.coldShare(s), 0.5)
		time.Sleep(time.Second)
		c.setCold("d1", 2*time.Second)
		is.Equal(w.coldShare(s), 0.25)
		s.spec.Estimate = time.Second / 2
		is.Equal(w.coldShare(s), 1.0)
		time.Sleep(time.Second)
		is.Equal(w.coldShare(s), 0.0)
	})
}
