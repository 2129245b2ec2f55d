package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/stand"
	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

// holderGroup is a set of holders that share a simulated store.
type holderGroup struct {
	platform *stand.Platform
	holders  []*Holder
	mu       sync.Mutex
	doc      *winch.Document
	cancel   context.CancelFunc
	group    conc.WaitGroup
}

func newHolderGroup(n, limit int) *holderGroup {
	f := &holderGroup{platform: &stand.Platform{}}
	f.setLimit(limit)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range n {
		h := &Holder{Name: fmt.Sprint("h", i), Store: f.platform, Document: f.document}
		h.Prepare()
		f.holders = append(f.holders, h)
		f.group.Go(func() { h.Duty.Run(ctx) })
		f.group.Go(func() { h.Run(ctx) })
	}
	f.group.Go(func() { f.shareDemand(ctx) })
	return f
}

func (f *holderGroup) document() *winch.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc
}

func (f *holderGroup) setLimit(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := uint64(1)
	if f.doc != nil {
		version = f.doc.Version + 1
	}
	f.doc = &winch.Document{Version: version, Teams: map[string]winch.Team{"choir": {Name: "choir", Share: 1, Limit: limit}}}
}

// shareDemand sets each holder's view of the demand of the others once per second.
func (f *holderGroup) shareDemand(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for i, h := range f.holders {
			demand := make(map[string]int)
			for j, other := range f.holders {
				usage, _ := other.Usage(ctx)
				if j != i {
					demand["choir"] += usage["choir"][1]
				}
			}
			h.SetOtherDemand(ctx, demand)
		}
	}
}

func (f *holderGroup) stop() {
	f.cancel()
	f.group.Wait()
}

func (f *holderGroup) units(t *testing.T) Units {
	t.Helper()
	v, err := swap.Read[Units](context.Background(), f.platform, Key)
	if err != nil {
		t.Fatal(err)
	}
	return v.Body
}

// The limit is smaller than the number of holders, and the demand moves from one holder to
// the next. The holder with the demand must get all units; none may stay idle at a holder
// that has no demand.
func TestUnitsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newHolderGroup(5, 3)
		defer f.stop()
		ctx := context.Background()
		for _, h := range f.holders {
			for range 3 {
				r := h.Take(ctx, "choir", 10*time.Second)
				is.True(r.OK())
			}
			r := h.Take(ctx, "choir", time.Second)
			is.Equal(r.Reason, winch.OverLimit)
			for range 3 {
				h.Release("choir")
			}
		}
	})
}

// All units are in use at one holder and a caller waits at another. A released unit must
// reach that caller soon. If it stayed idle until both holders access the store at their
// regular intervals, calls would miss their deadlines while slots are free.
func TestReleasedUnitReachesWaitingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newHolderGroup(2, 4)
		defer f.stop()
		ctx := context.Background()
		for range 4 {
			is.True(f.holders[0].Take(ctx, "choir", 10*time.Second).OK())
		}
		for i := range 4 {
			// Release at different times within the regular balance interval.
			var group conc.WaitGroup
			var got time.Time
			group.Go(func() {
				is.True(f.holders[1].Take(ctx, "choir", 10*time.Second).OK())
				got = time.Now()
			})
			time.Sleep(3*time.Second + time.Duration(i)*230*time.Millisecond)
			released := time.Now()
			f.holders[0].Release("choir")
			group.Wait()
			is.True(got.Sub(released) <= 2*shortageInterval)
		}
	})
}

// A limit is lowered below the number of units in use. Nothing may start until the excess
// has ended, and then only as much as the new limit allows.
func TestLoweredLimitStopsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newHolderGroup(2, 20)
		defer f.stop()
		ctx := context.Background()
		for i := range 20 {
			is.True(f.holders[i%2].Take(ctx, "choir", 10*time.Second).OK())
		}
		f.setLimit(4)
		time.Sleep(5 * time.Second)
		is.Equal(f.units(t).Teams["choir"].Pool, -16)
		for i := range 17 { // Until 4 run, which is the limit.
			is.Equal(f.holders[0].Take(ctx, "choir", time.Second/10).Reason, winch.OverLimit)
			if i < 16 {
				f.holders[i%2].Release("choir")
			}
			time.Sleep(2 * time.Second)
		}
		f.holders[0].Release("choir")
		f.holders[1].Release("choir")
		running := 2
		for range 10 {
			if f.holders[0].Take(ctx, "choir", 5*time.Second).OK() {
				running++
			}
		}
		is.Equal(running, 4)
	})
}

// A holder returns units and the response of the store is lost. The holder must not use
// them until it knows the outcome, since another holder may have taken them already.
func TestUnitsOfAnUncertainReturnAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newHolderGroup(1, 12)
		defer f.stop()
		h := f.holders[0]
		ctx := context.Background()
		time.Sleep(3 * time.Second)
		is.NoErr(h.Duty.Do(ctx, func() {
			is.True(h.account("choir").free() > 0)
			h.otherDemand["choir"] = 100
			plan := h.planTransfers()
			is.True(plan["choir"] < 0)
			before := h.account("choir").free()
			h.applyOutcome(plan, Units{}, winch.ErrUncertain)
			is.Equal(h.account("choir").free(), before) // Still withheld.
			is.True(h.uncertain)
			h.otherDemand["choir"] = 0
		}))
		is.NoErr(h.Balance(ctx))
		is.NoErr(h.Duty.Do(ctx, func() {
			is.Equal(h.uncertain, false)
			is.Equal(h.account("choir").returning, 0)
		}))
	})
}

