package speed_test

import (
	"fmt"
	"time"

	"plantainwinch/coord/speed"
)

// A worker at which runs repeatedly take 1.8 times as long as their siblings gets about that factor.
func ExampleTable() {
	table := speed.New()
	at := time.Date(2026, 5, 18, 20, 0, 0, 0, time.UTC)
	for run := range uint64(24) {
		table.Observe(speed.Sample{Worker: "w1", Kind: "a", Run: run + 1, Ratio: 1.8, At: at})
	}
	fmt.Printf("%.1f %.1f\n", table.Factor("w1", "a"), table.Factor("w2", "a"))
	// Output: 1.8 1.0
}

// The second run took twice as long as the others because its worker is known to be slow by that
// factor, so the others do not seem fast.
func ExampleRatios() {
	ratios := speed.Ratios([]speed.Run{{Took: time.Second, Factor: 1}, {Took: 2 * time.Second, Factor: 2}, {Took: time.Second, Factor: 1}})
	fmt.Printf("%.1f\n", ratios)
	// Output: [1.0 2.0 1.0]
}
