package region

import (
	"fmt"
	"testing"
	"time"

	"plantainwinch/winch"
)

// BenchmarkExpireEndedKeepers measures what a planner computes at each change of its entries while the workers of
// an earlier planner's keepers, all of which were killed, have not responded yet.
func BenchmarkExpireEndedKeepers(b *testing.B) {
	for _, size := range []struct{ entries, workers int }{{60, 600}, {585, 6000}} {
		b.Run(fmt.Sprintf("%d entries", size.entries), func(b *testing.B) {
			n := &Node{Name: "planner", Address: "here"}
			n.settings.config.Store(simConfig(1))
			for i := range size.entries {
				node := fmt.Sprintf("e%d", i)
				n.cell.apply(winch.Event{Value: winch.Value{
					Key: prefixNode + node, Version: uint64(i + 2), Data: encode(member{Name: node + "/2", Node: node, Address: node}),
				}})
			}
			l := newLeadership(n, 1, 1, 1, time.Now())
			for i := range size.workers {
				node := fmt.Sprintf("e%d", i%(size.entries/3))
				l.expiries.add(fmt.Sprintf("w%d", i), assignment{keeper: node + "/1", address: node, expiry: time.Now().Add(time.Hour)})
			}
			b.ResetTimer()
			for b.Loop() {
				l.expireEndedKeepers()
			}
		})
	}
}
