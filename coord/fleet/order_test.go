package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/order"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// fullRegion returns a region of one worker whose capacity is in use for ten seconds, with the given
// teams.
func fullRegion(t *testing.T, o winch.Order, teams ...winch.RegionTeam) *simRegion {
	c := newSimRegion(t, 1, urgentQueue(), normalQueue())
	c.planner.Policy.Order = o
	teams = append(teams, winch.RegionTeam{Name: "filler"})
	c.planner.SetConfig(&winch.RegionConfig{Version: 2, Queues: []winch.Queue{urgentQueue(), normalQueue()}, Teams: teams})
	return c
}

// fill starts tasks that use all of the region's only worker and returns their orders.
func (c *simRegion) fill(team string) []proto.Order {
	long := tasks(16, 1000)
	long.Estimate = 10 * time.Second
	c.add("fill-"+team, "mix", team, long)
	return c.schedule()
}

// startedJobs returns the jobs of the orders, in the order of the starts.
func startedJobs(orders []proto.Order) []string {
	var out []string
	for _, o := range orders {
		if len(out) == 0 || out[len(out)-1] != o.Task.Job {
			out = append(out, o.Task.Job)
		}
	}
	return out
}

// Guards against a team with a high demand that is served before the others because its jobs have
// waited longer.
func TestTeamAboveItsShareWaitsBehindOthers(t *testing.T) {
	for _, o := range winch.Orders() {
		for _, fair := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := fullRegion(t, o, winch.RegionTeam{Name: "choir"}, winch.RegionTeam{Name: "duct"})
				c.planner.Policy.FairShares = fair
				running := c.fill("choir")
				is.Equal(len(running), 16)
				c.add("hot", "mix", "choir", tasks(4, 1000))
				for range 10 {
					time.Sleep(100 * time.Millisecond)
					c.schedule()
				}
				c.add("quiet", "mix", "duct", tasks(4, 1000))
				time.Sleep(200 * time.Millisecond)
				is.Equal(len(c.schedule()), 0)
				if fair {
					load := c.planner.Load().Shares
					is.Equal([2]int{load.Above, load.Below}, [2]int{1, 1})
					is.Equal(load.WorstTeam, "duct")
					is.Equal(load.Worst, 0.0)
					is.True(load.Binding && load.Full >= time.Second && load.Age <= 100*time.Millisecond)
					is.Equal(c.planner.jobs["hot"].phases[0].waitReason, WaitShare)
				}
				for _, x := range running[:4] {
					c.endRun(x, winch.CompletionDone)
				}
				is.Equal(startedJobs(c.schedule()), []string{map[bool]string{true: "quiet", false: "hot"}[fair]})
			})
		}
	}
}

// Guards against jobs being begun while others of the same rank are half done: a job is worth nothing
// until all of its tasks have ended.
func TestBegunWorkIsFinishedFirst(t *testing.T) {
	for _, o := range winch.Orders() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := fullRegion(t, o, winch.RegionTeam{Name: "choir"})
			running := c.fill("filler")
			for _, x := range running[:2] {
				c.endRun(x, winch.CompletionDone)
			}
			c.add("begun", "mix", "choir", tasks(6, 1000))
			is.Equal(len(c.schedule()), 2)
			c.planner.jobs["begun"].rec.Accepted = time.Now().Add(300 * time.Millisecond) // It has more slack than the other.
			c.add("small", "mix", "choir", tasks(1, 1000))
			time.Sleep(200 * time.Millisecond)
			c.schedule()
			for _, x := range running[2:6] {
				c.endRun(x, winch.CompletionDone)
			}
			is.Equal(startedJobs(c.schedule()), []string{"begun"})
		})
	}
}

// Guards against work that can no longer be on time taking the capacity of work that can.
func TestWorkThatCanBeOnTimeGoesFirst(t *testing.T) {
	for _, o := range winch.Orders() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := fullRegion(t, o, winch.RegionTeam{Name: "choir"})
			running := c.fill("filler")
			c.add("late", "mix", "choir", tasks(1, 1000))
			c.planner.jobs["late"].rec.Accepted = time.Now().Add(-3 * time.Second) // Its objective is 3.4 s, its run 1 s.
			c.add("timely", "mix", "choir", tasks(1, 1000))
			c.planner.jobs["timely"].rec.Accepted = time.Now().Add(-1800 * time.Millisecond)
			is.Equal(len(c.schedule()), 0)
			c.endRun(running[0], winch.CompletionDone)
			is.Equal(startedJobs(c.schedule()), []string{"timely"})
		})
	}
}

