package region

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// handedOver returns a part of the roster with one worker, whose leases the planner of a term recorded to run for a time.
func handedOver(domain, worker string, left time.Duration, term uint64) winch.Value {
	part := newRoster(map[string]rosteredWorker{worker: {
		VM: winch.WorkerVM{ID: worker, Address: worker, Domain: domain, Born: 1}, Keeper: "keeper", Generation: 1, Left: left, LeftTerm: term,
	}})
	return winch.Value{Key: rosterKey(domain), Version: 5, Data: encode(part)}
}

// Guards against leases that count as expired at a time that a planner before the last one recorded: the last one may have
// renewed them without changing the record.
func TestExpiriesRecordedBeforeTheLastTermAreNotUsed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 98, 3, 3)
		settle()
		l := newLeadership(w.planner().node, 9, 100, 0, time.Now())
		is.NoErr(l.loadRoster(handedOver("d0", "w0", time.Second, 7)))
		l.applyInherited()
		is.True(l.expiries.remaining("w0") > 7*time.Second)
		is.True(time.Until(l.planner.Barrier) > 7*time.Second)
		w.end()
	})
}

// Guards against a wait for earlier work that ends too soon because a part of the roster that was read first says when the
// leases of its own workers expire.
func TestExpiriesRecordedForSomeWorkersDoNotShortenTheWaitForOthers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 99, 3, 3)
		settle()
		l := newLeadership(w.planner().node, 9, 100, 0, time.Now())
		is.NoErr(l.loadRoster(handedOver("d0", "w0", time.Second, 8)))
		is.Equal(l.planner.Barrier, l.startedAt.Add(time.Second)) // The last planner has recorded it.
		is.NoErr(l.loadRoster(handedOver("d1", "w1", 0, 8)))
		is.True(time.Until(l.planner.Barrier) > 7*time.Second)
		w.end()
	})
}

// Guards against jobs that count as never started although the planner before the last one, which may take itself for the
// planner for a whole lease after it was replaced, can start them: the process of the last planner ended soon.
func TestAPlannerThatServedForAMomentDoesNotEndTheWaitForTheOneBefore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 101, 3, 3)
		settle()
		n := w.planner().node
		n.cell.noteTerm(8)
		n.cell.noteEarlierBoot("last", time.Now())
		time.Sleep(200 * time.Millisecond)
		l := newLeadership(n, 9, 1, 0, time.Now())
		l.lastHolder = "last"
		begin := time.Now()
		l.findAdoptedRevision(t.Context())
		is.True(time.Since(begin) > officeTTL-250*time.Millisecond)
		begin = time.Now()
		l.findAdoptedRevision(t.Context())
		is.True(time.Since(begin) < 100*time.Millisecond)
		w.end()
	})
}

// Guards against leases that are waited for anew at each hand-over: the time from the record of the last planner to the next
// planner's beginning has passed for them, too. What is not known of it does not count.
func TestTimeBetweenTwoTermsCountsForRecordedExpiries(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ age, low, high time.Duration }{
		"recorded soon":           {time.Second, 3900 * time.Millisecond, 4200 * time.Millisecond},
		"recorded at the end":     {3 * time.Second, 5900 * time.Millisecond, 6 * time.Second},
		"recorded later than now": {5 * time.Second, 5900 * time.Millisecond, 6 * time.Second},
		"not recorded":            {0, 5900 * time.Millisecond, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 102, 3, 3)
				settle()
				n := w.planner().node
				n.cell.noteTerm(8)
				time.Sleep(3 * time.Second)
				l := newLeadership(n, 9, 100, 0, time.Now())
				v := handedOver("d0", "w0", 6*time.Second, 8)
				var part roster
				is.NoErr(decode(v.Data, &part))
				part.LeftAge = c.age
				v.Data = encode(part)
				is.NoErr(l.loadRoster(v))
				l.applyInherited()
				left := l.expiries.remaining("w0")
				is.True(left >= c.low && left <= c.high)
				is.True(time.Until(l.planner.Barrier) <= c.high)
				w.end()
			})
		})
	}
}

// Guards against a record that says that the leases expire sooner than they do: the age of the term in it must not be less than
// the time since the term began, as others saw it.
func TestRecordedAgeOfATermIsNotTooLow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 103, 3, 3)
		settle()
		p := w.planner()
		l := p.node.leadership.Load()
		time.Sleep(2 * time.Second)
		l.recordRuns(t.Context())
		began, seen := p.node.cell.termSeen(l.term)
		is.True(seen)
		parts := 0
		w.setStore(func(s *simStore) {
			for key, v := range s.items {
				var part roster
				if strings.HasPrefix(key, keyRoster) && decode(v.Data, &part) == nil && part.LeftTerm == l.term {
					parts++
					is.True(part.LeftAge >= time.Since(began)-100*time.Millisecond)
					is.True(part.LeftAge < time.Since(began)+time.Second)
				}
			}
		})
		is.True(parts > 0)
		w.end()
	})
}
