package region

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/winch"
)

// sharesConfig returns a configuration with teams of unlike weight.
func sharesConfig() *winch.RegionConfig {
	c := simConfig(2)
	c.Teams = []winch.RegionTeam{{Name: "choir", Weight: 40}, {Name: "duct", Weight: 10}, {Name: "echo", Weight: 4}, {Name: "flute"}}
	return c
}

// submitOverload submits jobs of all teams to both queues for the given time, at about twice the rate
// that the region can do, most of them of one team that has a low weight. It returns the jobs' IDs.
func (w *world) submitOverload(seed uint64, length time.Duration) []string {
	rnd := rand.New(rand.NewPCG(seed, 9))
	teams := []string{"choir", "duct", "echo", "echo", "echo", "echo", "flute"}
	var mu sync.Mutex
	var ids []string
	begin := time.Now()
	for i := 0; time.Since(begin) < length; i++ {
		job := &winch.PhasedJob{ID: fmt.Sprintf("%016x", 0x5a0000+i), Queue: []string{"preview", "mix"}[rnd.IntN(2)], Team: teams[rnd.IntN(len(teams))], Command: "work"}
		for range 1 + rnd.IntN(2) {
			x := simPhase(1 + rnd.IntN(8))
			x.Estimate = time.Duration(float64(x.Estimate) * math.Exp(0.9*rnd.NormFloat64()))
			if len(job.Phases) > 0 {
				x.After = []int{0}
			}
			job.Phases = append(job.Phases, x)
		}
		w.group.Go(func() {
			w.submitJob(job)
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, job.ID)
		})
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(30*time.Millisecond)))
	}
	time.Sleep(20 * time.Second) // Submissions are repeated until they are accepted.
	mu.Lock()
	defer mu.Unlock()
	return ids
}

// Guards against accepted jobs that never end, tasks that run twice and starts beyond a worker's
// capacity while teams of unlike weight submit more than the region can do, under each order, and
// entries, links, workers and the store fail. A planner that takes over knows nothing of shares.
func TestRandomOverload(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 6)
				w.policy = winch.DefaultPolicy()
				w.policy.Order = winch.Orders()[int(seed)%len(winch.Orders())]
				for _, n := range w.nodes {
					n.kill()
					n.start()
				}
				w.store.mu.Lock()
				w.store.put("op/config", mustJSON(sharesConfig()), 0)
				w.store.mu.Unlock()
				settle()
				w.group.Go(func() { w.playRandomFaults(6, entryFaults) })
				ids := w.submitOverload(seed, 10*time.Second)
				w.awaitAll(ids, 90*time.Second)
				w.end()
			})
		})
	}
}

// Guards against shares that nobody can see: while the region is full, the metrics and the line load
// must say so, and they must be back to normal afterwards.
func TestSharesAreReportedWhileRegionIsFull(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, 3, 6)
		w.store.mu.Lock()
		w.store.put("op/config", mustJSON(sharesConfig()), 0)
		w.store.mu.Unlock()
		settle()
		worst := int64(100)
		w.group.Go(func() {
			for w.ctx.Err() == nil {
				if p := w.planner(); p != nil {
					worst = min(worst, metrics.GetOrRegisterGauge("Planner.Share.WorstPercent", p.node.Metrics).Value())
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		ids := w.submitOverload(3, 8*time.Second)
		w.awaitAll(ids, 60*time.Second)
		time.Sleep(2 * time.Second)
		p := w.planner()
		is.True(metrics.GetOrRegisterGauge("Planner.Order.Full", p.node.Metrics).Value() >= 4)
		is.Equal(metrics.GetOrRegisterGauge("Planner.Share.WorstPercent", p.node.Metrics).Value(), int64(100))
		is.True(w.log.count(`"shares": {"binding": true`) >= 4)
		is.True(w.log.count(`team above its share`) > 0)
		w.end()
		is.True(worst < 100)
	})
}
