package evict_test

import (
	"fmt"
	"time"

	"plantainwinch/coord/evict"
	"plantainwinch/winch"
)

// Two urgent tasks wait for capacity. Of the two runs, the one that has just saved its progress is
// stopped, and its capacity serves both tasks.
func ExampleChoose() {
	costs := evict.Costs{Stop: 400 * time.Millisecond, Restore: 100 * time.Millisecond}
	need := winch.Capacity{Milli: 2200}
	runs := []evict.Run{
		{Worker: 1, Frees: winch.Capacity{Milli: 4500}, Remaining: 4 * time.Second, Slack: 30 * time.Second, Unsaved: 900 * time.Millisecond},
		{Worker: 2, Frees: winch.Capacity{Milli: 4500}, Remaining: 3 * time.Second, Slack: 20 * time.Second, Unsaved: 100 * time.Millisecond},
	}
	free := func(int) winch.Capacity { return winch.Capacity{} }
	demand := evict.Demand{Need: need, Tasks: 2, Spare: 600 * time.Millisecond, Hold: 800 * time.Millisecond}
	fmt.Println(evict.Choose(demand, runs, costs, free))
	demand.Spare = 300 * time.Millisecond // A stop would take too long.
	fmt.Println(evict.Choose(demand, runs, costs, free))
	// Output:
	// [{1 2}]
	// []
}

func ExampleBudget() {
	costs := evict.Costs{Stop: 900 * time.Millisecond, Restore: 100 * time.Millisecond}
	total, now := winch.Capacity{Milli: 64_000}, time.Unix(0, 0)
	var b evict.Budget
	fmt.Println(b.Allows(now, winch.Capacity{Milli: 4500}, total, costs))
	b.Spend(now, winch.Capacity{Milli: 4500}, total, costs)
	fmt.Println(b.Allows(now, winch.Capacity{Milli: 4500}, total, costs))
	fmt.Println(b.Allows(now.Add(time.Second), winch.Capacity{Milli: 4500}, total, costs))
	// Output:
	// true
	// false
	// true
}

func ExampleStopTime() {
	var s evict.StopTime
	fmt.Println(s.Expected())
	s.Observe(200 * time.Millisecond)
	fmt.Println(s.Expected())
	// Output:
	// 900ms
	// 400ms
}
