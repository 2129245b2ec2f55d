package slots

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// withTable runs f on a table with executors in a synctest bubble.
func withTable(t *testing.T, execs, slots int, f func(b *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := &rig{T: t, Table: &Table{QueueLimit: 20, Rand: rand.New(rand.NewPCG(1, 1))}}
		b.Prepare()
		var group conc.WaitGroup
		group.Go(func() { b.Table.Run(ctx) })
		defer group.Wait()
		defer cancel()
		b.setExecutors(execs, slots, slots)
		f(b)
	})
}

// rig is a table under test.
type rig struct {
	*testing.T
	*Table
	group conc.WaitGroup
}

func vm(i, slots int) winch.VM {
	return winch.VM{ID: fmt.Sprint("e", i), Role: winch.RoleExecutor, Service: "render", Slots: slots}
}

func (b *rig) setExecutors(execs, slots, open int) []proto.Handoff {
	var list []winch.VM
	for i := range execs {
		list = append(list, vm(i, slots))
	}
	out, err := b.SetExecutors(context.Background(), list, func(winch.VM) int { return open })
	if err != nil {
		b.Fatal(err)
	}
	return out
}

func newRequest(id, team string, remaining time.Duration) proto.SlotRequest {
	return proto.SlotRequest{Grant: id, Service: "render", Class: "preview", Team: team, KeyID: "K-" + team, Remaining: remaining, MaxRun: 30 * time.Second}
}

func (b *rig) acquire(id, team string, remaining time.Duration) proto.SlotResponse {
	return b.Acquire(context.Background(), "a", newRequest(id, team, remaining))
}

func (b *rig) returnSlot(id string, v proto.Verdict, after time.Duration) {
	if err := b.Return(proto.SlotRelease{Grant: id, Verdict: v, After: after, Took: time.Second}); err != nil {
		b.Fatal(err)
	}
	synctest.Wait()
}

func (b *rig) busy() (n int) {
	for _, l := range b.Loads() {
		n += l.Busy
	}
	return n
}

// Calls wait for a slot. They must be served in the order of their deadlines, and a call
// whose deadline passes must be refused at that instant.
func TestWaitersAreServedInDeadlineOrder(t *testing.T) {
	withTable(t, 1, 1, func(b *rig) {
		is := is.New(b.T)
		is.True(b.acquire("first", "choir", time.Second).Refused.OK())
		var mu sync.Mutex
		var order []string
		for i, remaining := range []time.Duration{9 * time.Second, 3 * time.Second, 6 * time.Second, time.Second} {
			id := fmt.Sprint("w", i)
			b.group.Go(func() {
				started := time.Now()
				r := b.acquire(id, "choir", remaining)
				mu.Lock()
				defer mu.Unlock()
				if r.Refused.OK() {
					order = append(order, id)
					return
				}
				is.Equal(id, "w3")
				is.Equal(r.Refused.Reason, winch.DeadlinePassed)
				is.True(r.Refused.RetryAfter > 0)
				is.Equal(time.Since(started), remaining)
			})
		}
		time.Sleep(2 * time.Second)
		last := "first"
		for _, want := range []string{"w1", "w2", "w0"} {
			b.returnSlot(last, proto.Answered, 0)
			is.Equal(order[len(order)-1], want)
			last = want
		}
		b.group.Wait()
	})
}

// The queue is so long that a call cannot be served before its deadline. It must be
// refused at once, with a retry time, instead of at its deadline.
func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
	withTable(t, 1, 1, func(b *rig) {
		is := is.New(b.T)
		is.True(b.acquire("x", "choir", time.Second).Refused.OK())
		b.returnSlot("x", proto.Answered, 0) // a run takes a second
		is.True(b.acquire("y", "choir", time.Second).Refused.OK())
		for i := range 5 {
			b.group.Go(func() { b.acquire(fmt.Sprint("w", i), "choir", 10*time.Second) })
		}
		synctest.Wait()
		started := time.Now()
		r := b.acquire("late", "choir", 3*time.Second)
		is.Equal(r.Refused.Reason, winch.DeadlineHopeless)
		is.Equal(r.Refused.RetryAfter, 6*time.Second)
		is.Equal(time.Since(started), time.Duration(0))
		b.group.Wait()
	})
}