// Guards against accepted work that never runs because other work always goes first: twice as much
// urgent work arrives as the region can do, and a batch job of a team above its share must still begin
// within the bound.
func TestAcceptedWorkDoesNotStarve(t *testing.T) {
	play := func(t *testing.T, policy winch.Policy, limit time.Duration) (took, bound time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			c := fullRegion(t, policy.Order, winch.RegionTeam{Name: "choir"}, winch.RegionTeam{Name: "duct"})
			c.planner.Policy = policy
			n, begin := 0, time.Now()
			arrive := func(time.Duration) {
				for ; time.Duration(n)*100*time.Millisecond <= time.Since(begin); n++ { // 40 tasks arrive each second, 16 fit.
					c.add(fmt.Sprintf("j%05d", n), "preview", "choir", tasks(4, 1000))
				}
			}
			c.runUntil(5*time.Second, arrive, never)
			c.add("batch", "mix", "duct", tasks(4, 1000))
			queue := normalQueue()
			before := 5.0 * 24 / 16 // the urgent tasks of five seconds that did not fit
			bound = order.AgedBound(queue.Objective(time.Second), before, time.Second)
			took = c.runUntil(min(limit, bound+time.Second), arrive, c.begun("batch"))
		})
		return took, bound
	}
	is := is.New(t)
	policy := winch.DefaultPolicy()
	policy.UrgentRoom = false
	for _, o := range winch.Orders() {
		policy.Order = o
		for _, lastCall := range []bool{true, false} {
			policy.LastCall = lastCall
			took, bound := play(t, policy, time.Hour)
			t.Logf("%s, LastCall %t: %s of %s", o, lastCall, took, bound)
			is.True(took <= bound)
		}
	}
	policy.FairShares = false
	const limit = 2 * time.Minute // more than twice as long as with shares
	took, _ := play(t, policy, limit)
	is.True(took >= limit)
}

// The worst tenth of the teams must not be served much worse than the mean while one of twenty teams
// submits five times as much as each other. Without shares, all teams are late alike.
func TestWorstTeamsAreServed(t *testing.T) {
	play := func(t *testing.T, o winch.Order, fair bool) (worst, mean float64) {
		synctest.Test(t, func(t *testing.T) {
			c := newSimRegion(t, 4, urgentQueue(), normalQueue())
			c.planner.Policy.Order, c.planner.Policy.FairShares = o, fair
			rnd := rand.New(rand.NewPCG(4, 4))
			teams := make(map[string]string)
			n := 0
			arrive := func(time.Duration) {
				for i := range 20 {
					rate := 1.1 // jobs per second of 3 tasks of 1 s; 64 tasks fit
					if i == 7 {
						rate *= 5
					}
					if rnd.Float64() < rate*0.05 {
						id := fmt.Sprintf("j%05d", n)
						n++
						teams[id] = fmt.Sprintf("team%02d", i)
						c.add(id, "mix", teams[id], tasks(3, 1000))
					}
				}
			}
			done, all := make(map[string]float64), make(map[string]float64)
			c.runUntil(25*time.Second, arrive, never)
			c.runUntil(5*time.Second, func(time.Duration) {}, never)
			for id, team := range teams {
				all[team]++
				if j := c.planner.jobs[id]; j.state == winch.JobDone && j.endedAt.Sub(j.rec.Accepted) <= 3400*time.Millisecond {
					done[team]++
				}
			}
			var rates []float64
			for team := range all {
				mean += done[team] / all[team] / 20
				if team != "team07" {
					rates = append(rates, done[team]/all[team])
				}
			}
			slices.Sort(rates)
			worst = (rates[0] + rates[1]) / 2
		})
		return worst, mean
	}
	for _, o := range winch.Orders() {
		t.Run(string(o), func(t *testing.T) {
			is := is.New(t)
			worst, mean := play(t, o, true)
			worstOff, meanOff := play(t, o, false)
			t.Logf("with shares %.3f of %.3f, without %.3f of %.3f", worst, mean, worstOff, meanOff)
			is.True(worst >= 0.7)
			is.True(worst > worstOff)
			is.True(mean > meanOff)
		})
	}
}

// With capacity to spare, decisions must be exactly those without shares, whatever the order.
func TestSharesChangeNothingWithSpareCapacity(t *testing.T) {
	play := func(t *testing.T, o winch.Order, fair bool) (log []string) {
		synctest.Test(t, func(t *testing.T) {
			advised := normalQueue()
			advised.Advice = &winch.AdviceCost{Call: 20 * time.Millisecond, Worker: time.Millisecond, Valid: 2 * time.Second}
			c := newSimRegion(t, 12, urgentQueue(), advised)
			c.planner.Policy.Order, c.planner.Policy.FairShares = o, fair
			rnd := rand.New(rand.NewPCG(5, 5))
			n := 0
			c.runUntil(20*time.Second, func(time.Duration) {
				for _, x := range c.running {
					log = append(log, fmt.Sprint(x.Worker, x.Task, x.Run))
				}
				for _, a := range c.planner.AdviceRequests() {
					log = append(log, fmt.Sprint(a.Phase, a.Workers, a.Urgent, a.Rank))
					var tickets []winch.Ticket
					for _, w := range a.Workers {
						tickets = append(tickets, winch.Ticket{Worker: w, Value: "t"})
					}
					c.planner.AdviceReceived(a, tickets, 2*time.Second, time.Now())
				}
				for ; rnd.Float64() < 0.3; n++ {
					x := tasks(1+rnd.IntN(8), 1000)
					x.Estimate = time.Duration(float64(time.Second) * (0.3 + rnd.Float64()))
					c.add(fmt.Sprintf("j%04d", n), []string{"preview", "mix"}[rnd.IntN(2)], []string{"choir", "duct"}[min(1, rnd.IntN(5))], x)
				}
			}, never)
			is.New(t).Equal(c.planner.Load().Shares.Full, time.Duration(0))
		})
		return log
	}
	is := is.New(t)
	before := play(t, winch.OrderSlack, false)
	is.True(len(before) > 1000)
	for _, o := range winch.Orders() {
		is.Equal(play(t, o, true), before)
	}
}

