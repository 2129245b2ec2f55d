package region

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// largeConfig returns a configuration with that many queues more than simConfig has. Those of a smaller one are the
// first of a larger one.
func largeConfig(version uint64, queues int) *winch.RegionConfig {
	c := simConfig(version)
	names := rand.New(rand.NewPCG(17, 1))
	for range queues {
		c.Queues = append(c.Queues, winch.Queue{
			Name: fmt.Sprintf("r-%08x", names.Uint32()), Host: "choir.example", Prefix: fmt.Sprintf("/%08x/", names.Uint32()),
			Service: "render", Attempts: 4, Target: 250 * time.Millisecond, Stretch: 1.5, Timeout: 3 * time.Second,
			Advice: &winch.AdviceCost{Call: 26 * time.Millisecond},
		})
	}
	return c
}

// writeLargeConfig has the operator write a version with many queues, and returns when the store confirmed it.
func (w *world) writeLargeConfig(version uint64, queues int) time.Time {
	data := mustJSON(largeConfig(version, queues))
	w.setStore(func(s *simStore) { s.put("op/config", data, 0) })
	return time.Now()
}

// thinRegionOf returns a region in which all entries but the planner and its standby have links of the given rate.
func thinRegionOf(t *testing.T, domains int, rate float64) *world {
	w := regionOf(t, domains)
	rates := make(map[string]float64)
	for host, n := range w.nodes {
		if rates[host] = rate; n.node.needsMembers() {
			rates[host] = 200 * mbit
		}
	}
	w.setRates(rates)
	return w
}

// thinLinks are the rates of links that configurations of any size have to be passed over.
var thinLinks = []float64{2 * mbit, 10 * mbit}

// largeConfigQueues is how many queues a large configuration adds. Such a one takes 1.7 s in the store's form at 2 Mbit/s.
const largeConfigQueues = 1400

// atRates plays a test in fake time at each of several rates.
func atRates(t *testing.T, rates []float64, play func(t *testing.T, rate float64)) {
	t.Parallel()
	for _, rate := range rates {
		t.Run(fmt.Sprint(rate/mbit), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { play(t, rate) })
		})
	}
}

// writeSeries writes versions with many queues, one each half second, and checks that each of them is in force in time.
func (w *world) writeSeries(versions int) {
	for i := range versions {
		version := uint64(2 + i)
		at := w.writeLargeConfig(version, largeConfigQueues+i)
		w.group.Go(func() { w.checkInForce(version, at) })
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(configBound)
}

// Guards against a large configuration that is not in force in time at entries with thin links, since the copies that
// they ask for crowd each other out and are given up while they arrive.
func TestLargeConfigurationIsInForceAtThinLinks(t *testing.T) {
	atRates(t, thinLinks, func(t *testing.T, rate float64) {
		w := thinRegionOf(t, 3, rate)
		w.checkInForce(2, w.writeLargeConfig(2, largeConfigQueues))
		w.checkInForce(3, w.writeLargeConfig(3, largeConfigQueues+1))
		w.end()
	})
}

// Guards against versions in series of which none gets in force in time: each new one ends the transfer of the one before.
func TestLargeConfigurationsInSeriesAreInForce(t *testing.T) {
	atRates(t, thinLinks, func(t *testing.T, rate float64) {
		w := thinRegionOf(t, 3, rate)
		w.writeSeries(12)
		w.end()
	})
}

// Guards against an entry that handles requests by a configuration that it knows to be replaced: the planner's reports name
// the newer one, which does not arrive since the store refuses the entry and the peers that it asks do not answer in time.
func TestReplacedConfigurationIsNotUsedWhileTheNewerOneIsMissing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := regionOf(t, 3)
		f := w.follower()
		w.refuseEntry(f.node.Name)
		w.setRequestLoss(func(from, _ string, _ winch.Kind) bool { return from == f.node.Name })
		w.checkNoneHandlesOlder(2, w.writeLargeConfig(2, largeConfigQueues).Add(configBound))
		w.end()
	})
}

// Guards against a planner with a thin link that falls behind ever more while versions come in series: a call for changes
// returns all of them, and the store is asked for them while they are arriving.
func TestLargeConfigurationsInSeriesAreInForceAtAThinPlanner(t *testing.T) {
	atRates(t, []float64{6 * mbit, 10 * mbit}, func(t *testing.T, rate float64) {
		w := regionOf(t, 3)
		rates := make(map[string]float64)
		for host := range w.nodes {
			rates[host] = rate
		}
		w.setRates(rates)
		w.writeSeries(16)
		w.end()
	})
}

// Guards against entries that all get a large configuration in the store's form: only the planner and its standby do.
func TestLargeConfigurationIsReadFromTheStoreByTwo(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := thinRegionOf(t, 10, 10*mbit)
		w.writeSeries(4)
		for _, n := range w.nodes {
			if arrived := n.node.settings.calls.arrived.Load(); (arrived > smallConfig) != n.node.needsMembers() {
				t.Errorf("%s (planner or standby: %t) has read %d bytes of what the operator writes", n.host, n.node.needsMembers(), arrived)
			}
		}
		w.end()
	})
}

// maxDelayByCopies is how long reports may be held up by copies of a configuration, beside the time between two reports.
const maxDelayByCopies = 200 * time.Millisecond

// Guards against leases, orders and reports that are held up behind copies of a configuration on the same link.
func TestReportsAreNotHeldUpByALargeConfiguration(t *testing.T) {
	atRates(t, thinLinks, func(t *testing.T, rate float64) {
		w := thinRegionOf(t, 3, rate)
		w.group.Go(func() { w.writeSeries(12) })
		for begin := time.Now(); time.Since(begin) < 6*time.Second; time.Sleep(50 * time.Millisecond) {
			for _, n := range w.nodes {
				if v := n.node.waiting.Load(); time.Since(v.at) > waitingInterval+maxConfirmDelay+maxDelayByCopies {
					t.Errorf("%s has had no report for %v", n.host, time.Since(v.at))
					w.end()
					return
				}
			}
		}
		if w.planner() == nil {
			t.Error("the region has no planner")
		}
		w.end()
	})
}

// Guards against an entry that asks whether peers are answered by the store and is sent a copy of the configuration by
// each of them.
func TestProbesBringNoCopies(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		planner, f := w.planner().node, w.follower().node
		response := planner.settings.respond(f.settings.request())
		is.Equal(len(response.Data), 0) // nothing is newer
		older := f.settings.request()
		older.Have = 0
		is.Equal(len(planner.settings.respond(older).Data), 0) // a copy would be sent to each entry that asks
		w.end()
	})
}

// Guards against a rolling replacement in which entries of the build before, which ask for no parts, get no configuration, or
// send one that is not understood.
func TestConfigurationIsPassedOnBetweenBuilds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 3)
		planner, f := w.planner().node, w.follower().node
		w.setStore(func(s *simStore) { s.put("op/config", mustJSON(simConfig(2)), 0) })
		time.Sleep(time.Second)
		is.Equal(planner.settings.respond(proto.SettingsRequest{Have: 1}).Data, mustJSON(simConfig(2)))
		is.Equal(len(planner.settings.respond(proto.SettingsRequest{Have: 2}).Data), 0)

		before := proto.Settings{Version: 3, Data: mustJSON(simConfig(3))}
		w.setResponse(func(from, _ string, kind winch.Kind) any {
			if from == f.Name && kind == proto.KindSettingsRequest {
				return before
			}
			return nil
		})
		f.settings.noteVersion(planner.Name, 3)
		time.Sleep(time.Second)
		is.Equal(f.Config().Version, uint64(3))
		w.end()
	})
}
