package trial

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/coord/place"
)

// stats holds the means of samples of the fleet's use.
type stats struct {
	packing, full, stranded, distance mean
}

// mean is the arithmetic mean of the values added to it.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) {
	m.sum += x
	m.n++
}

// value returns the mean, or NaN if there are no values.
func (m mean) value() float64 {
	if m.n == 0 {
		return math.NaN()
	}
	return m.sum / float64(m.n)
}

// sample adds a sample of the fleet's present use. The first fifth of a trial, in which the fleet
// fills up, is left out.
func (s *stats) sample(d *driver) {
	if d.now < d.fleet.Length/5 {
		return
	}
	o := d.planner.Occupancy()
	if o.OnBusyWorkers > 0 {
		s.packing.add(float64(o.Committed) / float64(o.OnBusyWorkers))
	}
	if o.Waiting == 0 {
		return
	}
	s.full.add(float64(o.Committed) / float64(o.Total))
	s.stranded.add(float64(o.Stranded) / float64(o.Total))
	s.distance.add(distance(o, d.fleet))
}

// distance returns half the sum of the differences between each team's use and its fair share. The
// fair share of a team is in proportion to its configured share, but not above its demand.
func distance(o place.Occupancy, f Fleet) float64 {
	fair := fairShares(o, f)
	sum := 0.0
	for team, fairUse := range fair {
		sum += math.Abs(o.Teams[team].Used - fairUse)
	}
	return sum / 2
}

// fairShares divides the resources in use among the teams in proportion to their shares. What
// exceeds the demand of a team is divided among the others in the same way.
func fairShares(o place.Occupancy, f Fleet) map[string]float64 {
	out := make(map[string]float64, len(o.Teams))
	remaining := 0.0
	unsatisfied := make(map[string]bool, len(o.Teams))
	for team, t := range o.Teams {
		remaining += t.Used
		unsatisfied[team] = true
	}
	for len(unsatisfied) > 0 {
		shares, satisfied := 0, false
		for team := range unsatisfied {
			shares += teamShare(f, team)
		}
		rest := remaining
		for team := range unsatisfied {
			portion := remaining * float64(teamShare(f, team)) / float64(shares)
			if demand := o.Teams[team].Used + o.Teams[team].Wanted; demand <= portion {
				out[team], satisfied = demand, true
				rest -= demand
				delete(unsatisfied, team)
			}
		}
		remaining = rest
		if satisfied {
			continue
		}
		for team := range unsatisfied {
			out[team] = remaining * float64(teamShare(f, team)) / float64(shares)
		}
		return out
	}
	return out
}

// fill sets the means in a result.
func (s *stats) fill(r *Result) {
	r.Packing, r.Full, r.Stranded, r.Distance = s.packing.value(), s.full.value(), s.stranded.value(), s.distance.value()
}

// Print writes results as a table.
func Print(to io.Writer, results []Result) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FLEET\tPLACER\tURGENT P50\tP99\tMET\tDEFERRED P50\tP99\tPACKING\tFULL\tSTRANDED\tDISTANCE\tDECISIONS\tA SECOND\tP99\tEVICTED\tLOST\tDONE")
	for _, r := range results {
		ms := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.4f\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.0f\t%s\t%d\t%s\t%d\n", r.Fleet, r.Placer,
			ms(r.Urgent.P50), ms(r.Urgent.P99), r.Met, ms(r.Deferred.P50), ms(r.Deferred.P99), r.Packing, r.Full, r.Stranded, r.Distance,
			r.Decisions, r.PerSecond, r.P99.Round(100*time.Nanosecond), r.Evictions, r.Lost.Round(time.Second), r.Done)
	}
	return merry.Wrap(w.Flush())
}
