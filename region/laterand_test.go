package region

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"plantainwinch/winch"
)

// playLateResponses has, at random times, the responses to transactions of some entries arrive up to maxLate after
// these have taken effect, until the world ends. The store may turn the planner away meanwhile, and calls for changes of some entries
// may hang, so that these do not learn of the next planner. It draws from a generator of its own.
func (w *world) playLateResponses(seed uint64) {
	const maxLate = 1200 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 2))
	for w.ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		late := time.Duration(random.Int64N(int64(maxLate)))
		slow, hanging := make(map[string]bool), make(map[string]bool)
		for i := range len(w.nodes) {
			host := w.nodeAt(i).host
			slow[host], hanging[host] = random.IntN(2) == 0, random.IntN(2) == 0
		}
		turnsAway := random.IntN(2) == 0
		w.log.note("responses to transactions are late by %v at %v, calls for changes hang at %v, the planner is turned away: %v", late, slow, hanging, turnsAway)
		p := w.planner()
		w.setStore(func(s *simStore) {
			s.commitDelay = func(host string, _ winch.Txn) time.Duration {
				if slow[host] {
					return late
				}
				return 0
			}
			s.hangsWatch = func(host, _ string, _ time.Time) bool { return hanging[host] }
			if p != nil && turnsAway {
				s.refusedHosts = map[string]bool{p.host: true}
			}
		})
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		w.setStore(func(s *simStore) { s.commitDelay, s.hangsWatch, s.refusedHosts = nil, nil, nil })
	}
}

// Guards against tasks that run twice, or more often at once than their phase permits, while planners are lost and
// learn late that they have taken the office. With odd seeds, the store returns few changes in one response. Jobs come in bursts.
func TestRandomLateResponses(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				settle()
				if seed%2 == 1 {
					w.setStore(func(s *simStore) { s.maxChanges = 5 })
				}
				w.group.Go(func() { w.playLateResponses(seed) })
				w.group.Go(func() { w.playRandomFaults(12, entryFaults) })
				var ids []string
				for i := range 12 {
					for j := range 24 {
						id := fmt.Sprintf("%016x", 24*i+j)
						ids = append(ids, id)
						w.group.Go(func() { w.submit(id, simPhase(1)) })
					}
					time.Sleep(time.Second)
				}
				w.awaitAll(ids, 60*time.Second)
				w.end()
			})
		})
	}
}
