package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// urgentLoad is a region of eight workers in which batch jobs wait at all times while urgent jobs arrive.
type urgentLoad struct {
	*simRegion

	perSecond func(at time.Duration) float64 // perSecond is the mean number of urgent jobs of four processors for a second.
	length    time.Duration

	arrivals *rand.Rand
	next     time.Duration
	urgent   []string        // urgent holds the urgent jobs with waiting tasks.
	delays   []time.Duration // delays holds how long it took until all tasks of an urgent job ran.
	steps    int
	idle     float64 // idle is the sum of the free fractions of the region over all steps.
	batches  int
}

func newUrgentLoad(t *testing.T, urgentRoom bool, length time.Duration, perSecond func(time.Duration) float64) *urgentLoad {
	c := newSimRegion(t, 8, urgentQueue(), normalQueue())
	c.planner.Policy.UrgentRoom = urgentRoom
	return &urgentLoad{simRegion: c, perSecond: perSecond, length: length, arrivals: rand.New(rand.NewPCG(8, 8))}
}

// step adds what arrives and measures. To be called before each decision.
func (u *urgentLoad) step(at time.Duration) {
	for rate := u.perSecond(at); rate > 0 && u.next <= at; rate = u.perSecond(at) {
		id := fmt.Sprintf("urgent-%06d", u.next.Microseconds())
		u.add(id, "preview", "choir", tasks(4, 1000))
		u.urgent = append(u.urgent, id)
		u.next = max(u.next, at-50*time.Millisecond) + time.Duration(float64(time.Second)*u.arrivals.ExpFloat64()/rate)
	}
	u.urgent = slices.DeleteFunc(u.urgent, func(id string) bool {
		j := u.planner.jobs[id]
		if j != nil && j.phases[0].waiting > 0 {
			return false
		}
		if j != nil {
			u.delays = append(u.delays, time.Since(j.rec.Accepted))
		}
		return true
	})
	if x := u.planner.pool("render"); x.capacity.Milli > 0 {
		u.idle += float64(x.free.Milli) / float64(x.capacity.Milli)
		u.steps++
	}
}

// addBatch adds a batch job of the given number of tasks of five processors.
func (u *urgentLoad) addBatch(count int, estimate time.Duration) string {
	id := fmt.Sprintf("batch-%04d", u.batches)
	u.batches++
	phase := tasks(count, 5000)
	phase.Estimate = estimate
	u.add(id, "mix", "duct", phase)
	return id
}

// play lets a batch job arrive every quarter of a second, more than there is capacity for.
func (u *urgentLoad) play() {
	batch := time.Duration(0)
	u.runUntil(u.length, func(at time.Duration) {
		for ; batch <= at; batch += 250 * time.Millisecond {
			u.addBatch(8, 2*time.Second)
		}
		u.step(at)
	}, never)
}

// delay returns the delay that the given fraction of the urgent jobs does not exceed.
func (u *urgentLoad) delay(fraction float64) time.Duration {
	slices.Sort(u.delays)
	return u.delays[int(fraction*float64(len(u.delays)-1))]
}

func (u *urgentLoad) report(t *testing.T, name string) {
	t.Logf("%s: %d urgent jobs, delay p50 %s, p90 %s, p99 %s, longest %s; idle %.3f", name, len(u.delays),
		u.delay(0.5), u.delay(0.9), u.delay(0.99), u.delay(1), u.idle/float64(max(1, u.steps)))
}

// Guards against capacity that is left free for urgent work that is over: several times the capacity arrives for a few
// seconds, and when all of it has been done, batch jobs of which nothing runs wait beside idle workers.
func TestReserveEndsWithTheBurst(t *testing.T) {
	for _, count := range []int{1, 8} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testReserveEndsWithTheBurst(t, count) })
		})
	}
}

