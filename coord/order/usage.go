package order

import (
	"math"
	"time"

	"plantainwinch/winch"
)

// UsageHalfLife is the half-life of what a team has used. Tasks run for seconds, so a shorter one
// would follow single jobs, and a longer one would hold a burst against a team after its end.
const UsageHalfLife = 5 * time.Second

// Dominant returns the largest fraction of the capacity that used takes of any resource.
func Dominant(used, capacity winch.Capacity) float64 {
	return max(fraction(used.Milli, capacity.Milli), fraction(used.Memory, capacity.Memory), fraction(used.Accelerators, capacity.Accelerators))
}

func fraction[T ~int | ~int64](used, capacity T) float64 {
	if used <= 0 || capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// Usage is a decaying mean of the dominant fraction of the capacity that a team uses. The zero value
// has no history.
type Usage struct {
	value   float64
	updated time.Time
}

// Update adds what the team uses now, as a fraction of the capacity.
func (u *Usage) Update(now time.Time, current float64) {
	if u.updated.IsZero() {
		u.value, u.updated = current, now
		return
	}
	if !now.After(u.updated) {
		return
	}
	decay := math.Exp2(-now.Sub(u.updated).Seconds() / UsageHalfLife.Seconds())
	u.value, u.updated = decay*u.value+(1-decay)*current, now
}

// Value returns the mean as of the last update.
func (u *Usage) Value() float64 { return u.value }

// Demand is what a team uses and could use, as fractions of the capacity.
type Demand struct {
	Weight float64 // Weight is the team's weight; zero counts as the mean of the others.
	Used   float64
	// Wanted is what the team would use if nothing else ran: Used plus what waits, within its limit.
	Wanted float64
}

// Shares divides what the teams use together among them by their weights. What a team does not want
// is divided among the others in the same way.
func Shares(teams []Demand) []float64 {
	weights, left := weights(teams), 0.0
	for _, t := range teams {
		left += t.Used
	}
	out := make([]float64, len(teams))
	satisfied := make([]bool, len(teams))
	for range teams {
		total := 0.0
		for i, w := range weights {
			if !satisfied[i] {
				total += w
			}
		}
		if total <= 0 || left <= 0 {
			break
		}
		rest, changed := left, false
		for i, t := range teams {
			if portion := left * weights[i] / total; !satisfied[i] && t.Wanted <= portion {
				out[i], satisfied[i], changed = t.Wanted, true, true
				rest -= t.Wanted
			}
		}
		if !changed {
			for i, w := range weights {
				if !satisfied[i] {
					out[i] = left * w / total
				}
			}
			break
		}
		left = max(0, rest)
	}
	return out
}

// weights returns the weights of the teams, with the mean of the positive ones in place of zero.
func weights(teams []Demand) []float64 {
	sum, n := 0.0, 0
	for _, t := range teams {
		if t.Weight > 0 {
			sum += t.Weight
			n++
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / float64(n)
	}
	out := make([]float64, len(teams))
	for i, t := range teams {
		out[i] = t.Weight
		if t.Weight <= 0 {
			out[i] = mean
		}
	}
	return out
}

const (
	// aboveShare is the ratio of usage to share from which a team counts as above its share. A team
	// whose single job runs for some seconds exceeds its share by less on average.
	aboveShare = 1.5
	// belowShare is the ratio below which a team counts as below its share.
	belowShare = 0.8
)

// Standing is a team's usage in relation to its share.
type Standing struct {
	// Ratio is the usage divided by the share: 1 is all of the share. It is 0 if the team wants
	// nothing.
	Ratio float64
	// Above is set if the team uses much more than its share, Below if it uses much less and wants
	// more.
	Above, Below bool
}

// StandingOf compares a team's usage with its share.
func StandingOf(d Demand, share float64) Standing {
	if d.Wanted <= 0 || share <= 0 {
		return Standing{}
	}
	ratio := d.Used / share
	return Standing{Ratio: ratio, Above: ratio > aboveShare, Below: ratio < belowShare && d.Wanted > d.Used}
}

// Deficit returns the part of its share that the team lacks, negative if it uses more.
func (s Standing) Deficit() float64 { return 1 - s.Ratio }
