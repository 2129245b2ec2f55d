package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// maxTakeover is how long the region may be without a planner that can start work while the store
// answers the standby.
const maxTakeover = 600 * time.Millisecond

// otherPlanner returns an entry other than the given one that plans, or nil.
func (w *world) otherPlanner(old *simNode) *simNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n != old && n.node != nil && n.node.leadership.Load() != nil {
			return n
		}
	}
	return nil
}

// awaitOtherPlanner waits until an entry other than the given one plans, and returns how long that took.
func (w *world) awaitOtherPlanner(old *simNode) time.Duration {
	begin := time.Now()
	for w.otherPlanner(old) == nil && time.Since(begin) < 10*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// Guards against a region that stands still until the lease of a lost planner expires: its standby must
// replace it soon, whether the planner is killed, partitioned or turned away by the store, and nothing
// may run twice.
func TestStandbyReplacesAPlannerThatIsLost(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(w *world, p *simNode){
		"killed":      func(_ *world, p *simNode) { p.kill() },
		"partitioned": func(w *world, p *simNode) { w.partition(p.domain, true) },
		"turned away": func(w *world, p *simNode) { w.refuseEntry(p.node.Name) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := lastingWorld(t, 71)
				w.submitJobs(0, 8)
				p := w.planner()
				lose(w, p)
				took := w.awaitOtherPlanner(p)
				t.Log("replaced after", took)
				is.True(took < maxTakeover)
				w.submitJobs(100, 104)
				time.Sleep(3 * time.Second)
				w.partition(p.domain, false)
				w.setStore(func(s *simStore) { s.refusedHosts = nil })
				w.awaitAll([]string{"0000000000000064", "0000000000000000"}, 30*time.Second)
				time.Sleep(10 * time.Second)
				w.end()
			})
		})
	}
}

// Guards against starts that wait for a standby that doesn't respond: the planner that was replaced since it
// was silent is still listed, and must not be chosen.
func TestReplacedPlannerIsNotChosenAsStandby(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := lastingWorld(t, 790+seed)
			old := w.planner()
			w.setRequestLoss(func(from, to string, _ winch.Kind) bool { return from == old.node.Name || to == old.node.Name })
			is.True(w.awaitOtherPlanner(old) < maxTakeover)
			time.Sleep(150 * time.Millisecond)
			l := w.otherPlanner(old).node.leadership.Load()
			is.True(w.awaitLeadState(l, 10*time.Millisecond, func() bool { return l.standby != nil && l.standby.synced }))
			w.setRequestLoss(nil)
			time.Sleep(10 * time.Second)
			w.end()
		})
	}
}

// Guards against work that runs twice because a planner is replaced while it works: only its messages to
// the standby are lost. It may start nothing more, and its keepers must not renew leases for as long as it
// does not know that it was replaced.
func TestPlannerThatItsStandbyDoesNotHearIsReplacedSafely(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := lastingWorld(t, 72+seed)
			p := w.planner()
			planner := p.node.Name
			ids := w.submitJobs(0, 6)
			w.setRequestLoss(func(from, _ string, kind winch.Kind) bool { return from == planner && kind == proto.KindMirror })
			took := w.awaitOtherPlanner(p)
			is.True(took < maxTakeover)
			w.setUnresponsive("w1", true)
			ids = append(ids, w.submitJobs(10, 16)...)
			time.Sleep(8 * time.Second)
			w.setUnresponsive("w1", false)
			w.setRequestLoss(nil)
			w.awaitAll(ids, 30*time.Second)
			is.Equal(w.runningLasting(), 18)
			w.end()
		})
	}
}

// Guards against a standby that replaces a planner although it was paused itself: the messages that came
// meanwhile wait to be read.
func TestPausedStandbyDoesNotReplaceThePlanner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 73, 3, 9)
		settle()
		n := w.nodes["d0-0"].node
		now := time.Now()
		n.cell.mu.Lock()
		n.cell.office = office{Holder: "other", Term: 7, Lease: 5}
		n.cell.officeRevision, n.cell.standby = 1, standbyRecord{Term: 7, Name: n.Name}
		n.cell.terms = []termSeen{{7, now.Add(-time.Minute)}}
		n.cell.mu.Unlock()
		n.mirror.mu.Lock()
		n.mirror.term, n.mirror.runs, n.mirror.lastContact = 7, map[proto.MirrorRun]bool{}, now.Add(-time.Second)
		n.mirror.mu.Unlock()
		_, silent := n.silentPlanner(now, now.Add(-time.Second))
		is.True(silent)
		_, silent = n.silentPlanner(now, now)
		is.True(!silent) // It has just gone on.
		w.end()
	})
}

// Guards against a standby that takes the time in which it was itself late for a silence of the planner. Checks in time count,
// and after a long pause the count begins anew.
func TestLateChecksAreNoSilenceOfThePlanner(t *testing.T) {
	for _, x := range []struct {
		name    string
		checks  []int // checks holds the times of the checks in milliseconds.
		silence int   // silence is what has been counted at the last one.
	}{
		{"in time", []int{50, 100, 150, 200, 250, 300, 350, 400}, 400},
		{"a little late", []int{70, 140, 210, 280, 350, 420}, 420},
		{"one late", []int{50, 100, 190, 240, 290}, 250},
		{"always late", []int{90, 180, 270, 360, 450, 540, 630}, 350},
		{"a long pause", []int{50, 100, 900, 950, 1000}, 100},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			at := clockAt()
			last, contact, checked := at(0), at(-1000), at(0)
			for _, ms := range x.checks {
				contact, checked = leaveOutPause(contact, last, checked, at(ms)), at(ms)
			}
			is.Equal(checked.Sub(later(last, contact)), time.Duration(x.silence)*time.Millisecond)
		})
	}
}
