package order

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// waiting returns work that has just been accepted, with the given objective and remaining chain.
func waiting(objective, path time.Duration) Work {
	return Work{Accepted: start, Objective: start.Add(objective), Deadline: start.Add(winch.LateFactor * objective), Path: path, Remaining: 1, Team: Standing{Ratio: 1}}
}

func ExampleShares() {
	shares := Shares([]Demand{
		{Weight: 1, Used: 0.7, Wanted: 2},   // a team that wants all that it can get
		{Weight: 2, Used: 0.2, Wanted: 1},   // one that waits for its share
		{Weight: 1, Used: 0.1, Wanted: 0.1}, // one that has all that it wants
	})
	fmt.Printf("%.1f\n", shares)
	// Output: [0.3 0.6 0.1]
}

func ExampleRunTimes() {
	var r RunTimes
	for range 100 {
		r.Add(time.Second, 3*time.Second, 1)
	}
	fmt.Println(r.Expected(time.Second).Round(100 * time.Millisecond))
	// Output: 2.9s
}

func ExampleWork_Group() {
	w := Work{Accepted: start, Objective: start.Add(10 * time.Second), Deadline: start.Add(30 * time.Second), Path: 6 * time.Second}
	fmt.Println(w.Group(start) == Fresh, w.Group(start.Add(5*time.Second)) == Late, w.Group(start.Add(28*time.Second)) == Hopeless)
	// Output: true true true
}

// Guards against usage that ignores the scarcest resource, or that never forgets.
func TestUsageIsTheDecayingDominantFraction(t *testing.T) {
	is := is.New(t)
	capacity := winch.Capacity{Milli: 1000, Memory: 1000}
	is.Equal(Dominant(winch.Capacity{Milli: 100, Memory: 500}, capacity), 0.5)
	is.Equal(Dominant(winch.Capacity{Milli: 100}, winch.Capacity{}), 0.0)
	var u Usage
	u.Update(start, 0.8)
	is.Equal(u.Value(), 0.8)
	u.Update(start.Add(UsageHalfLife), 0)
	is.True(math.Abs(u.Value()-0.4) < 1e-9)
	u.Update(start, 1) // A time that goes back changes nothing.
	is.True(math.Abs(u.Value()-0.4) < 1e-9)
}

// Guards against shares that exceed what is divided, or that leave wanted capacity undivided.
func TestSharesDivideWhatIsUsed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var teams []Demand
		used, wanted := 0.0, 0.0
		for range 1 + rnd.IntN(12) {
			d := Demand{Weight: float64(rnd.IntN(4)), Used: rnd.Float64()}
			d.Wanted = d.Used + rnd.Float64()
			teams = append(teams, d)
			used += d.Used
			wanted += d.Wanted
		}
		sum := 0.0
		for i, share := range Shares(teams) {
			is.True(share >= 0 && share <= teams[i].Wanted+1e-9)
			sum += share
		}
		is.True(math.Abs(sum-min(used, wanted)) < 1e-9)
	}
}

// Guards against one long job of a small team marking it as above its share, and against a team with
// a high demand not being recognized.
func TestStandingComparesUsageWithShare(t *testing.T) {
	is := is.New(t)
	is.True(StandingOf(Demand{Used: 0.5, Wanted: 0.9}, 0.25).Above)
	is.True(!StandingOf(Demand{Used: 0.3, Wanted: 0.9}, 0.25).Above)
	is.True(StandingOf(Demand{Used: 0.1, Wanted: 0.9}, 0.25).Below)
	is.True(!StandingOf(Demand{Used: 0.1, Wanted: 0.1}, 0.25).Below)
	is.Equal(StandingOf(Demand{}, 0).Deficit(), 1.0)
}

// Guards against estimates that are off by a factor with a spread of 0.9 being taken as they are:
// the error of what is expected must be much smaller.
func TestRunTimesAreLearnedFromBadEstimates(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(3, 3))
	var r RunTimes
	draw := func() (estimate, took time.Duration) {
		took = time.Duration(6e9 * math.Exp(0.4*rnd.NormFloat64()))
		return time.Duration(float64(took) * math.Exp(0.9*rnd.NormFloat64())), took
	}
	for range 100 {
		estimate, took := draw()
		r.Add(estimate, took, 1)
	}
	before, after := 0.0, 0.0
	for range 1000 {
		estimate, took := draw()
		before += math.Abs(math.Log(estimate.Seconds() / took.Seconds()))
		after += math.Abs(math.Log(r.Expected(estimate).Seconds() / took.Seconds()))
	}
	is.True(after < before/1.8)
}

