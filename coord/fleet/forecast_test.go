package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/admit"
	"plantainwinch/winch"
)

// queueState returns the state of a queue, or nil if it is not listed.
func queueState(s admit.State, name string) *admit.QueueState {
	for i := range s.Queues {
		if s.Queues[i].Queue == admit.Hash(name) {
			return &s.Queues[i]
		}
	}
	return nil
}

// fillWithUrgent adds urgent jobs of 16 processors and one second, each of which fills one worker.
func (c *simRegion) fillWithUrgent(first, count int) {
	for i := range count {
		c.add(fmt.Sprintf("u%04d", first+i), "preview", "choir", tasks(4, 4000))
	}
}

// learnEstimates lets the planner learn that estimates are right.
func (c *simRegion) learnEstimates() {
	for range 1000 {
		for _, queue := range []string{"preview", "mix"} {
			c.planner.arrivals(queue).estimates.Observe(time.Second, time.Second)
		}
	}
}

// Guards against a forecast that refuses jobs of a region with capacity to spare, or that leaves out
// accepted work: two workers get two jobs, then twenty, which take them ten seconds.
func TestForecastFollowsAcceptedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, urgentQueue(), normalQueue())
		c.learnEstimates()
		c.fillWithUrgent(0, 1)
		c.schedule()
		is.Equal(len(c.planner.Admission(time.Now()).Queues), 0)
		c.fillWithUrgent(10, 21)
		c.schedule()
		s := c.planner.Admission(time.Now())
		is.True(s.Refusing())
		q := queueState(s, "preview")
		is.True((q.Wait - 10*time.Second).Abs() < 10*time.Millisecond)
		is.True((q.Debt - 11*time.Second).Abs() < 10*time.Millisecond)
		is.Equal(q.Milli, int64(32_000))
		is.Equal(queueState(s, "mix").Wait, q.Wait)
		c.runUntil(15*time.Second, func(time.Duration) {}, func() bool { return len(c.planner.active) == 0 })
		c.schedule()
		is.True(!c.planner.Admission(time.Now()).Refusing())
	})
}

// Guards against batch work, which is ranked behind urgent work, making the forecast of urgent jobs longer.
func TestBatchWorkDoesNotDelayUrgentForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 2, urgentQueue(), normalQueue())
		c.learnEstimates()
		for i := range 40 {
			c.add(fmt.Sprintf("b%02d", i), "mix", "duct", tasks(4, 4000))
		}
		c.schedule()
		s := c.planner.Admission(time.Now())
		is.Equal(queueState(s, "preview").Wait, time.Duration(0))
		is.True(queueState(s, "mix").Wait >= 18900*time.Millisecond)
	})
}

// Guards against a forecast from capacity that cannot be used: an evacuated domain, workers that shrink,
// and workers in use by lasting tasks.
func TestForecastCountsUsableCapacityOnly(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(c *simRegion)
		milli  int64
	}{
		{"as it was", func(*simRegion) {}, 64_000},
		{"shrunk", func(c *simRegion) { c.planner.workers["w1"].vm.Room.Milli = 4000 }, 52_000},
		{"draining", func(c *simRegion) { c.planner.workers["w1"].vm.Draining = true }, 48_000},
		{"evacuated", func(c *simRegion) {
			c.planner.workers["w1"].vm.Domain = "d2"
			c.planner.SetEvacuated([]string{"d2"})
		}, 48_000},
		{"lasting", func(c *simRegion) {
			lasting := tasks(2, 4000)
			lasting.Lasting = true
			c.add("lasting", "mix", "duct", lasting)
		}, 56_000},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			c := newSimRegion(t, 4, urgentQueue(), normalQueue())
			x.change(c)
			c.schedule()
			c.fillWithUrgent(0, 60)
			c.schedule()
			q := queueState(c.planner.Admission(time.Now()), "preview")
			is.True(q != nil)
			if q.Milli != x.milli {
				t.Error(x.name, q.Milli)
			}
		})
	}
}

