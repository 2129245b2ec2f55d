package quota

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/duty"
	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

const (
	// balanceEvery is the longest time between two looks at the balance.
	balanceEvery = time.Second
	// shortEvery is the longest while callers wait for units here. Others give
	// theirs back through the store, which tells nobody: a unit that came free there
	// would stay unused for the rest of balanceEvery.
	shortEvery = 200 * time.Millisecond
	// balanceGap is the shortest, which caps the store calls of one holder.
	balanceGap = 50 * time.Millisecond
	// idleAfter is how long units must have been unused to be given back.
	idleAfter = 10 * time.Second
	// wantFor is how long a want counts that was not repeated.
	wantFor = 3 * time.Second
	// storeTimeout bounds one change of the rows.
	storeTimeout = 3 * time.Second
)

// ErrFenced is returned by a change of a row whose office has a newer epoch.
var ErrFenced = errors.New("quota: the office has a newer epoch")

type account struct {
	row   int // row is how many units the holder has in the store.
	used  int
	spare int // spare is how many units are on their way back to the pool.
	// base is how many units an office's former holder may be using, adopted how
	// many of those its work was found for. Zero once all work was found.
	base, adopted int
	// waiting holds the takers in the order of their arrival.
	waiting []*taker
	low     int // low is the fewest free units since lowSince.
	lowAt   time.Time
	// want is how many units were missing at wantAt, beyond those of takers that wait.
	want   int
	wantAt time.Time
	owed   int // owed is how many units holders must give back after the limit fell.
	limit  int // limit is the one that the row was last seen under.
}

func (a *account) free() int {
	fresh := a.used - a.adopted
	return a.row - fresh - max(a.base, a.adopted) - a.spare
}

// usable returns how many units may be taken now. While the holders owe units,
// what comes free goes back first: were it taken again at once, a lowered limit
// would never come into force under load.
func (h *Holder) usable(team string, a *account) int {
	if a.owed > 0 {
		return 0
	}
	if doc := h.Document(); doc != nil && doc.Teams[team].Limit < a.limit {
		return 0 // The limit was lowered and the rows are not settled yet.
	}
	return a.free()
}

type taker struct {
	n     int
	reply chan winch.Result
}

// Holder is one holder's side of the units. Set the fields before Run.
type Holder struct {
	Name string
	// Office is set for the row that goes with an office.
	Office bool
	Store  winch.Store
	Duty   *duty.Duty
	// Document returns the current configuration, or nil.
	Document func() *winch.Document
	// Valid reports whether the holder may still start work against its units: it
	// turns false when it has not reached the store for so long that others take
	// it for gone.
	Valid func() bool
	// Part is the part of a team's limit that is taken ahead, as a divisor.
	Part int
	// Refill is called in the holder's duty when a team has got units.
	Refill  func(team string)
	Metrics metrics.Registry

	teams map[string]*account
	epoch uint64
	wake  chan struct{}
	// others is what other holders want, by team.
	others  map[string]int
	covered atomic.Int64 // covered is the longest run time that is recorded.
	// config is the version of the limits that the rows were last seen under.
	config uint64
	short  atomic.Bool // short says that callers waited for units at the last balance.
	// doubt is set while a write that gave units back may still take effect.
	doubt bool
}

// Prepare makes the holder ready for Run.
func (h *Holder) Prepare() {
	if h.Metrics == nil {
		h.Metrics = metrics.NewRegistry()
	}
	if h.Duty == nil {
		h.Duty = duty.New("Quota", 0, h.Metrics)
	}
	if h.Part == 0 {
		h.Part = 12
	}
	if h.Valid == nil {
		h.Valid = func() bool { return true }
	}
	h.teams = make(map[string]*account)
	h.others = make(map[string]int)
	h.wake = make(chan struct{}, 1)
}

func (h *Holder) account(team string) *account {
	a := h.teams[team]
	if a == nil {
		a = &account{lowAt: time.Now()}
		h.teams[team] = a
	}
	return a
}

