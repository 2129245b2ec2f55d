package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/conf"
	"plantainwinch/stand"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// Guards against a call with bad input that reaches an executor. Each part of a request is wrong once; the caller must
// get the matching reason and a detail.
func TestCallWithBadInputIsRefused(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		w.change(a, config.Approve("render", "guild", false))
		old, _, r := a.IssueKey(w.t.Context(), operator, winch.KeyTeam, "choir")
		is.True(r.OK())
		id, _, _ := strings.Cut(old, ".")
		w.change(a, config.WithdrawKey(id))
		past := func(c *Call) { c.Deadline = time.Now().Add(-time.Second) }
		key := func(k string) func(*Call) { return func(c *Call) { c.Key = k } }
		for _, c := range []struct {
			name, team, class, id string
			change                func(*Call)
			want                  winch.Reason
		}{
			{"no key", "choir", "preview", "x", key(""), winch.UnknownKey},
			{"made-up key", "choir", "preview", "x", key("K1.secret"), winch.UnknownKey},
			{"key with a wrong secret", "choir", "preview", "x", key(w.keys["choir"] + "x"), winch.UnknownKey},
			{"withdrawn key", "choir", "preview", "x", key(old), winch.UnknownKey},
			{"operator's key", "choir", "preview", "x", key("first"), winch.UnknownKey},
			{"team not approved", "guild", "preview", "x", nil, winch.NotApproved},
			{"unknown service", "choir", "preview", "x", func(c *Call) { c.Service = "other" }, winch.UnknownService},
			{"unknown class", "choir", "other", "x", nil, winch.UnknownClass},
			{"deadline in the past", "choir", "preview", "x", past, winch.DeadlinePassed},
			{"non-repeatable without an id", "choir", "invoice", "", nil, winch.BadRequest},
			{"body declared too large", "choir", "preview", "x", func(c *Call) { c.Length = 2 << 20 }, winch.TooLarge},
			{"body broken off", "choir", "preview", "x", func(c *Call) { c.Body = brokenReader{} }, winch.CallerGone},
		} {
			change := c.change
			if change == nil {
				change = func(*Call) {}
			}
			got := w.call(a, c.team, c.class, c.id, "part", change)
			if got.Outcome != winch.NotRun || got.Reason != c.want {
				w.t.Errorf("%s: got %s %s, want NotRun %s", c.name, got.Outcome, got.Reason, c.want)
			}
			is.True(got.Detail != "") // the detail says what to correct
		}
		is.Equal(w.executors.totalRuns(), 0) // nothing reached an executor
	})
}

// Guards against a truncated body that an executor takes for a complete one: the body has no declared length and turns
// out larger than the service accepts.
func TestTooLargeBodyOfUnknownLengthIsRefused(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		got := w.call(a, "choir", "preview", "x", strings.Repeat("a", 2<<20), func(c *Call) { c.Length = -1 })
		is.Equal(got.Reason, winch.TooLarge)
		is.Equal(got.complete, false)
	})
}

// Guards against a second run of a request while the first may still be running: the executor's VM dies during a
// preview. The caller must get at once an unknown outcome and the time after which it may send the request again.
func TestCallIsUnknownWhenItsExecutorDies(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		var got result
		var group conc.WaitGroup
		group.Go(func() { got = w.call(a, "choir", "preview", "x", "take=2s") })
		time.Sleep(time.Second)
		w.executors.kill("e1")
		w.executors.kill("e2")
		group.Wait()
		is.Equal(got.Outcome, winch.Unknown)
		is.Equal(got.Reason, winch.ExecutorFailed)
		is.Equal(got.RetryAfter, 30*time.Second) // the class's maximum run time
		is.Equal(w.executors.runCount("x"), 1)
	})
}

// Guards against calls that fail although another executor is available: one executor is dead before the call is sent.
// As no byte reaches it, the call must be sent to the other executor and succeed.
func TestCallIsServedWhenOneExecutorIsDead(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		w.executors.kill("e1")
		for i := range 10 {
			got := w.call(a, "choir", "preview", fmt.Sprint("p", i), "part")
			is.Equal(got.Outcome, winch.Done)
		}
	})
}

