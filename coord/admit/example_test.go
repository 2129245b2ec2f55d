package admit_test

import (
	"fmt"
	"time"

	"plantainwinch/coord/admit"
	"plantainwinch/winch"
)

// A planner publishes the forecast for a service that has twenty-four seconds of work waiting, and an entry
// decides by it.
func Example() {
	queue := &winch.Queue{Name: "lookup", Service: "general", Target: 250 * time.Millisecond, Stretch: 1.5}
	service := &admit.Service{
		Capacity: admit.Amount{Milli: 100_000},
		Urgent:   admit.Amount{Milli: 2_400_000},
	}
	state := admit.Forecast([]admit.Load{{Queue: queue, Service: service, PerSecond: 40}}, nil)
	state.Term, state.Sequence, state.Entries = 1, 1, 45

	var gate admit.Gate
	now := time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)
	gate.Update(state, now)
	for _, chain := range []time.Duration{time.Second, 4 * time.Second} {
		d := gate.Decide(admit.Job{ID: "0123456789abcdef", Team: "north", Queue: queue, Chain: chain, MilliSeconds: 28_000}, now)
		fmt.Println(d.Refused, d.Wait, d.Allowed.Round(100*time.Millisecond), d.RetryAfter)
	}
	// Output:
	// true 24s 21.8s 4s
	// false 24s 1m24.8s 0s
}

// The estimates of a queue whose jobs take as long as estimated leave little doubt.
func ExampleEstimates() {
	var e admit.Estimates
	fmt.Printf("%.2f\n", e.Stretch())
	for range 300 {
		e.Observe(time.Second, 1100*time.Millisecond)
	}
	fmt.Printf("%.2f\n", e.Stretch())
	// Output:
	// 6.00
	// 1.17
}
