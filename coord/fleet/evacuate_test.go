package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// newDomainRegion returns a region whose workers w0, w1, w2 and so on are in the failure domains d0, d1
// and d2 in turn.
func newDomainRegion(t *testing.T, workers int, queues ...winch.Queue) *simRegion {
	c := newSimRegion(t, workers, queues...)
	var list []winch.WorkerVM
	for id, w := range c.planner.workers {
		vm := w.vm
		vm.Domain = []string{"d0", "d1", "d2"}[int(id[1]-'0')%3]
		list = append(list, vm)
	}
	c.planner.SetWorkers(list)
	return c
}

// domainOf returns the failure domain of a worker.
func (c *simRegion) domainOf(worker string) string {
	return c.planner.workers[worker].vm.Domain
}

// addJobs adds urgent jobs of four tasks each.
func (c *simRegion) addJobs(name string, count int) {
	for i := range count {
		c.add(fmt.Sprintf("%s%d", name, i), "preview", "choir", tasks(4, 1000))
	}
}

// Guards against starts in an evacuated failure domain. What runs there must go on, and the domain must
// be used again after it is restored.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newDomainRegion(t, 6, urgentQueue())
		c.add("b", "preview", "choir", lastingPhase(6, 1000))
		c.schedule()
		is.Equal(c.runsAt("w1")+c.runsAt("w4"), 2)
		c.planner.SetEvacuated([]string{"d1"})
		c.addJobs("c", 6)
		for _, o := range c.schedule() {
			is.True(c.domainOf(o.Worker) != "d1")
		}
		is.Equal(c.runsAt("w1")+c.runsAt("w4"), 2) // Nothing was stopped.
		c.planner.SetEvacuated(nil)
		c.addJobs("d", 6)
		is.True(slices.ContainsFunc(c.schedule(), func(o proto.Order) bool { return c.domainOf(o.Worker) == "d1" }))
	})
}

// Guards against a gang that starts half in an evacuated failure domain: it must wait for enough
// capacity elsewhere.
func TestGangDoesNotStartInAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newDomainRegion(t, 3, urgentQueue())
		gang := tasks(3, 10_000)
		gang.Gang = true
		c.planner.SetEvacuated([]string{"d2"})
		c.add("g", "preview", "choir", gang)
		is.Equal(len(c.schedule()), 0)
		c.planner.SetEvacuated(nil)
		is.Equal(len(c.schedule()), 3)
	})
}

// Guards against requests to the advice service about workers that may not be used.
func TestNoAdviceAboutAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := urgentQueue()
		queue.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: 2500 * time.Millisecond}
		c := newDomainRegion(t, 9, queue)
		c.planner.SetEvacuated([]string{"d0"})
		c.add("a", "preview", "choir", tasks(4, 1000))
		c.planner.Schedule()
		requests := c.planner.AdviceRequests()
		is.Equal(len(requests), 1)
		is.True(len(requests[0].Workers) > 0)
		for _, id := range requests[0].Workers {
			is.True(c.domainOf(id) != "d0")
		}
	})
}

// Guards against a worker that registers, or is adopted by a later planner, after its domain was
// evacuated and then is given work.
func TestNewWorkerOfAnEvacuatedDomainGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 0, urgentQueue())
		c.planner.SetEvacuated([]string{"d1"})
		c.planner.SetWorkers([]winch.WorkerVM{{
			ID: "w0", Address: "a", Service: "render", Domain: "d1", Room: winch.Capacity{Milli: 16000, Memory: 32 * gigabyte}, Born: 1,
		}})
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: "w0"})
		c.add("a", "preview", "choir", tasks(1, 1000))
		is.Equal(len(c.schedule()), 0)
		is.Equal(c.planner.waitReason(c.planner.jobs["a"].phases[0]), WaitEvacuated)
		time.Sleep(2 * time.Second)
		c.planner.SetEvacuated(nil)
		is.Equal(len(c.schedule()), 1)
	})
}

// An operator must learn from the log that a lasting task waits because of an evacuation.
func TestEvacuationIsNamedAsReasonOfAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newDomainRegion(t, 3, urgentQueue())
		c.planner.SetEvacuated([]string{"d0", "d1", "d2"})
		c.add("a", "preview", "choir", lastingPhase(1, 1000))
		c.schedule()
		time.Sleep(time.Second)
		waiting := c.planner.WaitingTasks(500 * time.Millisecond)
		is.Equal(len(waiting), 1)
		is.Equal(waiting[0].Reason, WaitEvacuated)
		is.Equal(waiting[0].Offer.Evacuated, 3)
	})
}