// A new planner starts without the history of the last one. Guards against it putting a team behind
// others for what an earlier planner saw, or against run times learned twice.
func TestNewPlannerStartsWithoutUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := fullRegion(t, winch.OrderDeficit, winch.RegionTeam{Name: "choir"}, winch.RegionTeam{Name: "duct"})
		running := c.fill("choir")
		c.add("a", "mix", "choir", tasks(1, 1000))
		c.add("b", "mix", "duct", tasks(20, 1000))
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			c.schedule()
		}
		is.Equal(c.planner.Load().Shares.Above, 1)
		next := newSimRegion(t, 1, urgentQueue(), normalQueue())
		next.planner.Policy.Order = winch.OrderDeficit
		for _, id := range []string{"fill-choir", "a", "b"} {
			next.planner.Add(c.planner.jobs[id].rec, nil, 0)
		}
		for _, x := range running {
			next.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventFound, Worker: x.Worker, Running: []winch.Running{{Task: x.Task, Run: x.Run}}})
		}
		next.schedule()
		// What it adopts is all that it knows: it is not learned from, as its start is not known.
		is.Equal(next.planner.Load().Shares.Above, 1)
		time.Sleep(10 * time.Second)
		next.running = running
		for _, x := range running {
			next.endRun(x, winch.CompletionDone)
		}
		is.Equal(next.planner.queues["mix"].order.runTimes.Known(), 0.0)
		is.Equal(next.planner.jobs["a"].phases[0].expectedRunTime(), time.Second)
	})
}

// Guards against estimates that are off by a factor deciding what can be on time: after some runs of a
// queue, its true run times must.
func TestTrueRunTimesDecideWhatCanBeOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := fullRegion(t, winch.OrderSlack, winch.RegionTeam{Name: "choir"})
		for i := range 40 {
			c.add(fmt.Sprintf("j%02d", i), "mix", "choir", tasks(1, 1000)) // estimated at 1 s, 4 s in truth
			for _, x := range c.schedule() {
				time.Sleep(4 * time.Second)
				c.endRun(x, winch.CompletionDone)
			}
		}
		c.fill("filler")
		c.add("a", "mix", "choir", tasks(2, 1000))
		c.schedule()
		w := c.planner.jobs["a"].phases[0].order.work
		is.True(w.Path > 3500*time.Millisecond && w.Path < 4500*time.Millisecond)
		objective := w.Objective.Sub(w.Accepted)
		is.True(objective > 8*time.Second && objective < 12*time.Second)
		is.True(!w.OnTime(w.Objective.Add(-2 * time.Second))) // By its estimate it still could.
	})
}

// Guards against advice requests of a lower class that are sent before those of a higher one because
// their orders use keys of other sizes.
func TestRequestRankFollowsRank(t *testing.T) {
	is := is.New(t)
	var ranks []waitingPhase
	for class := rankPromoted; class <= rankAbandoned; class++ {
		for group := order.Begun; group <= order.Hopeless; group++ {
			keys := []float64{-1e6, -30, 0, 30, 1e4, 1e6}
			if group == order.Begun {
				keys = keys[1:5] // Without a group, keys are times to spare.
			}
			for _, key := range keys {
				ranks = append(ranks, waitingPhase{rank: rank{class: class, group: group, key: key}})
			}
		}
	}
	for i := 1; i < len(ranks); i++ {
		is.True(ranks[i-1].rank.requestRank() <= ranks[i].rank.requestRank())
	}
}

// Guards against run times learned from runs that did only a part of their task: those that resumed
// from a checkpoint.
func TestResumedRunsAreNotLearnedFrom(t *testing.T) {
	for _, resumed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newSimRegion(t, 1, normalQueue())
			x := tasks(2, 1000)
			x.Checkpoints = true
			c.add("a", "mix", "choir", x)
			if resumed {
				c.planner.jobs["a"].phases[0].tasks[0].checkpoint = "saved"
			}
			starts := c.schedule()
			time.Sleep(100 * time.Millisecond)
			c.endRun(starts[0], winch.CompletionDone)
			is.Equal(c.planner.queues["mix"].order.runTimes.Known() > 0, !resumed)
		})
	}
}
