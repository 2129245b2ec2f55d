package copies_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/copies"
	"plantainwinch/winch"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// Of ten tasks that take a second, two run on workers that take twice as long. Both must be copied
// for the phase to end earlier.
func ExampleChoose() {
	stragglers := []copies.Straggler{
		{End: at(2050), CopyEnd: at(1500)},
		{End: at(2000), CopyEnd: at(1500)},
		{End: at(1100), CopyEnd: at(1500)},
	}
	fmt.Println(copies.Choose(stragglers, at(1000), copies.MaxPerPhase(10), 50*time.Millisecond))
	// Output: 2
}

// The first results of a queue show that its copies gain nothing, so only single ones are started.
func ExampleLedger() {
	var l copies.Ledger
	for range 6 {
		l.Add(begin, copies.Result{Expected: time.Second})
	}
	fmt.Println(l.Allows(begin, 0))
	l.Started(begin)
	fmt.Println(l.Allows(begin.Add(time.Second), 0))
	// Output:
	// 1
	// 0
}

// Guards against copies that cannot let the phase end earlier.
func TestOnlyTheLastTasksOfAPhaseAreCopied(t *testing.T) {
	is := is.New(t)
	gain := 100 * time.Millisecond
	one := []copies.Straggler{{End: at(2000), CopyEnd: at(1500)}}
	is.Equal(copies.Choose(one, at(1000), 3, gain), 1)
	is.Equal(copies.Choose(one, at(1950), 3, gain), 0)                                                         // another task ends as late
	is.Equal(copies.Choose([]copies.Straggler{{End: at(2000), CopyEnd: at(1950)}}, at(1000), 3, gain), 0)      // the gain is too small
	is.Equal(copies.Choose([]copies.Straggler{{End: at(2000), CopyEnd: at(2500)}}, at(1000), 3, gain), 0)      // the copy ends later
	is.Equal(copies.Choose([]copies.Straggler{{at(2000), at(1500)}, {at(1990), at(1500)}}, at(0), 1, gain), 0) // both would be needed
	is.Equal(copies.Choose([]copies.Straggler{{at(2000), at(1500)}, {at(1990), at(2500)}}, at(0), 2, gain), 0) // one cannot be sped up
	is.Equal(copies.Choose([]copies.Straggler{{at(3000), at(1500)}, {at(1550), at(1500)}}, at(0), 2, gain), 1) // the second adds little
	is.Equal(copies.Choose(nil, at(0), 2, gain), 0)
}

// A job whose tasks are all long has a long usual run time, so none of them is a straggler, and one
// outlier must not change the median.
func TestUsualRunTimeIsThatOfThePhase(t *testing.T) {
	is := is.New(t)
	second := time.Second
	_, known := copies.UsualRunTime([]time.Duration{second, second}, 2)
	is.True(!known) // too few
	_, known = copies.UsualRunTime([]time.Duration{second, second, second}, 10)
	is.True(!known) // they are not half of the phase
	usual, known := copies.UsualRunTime([]time.Duration{7 * second, 40 * second, 7 * second, 6 * second, 7 * second}, 10)
	is.True(known)
	is.Equal(usual, 7*second)
}

// Guards against copies that use the capacity that arriving work needs.
func TestBudgetIsAPartOfTheFreeCapacity(t *testing.T) {
	is := is.New(t)
	b := copies.Budget{Free: winch.Capacity{Milli: 8000, Memory: 1 << 30}}
	charge := winch.Capacity{Milli: 1000}
	is.True(b.Allows(charge))
	b.Take(charge)
	is.True(b.Allows(charge))
	b.Take(charge)
	is.True(!b.Allows(charge))
	is.True(!b.Allows(winch.Capacity{Milli: 1, Memory: 1 << 29}))
	is.True(!copies.Budget{Free: winch.Capacity{Milli: -1000}}.Allows(charge))
}

// A queue whose copies gain nothing gets single copies only; once they gain again, it gets more.
func TestLedgerStopsCopiesThatGainNothing(t *testing.T) {
	is := is.New(t)
	var l copies.Ledger
	now := begin
	is.Equal(l.Allows(now, 2), 4) // before there are results, few copies run at once
	for range 8 {
		l.Add(now, copies.Result{Expected: time.Second})
	}
	l.Started(now)
	is.Equal(l.Allows(now.Add(time.Second), 0), 0)
	is.Equal(l.Allows(now.Add(6*time.Second), 0), 1)
	is.Equal(l.Allows(now.Add(6*time.Second), 1), 0)
	for range 8 {
		l.Add(now, copies.Result{Expected: time.Second, Gained: time.Second})
	}
	is.Equal(l.Allows(now, 100), math.MaxInt)
	is.Equal(l.Allows(now.Add(10*time.Minute), 0), 6) // old results no longer count
}

// The result of a copy that an earlier planner started says nothing: its expected gain is not known.
func TestLedgerIgnoresResultsWithoutExpectation(t *testing.T) {
	is := is.New(t)
	var l copies.Ledger
	for range 20 {
		l.Add(begin, copies.Result{Gained: time.Second})
	}
	is.Equal(l.Allows(begin, 0), 6)
}