// Guards against a slot or unit that is returned while its work may still be running: an executor hangs for longer than
// the caller waits. The caller must get an outcome at its deadline, and the slot and the team's unit must stay in use
// until the maximum run time has passed.
func TestHungExecutorKeepsSlotAndUnitInUse(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.addExecutor("e1", "d1", 2)
		a := w.addEntry("a", "d1")
		w.settle()
		w.configure(a, 2, "choir")
		w.settle()
		w.call(a, "choir", "preview", "warm", "x") // a second slot becomes available
		unblock := w.executors.block("e1")
		short := func(c *Call) { c.Deadline = time.Now().Add(3 * time.Second) }
		var group conc.WaitGroup
		var got [2]result
		for i := range got {
			group.Go(func() { got[i] = w.call(a, "choir", "preview", fmt.Sprint("h", i), "x", short) })
		}
		group.Wait()
		for _, g := range got {
			is.Equal(g.Outcome, winch.Unknown)
			is.Equal(g.Reason, winch.ExecutorTimeout)
			is.Equal(g.took, 3*time.Second)
		}
		time.Sleep(20 * time.Second)
		again := w.call(a, "choir", "preview", "again", "x", short)
		is.Equal(again.Outcome, winch.NotRun) // both units are still in use
		is.Equal(again.Reason, winch.OverLimit)
		unblock()
		time.Sleep(20 * time.Second)
		is.Equal(w.call(a, "choir", "preview", "late", "x").Outcome, winch.Done)
	})
}

// Guards against a caller that gets the response to somebody else's request: an executor responds with the id of another
// request.
func TestResponseToAnotherRequestIsRejected(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		w.executors.mu.Lock()
		w.executors.wrongID = true
		w.executors.mu.Unlock()
		got := w.call(a, "choir", "preview", "x", "mine")
		is.Equal(got.Outcome, winch.Unknown)
		is.Equal(got.Reason, winch.WrongAnswer)
		is.Equal(got.body, "")
	})
}

// Guards against a truncated response that a caller takes for a complete one: the executor's connection breaks during
// the response. A short response must be reported as unknown. A long one was already passed on in part, so the caller's
// reader must fail.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		w.executors.mu.Lock()
		w.executors.truncateAt = 3
		w.executors.mu.Unlock()
		short := w.call(a, "choir", "preview", "x", "part two")
		is.Equal(short.Outcome, winch.Unknown)
		is.Equal(short.Reason, winch.AnswerCut)
		w.executors.mu.Lock()
		w.executors.truncateAt = 100 << 10
		w.executors.mu.Unlock()
		long := w.call(a, "choir", "preview", "y", strings.Repeat("a", 200<<10))
		is.Equal(long.complete, false)
		is.Equal(len(long.body), 100<<10)
	})
}

// Guards against an invoice that runs twice: its caller loses the connection while it runs and sends it again through
// another entry. The second request must get the response to the first.
func TestResubmittedInvoiceRunsOnce(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := newPair(w)
		var first, second result
		var group conc.WaitGroup
		group.Go(func() { first = w.call(a, "choir", "invoice", "i1", "take=2s lease") })
		time.Sleep(time.Second)
		group.Go(func() { second = w.call(b, "choir", "invoice", "i1", "take=2s lease") })
		group.Wait()
		is.Equal(first.Outcome, winch.Done)
		is.Equal(second.Outcome, winch.Done)
		is.Equal(second.body, first.body)
		is.Equal(w.executors.runCount("i1"), 1)
		other := w.call(b, "choir", "invoice", "i1", "another lease")
		is.Equal(other.Reason, winch.DuplicateRequest)
		is.Equal(w.call(b, "guild", "invoice", "i1", "x").Outcome, winch.Done) // ids are per team
	})
}

// Guards against an invoice that runs twice: the entry that sent it dies before the response. A caller that sends it
// again must get an unknown outcome, at once and later, and no entry may send it to an executor again.
func TestInvoiceIsNotSentAgainAfterItsEntryDied(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := newPair(w)
		var group conc.WaitGroup
		group.Go(func() { w.call(a, "choir", "invoice", "i1", "take=10s") })
		time.Sleep(time.Second)
		a.kill()
		now := w.call(b, "choir", "invoice", "i1", "take=10s")
		is.Equal(now.Outcome, winch.Unknown)
		is.True(now.RetryAfter > 0) // it may still be running
		time.Sleep(40 * time.Second)
		later := w.call(b, "choir", "invoice", "i1", "take=10s")
		is.Equal(later.Outcome, winch.Unknown)
		is.Equal(later.RetryAfter, time.Duration(0))
		is.Equal(w.executors.runCount("i1"), 1)
		group.Wait()
	})
}

// Guards against a wrong outcome when the store fails while invoices are recorded. If the store is down, the invoice
// must be reported as not run and not be sent. If only the response to the write of its record is lost, it must run once.
func TestInvoiceOutcomeDuringStoreFailures(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		a.loseResponses(1)
		is.Equal(w.call(a, "choir", "invoice", "lost", "x").Outcome, winch.Done)
		is.Equal(w.executors.runCount("lost"), 1)
		a.partitionStore(true)
		got := w.call(a, "choir", "invoice", "down", "x")
		is.Equal(got.Outcome, winch.NotRun)
		is.Equal(got.Reason, winch.StoreUnavailable)
		is.True(got.RetryAfter > 0)
		is.Equal(w.executors.runCount("down"), 0)
		a.partitionStore(false)
		is.Equal(w.call(a, "choir", "invoice", "down", "x").Outcome, winch.Done) // a later attempt succeeds
	})
}