// Cover records that work of this run time will be started, before it is: when
// this holder dies, its units are reclaimed only after its longest run time.
func (h *Holder) Cover(ctx context.Context, run time.Duration) winch.Result {
	if time.Duration(h.covered.Load()) >= run {
		return winch.Result{}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := swap.Update(ctx, h.Store, Key, func(u *Units) error {
		u.settle(h.Document())
		u.Longest[h.Name] = max(u.Longest[h.Name], run)
		return nil
	})
	if err != nil {
		return winch.RefuseFor(winch.StoreUnavailable, "the first use of this class at this entry could not be recorded", time.Second)
	}
	_ = h.Duty.Do(ctx, func() { h.covered.Store(max(h.covered.Load(), int64(run))) })
	return winch.Result{}
}

// Take waits for a unit of the team and takes it, or refuses.
func (h *Holder) Take(ctx context.Context, team string, wait time.Duration) winch.Result {
	t := &taker{n: 1, reply: make(chan winch.Result, 1)}
	if err := h.Duty.Do(ctx, func() { h.enter(team, t) }); err != nil {
		return winch.RefuseFor(winch.QueueFull, "the entry is overloaded", time.Second)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-t.reply:
		return r
	case <-timer.C:
		h.abandon(team, t, winch.RefuseFor(winch.OverLimit, "team "+team+" is at its upper limit", time.Second))
	case <-ctx.Done():
		h.abandon(team, t, winch.Refuse(winch.CallerGone, "the caller went away"))
	}
	return <-t.reply
}

func (h *Holder) enter(team string, t *taker) {
	doc := h.Document()
	if doc == nil || doc.Teams[team].Limit <= 0 {
		t.reply <- winch.RefuseFor(winch.OverLimit, "team "+team+" has no limit to run under", time.Minute)
		return
	}
	if !h.Valid() {
		t.reply <- winch.RefuseFor(winch.StoreUnavailable, "this entry has been without the store for too long to use its part of the limit", time.Second)
		return
	}
	a := h.account(team)
	if len(a.waiting) == 0 && h.usable(team, a) > 0 {
		h.use(a)
		t.reply <- winch.Result{}
		return
	}
	a.waiting = append(a.waiting, t)
	h.nudge()
}

func (h *Holder) use(a *account) {
	a.used++
	if f := a.free(); f < a.low {
		a.low = f
	}
}

// abandon refuses a taker unless it has got its unit in the meantime.
func (h *Holder) abandon(team string, t *taker, why winch.Result) {
	err := h.Duty.Do(context.Background(), func() {
		a := h.account(team)
		for i, w := range a.waiting {
			if w == t {
				a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
				t.reply <- why
				return
			}
		}
	})
	if err == nil {
		return
	}
	select {
	case t.reply <- why:
	default:
	}
}

// Release gives a unit back once the work has surely ended.
func (h *Holder) Release(team string) {
	_ = h.Duty.Do(context.Background(), func() {
		a := h.account(team)
		a.used--
		if a.used < 0 {
			panic("quota: team " + team + " gave back more units than it took")
		}
		h.serve(team, a)
	})
}

// TryTake takes n units at once or none. It must be called in the holder's duty
// or before Run.
func (h *Holder) TryTake(team string, n int) bool {
	a := h.account(team)
	if h.usable(team, a) < n || !h.Valid() {
		a.want, a.wantAt = max(a.wanted(), n), time.Now()
		h.nudge()
		return false
	}
	a.want = 0
	for range n {
		h.use(a)
	}
	return true
}

// Charge counts work against the row without asking, for work found running.
// It must be called in the holder's duty. It may take the row below zero free
// units, in which case nothing starts until enough has ended.
func (h *Holder) Charge(team string, n int) {
	a := h.account(team)
	a.used += n
	a.adopted += n
}

// Found tells that all work of an office's former holder was found and charged.
// Until then every unit that the row had at the takeover counts as in use: the
// former holder may have started work on workers that have not answered yet. It
// must be called in the holder's duty.
func (h *Holder) Found() {
	for team, a := range h.teams {
		a.base, a.adopted = 0, 0
		h.serve(team, a)
	}
}

// Return gives n units back. It must be called in the holder's duty.
func (h *Holder) Return(team string, n int) {
	a := h.account(team)
	a.used -= n
	if a.used < 0 {
		panic("quota: team " + team + " gave back more units than it took")
	}
	h.serve(team, a)
}

func (h *Holder) serve(team string, a *account) {
	if a.owed > 0 && a.free() > 0 {
		h.nudge()
	}
	for len(a.waiting) > 0 && h.usable(team, a) > 0 {
		t := a.waiting[0]
		a.waiting = a.waiting[1:]
		h.use(a)
		t.reply <- winch.Result{}
	}
	if h.others[team] > 0 && a.free() > 0 {
		h.nudge() // Callers wait for it elsewhere.
	}
}

// Nudge makes the holder balance soon, as after a change of the limits.
func (h *Holder) Nudge() { h.nudge() }

func (h *Holder) nudge() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Use returns what each team has running and still wants.
func (h *Holder) Use(ctx context.Context) (map[string][2]int, error) {
	out := make(map[string][2]int)
	err := h.Duty.Do(ctx, func() {
		for team, a := range h.teams {
			want := max(len(a.waiting), a.wanted()) - max(0, a.free())
			if a.used > 0 || want > 0 {
				out[team] = [2]int{a.used, max(0, want)}
			}
		}
	})
	return out, err
}

// Wants tells what other holders could use; units that are free here are given
// back for them.
func (h *Holder) Wants(ctx context.Context, wants map[string]int) {
	_ = h.Duty.Do(ctx, func() {
		h.others = wants
		for team, n := range wants {
			if a := h.teams[team]; a != nil && n > 0 && a.free() > 0 {
				h.nudge()
			}
		}
	})
}