// One team floods the queue before another team queues its calls. As both have the same
// share, the next freed slots must go to the team that uses fewer.
func TestFreedSlotsFollowShares(t *testing.T) {
	withTable(t, 1, 2, func(b *rig) {
		is := is.New(b.T)
		is.True(b.acquire("f0", "flood", time.Hour).Refused.OK())
		is.True(b.acquire("f1", "flood", time.Hour).Refused.OK())
		granted := make(chan string, 20)
		wait := func(id, team string) {
			b.group.Go(func() {
				if b.acquire(id, team, time.Hour).Refused.OK() {
					granted <- id
				}
			})
			synctest.Wait()
		}
		for i := range 8 {
			wait(fmt.Sprint("flood", i), "flood")
		}
		wait("quiet0", "quiet")
		wait("quiet1", "quiet")
		b.returnSlot("f0", proto.Answered, 0)
		is.Equal(<-granted, "quiet0")
		b.returnSlot("quiet0", proto.Answered, 0)
		is.Equal(<-granted, "quiet1")
		is.NoErr(b.Close(context.Background(), winch.Refuse(winch.Stopping, "")))
		b.group.Wait()
	})
}

// The queue of a class is full. The next call of the class must be refused at once, and
// other classes must not be affected.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	withTable(t, 1, 1, func(b *rig) {
		is := is.New(b.T)
		is.True(b.acquire("x", "choir", time.Second).Refused.OK())
		for i := range 20 {
			b.group.Go(func() { b.acquire(fmt.Sprint("w", i), "choir", 10*time.Second) })
		}
		synctest.Wait()
		is.Equal(b.acquire("more", "choir", 10*time.Second).Refused.Reason, winch.QueueFull)
		other := newRequest("other", "choir", 10*time.Second)
		other.Class = "invoice"
		b.group.Go(func() { b.Acquire(context.Background(), "a", other) }) // each class has its own queue
		synctest.Wait()
		is.Equal(b.Loads()[0].Queued, 21)
		b.group.Wait()
	})
}

// A request times out, so its work may still run. Its slot must not be granted again
// before the work is guaranteed to have ended.
func TestSlotKeptWhileWorkMayRun(t *testing.T) {
	withTable(t, 1, 1, func(b *rig) {
		is := is.New(b.T)
		is.True(b.acquire("x", "choir", time.Second).Refused.OK())
		b.returnSlot("x", proto.Failed, 20*time.Second)
		started := time.Now()
		is.True(b.acquire("y", "choir", time.Minute).Refused.OK())
		waited := time.Since(started)
		is.True(waited >= 20*time.Second && waited < 21*time.Second)
	})
}

// The entry that requested a slot crashes and never returns it. The slot must become free
// after the maximum run time.
func TestSlotOfCrashedEntryIsFreed(t *testing.T) {
	withTable(t, 1, 1, func(b *rig) {
		is := is.New(b.T)
		is.True(b.acquire("x", "choir", time.Second).Refused.OK())
		time.Sleep(29 * time.Second)
		is.Equal(b.busy(), 1)
		time.Sleep(2 * time.Second)
		is.Equal(b.busy(), 0)
	})
}

// An entry cancels a request for a slot, and the cancellation overtakes the request. The
// request must then be refused, or the slot would stay in use until it expires.
func TestRequestAfterItsReturnIsRefused(t *testing.T) {
	withTable(t, 1, 1, func(b *rig) {
		is := is.New(b.T)
		b.returnSlot("x", proto.Unused, 0)
		is.Equal(b.acquire("x", "choir", time.Second).Refused.Reason, winch.CallerGone)
		is.Equal(b.busy(), 0)
	})
}

