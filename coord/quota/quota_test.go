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

// fleet is a number of holders over one platform.
type fleet struct {
	platform *stand.Platform
	holders  []*Holder
	mu       sync.Mutex
	doc      *winch.Document
	cancel   context.CancelFunc
	group    conc.WaitGroup
}

func newFleet(n, limit int) *fleet {
	f := &fleet{platform: &stand.Platform{}}
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
	f.group.Go(func() { f.share(ctx) })
	return f
}

func (f *fleet) document() *winch.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc
}

func (f *fleet) setLimit(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := uint64(1)
	if f.doc != nil {
		version = f.doc.Version + 1
	}
	f.doc = &winch.Document{Version: version, Teams: map[string]winch.Team{"choir": {Name: "choir", Share: 1, Limit: limit}}}
}

// share tells the holders each second what the others want.
func (f *fleet) share(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for i, h := range f.holders {
			wants := make(map[string]int)
			for j, o := range f.holders {
				use, _ := o.Use(ctx)
				if j != i {
					wants["choir"] += use["choir"][1]
				}
			}
			h.Wants(ctx, wants)
		}
	}
}

func (f *fleet) stop() {
	f.cancel()
	f.group.Wait()
}

func (f *fleet) units(t *testing.T) Units {
	t.Helper()
	v, err := swap.Read[Units](context.Background(), f.platform, Key)
	if err != nil {
		t.Fatal(err)
	}
	return v.Body
}

// A limit is smaller than the number of holders, and the demand moves from one
// to another. Whoever has the demand gets all units.
func TestUnitsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5, 3)
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

// All units are in use at one holder and a caller waits at another. A unit that
// comes free is there for that caller soon. Were it left idle until both holders
// happen to look at the store, calls would miss their deadlines beside free slots.
func TestFreedUnitReachesWhoWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 4)
		defer f.stop()
		ctx := context.Background()
		for range 4 {
			is.True(f.holders[0].Take(ctx, "choir", 10*time.Second).OK())
		}
		for i := range 4 {
			// At different times within the second in which both look by themselves.
			var group conc.WaitGroup
			var got time.Time
			group.Go(func() {
				is.True(f.holders[1].Take(ctx, "choir", 10*time.Second).OK())
				got = time.Now()
			})
			time.Sleep(3*time.Second + time.Duration(i)*230*time.Millisecond)
			freed := time.Now()
			f.holders[0].Release("choir")
			group.Wait()
			is.True(got.Sub(freed) <= 2*shortEvery)
		}
	})
}

// A limit is lowered below what runs. Nothing starts until the excess has ended,
// and then only as much as the new limit lets.
func TestLowering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 20)
		defer f.stop()
		ctx := context.Background()
		for i := range 20 {
			is.True(f.holders[i%2].Take(ctx, "choir", 10*time.Second).OK())
		}
		f.setLimit(4)
		time.Sleep(5 * time.Second)
		is.Equal(f.units(t).Teams["choir"].Pool, -16)
		for i := range 17 { // down to 4 running, which is the limit
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

// A holder gives units back and the reply is lost. Until it knows the outcome it
// must not use them, since another holder may have taken them already.
func TestGiveBackReplyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 12)
		defer f.stop()
		h := f.holders[0]
		ctx := context.Background()
		time.Sleep(3 * time.Second)
		is.NoErr(h.Duty.Do(ctx, func() {
			is.True(h.account("choir").free() > 0)
			h.others["choir"] = 100
			p := h.prepare()
			is.True(p["choir"] < 0)
			before := h.account("choir").free()
			h.settleHere(p, Units{}, winch.ErrUncertain)
			is.Equal(h.account("choir").free(), before) // still set aside
			is.True(h.doubt)
			h.others["choir"] = 0
		}))
		is.NoErr(h.Balance(ctx))
		is.NoErr(h.Duty.Do(ctx, func() {
			is.Equal(h.doubt, false)
			is.Equal(h.account("choir").spare, 0)
		}))
	})
}

