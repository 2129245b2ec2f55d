package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// Report holds the measurements of a run.
type Report struct {
	Seed    uint64
	Rate    float64
	Took    time.Duration
	Sent    int
	Skipped int
	Classes []ClassReport
	// Outcomes counts requests by outcome and reason.
	Outcomes map[string]int
	Broken   Violations
	Changes  KeyChangeReport
	Cost     Cost
	CPU      time.Duration
	// Before, During and After are the completed preview calls per second before, during and after an
	// outage of the store.
	Before, During, After float64
}

// ClassReport summarizes the time that requests of one class took beyond their work, in microseconds.
type ClassReport struct {
	Class               string
	Count               int64
	P50, P90, P99, Most int64
}

// Violations counts violations of the guarantees that callers and operators rely on.
type Violations struct {
	Twice         int // Twice counts non-repeatable requests that ran more than once.
	RanNotRun     int // RanNotRun counts requests that ran although the response was NotRun.
	Lost          int // Lost counts accepted jobs that were not completed with all their tasks.
	WrongAnswer   int // WrongAnswer counts responses that do not belong to their request.
	Cut           int // Cut counts requests whose response was incomplete or missing.
	Overcommitted int // Overcommitted counts task starts that exceeded the size of the worker.
	LateKeys      int // LateKeys counts calls served with a key after its withdrawal was in force.
	DoneNotRun    int // DoneNotRun counts requests reported as Done that no executor ran.
}

// Sum returns the total number of violations.
func (b Violations) Sum() int {
	return b.Twice + b.RanNotRun + b.Lost + b.WrongAnswer + b.Cut + b.Overcommitted + b.LateKeys + b.DoneNotRun
}

// KeyChangeReport summarizes the changes of keys during a run.
type KeyChangeReport struct {
	Made    int
	Failed  int
	Slowest time.Duration // Slowest is the longest time until a withdrawal was in force at all entries.
}

// report returns the report of the run.
func (r *Run) report(seen Observed, cost Cost, took, cpu time.Duration) *Report {
	out := &Report{
		Seed: r.Seed, Rate: r.Rate, Took: took, Sent: len(r.requests), Skipped: r.skipped, Outcomes: make(map[string]int),
		Cost: cost, CPU: cpu, Changes: KeyChangeReport{Made: r.keyChanges.withdrawn, Failed: r.keyChanges.failures, Slowest: r.keyChanges.slowest},
	}
	out.Broken.Overcommitted = seen.Overcommitted
	out.Broken.LateKeys = r.keyChanges.late
	for _, q := range r.requests {
		out.checkRequest(q, seen)
	}
	for class, h := range r.histograms {
		out.Classes = append(out.Classes, ClassReport{
			Class: class, Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
			P99: h.ValueAtQuantile(99), Most: h.Max(),
		})
	}
	slices.SortFunc(out.Classes, func(a, b ClassReport) int {
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
	r.setOutageRates(out)
	return out
}

// checkRequest compares the response that a caller received with the runs that the executors counted.
func (r *Report) checkRequest(q *request, seen Observed) {
	name := string(q.outcome)
	if q.reason != "" {
		name += " " + q.reason
	}
	switch {
	case q.incomplete:
		r.Broken.Cut++
		name = "Cut"
	case q.job && q.wrongResult:
		r.Broken.Lost++
	case q.wrongResult:
		r.Broken.WrongAnswer++
	}
	r.Outcomes[name]++
	if q.job {
		return
	}
	runs := seen.Runs[q.id]
	if runs > 1 && q.class == "invoice" {
		r.Broken.Twice++
	}
	if runs > 0 && q.outcome == winch.NotRun {
		r.Broken.RanNotRun++
	}
	if runs == 0 && q.outcome == winch.Done {
		r.Broken.DoneNotRun++
	}
}

// setOutageRates computes the completed preview calls per second before, during and after an outage.
func (r *Run) setOutageRates(out *Report) {
	if r.Outage == 0 {
		return
	}
	from, to := (r.Duration-r.Outage)/2, (r.Duration+r.Outage)/2
	for _, q := range r.requests {
		if q.job || q.outcome != winch.Done || q.class != "preview" {
			continue
		}
		switch {
		case q.at < from:
			out.Before += 1 / from.Seconds()
		case q.at < to:
			out.During += 1 / r.Outage.Seconds()
		default:
			out.After += 1 / from.Seconds()
		}
	}
}

// Print writes the report as tables.
func (r *Report) Print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%d requests in %s at %.0f a second, seed %d, %d skipped\n\n", r.Sent, r.Took.Round(time.Millisecond), r.Rate, r.Seed, r.Skipped)
	fmt.Fprintln(w, "TIME BEYOND THE WORK\tCOUNT\tP50\tP90\tP99\tMOST")
	for _, c := range r.Classes {
		us := func(n int64) string { return (time.Duration(n) * time.Microsecond).String() }
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", c.Class, c.Count, us(c.P50), us(c.P90), us(c.P99), us(c.Most))
	}
	fmt.Fprintln(w, "\nOUTCOME\tCOUNT")
	names := make([]string, 0, len(r.Outcomes))
	for name := range r.Outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%d\n", name, r.Outcomes[name])
	}
	b := r.Broken
	fmt.Fprintln(w, "\nBROKEN PROMISE\tCOUNT")
	fmt.Fprintf(w, "ran twice\t%d\nran although NotRun\t%d\nlost\t%d\nwrong answer\t%d\ncut\t%d\novercommitted\t%d\nkey worked after withdrawal\t%d\nDone but not run\t%d\n",
		b.Twice, b.RanNotRun, b.Lost, b.WrongAnswer, b.Cut, b.Overcommitted, b.LateKeys, b.DoneNotRun)
	fmt.Fprintln(w, "\nCONTROL, ALL ENTRIES\tA SECOND")
	c := r.Cost
	fmt.Fprintf(w, "store calls\t%s\nstore bytes\t%s\npeer frames\t%s\npeer bytes\t%s\nworker calls\t%s\nworker bytes\t%s\n",
		perSecond(c.StoreCalls, r.Took), perSecond(c.StoreBytes, r.Took), perSecond(c.PeerFrames, r.Took),
		perSecond(c.PeerBytes, r.Took), perSecond(c.WorkerCalls, r.Took), perSecond(c.WorkerBytes, r.Took))
	fmt.Fprintf(w, "processor time of this process\t%.2f cores\n", r.CPU.Seconds()/r.Took.Seconds())
	fmt.Fprintf(w, "\nkeys issued and withdrawn\t%d\tfailed\t%d\tslowest withdrawal in force everywhere\t%s\n",
		r.Changes.Made, r.Changes.Failed, r.Changes.Slowest.Round(time.Millisecond))
	if r.During > 0 || r.Before > 0 {
		fmt.Fprintf(w, "previews a second\tbefore the outage\t%.1f\tduring\t%.1f\tafter\t%.1f\tratio during/before\t%.3f\n",
			r.Before, r.During, r.After, r.During/r.Before)
	}
	return merry.Wrap(w.Flush())
}
