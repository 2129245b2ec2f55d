package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/coord/speed"
	"plantainwinch/proto"
)

// setSlow makes runs that start at some workers take longer by a factor.
func (w *world) setSlow(factor float64, workers ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = make(map[string]float64)
	for _, id := range workers {
		w.slow[id] = factor
	}
}

// runTime returns how long a run takes at a worker. The caller holds the mutex.
func (w *world) runTime(worker string) time.Duration {
	if f, ok := w.slow[worker]; ok {
		return time.Duration(f * float64(taskDuration))
	}
	return taskDuration
}

// slowWorkers returns what the planner knows of slow workers. It does not change what the planner sends to
// its standby.
func (w *world) slowWorkers() []speed.Entry {
	var out []speed.Entry
	if p := w.planner(); p != nil {
		if l := p.node.leadership.Load(); l != nil {
			_ = l.duty.Do(w.ctx, func() { out = l.planner.Speeds(time.Now()) })
		}
	}
	return out
}

// learnSpeeds runs jobs until the planner knows that some workers are slow.
func (w *world) learnSpeeds(is *is.I) {
	for i := 0; i < 20 && len(w.slowWorkers()) == 0; i++ {
		w.awaitAll(w.submitJobs(100*i, 100*i+12), 20*time.Second)
	}
	is.True(len(w.slowWorkers()) > 0)
}

// A planner that replaces one that was lost must know from the start which workers are slow, if it was
// the standby: otherwise it would place urgent work there until it has learned that anew.
func TestStandbyInheritsSpeeds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 5, 3, 9)
		w.setSlow(2.5, "w1")
		settle()
		w.learnSpeeds(is)
		first := w.planner()
		gauge := metrics.GetOrRegisterGauge("Planner.Speed.Slow", first.node.Metrics)
		time.Sleep(2 * time.Second)
		is.Equal(gauge.Value(), int64(1))
		is.True(w.log.count("worker speed changed") > 0)
		first.kill()
		time.Sleep(4 * time.Second)
		known := w.slowWorkers()
		is.Equal(len(known), 1)
		is.Equal(known[0].Worker, "w1")
		is.Equal(w.log.count("worker speeds inherited"), 1)
		w.end()
	})
}

// The standby is lost. The next one must be sent everything, not only what changes from then on.
func TestNextStandbyIsSentAllSpeeds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 6, 3, 9)
		w.setSlow(2.5, "w1")
		settle()
		w.learnSpeeds(is)
		time.Sleep(2 * time.Second)
		first := w.planner()
		l := first.node.leadership.Load()
		lost := ""
		_ = l.duty.Do(w.ctx, func() { lost = l.standby.name })
		for _, n := range w.nodes {
			if n.node != nil && n.node.Name == lost {
				n.kill()
			}
		}
		time.Sleep(5 * time.Second)
		first.kill()
		time.Sleep(4 * time.Second)
		known := w.slowWorkers()
		is.Equal(len(known), 1)
		is.Equal(known[0].Worker, "w1")
		w.end()
	})
}

// Planner and standby are lost together. The next planner knows no speeds; it must serve as usual and
// learn them anew.
func TestPlannerWithoutSummaryLearnsSpeedsAnew(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 7, 3, 9)
		w.setSlow(2.5, "w1")
		settle()
		w.learnSpeeds(is)
		for _, n := range w.nodes {
			n.kill()
		}
		for _, n := range w.nodes {
			n.start()
		}
		time.Sleep(15 * time.Second)
		is.Equal(len(w.slowWorkers()), 0)
		is.Equal(w.log.count("worker speeds inherited"), 0)
		for i := 50; i < 70 && len(w.slowWorkers()) == 0; i++ {
			w.awaitAll(w.submitJobs(100*i, 100*i+12), 20*time.Second)
		}
		is.Equal(len(w.slowWorkers()), 1)
		w.end()
	})
}

// The copy at the standby must follow the planner's messages: a worker that is no longer slow must be
// dropped, a new session must begin anew, and a copy that is too old must not be used.
func TestCopyOfSpeedsFollowsPlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var m mirror
		send := func(msg proto.Mirror) { is.True(m.respond(msg).OK) }
		send(proto.Mirror{Term: 1, Session: 1, Full: true, Speeds: []proto.MirrorSpeed{
			{Worker: "a", Percent: 180, Samples: 9}, {Worker: "b", Percent: 150, Samples: 9}, {Kind: "x", Percent: 200},
		}})
		send(proto.Mirror{Term: 1, Session: 1, Speeds: []proto.MirrorSpeed{{Worker: "a", Percent: 100}, {Worker: "c", Kind: "x", Percent: 100, Samples: 12}}})
		is.Equal(m.listSpeeds(), []speed.Entry{
			{Kind: "x", Factor: 2}, {Worker: "b", Factor: 1.5, Samples: 9}, {Worker: "c", Kind: "x", Factor: 1, Samples: 12},
		})
		send(proto.Mirror{Term: 1, Session: 2, Full: true, Speeds: []proto.MirrorSpeed{{Worker: "b", Percent: 160, Samples: 9}}})
		is.Equal(m.listSpeeds(), []speed.Entry{{Worker: "b", Factor: 1.6, Samples: 9}})
		time.Sleep(speedsLifetime + time.Second)
		out, _ := m.claim(2)
		is.Equal(len(out.speeds), 0)
	})
}