// A former placer wakes up after its successor has taken the office's row over.
// It can no longer give units of that row away.
func TestOfficeRowFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		f := &fleet{platform: p}
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
		is.NoErr(offices[0].Assume(ctx, 1))
		is.NoErr(offices[0].Balance(ctx))
		is.NoErr(offices[1].Assume(ctx, 2))
		is.NoErr(offices[0].Duty.Do(ctx, func() { offices[0].others["choir"] = 9 }))
		is.True(errors.Is(offices[0].Balance(ctx), ErrFenced))
		is.True(errors.Is(offices[0].Assume(ctx, 1), ErrFenced))
		is.NoErr(offices[1].Duty.Do(ctx, func() {
			is.Equal(offices[1].TryTake("choir", 2), false) // the first may have work running on these units
			offices[1].Charge("choir", 1)
			offices[1].Found()
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

// An entry loses its office and takes it again while its write that gives idle
// units back is still under way. The write fails, since it is of the earlier term.
// If the units were taken back into the row then, they would be there twice, and
// the team would run more than its limit.
func TestOfficeTakenAgainDuringBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &hookStore{Platform: &stand.Platform{}}
		f := &fleet{}
		f.setLimit(24)
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		h := &Holder{Name: "Office/d1", Office: true, Store: store, Document: f.document}
		h.Prepare()
		group.Go(func() { h.Duty.Run(ctx) })
		is.NoErr(h.Assume(ctx, 1))
		is.NoErr(h.Balance(ctx))
		is.NoErr(h.Duty.Do(ctx, func() {
			is.True(h.account("choir").free() > 0)
			h.others["choir"] = 9
		}))
		store.hook = func() { is.NoErr(h.Assume(ctx, 2)) }
		is.True(errors.Is(h.Balance(ctx), ErrFenced))
		is.NoErr(h.Duty.Do(ctx, func() {
			is.Equal(h.account("choir").free(), 0) // What the first term started may still run.
		}))
		cancel()
		group.Wait()
	})
}

// Holders take, release and die at random while the store is slow, down or
// loses replies. At no instant do they use more than the limit together.
func TestNeverOverLimit(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { randomFleet(t, seed) })
	}
}

func randomFleet(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	limit := 2 + rnd.IntN(30)
	f := newFleet(4, limit)
	defer f.stop()
	var mu sync.Mutex
	used := 0
	var group conc.WaitGroup
	for c := range 12 {
		own := rand.New(rand.NewPCG(seed, uint64(c)))
		group.Go(func() {
			for range 30 {
				time.Sleep(time.Duration(own.IntN(400)) * time.Millisecond)
				h := f.holders[own.IntN(len(f.holders))]
				if !h.Take(context.Background(), "choir", time.Duration(own.IntN(3000))*time.Millisecond).OK() {
					continue
				}
				mu.Lock()
				used++
				if used > limit {
					t.Errorf("seed %d: %d units in use, the limit is %d", seed, used, limit)
				}
				mu.Unlock()
				time.Sleep(time.Duration(own.IntN(2000)) * time.Millisecond)
				mu.Lock()
				used--
				mu.Unlock()
				h.Release("choir")
			}
		})
	}
	for range 20 {
		time.Sleep(time.Second)
		f.platform.Set(stand.Faults{
			Down: rnd.IntN(5) == 0, LoseReplies: rnd.IntN(3), LosePrefix: Key, Latency: time.Duration(rnd.IntN(60)) * time.Millisecond,
		})
	}
	f.platform.Set(stand.Faults{})
	group.Wait()
	time.Sleep(3 * time.Second)
	u := f.units(t)
	u.check()
}

// A limit was lowered under load: a unit comes free and somebody waits for it.
// It must go back first, or the lowered limit never comes into force.
func TestOwedUnitsGoBackFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 10)
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
			is.Equal(h.account("choir").used, 9)
			is.Equal(h.TryTake("choir", 1), false)
		}))
		group.Wait()
	})
}