// An earlier planner resumes after a process pause, when its successor has taken over the
// office's row. It must not be able to return units of that row.
func TestEarlierPlannerCannotChangeItsRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		f := &holderGroup{platform: p}
		f.setLimit(24)
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		var offices []*Holder
		for range 2 {
			h := &Holder{Name: "Office/d1", Office: true, Store: p, Document: f.document}
			h.Prepare()
			group.Go(func() { h.Duty.Run(ctx) })
			offices = append(offices, h)
		}
		is.NoErr(offices[0].TakeOver(ctx, 1))
		is.NoErr(offices[0].Balance(ctx))
		is.NoErr(offices[1].TakeOver(ctx, 2))
		is.NoErr(offices[0].Duty.Do(ctx, func() { offices[0].otherDemand["choir"] = 9 }))
		is.True(errors.Is(offices[0].Balance(ctx), ErrFenced))
		is.True(errors.Is(offices[0].TakeOver(ctx, 1), ErrFenced))
		is.NoErr(offices[1].Duty.Do(ctx, func() {
			is.Equal(offices[1].TryTake("choir", 2), false) // Work of the first may use these units.
			offices[1].Charge("choir", 1)
			offices[1].CompleteTakeover()
			is.True(offices[1].TryTake("choir", 1))
			is.Equal(offices[1].TryTake("choir", 1), false)
		}))
		cancel()
		group.Wait()
	})
}

// hookStore runs a function before its first write.
type hookStore struct {
	*stand.Platform
	hook func()
}

// Put implements winch.Store.
func (s *hookStore) Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error) {
	if hook := s.hook; hook != nil {
		s.hook = nil
		hook()
	}
	return s.Platform.Put(ctx, key, data, version, lease)
}

// An entry loses its office and acquires it again while its write that returns idle units
// is in progress. The write fails because it belongs to the earlier term. If the holder then
// made the units usable again, they would exist twice, and the team could exceed its limit.
func TestWriteOfAnEarlierTermFreesNoUnits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &hookStore{Platform: &stand.Platform{}}
		f := &holderGroup{}
		f.setLimit(24)
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		h := &Holder{Name: "Office/d1", Office: true, Store: store, Document: f.document}
		h.Prepare()
		group.Go(func() { h.Duty.Run(ctx) })
		is.NoErr(h.TakeOver(ctx, 1))
		is.NoErr(h.Balance(ctx))
		is.NoErr(h.Duty.Do(ctx, func() {
			is.True(h.account("choir").free() > 0)
			h.otherDemand["choir"] = 9
		}))
		store.hook = func() { is.NoErr(h.TakeOver(ctx, 2)) }
		is.True(errors.Is(h.Balance(ctx), ErrFenced))
		is.NoErr(h.Duty.Do(ctx, func() {
			is.Equal(h.account("choir").free(), 0) // Work of the first term may still run.
		}))
		cancel()
		group.Wait()
	})
}

// Holders take and release units at random while the store is slow, down or loses
// responses. Together they must never use more than the limit.
func TestHoldersTogetherStayWithinLimit(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { runRandomHolders(t, seed) })
	}
}

func runRandomHolders(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	limit := 2 + rnd.IntN(30)
	f := newHolderGroup(4, limit)
	defer f.stop()
	var mu sync.Mutex
	used := 0
	var group conc.WaitGroup
	for c := range 12 {
		callerRand := rand.New(rand.NewPCG(seed, uint64(c)))
		group.Go(func() {
			for range 30 {
				time.Sleep(time.Duration(callerRand.IntN(400)) * time.Millisecond)
				h := f.holders[callerRand.IntN(len(f.holders))]
				if !h.Take(context.Background(), "choir", time.Duration(callerRand.IntN(3000))*time.Millisecond).OK() {
					continue
				}
				mu.Lock()
				used++
				if used > limit {
					t.Errorf("seed %d: %d units in use, the limit is %d", seed, used, limit)
				}
				mu.Unlock()
				time.Sleep(time.Duration(callerRand.IntN(2000)) * time.Millisecond)
				mu.Lock()
				used--
				mu.Unlock()
				h.Release("choir")
			}
		})
	}
	for range 20 {
		time.Sleep(time.Second)
		f.platform.SetFaults(stand.Faults{
			Down: rnd.IntN(5) == 0, LoseReplies: rnd.IntN(3), LosePrefix: Key, Latency: time.Duration(rnd.IntN(60)) * time.Millisecond,
		})
	}
	f.platform.SetFaults(stand.Faults{})
	group.Wait()
	time.Sleep(3 * time.Second)
	u := f.units(t)
	u.check()
}

// A limit was lowered under load, and a unit is released while a caller waits for it. The
// unit must return to the pool first; otherwise the lowered limit never comes into force.
func TestOwedUnitsAreReturnedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newHolderGroup(1, 10)
		defer f.stop()
		ctx := context.Background()
		h := f.holders[0]
		for range 10 {
			is.True(h.Take(ctx, "choir", 10*time.Second).OK())
		}
		f.setLimit(2)
		time.Sleep(3 * time.Second)
		var group conc.WaitGroup
		group.Go(func() { is.Equal(h.Take(ctx, "choir", 5*time.Second).Reason, winch.OverLimit) })
		synctest.Wait()
		h.Release("choir")
		is.NoErr(h.Duty.Do(ctx, func() {
			is.Equal(h.account("choir").inUse, 9)
			is.Equal(h.TryTake("choir", 1), false)
		}))
		group.Wait()
	})
}
