// Package retry bounds the load that retries may add.
package retry

import "sync"

const (
	// retriesPerAttempt is how many retries each first attempt adds to the budget.
	retriesPerAttempt = 0.1
	// maxBudget bounds the retries that a budget may accumulate.
	maxBudget = 10.0
)

// Key identifies a budget.
type Key struct {
	Team, Class string
}

// Budgets holds a retry budget for each team and class. Without a budget, retries multiply the
// load while everything fails, when there is the least capacity for it, and can prolong a short
// outage indefinitely.
type Budgets struct {
	mu        sync.Mutex
	remaining map[Key]float64 // remaining holds the retries left in each budget.
}

// Earn counts a first attempt. A new budget is half full.
func (b *Budgets) Earn(k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == nil {
		b.remaining = make(map[Key]float64)
	}
	budget, ok := b.remaining[k]
	if !ok {
		budget = maxBudget / 2
	}
	b.remaining[k] = min(maxBudget, budget+retriesPerAttempt)
}

// Spend takes one retry out of a budget and reports whether there was one left.
func (b *Budgets) Spend(k Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining[k] < 1 {
		return false
	}
	b.remaining[k]--
	return true
}
