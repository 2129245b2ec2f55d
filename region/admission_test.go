package region

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/admit"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against an overload that does not end. Three times the capacity arrives for ten seconds; from 5 s
// after that on, all jobs must be accepted and end within the objective and the time of one task, which a
// job may have to wait for since runs of abandoned jobs are not stopped. With the mechanism, at most half as
// many jobs may be accepted and then not end before their callers give up, and not less be on time.
func TestOverloadEnds(t *testing.T) {
	t.Parallel()
	results := make(map[bool]loadOutcome)
	for _, admits := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := newWorld(t, 80, 3, 9)
			if !admits {
				w.withoutAdmission()
			}
			settle()
			burst := newLoadTrial(w)
			burst.play(loadCapacity/2, 4*time.Second)
			_, before := burst.counts()
			is.Equal(before, 0)
			burst.play(3*loadCapacity, 10*time.Second)
			time.Sleep(5 * time.Second)
			after := newLoadTrial(w)
			after.submitted = 100_000
			after.play(loadCapacity/2, 4*time.Second)
			results[admits] = burst.outcome(time.Minute)
			later := after.outcome(time.Minute)
			t.Logf("admission %v: burst %+v, after it %+v, Retry-After %v", admits, results[admits], later, burst.retryAfter)
			is.Equal(burst.unknown+after.unknown, 0)
			is.Equal(later.refused, 0)
			is.True(later.slowest <= loadObjective+taskDuration+50*time.Millisecond)
			is.Equal(results[admits].refused > 0, admits)
			is.Equal(len(burst.retryAfter) > 1, admits)
			w.end()
		})
	}
	is := is.New(t)
	is.True(2*results[true].abandoned < results[false].abandoned)
	is.True(results[true].onTime >= results[false].onTime*9/10)
}

// Guards against jobs refused by a region with capacity to spare, and against the cost of lookups there: at
// four fifths of the capacity all jobs must be accepted without any lookup.
func TestNothingIsRefusedWithCapacityToSpare(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 81, 3, 9)
		settle()
		x := newLoadTrial(w)
		x.play(loadCapacity*4/5, 20*time.Second)
		out := x.outcome(time.Minute)
		t.Logf("%+v", out)
		is.Equal(out.accepted, x.submitted)
		is.Equal(w.counter("Admission.Refused"), int64(0))
		is.Equal(w.counter("Admission.Lookups"), int64(0))
		is.Equal(w.counter("Admission.Accepted"), int64(x.submitted))
		is.True(w.log.count("admission state changed") == 0)
		w.end()
	})
}

// Guards against a refusal of a job that was accepted, or may have been: the entry that it was sent to must
// remember it, and every other entry must ask the store. A job that is new must be refused, and nothing of
// it may be written.
func TestAcceptedJobIsNeverRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 82, 3, 9)
		settle()
		w.setStore(func(s *simStore) {
			s.commitOutcome = func(txn winch.Txn) (applied, responded bool) {
				return true, !slices.ContainsFunc(txn.Writes, func(x winch.Write) bool { return x.Key == keyJob("000000000000000a") })
			}
		})
		first := w.submitTo(w.nodes["d0-0"].node, "000000000000000a")
		is.Equal(first.Outcome, winch.Unknown)
		w.setStore(func(s *simStore) { s.commitOutcome = nil })
		is.True(w.submitTo(w.nodes["d0-0"].node, "000000000000000b").OK())
		w.forceAdmission(1)
		for _, host := range []string{"d0-0", "d1-0", "d2-1"} {
			is.True(w.submitTo(w.nodes[host].node, "000000000000000a").OK())
		}
		before := w.counter("Admission.Lookups")
		for _, host := range []string{"d0-0", "d1-0", "d2-1"} {
			is.True(w.submitTo(w.nodes[host].node, "000000000000000b").OK())
		}
		is.Equal(w.counter("Admission.Lookups")-before, int64(2)) // None at the entry that knows the job.
		refused := w.submitTo(w.nodes["d1-0"].node, "000000000000000c")
		is.Equal(refused.Outcome, winch.NotRun)
		is.Equal(refused.Reason, winch.Overloaded)
		is.True(refused.RetryAfter >= time.Second)
		s, ended, err := w.anyNode().readJob(w.ctx, "000000000000000c")
		is.NoErr(err)
		is.True(s.job == nil && ended == nil)
		w.awaitAll([]string{"000000000000000a", "000000000000000b"}, 10*time.Second)
		time.Sleep(2 * time.Second)
		w.forceAdmission(2)
		is.True(w.submitTo(w.nodes["d1-0"].node, "000000000000000a").OK()) // It has ended.
		w.end()
	})
}