// Guards against repeatable calls that depend on the store: it is down for a minute, and the calls must succeed without
// delay.
func TestRepeatableCallsContinueWhileTheStoreIsDown(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := newPair(w)
		for range 20 {
			w.call(a, "choir", "preview", "warm", "x")
			w.call(b, "choir", "preview", "warm", "x")
		}
		w.platform.SetFaults(platformDown)
		for i := range 60 {
			time.Sleep(time.Second)
			got := w.call([]*node{a, b}[i%2], "choir", "preview", fmt.Sprint("c", i), "x")
			is.Equal(got.Outcome, winch.Done)
			is.True(got.took < 10*time.Millisecond) // fake time: nothing waited for the store
		}
	})
}

// Guards against calls that start after their key was withdrawn. The key is withdrawn while one call runs and others
// wait for a slot: the waiting ones must be refused at once, the running one must succeed, and new ones must be refused.
func TestWaitingCallsAreRefusedWhenTheirKeyIsWithdrawn(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.addExecutor("e1", "d1", 1)
		a, b := w.addEntry("a", "d1"), w.addEntry("b", "d1")
		w.settle()
		w.configure(a, 50, "choir", "guild")
		w.settle()
		var mu sync.Mutex
		var results []result
		var group conc.WaitGroup
		for i := range 10 {
			n := []*node{a, b}[i%2]
			group.Go(func() {
				r := w.call(n, "choir", "preview", fmt.Sprint("c", i), "take=3s")
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
		time.Sleep(time.Second)
		id, _, _ := strings.Cut(w.keys["choir"], ".")
		begin := time.Now()
		applied := w.change(a, config.WithdrawKey(id))
		is.True(applied.InForce)
		is.True(time.Since(begin) < 2*time.Second)
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		is.Equal(len(results), 9) // all but the running one are answered
		for _, r := range results {
			is.Equal(r.Outcome, winch.NotRun)
			is.Equal(r.Reason, winch.KeyWithdrawn)
		}
		mu.Unlock()
		for _, n := range []*node{a, b} {
			is.Equal(w.call(n, "choir", "preview", "new", "x").Reason, winch.UnknownKey)
		}
		group.Wait()
		is.Equal(results[9].Outcome, winch.Done)
		is.Equal(w.executors.totalRuns(), 1)
	})
}

// Guards against a team that exceeds its limit: it sends far more calls at once than its limit through all entries. The
// harness checks the limit at every start.
func TestFloodStaysWithinLimit(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		for i := range 6 {
			w.addExecutor(fmt.Sprint("e", i), "d1", 8)
		}
		a, b := w.addEntry("a", "d1"), w.addEntry("b", "d1")
		w.settle()
		w.configure(a, 7, "choir", "guild")
		w.settle()
		var group conc.WaitGroup
		var mu sync.Mutex
		count := make(map[winch.Outcome]int)
		for i := range 200 {
			n := []*node{a, b}[i%2]
			group.Go(func() {
				r := w.call(n, "choir", "preview", fmt.Sprint("c", i), "take=500ms")
				mu.Lock()
				defer mu.Unlock()
				count[r.Outcome]++
			})
		}
		time.Sleep(time.Second)
		is.Equal(w.call(a, "guild", "preview", "g", "x").Outcome, winch.Done) // another team is not affected
		group.Wait()
		is.Equal(count[winch.Unknown], 0)
		is.True(count[winch.Done] >= 40) // 7 at once, 500 ms each, for 4 s: 56 at best
		is.Equal(w.executors.totalRuns(), count[winch.Done]+1)
	})
}

// Guards against new calls on a leaving executor: two executors are marked as leaving on the platform's list. After a
// few seconds they must get no new calls, and the call that they run must succeed.
func TestLeavingExecutorGetsNoNewCalls(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		var group conc.WaitGroup
		var long result
		group.Go(func() { long = w.call(a, "choir", "preview", "long", "take=20s") })
		time.Sleep(time.Second)
		for _, id := range []string{"e1", "e2"} {
			w.platform.SetVM(winch.VM{ID: id, Address: id, Role: winch.RoleExecutor, Domain: "d1", Service: "render", Slots: 4, Leaving: true})
		}
		w.addExecutor("e3", "d1", 4)
		time.Sleep(3 * time.Second)
		before := w.executors.totalRuns()
		for i := range 8 {
			is.Equal(w.call(a, "choir", "preview", fmt.Sprint("c", i), "x").Outcome, winch.Done)
		}
		is.Equal(w.executors.totalRuns(), before+8)
		w.executors.mu.Lock()
		is.Equal(w.executors.busy["e1"]+w.executors.busy["e2"], 1) // only the long call
		w.executors.mu.Unlock()
		group.Wait()
		is.Equal(long.Outcome, winch.Done)
	})
}