// Guards against exact estimates being changed, and against a single run of many times its estimate.
func TestRunTimesKeepGoodEstimates(t *testing.T) {
	is := is.New(t)
	var r RunTimes
	is.Equal(r.Expected(2*time.Second), 2*time.Second)
	for i := range 100 {
		estimate := time.Duration(1+i%7) * time.Second
		r.Add(estimate, estimate, 1)
	}
	r.Add(time.Second, time.Hour, 1)
	for _, d := range []time.Duration{time.Second, 10 * time.Second} {
		is.True(math.Abs(r.Expected(d).Seconds()/d.Seconds()-1) < 0.15)
	}
}

// Guards against an order in which late work, or work of a team above its share, goes before work
// that can be on time, or in which begun work waits for work that has not begun.
func TestGroupsAreOrdered(t *testing.T) {
	is := is.New(t)
	begun, fresh, above, early, late := waiting(10*time.Second, 7*time.Second), waiting(10*time.Second, 7*time.Second),
		waiting(10*time.Second, 7*time.Second), waiting(10*time.Second, time.Second), waiting(10*time.Second, 9*time.Second)
	begun.Begun, above.Team.Above = true, true
	is.True(begun.Group(start) < fresh.Group(start))
	is.True(fresh.Group(start) < above.Group(start))
	is.True(above.Group(start) < late.Group(start))
	is.True(fresh.Group(start) < early.Group(start))
	is.True(early.Group(start) < late.Group(start))
	is.True(late.Group(start.Add(13*time.Second)) < early.Group(start)) // Its last call goes before work with much time.
	is.True(above.Group(start).AboveShare() && !fresh.Group(start).AboveShare())
}

// Each order must put its own criterion first.
func TestKeysOfOrders(t *testing.T) {
	is := is.New(t)
	small, urgent, poor := waiting(20*time.Second, 5*time.Second), waiting(20*time.Second, 15*time.Second), waiting(20*time.Second, 5*time.Second)
	small.Remaining, urgent.Remaining, poor.Remaining = 0.1, 2, 1
	poor.Team.Ratio = 0.3
	first := func(o winch.Order) string {
		name, best := "", math.Inf(1)
		for n, w := range map[string]*Work{"small": &small, "urgent": &urgent, "poor": &poor} {
			if k := w.Key(o, start); k < best {
				name, best = n, k
			}
		}
		return name
	}
	is.Equal(first(winch.OrderSlack), "urgent")
	is.Equal(first(winch.OrderLeastWork), "small")
	is.Equal(first(winch.OrderDeficit), "poor")
	is.Equal(first(winch.OrderMixed), "small")
}

// Guards against large jobs that wait for ever behind small ones that keep arriving.
func TestWaitingWorkAges(t *testing.T) {
	is := is.New(t)
	for _, o := range []winch.Order{winch.OrderLeastWork, winch.OrderMixed} {
		old, small := waiting(20*time.Second, time.Second), waiting(20*time.Second, time.Second)
		old.Remaining, small.Remaining = 4, 0.5
		is.True(small.Key(o, start) < old.Key(o, start))
		now := start.Add(18 * time.Second)
		small.Accepted, small.Objective = now, now.Add(20*time.Second)
		is.True(old.Key(o, now) < small.Key(o, now))
	}
}

// Guards against promoted work taking more than its part of the capacity.
func TestAllowanceIsAPartOfTheCapacity(t *testing.T) {
	is := is.New(t)
	a := Allowance{Share: AgedShare}
	spent := 0.0
	const length = 100
	for i := range 1000 * length {
		a.Update(start.Add(time.Duration(i) * time.Millisecond))
		if a.Available() {
			a.Spend(0.1, time.Second)
			spent += 0.1
		}
	}
	is.True(spent <= AgedShare*length+0.2)
	is.True(spent >= AgedShare*length-0.2)
}

// Guards against large jobs being begun much less often than the others without anyone noticing.
func TestSizesFindUnderservedJobs(t *testing.T) {
	is := is.New(t)
	var s Sizes
	counts := make(map[Size]int)
	for i := range 400 {
		size := s.Arrived(float64(1 + i*37%100))
		counts[size]++
		if size == SizeUsual || size == SizeLarge && i%3 == 0 {
			s.Begun(size)
		}
	}
	is.True(counts[SizeLargest] > 25 && counts[SizeLargest] < 60)
	is.True(counts[SizeLarge] > 55 && counts[SizeLarge] < 110)
	is.True(s.Underserved(SizeLargest) && s.Underserved(SizeLarge) && !s.Underserved(SizeUsual))
	is.True(math.Abs(s.Mean()-50.5) < 5)
	for range 40 {
		s.Begun(SizeLargest)
	}
	is.True(!s.Underserved(SizeLargest))
}