// Guards against a refusal that the store could not confirm: while it does not answer the lookup, the job
// may have been accepted, so it must take the usual path.
func TestJobIsNotRefusedIfTheStoreDoesNotAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 83, 3, 9)
		settle()
		w.forceAdmission(1)
		w.setStoreUnavailable(true)
		result := w.submitTo(w.nodes["d1-0"].node, "000000000000000a")
		is.True(!result.OK())
		is.True(result.Reason != winch.Overloaded)
		w.setStoreUnavailable(false)
		w.end()
	})
}

// Guards against a second refusal on the way of a submission that its entry has admitted and passes to an
// entry that the store answers: it may have been stored before.
func TestForwardedSubmissionIsNotRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 84, 3, 9)
		settle()
		n := w.nodes["d1-0"]
		w.setStore(func(s *simStore) { s.refusedHosts = map[string]bool{n.host: true} })
		w.forceAdmission(1)
		for i := range 6 {
			// The entry itself has no state; all others refuse.
			n.node.updateAdmission(proto.Admission{Term: 2000, Sequence: uint64(i)})
			w.forceAdmission(uint64(i + 2))
			is.True(w.submitTo(n.node, fmt.Sprintf("%016x", i)).OK())
			time.Sleep(200 * time.Millisecond)
		}
		is.True(w.counter("Accept.Forwarded") > 0)
		w.end()
	})
}

// Guards against lasting jobs, and jobs that start later, being refused.
func TestLastingAndRepeatedJobsAreNotRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 85, 3, 9)
		settle()
		w.forceAdmission(1)
		lasting := simPhase(1)
		lasting.Lasting = true
		n := w.nodes["d1-0"].node
		is.True(n.Submit(w.ctx, &winch.PhasedJob{ID: "000000000000000a", Queue: "preview", Team: "choir", Command: lastingCommand, Accepted: time.Now(), Phases: []winch.Phase{lasting}}).OK())
		is.True(n.Submit(w.ctx, &winch.PhasedJob{
			ID: "000000000000000b", Queue: "preview", Team: "choir", Command: "work", Accepted: time.Now(), Phases: []winch.Phase{simPhase(1)},
			Times: 2, First: time.Now().Add(time.Second), Every: time.Second,
		}).OK())
		is.Equal(w.counter("Admission.Refused"), int64(0))
		w.end()
	})
}

// Guards against entries that follow a planner which has been replaced: of two planners, the state of the
// older term must be ignored, also if it arrives last.
func TestStateOfAnOlderTermIsIgnored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 86, 3, 9)
		settle()
		n := w.nodes["d1-0"].node
		w.forceAdmission(1)
		n.updateAdmission(proto.Admission{Term: 999, Sequence: 50, Entries: 6})
		is.Equal(w.submitTo(n, "000000000000000a").Reason, winch.Overloaded)
		n.updateAdmission(proto.Admission{Term: 1001, Sequence: 1, Entries: 6})
		is.True(w.submitTo(n, "000000000000000a").OK())
		w.end()
	})
}