// openSlots returns how many slots the homes may grant.
func openSlots(entries ...*node) (open int) {
	for _, n := range entries {
		for _, l := range n.table.Loads() {
			open += l.Slots
		}
	}
	return open
}

// Guards against calls that a planned stop interrupts: an entry is stopped while calls run and wait at it and at its
// peer. All of them must succeed; the other entry serves those that wait.
func TestPlannedStopInterruptsNoCall(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := newPair(w)
		for openSlots(a, b) < 8 { // with fewer slots, forty calls would exceed their class's maximum wait
			w.call(a, "choir", "preview", "warm", "x")
			w.call(b, "choir", "preview", "warm", "x")
		}
		var group conc.WaitGroup
		var mu sync.Mutex
		var failed []result
		done := 0
		for i := range 40 {
			n := []*node{a, b}[i%2]
			group.Go(func() {
				r := w.call(n, "choir", "preview", fmt.Sprint("c", i), "take=800ms")
				mu.Lock()
				defer mu.Unlock()
				if r.Outcome != winch.Done {
					failed = append(failed, r)
				} else {
					done++
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		begin := time.Now()
		a.Stop(context.Background())
		is.True(time.Since(begin) < 10*time.Second)
		a.kill()
		group.Wait()
		for _, r := range failed {
			is.Equal(r.Outcome, winch.NotRun) // refused before the start, never interrupted
		}
		is.Equal(len(failed), 0)
		is.Equal(done, 40)
		is.Equal(w.call(b, "choir", "preview", "after", "x").Outcome, winch.Done)
	})
}

// Guards against a caller that loses its connection at the drain timeout of a planned stop: a call runs for longer than
// that. Its caller must get an unknown outcome.
func TestCallAtDrainTimeoutIsUnknown(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.adjust = func(s *conf.Settings) { s.Timing.Drain = 5 * time.Second }
		a, _ := newPair(w)
		var got result
		var group conc.WaitGroup
		long := func(c *Call) { c.Deadline = time.Now().Add(10 * time.Minute) }
		group.Go(func() { got = w.call(a, "choir", "preview", "x", "take=31s", long) })
		time.Sleep(100 * time.Millisecond)
		a.Stop(context.Background())
		group.Wait()
		is.Equal(got.Outcome, winch.Unknown)
		is.Equal(got.Reason, winch.Stopping)
	})
}

// Guards against a slot that stays in use without a call: the connection to the home entry breaks after it granted a
// slot and before the response arrives. Once the connection is restored, all slots must be free again.
func TestSlotGrantedOverABrokenConnectionIsNotLost(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.addExecutor("e1", "d1", 2)
		a, b := w.addEntry("a", "d1"), w.addEntry("b", "d1")
		w.settle()
		w.configure(a, 50, "choir")
		w.settle()
		home, other := a, b
		if a.members.View().Home(w.listedVM("e1")) == "b" {
			home, other = b, a
		}
		for range 4 {
			is.Equal(w.call(other, "choir", "preview", "warm", "x").Outcome, winch.Done)
		}
		var group conc.WaitGroup
		group.Go(func() { w.call(other, "choir", "preview", "x", "y") })
		time.Sleep(hopDelay + hopDelay/2) // the slot is granted, the response is under way
		w.partition(true, []string{"a"}, []string{"b"})
		group.Wait()
		w.partition(false, []string{"a"}, []string{"b"})
		w.sendFirst("a", "b")
		time.Sleep(10 * time.Second)
		loads := home.table.Loads()
		is.Equal(loads[0].Busy, 0)
		is.Equal(loads[0].Slots, 2)
	})
}

// Guards against an entry that takes many seconds to serve calls after the store became available: the entry starts
// shortly before the store can be reached, so its first accesses fail.
func TestEntryServesSoonAfterTheStoreIsAvailable(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, _ := newPair(w)
		w.platform.SetFaults(platformDown)
		c := w.addEntry("c", "d1")
		time.Sleep(1700 * time.Millisecond)
		w.platform.SetFaults(stand.Faults{})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(w.call(c, "choir", "preview", "x", "y").Outcome, winch.Done)
		_ = a
	})
}
