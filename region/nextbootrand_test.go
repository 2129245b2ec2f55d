package region

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"plantainwinch/winch"
)

// maxLateness is how much later than it was sent a call is carried out in the random tests.
const maxLateness = 1500 * time.Millisecond

// returnWorkers crashes some workers while calls to them are on their way, has them return under their IDs, cuts them off for a
// while, and has the office change hands around that.
func (w *world) returnWorkers() {
	w.mu.Lock()
	ids := slices.Sorted(maps.Keys(w.workers))
	returning := make(map[string]bool)
	for range 1 + w.intn(3) {
		returning[ids[w.intn(len(ids))]] = true
	}
	w.callDelay = func(_ *Node, vm winch.WorkerVM, _ any) time.Duration {
		if !returning[vm.ID] || w.intn(2) == 0 {
			return 0
		}
		return time.Duration(50+w.intn(int(maxLateness/time.Millisecond)-50)) * time.Millisecond
	}
	w.mu.Unlock()
	w.group.Go(func() {
		time.Sleep(time.Duration(w.intn(1200)) * time.Millisecond)
		w.changeOffice()
	})
	time.Sleep(time.Duration(100+w.intn(300)) * time.Millisecond)
	for id := range returning {
		pause := time.Duration(20+w.intn(600)) * time.Millisecond
		cutAfter, cutFor := time.Duration(w.intn(1500))*time.Millisecond, time.Duration(w.intn(9000))*time.Millisecond
		atOnce := w.intn(3) == 0
		w.group.Go(func() {
			w.mu.Lock()
			x := w.workers[id]
			w.mu.Unlock()
			if !w.terminateBoot(x, false) {
				return
			}
			time.Sleep(pause)
			w.bootWorker(x.vm, maxSlowdown)
			w.mu.Lock()
			next := w.workers[id]
			w.mu.Unlock()
			if !atOnce {
				time.Sleep(cutAfter)
			}
			w.cutOff(next, true)
			time.Sleep(cutFor)
			w.cutOff(next, false)
		})
	}
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	w.callDelay = nil
	w.mu.Unlock()
}

// changeOffice has the planner lost in most calls: killed alone or with its standby, or stopped as planned.
func (w *world) changeOffice() {
	p := w.planner()
	if p == nil {
		return
	}
	switch w.intn(4) {
	case 0:
		w.killAndRestart(p, 500*time.Millisecond)
	case 1:
		if l := p.node.leadership.Load(); l != nil {
			name := ""
			_ = l.duty.Do(w.ctx, func() {
				if l.standby != nil {
					name = l.standby.name
				}
			})
			w.killEntry(name)
		}
		w.killAndRestart(p, 500*time.Millisecond)
	case 2:
		p.stop()
		w.killAndRestart(p, 2*time.Second)
	}
	for _, n := range w.nodes { // An entry that was killed as standby.
		w.mu.Lock()
		ended := n.node == nil && n != p
		w.mu.Unlock()
		if ended {
			n.start()
		}
	}
}

// Guards against tasks that run twice when workers return under their IDs, calls for their former boots are carried out late by
// the next ones, these are cut off, and the office changes hands meanwhile.
func TestRandomReturnsUnderTheSameID(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 3, 9)
				w.dropsRefused = true // See TestStartThatTheFormerBootWasToldToStopIsNotCarriedOutByTheNextOne.
				settle()
				w.startLasting("00000000000000a1", 14)
				w.group.Go(func() {
					for i := range 60 {
						w.submit(fmt.Sprintf("%016x", i), simPhase(4), simPhase(3, 0))
						time.Sleep(time.Second)
					}
				})
				for range 6 {
					w.returnWorkers()
					time.Sleep(time.Duration(5000+w.intn(4000)) * time.Millisecond)
				}
				for i := range 60 {
					w.await(fmt.Sprintf("%016x", i), 60*time.Second)
				}
				w.endWithoutDowntimeCheck()
			})
		})
	}
}