func testReserveEndsWithTheBurst(t *testing.T, tasks int) {
	is := is.New(t)
	u := newUrgentLoad(t, true, 0, func(at time.Duration) float64 {
		if at < 6*time.Second {
			return 70 // of some 30 that fit
		}
		return 0
	})
	var batches []string
	backlog := u.runUntil(time.Minute, func(at time.Duration) {
		u.step(at)
		if at > 5*time.Second && len(batches) == 0 {
			for range 24 { // They fill the workers.
				batches = append(batches, u.addBatch(tasks, time.Minute))
			}
		}
	}, func() bool {
		return len(batches) > 0 && len(u.urgent) == 0 && u.planner.pool("render").urgent.wanted.Milli == 0
	})
	u.steps, u.idle = 0, 0
	waiting := func() int {
		return len(slices.DeleteFunc(slices.Clone(batches), func(id string) bool { return u.planner.jobs[id].begun }))
	}
	took := u.runUntil(20*time.Second, u.step, func() bool { return waiting() == 0 || u.planner.pool("render").maxFree.Milli < 5000 })
	u.report(t, fmt.Sprintf("backlog gone after %s; %s later %d of %d batch jobs have not begun", backlog, took, waiting(), len(batches)))
	is.True(took <= 3*time.Second)
}

// Guards against a job that waits for as long as urgent work of its team arrives: bursts want the team's whole limit, once or
// every two seconds, and what arrives between them uses less than half of it.
func TestReserveOfALimitEndsWithTheBurst(t *testing.T) {
	bursts := map[string]func(time.Duration) bool{
		"one":       func(at time.Duration) bool { return at < 2*time.Second },
		"recurring": func(at time.Duration) bool { return at%(2*time.Second) < 500*time.Millisecond },
	}
	for name, burst := range bursts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				u := newUrgentLoad(t, true, 0, func(at time.Duration) float64 {
					if burst(at) {
						return 20
					}
					return 3
				})
				u.planner.teams["choir"].Cap.Milli = 40_000
				u.runUntil(time.Minute, u.step, func() bool {
					return u.next > 2*time.Second && u.planner.teams["choir"].urgent.wanted.Milli <= 12_000
				})
				u.add("batch", "mix", "choir", tasks(8, 5000))
				took := u.runUntil(20*time.Second, u.step, u.begun("batch"))
				u.report(t, fmt.Sprintf("begun after %s", took))
				is.True(took <= 3*time.Second)
			})
		})
	}
}

// Guards against a job that waits for good beside a team's urgent work that comes at a steady rate: the reserve is nearly the
// team's limit, of which most is free most of the time.
func TestJobDoesNotWaitForUrgentWorkThatMayArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimRegion(t, 8, urgentQueue(), normalQueue())
		c.planner.teams["choir"].Cap.Milli = 20_000
		n := 0
		arrive := func(at time.Duration) {
			for ; time.Duration(n)*500*time.Millisecond <= at; n++ {
				phase := tasks(16, 1000)
				phase.Estimate = 200 * time.Millisecond
				c.add(fmt.Sprintf("urgent-%d-%d", time.Now().UnixMilli(), n), "preview", "choir", phase)
			}
		}
		c.runUntil(5*time.Second, arrive, never)
		n = 0
		c.add("batch", "mix", "choir", tasks(1, 5000))
		took := c.runUntil(20*time.Second, arrive, c.begun("batch"))
		t.Log("begun after", took)
		is.True(took >= time.Second) // The reserve is kept for a while.
		is.True(took <= 3*time.Second)
	})
}

// playReserve plays a load with and without a reserve. With it, urgent work must be as fast as its target asks for.
func playReserve(t *testing.T, perSecond func(at time.Duration) float64) {
	is := is.New(t)
	play := func(room bool) (u *urgentLoad) {
		synctest.Test(t, func(t *testing.T) {
			u = newUrgentLoad(t, room, 40*time.Second, perSecond)
			u.play()
			u.report(t, fmt.Sprintf("UrgentRoom %t", room))
		})
		return u
	}
	with, without := play(true), play(false)
	is.True(with.delay(0.9) <= urgentQueue().Target)
	is.True(without.delay(0.9) > with.delay(0.9))
}

// Guards against urgent work that waits for the ends of batch tasks, which fill all workers without a reserve.
func TestSteadyUrgentWorkFindsCapacity(t *testing.T) {
	playReserve(t, func(time.Duration) float64 { return 8 })
}

// Guards against a reserve that goes by the mean: urgent work comes in bursts beside a steady stream, and each burst waits
// for the ends of batch tasks.
func TestBurstsOfUrgentWorkFindCapacity(t *testing.T) {
	playReserve(t, func(at time.Duration) float64 {
		if at%(5*time.Second) < time.Second {
			return 14
		}
		return 3
	})
}
