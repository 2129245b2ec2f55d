package admit

import (
	"math"
	"time"
)

// rateTime is the time constant of measured rates. It is long enough for some jobs per second, and
// short enough for bursts of ten seconds.
const rateTime = 3 * time.Second

// Rate measures the rate of events as a decaying average. The zero value is a rate of zero.
type Rate struct {
	count   float64 // count is the decayed number of events.
	updated time.Time
}

// Add counts events.
func (r *Rate) Add(n float64, now time.Time) {
	r.decay(now)
	r.count += n
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.count / rateTime.Seconds()
}

func (r *Rate) decay(now time.Time) {
	if !now.After(r.updated) {
		return
	}
	if !r.updated.IsZero() {
		r.count *= math.Exp(-now.Sub(r.updated).Seconds() / rateTime.Seconds())
	}
	r.updated = now
}