// Executors move to another home as planned. The new home takes over the slots in use and
// must grant only the others.
func TestHandoffKeepsSlotsInUse(t *testing.T) {
	withTable(t, 2, 3, func(b *rig) {
		is := is.New(b.T)
		for i := range 4 {
			is.True(b.acquire(fmt.Sprint("x", i), "choir", time.Second).Refused.OK())
		}
		handoffs := b.setExecutors(0, 3, 3)
		is.Equal(len(handoffs), 2)
		is.Equal(len(handoffs[0].Held)+len(handoffs[1].Held), 4)
		is.NoErr(b.Adopt(handoffs[0])) // arrives before this home knows of the executor
		b.setExecutors(2, 3, 1)
		is.NoErr(b.Adopt(handoffs[1]))
		synctest.Wait()
		is.Equal(b.busy(), 4)
		is.Equal(b.Loads()[0].Slots, 6)
		is.True(b.acquire("y0", "choir", time.Second).Refused.OK())
		is.True(b.acquire("y1", "choir", time.Second).Refused.OK())
		is.Equal(b.acquire("y2", "choir", time.Second).Refused.Reason, winch.DeadlinePassed)
	})
}

// A call ends while its executor moves to another home, and the return of the slot
// overtakes the handoff. The new home must not keep the slot in use for the ended call.
func TestSlotReturnedBeforeItsHandoffIsFree(t *testing.T) {
	withTable(t, 1, 2, func(b *rig) {
		is := is.New(b.T)
		b.returnSlot("x", proto.Answered, 0)
		is.NoErr(b.Adopt(proto.Handoff{Executor: "e0", Held: []proto.HeldSlot{
			{Grant: "x", Executor: "e0", Left: 30 * time.Second}, {Grant: "y", Executor: "e0", Left: 30 * time.Second},
		}}))
		synctest.Wait()
		is.Equal(b.busy(), 1)
	})
}

// The home of an executor has crashed, and the new home does not know which calls still
// run there. To avoid overload, it must open one slot at first and one more with each
// answered call.
func TestSlotsOfANewHomeOpenOneByOne(t *testing.T) {
	withTable(t, 0, 0, func(b *rig) {
		is := is.New(b.T)
		b.setExecutors(1, 4, 1)
		for n := 1; n <= 4; n++ {
			is.True(b.acquire(fmt.Sprint("x", n), "choir", time.Second).Refused.OK())
			b.returnSlot(fmt.Sprint("x", n), proto.Answered, 0)
			is.Equal(b.Loads()[0].Slots, min(n+1, 4))
		}
		is.NoErr(b.Reconcile("b", []proto.HeldSlot{{Grant: "old", Executor: "e0", Left: 5 * time.Second}}, false))
		synctest.Wait()
		is.Equal(b.busy(), 1) // another entry reports a call that the previous home granted
		is.Equal(b.acquire("z", "choir", time.Second).Executor.ID, "e0")
		b.returnSlot("z", proto.Rejected, 0)
		is.Equal(b.Loads()[0].Slots, 2) // the executor had no free slot after all
	})
}

// A link breaks before a grant reaches the requesting entry. Over the new link the entry
// lists the slots that it uses. The slot of the lost grant must become free at once.
func TestReconcileFreesLostGrants(t *testing.T) {
	withTable(t, 1, 3, func(b *rig) {
		is := is.New(b.T)
		for _, id := range []string{"used", "lost"} {
			is.True(b.acquire(id, "choir", time.Second).Refused.OK())
		}
		r := b.Acquire(context.Background(), "b", newRequest("other", "choir", time.Second))
		is.True(r.Refused.OK())
		is.NoErr(b.Reconcile("a", []proto.HeldSlot{{Grant: "used", Executor: "e0", Left: time.Second}}, true))
		synctest.Wait()
		is.Equal(b.busy(), 2) // the one that entry a uses and the one of entry b
	})
}