// Guards against refusing because of work that waits for something other than capacity: the limit of its
// team, while most of the capacity is free.
func TestForecastLeavesOutWorkThatWaitsForItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 4, urgentQueue(), normalQueue())
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{urgentQueue(), normalQueue()}, Teams: []winch.RegionTeam{
			{Name: "choir", Cap: winch.Capacity{Milli: 16_000, Memory: 32 * gigabyte}}, {Name: "duct"},
		}})
		c.fillWithUrgent(0, 60)
		c.schedule()
		is.Equal(len(c.planner.Admission(time.Now()).Queues), 0)
	})
}

// Guards against a team that submits within its weight being listed, and against one that submits five
// times its weight being left out or listed by what was accepted only.
func TestForecastListsTeamsBeyondTheirWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue(), normalQueue())
		c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{urgentQueue(), normalQueue()}, Teams: []winch.RegionTeam{
			{Name: "choir", Weight: 5}, {Name: "duct", Weight: 5},
		}})
		for i := range 120 { // Ten seconds, 4 and 10 jobs per second, and 15 refused ones.
			time.Sleep(time.Second / 12)
			if i%3 == 0 {
				c.add(fmt.Sprintf("c%03d", i), "preview", "choir", tasks(4, 4000))
			}
			c.add(fmt.Sprintf("d%03d", i), "preview", "duct", tasks(4, 4000))
			c.planner.NoteRefused("preview", "duct", 1, time.Now())
		}
		c.schedule()
		s := c.planner.Admission(time.Now())
		is.Equal(len(s.Teams), 1)
		is.Equal(s.Teams[0].Team, admit.Hash("duct"))
		is.True(s.Teams[0].Within > 0.18 && s.Teams[0].Within < 0.25) // 5 of 24 per second.
	})
}

// Guards against a planner that computes the forecast at each decision, or that learns of a burst only at
// the next regular forecast.
func TestForecastIsComputedEarlyWhenABurstBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.fillWithUrgent(0, 1)
		c.schedule()
		c.planner.Admission(time.Now())
		is.True(!c.planner.AdmissionChanging(time.Now()))
		time.Sleep(210 * time.Millisecond)
		is.True(!c.planner.AdmissionChanging(time.Now()))
		c.fillWithUrgent(10, 8)
		c.schedule()
		is.True(c.planner.AdmissionChanging(time.Now()))
		is.True(c.planner.Admission(time.Now()).Refusing())
		is.True(!c.planner.AdmissionChanging(time.Now()))
		time.Sleep(210 * time.Millisecond)
		is.True(!c.planner.AdmissionChanging(time.Now()))
	})
}

// Guards against a part that is switched off but still refuses.
func TestForecastIsEmptyWithoutAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 1, urgentQueue())
		c.planner.Policy.Admit = false
		c.fillWithUrgent(0, 60)
		c.schedule()
		is.Equal(c.planner.Admission(time.Now()), admit.State{Term: 1})
		is.True(!c.planner.AdmissionChanging(time.Now()))
	})
}

// Guards against decisions that depend on the forecast: with and without it the planner must give the same
// orders and send the same requests.
func TestForecastDoesNotChangeDecisions(t *testing.T) {
	decisions := func(admits bool) (out []string) {
		synctest.Test(t, func(t *testing.T) {
			c := newSimRegion(t, 4, urgentQueue(), normalQueue())
			c.planner.Policy.Admit = admits
			c.runUntil(8*time.Second, func(at time.Duration) {
				n := int(at / (50 * time.Millisecond))
				queue, team := "preview", "choir"
				if n%3 == 0 {
					queue, team = "mix", "duct"
				}
				c.add(fmt.Sprintf("j%03d", n), queue, team, tasks(1+n%3, 1000))
				out = append(out, fmt.Sprint(c.running, c.planner.AdviceRequests()))
				is.New(t).Equal(len(c.planner.Admission(time.Now()).Queues), 0)
			}, never)
		})
		return out
	}
	is.New(t).Equal(decisions(true), decisions(false))
}

// BenchmarkAdmission measures one forecast.
func BenchmarkAdmission(b *testing.B) {
	p := waitingPlanner(350, 20_000, false)
	p.Schedule()
	p.Orders()
	b.Run("forecast", func(b *testing.B) {
		for b.Loop() {
			p.Admission(time.Now())
		}
	})
	b.Run("changing", func(b *testing.B) {
		for b.Loop() {
			p.AdmissionChanging(time.Now().Add(time.Second))
		}
	})
}
