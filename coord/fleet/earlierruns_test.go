package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// nextPlanner returns a planner that takes over from the region's without knowing what runs at its workers.
func nextPlanner(c *simRegion) *Planner {
	next := New(2)
	next.SetConfig(&winch.RegionConfig{Queues: []winch.Queue{urgentQueue()}})
	var ids []string
	for _, vm := range c.planner.WorkersToHold() {
		ids = append(ids, vm.ID)
	}
	next.SetRoster(ids)
	next.Barrier = time.Now().Add(8 * time.Second)
	next.AdoptedRevision = 100
	next.SetWorkers(c.planner.WorkersToHold())
	for _, j := range c.planner.jobs {
		next.Add(j.rec, nil, 0)
	}
	return next
}

// Guards against runs that come back with a report of what an earlier keeper knew, after the planner has learnt from the
// worker itself, its next boot or its expired lease what runs there.
func TestReportOfEarlierRunsIsDroppedOnceTheRunsAreKnown(t *testing.T) {
	for name, learn := range map[string]func(p *Planner, id string){
		"replaced": func(p *Planner, id string) {
			p.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: id, Result: winch.StartOtherBoot})
		},
		"next boot listed": func(p *Planner, id string) {
			list := p.WorkersToHold()
			for i := range list {
				if list[i].ID == id {
					list[i].Born++
				}
			}
			p.SetWorkers(list)
		},
		"expired": func(p *Planner, id string) {
			p.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: id, Result: winch.StartUncertain})
		},
		"left the list, came back as another boot": func(p *Planner, id string) {
			var others, next []winch.WorkerVM
			for _, vm := range p.WorkersToHold() {
				if vm.ID != id {
					others = append(others, vm)
				} else {
					vm.Born++
				}
				next = append(next, vm)
			}
			p.SetWorkers(others)
			p.SetWorkers(next)
		},
		"listed, then its keeper was lost": func(p *Planner, id string) {
			p.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: id})
			p.SetUnready([]string{id})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				c := newSimRegion(t, 2, urgentQueue())
				c.add("a", "preview", "choir", tasks(1, 1000))
				c.saveRecords()
				start := c.schedule()[0]
				listRun(c.planner, start)
				known := proto.KeeperEvent{Kind: proto.EventKnownRuns, Worker: start.Worker, Running: c.planner.RunsAt(start.Worker)}
				is.Equal(len(known.Running), 1)
				p := nextPlanner(c)
				p.HandleEvent(known) // As its standby knew.
				is.Equal(len(p.RunsAt(start.Worker)), 1)
				learn(p, start.Worker)
				is.Equal(len(p.RunsAt(start.Worker)), 0)
				p.HandleEvent(known)
				is.Equal(len(p.RunsAt(start.Worker)), 0)
			})
		})
	}
}

// Guards against runs that count for good because they were reported at a boot that no keeper manages any more.
func TestRunReportedAtAReplacedBootEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 2, urgentQueue())
		c.add("a", "preview", "choir", tasks(1, 1000))
		c.saveRecords()
		start := c.schedule()[0]
		listRun(c.planner, start)
		known := c.planner.RunsAt(start.Worker)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: start.Worker, Result: winch.StartOtherBoot})
		is.Equal(len(c.planner.Strays()), 0)
		c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventFound, Worker: start.Worker, Running: known})
		is.Equal(c.planner.Strays(), []Stray{{start.Worker, start.Task, start.Run, EarlierListed}})
		time.Sleep(NextBootTimeout - time.Millisecond)
		c.schedule()
		is.Equal(len(c.planner.RunsAt(start.Worker)), 1)
		time.Sleep(time.Millisecond)
		c.schedule()
		is.Equal(len(c.planner.RunsAt(start.Worker)), 0)
	})
}

// Guards against a task that runs twice since its start, whose run the worker had not listed when the planner was lost, reaches
// the next boot under the worker's ID: the next planner waits for that boot's lists, but not for listed runs.
func TestOnlyUnlistedRunsOfAnEarlierTermAreCarriedOver(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "on its way": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				c := newSimRegion(t, 2, urgentQueue())
				c.add("a", "preview", "choir", tasks(1, 1000))
				c.saveRecords()
				c.planner.Schedule()
				start := c.planner.Orders()[0]
				if listed {
					c.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: start.Worker, Task: start.Task, Run: start.Run})
					listRun(c.planner, start)
				}
				known := proto.KeeperEvent{Kind: proto.EventKnownRuns, Worker: start.Worker, Running: c.planner.RunsAt(start.Worker)}
				p := nextPlanner(c)
				p.HandleEvent(known)
				list := p.WorkersToHold()
				for i := range list {
					if list[i].ID == start.Worker {
						list[i].Born++
					}
				}
				p.SetWorkers(list)
				is.Equal(len(p.RunsAt(start.Worker)) == 0, listed)
				p.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: start.Worker})
				is.Equal(len(p.RunsAt(start.Worker)), 0)
			})
		})
	}
}

// Guards against a task that runs twice since a start that only an earlier planner knows of reaches the next boot under the
// worker's ID: what runs there is not known before that boot's lists.
func TestRunsAtANextBootAreUnknownUntilItsLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newSimRegion(t, 2, urgentQueue())
		p := nextPlanner(c)
		list := p.WorkersToHold()
		for i := range list {
			list[i].Born++
		}
		p.SetWorkers(list)
		is.True(!p.RunsKnown("w0") && !p.Empty("w0") && p.Adopting())
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: "w0"})
		p.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: "w1"})
		is.True(p.RunsKnown("w0") && !p.Adopting())
	})
}