// An executor fails every call at once and therefore always has free slots, so it would
// attract all calls. It must be quarantined after a few failures and tried again later.
// At most half of the executors may be quarantined, even if all of them fail.
func TestExecutorThatFailsEverythingIsQuarantined(t *testing.T) {
	withTable(t, 4, 2, func(b *rig) {
		is := is.New(b.T)
		failed := 0
		for i := range 200 {
			id := fmt.Sprint("x", i)
			r := b.acquire(id, "choir", time.Second)
			is.True(r.Refused.OK())
			if r.Executor.ID == "e0" {
				failed++
				b.returnSlot(id, proto.Failed, 0)
				continue
			}
			b.returnSlot(id, proto.Answered, 0)
		}
		is.Equal(failed, failuresToQuarantine)
		time.Sleep(2 * time.Second)
		for i := range 100 {
			id := fmt.Sprint("y", i)
			if b.acquire(id, "choir", time.Second).Executor.ID == "e0" {
				failed++
			}
			b.returnSlot(id, proto.Answered, 0)
		}
		is.True(failed > failuresToQuarantine) // its quarantine is over
		for i := range 400 {
			id := fmt.Sprint("z", i)
			r := b.acquire(id, "choir", time.Second)
			is.True(r.Refused.OK()) // all executors fail, yet half of them stay available
			b.returnSlot(id, proto.Failed, 0)
		}
	})
}

// The last executor of a service leaves while calls wait for a slot. They must be refused
// at once, not at their deadline.
func TestWaitersAreRefusedWhenTheLastExecutorLeaves(t *testing.T) {
	withTable(t, 1, 1, func(b *rig) {
		is := is.New(b.T)
		is.True(b.acquire("x", "choir", time.Second).Refused.OK())
		b.group.Go(func() { is.Equal(b.acquire("w", "choir", time.Hour).Refused.Reason, winch.NoExecutor) })
		synctest.Wait()
		started := time.Now()
		b.setExecutors(0, 1, 1)
		b.group.Wait()
		is.Equal(time.Since(started), time.Duration(0))
		is.Equal(b.acquire("y", "choir", time.Second).Refused.Reason, winch.NoExecutor)
	})
}

// Requests, returns and cancellations come in random order. No executor may ever have more
// calls than slots, and in the end all slots must be free, so that none is leaked.
func TestRandomOrderKeepsSlotLimits(t *testing.T) {
	for seed := range uint64(30) {
		withTable(t, 3, 4, func(b *rig) { runRandomOrder(b, seed) })
	}
}

func runRandomOrder(b *rig, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 9))
	var mu sync.Mutex
	inUse := make(map[string]int)
	for i := range 300 {
		id := fmt.Sprint("x", i)
		remaining := time.Duration(1+rnd.IntN(2000)) * time.Millisecond
		runTime := time.Duration(rnd.IntN(1500)) * time.Millisecond
		giveUp := rnd.IntN(4) == 0
		b.group.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if giveUp {
				time.AfterFunc(remaining/2, cancel)
			}
			r := b.Acquire(ctx, "a", newRequest(id, fmt.Sprint("team", i%3), remaining))
			if !r.Refused.OK() {
				return
			}
			mu.Lock()
			inUse[r.Executor.ID]++
			if inUse[r.Executor.ID] > 4 {
				b.Errorf("seed %d: executor %s has %d calls in 4 slots", seed, r.Executor.ID, inUse[r.Executor.ID])
			}
			mu.Unlock()
			time.Sleep(runTime)
			mu.Lock()
			inUse[r.Executor.ID]--
			mu.Unlock()
			_ = b.Return(proto.SlotRelease{Grant: id, Verdict: proto.Answered, Took: runTime})
		})
		time.Sleep(time.Duration(rnd.IntN(60)) * time.Millisecond)
	}
	b.group.Wait()
	synctest.Wait()
	if b.busy() != 0 {
		b.Errorf("seed %d: %d slots are still in use after all calls ended", seed, b.busy())
	}
}