// Guards against an entry that goes on refusing by an old state. It is cut off from the planner, but not
// from the store: within some seconds it must accept all jobs again.
func TestEntryWithoutStatesAcceptsAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 87, 3, 9)
		settle()
		p := w.planner()
		n := w.nodes["d1-0"]
		if n == p {
			n = w.nodes["d2-0"]
		}
		w.changeLink(simPath{p.host, n.host}, 1)
		w.forceAdmission(1)
		is.Equal(w.submitTo(n.node, "000000000000000a").Reason, winch.Overloaded)
		time.Sleep(5 * time.Second)
		is.True(w.submitTo(n.node, "000000000000000a").OK())
		w.changeLink(simPath{p.host, n.host}, -1)
		w.end()
	})
}

// Guards against a region that refuses nothing, or everything, after its planner was lost in an overload:
// the entries go on by the last state, and the next planner must refuse soon by what it has read. Both ways
// to handle an old state are measured.
func TestOverloadWithALostPlanner(t *testing.T) {
	t.Parallel()
	for _, tooOld := range []admit.TooOld{admit.DecayOld, admit.AcceptOld} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := newWorld(t, 88, 3, 9)
			settle()
			for _, n := range w.nodes {
				n.node.admission.mu.Lock()
				n.node.admission.gate.TooOld = tooOld
				n.node.admission.mu.Unlock()
			}
			x := newLoadTrial(w)
			x.play(3*loadCapacity, 5*time.Second)
			p := w.planner()
			p.kill()
			accepted, refused := x.counts()
			x.play(3*loadCapacity, 4*time.Second)
			acceptedInGap, refusedInGap := x.counts()
			p.start()
			x.play(3*loadCapacity, 4*time.Second)
			_, refusedAfter := x.counts()
			time.Sleep(5 * time.Second)
			after := newLoadTrial(w)
			after.submitted = 100_000
			after.play(loadCapacity/2, 4*time.Second)
			out, later := x.outcome(time.Minute), after.outcome(time.Minute)
			t.Logf("too old %v: in the 4 s after the loss accepted %d, refused %d; all %+v; after it %+v",
				tooOld, acceptedInGap-accepted, refusedInGap-refused, out, later)
			is.True(refused > 0)
			is.True(refusedAfter > refusedInGap)
			is.Equal(later.refused, 0)
			is.Equal(later.abandoned, 0)
			w.end()
		})
	}
}

// Guards against a planner that sends the state late, or often: it must be sent before its turn when a burst
// fills the region, and otherwise twice a second.
func TestStateIsSentAtOnceWhenRefusingBegins(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 89, 3, 9)
		settle()
		var mu sync.Mutex
		var sent []time.Time
		w.setNotifySeen(func(kind winch.Kind) {
			mu.Lock()
			defer mu.Unlock()
			if now := time.Now(); kind == proto.KindAdmission && (len(sent) == 0 || now.After(sent[len(sent)-1])) {
				sent = append(sent, now)
			}
		})
		early := func() (n, all int) {
			mu.Lock()
			defer mu.Unlock()
			for i := range sent[1:] {
				if sent[i+1].Sub(sent[i]) < admissionInterval {
					n++
				}
			}
			all, sent = len(sent), sent[len(sent)-1:]
			return n, all
		}
		x := newLoadTrial(w)
		x.play(loadCapacity/2, 10*time.Second)
		idleEarly, idle := early()
		mu.Lock()
		next := sent[len(sent)-1].Add(admissionInterval)
		mu.Unlock()
		time.Sleep(time.Until(next) + time.Millisecond) // The burst begins with a turn, so that refusing begins between two.
		x.play(10*loadCapacity, 3*time.Second)
		busyEarly, busy := early()
		t.Log("messages in ten seconds, in three of the burst, and early ones:", idle, idleEarly, busy, busyEarly)
		is.Equal(idleEarly, 0)
		is.True(idle <= 21)
		is.True(busyEarly >= 1)
		is.True(busy <= 9)
		x.outcome(time.Minute)
		w.end()
	})
}
