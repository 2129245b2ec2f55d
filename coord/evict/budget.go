package evict

import (
	"time"

	"plantainwinch/winch"
)

// maxOverhead is the largest fraction of a service's capacity that stops and restarts may occupy
// on average. The objectives of batch queues allow about twice the work's own time, so that a tenth
// more does not make their jobs late.
const maxOverhead = 0.1

// budgetPeriod is the time whose budget may be spent at once: a burst needs its evictions together.
const budgetPeriod = time.Second

// Budget bounds the evictions of one service. The zero value is a budget of which nothing is spent.
type Budget struct {
	spent   float64 // spent is in seconds of the service's whole capacity.
	updated time.Time
}

// Allows reports whether evictions that together free the given capacity, each taking the given
// costs, are within the budget of a service with the given total capacity. While nothing is spent,
// any evictions are: in a small service, one run may take more than the budget of a period. The
// excess delays later evictions.
func (b *Budget) Allows(now time.Time, freed, total winch.Capacity, c Costs) bool {
	spent := b.spentAt(now)
	return spent == 0 || spent+use(freed, total, c) <= maxOverhead*budgetPeriod.Seconds()
}

// Spend counts evictions against the budget.
func (b *Budget) Spend(now time.Time, freed, total winch.Capacity, c Costs) {
	b.spent = b.spentAt(now) + use(freed, total, c)
	b.updated = now
}

// spentAt returns what is still spent at the given time.
func (b *Budget) spentAt(now time.Time) float64 {
	return max(0, b.spent-maxOverhead*max(0, now.Sub(b.updated).Seconds()))
}

// use returns the time that evictions take of the whole capacity, in seconds.
func use(freed, total winch.Capacity, c Costs) float64 {
	fraction := 0.0
	for _, x := range [][2]float64{
		{float64(freed.Milli), float64(total.Milli)},
		{float64(freed.Memory), float64(total.Memory)},
		{float64(freed.Accelerators), float64(total.Accelerators)},
	} {
		if x[1] > 0 {
			fraction = max(fraction, x[0]/x[1])
		}
	}
	return fraction * c.Total().Seconds()
}
