package trial

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"plantainwinch/winch"
)

// objectiveWorkers is the number of workers in an advice request whose cost an objective includes.
const objectiveWorkers = 30

// Outcome holds the results of one pattern under one policy.
type Outcome struct {
	Pattern string
	Without []string    `json:",omitempty"` // Without lists the mechanisms that were switched off.
	Order   winch.Order // Order is the order of waiting work while a service is full.
	Queues  []QueueOutcome
	// Teams holds the results by team, those with the least value first; Value is the fraction of the
	// value of all jobs that was earned.
	Teams []TeamOutcome
	Value float64
	// Lanes is the fraction of the lanes' time that advice requests took, Room the mean fraction
	// of each service's capacity in use.
	Lanes float64
	Room  map[string]float64
	// Restarted is the number of runs that were stopped because they were slow.
	Restarted int64
	// Evicted is the number of runs that were stopped for urgent work, EvictionLost the processor
	// time that their tasks did not work because of it.
	Evicted      int64         `json:",omitempty"`
	EvictionLost time.Duration `json:",omitempty"`
	// Harm sums up the effects of tasks that crash their workers.
	Harm CrashReport
	// Copies sums up the copies of straggling runs.
	Copies CopyReport
}

// QueueOutcome holds the results of the jobs of one queue.
type QueueOutcome struct {
	Queue string
	Jobs  int
	// OnTime is the fraction of jobs completed within the objective, Within the fraction completed
	// within three times the objective.
	OnTime, Within float64
	// Refused is the number of jobs whose callers gave up after refusals, Abandoned that of accepted jobs
	// that were not completed within three times the objective.
	Refused, Abandoned int
	// Lateness is the mean time beyond the objective, over all jobs.
	Lateness time.Duration
	P50, P99 time.Duration
	// Waits holds the total waiting time by reason, the longest first.
	Waits []WaitingTime
	// Ratios holds the times that jobs took, as multiples of their objectives, in ascending order.
	// Jobs that were not completed within the trial are left out.
	Ratios []float64 `json:"-"`
	Sizes  Sizes
}

// WaitingTime is how long tasks of a queue's jobs waited for one reason.
type WaitingTime struct {
	Reason string
	Time   time.Duration
}

// objective returns the objective of a job, computed from its true run times.
func (p Pattern) objective(a *jobArrival) time.Duration {
	for _, q := range p.Queues {
		if q.Name != a.job.Queue {
			continue
		}
		chain := time.Duration(0)
		for _, runTimes := range a.runTimes {
			chain += slices.Max(runTimes)
			if q.Advice != nil {
				chain += q.Advice.Call + objectiveWorkers*q.Advice.Worker
			}
		}
		return q.Objective(chain)
	}
	return 0
}

// outcome returns the results of the simulation. Jobs that crash workers count in Harm only, since
// they are not expected to complete.
func (r *simRegion) outcome() Outcome {
	out := Outcome{Pattern: r.pattern.Name, Room: make(map[string]float64)}
	counts := r.planner.Counts()
	out.Restarted, out.Evicted, out.EvictionLost = counts.Restarted, counts.Evicted, counts.EvictionLost
	out.Harm, out.Copies = r.crashReport(), r.copies
	out.Teams, out.Value = r.teamOutcomes()
	out.Lanes = r.usage.laneTime.Seconds() / (r.pattern.Length.Seconds() * float64(r.pattern.Lanes))
	for name, m := range r.usage.capacity {
		out.Room[name] = m.value()
	}
	byQueue := make(map[string]*QueueOutcome)
	took := make(map[string][]time.Duration)
	waits := make(map[string]map[string]time.Duration)
	for _, a := range r.jobs {
		if a.crash.crashes {
			continue
		}
		if byQueue[a.job.Queue] == nil {
			byQueue[a.job.Queue] = &QueueOutcome{Queue: a.job.Queue}
			waits[a.job.Queue] = make(map[string]time.Duration)
		}
		byQueue[a.job.Queue].Jobs++
	}
	for _, e := range r.completed {
		if e.State != winch.JobDone || r.jobs[e.Job].crash.crashes {
			continue
		}
		s, objective, d := byQueue[e.Queue], r.pattern.objective(r.jobs[e.Job]), r.tookSinceFirstSent(e)
		took[e.Queue] = append(took[e.Queue], d)
		s.Ratios = append(s.Ratios, d.Seconds()/objective.Seconds())
		s.Lateness += max(0, d-objective)
		for reason, d := range e.Waited {
			waits[e.Queue][reason.String()] += d
		}
	}
	for queue, s := range byQueue {
		s.countAbandoned(r)
		s.summarize(took[queue], waits[queue])
		s.Sizes = r.sizeOutcomes(queue)
		out.Queues = append(out.Queues, *s)
	}
	slices.SortFunc(out.Queues, func(a, b QueueOutcome) int { return cmp.Compare(a.Queue, b.Queue) })
	return out
}

// summarize computes the fractions, means and percentiles once all jobs of the queue are added.
func (s *QueueOutcome) summarize(took []time.Duration, waits map[string]time.Duration) {
	slices.Sort(took)
	slices.Sort(s.Ratios)
	within := func(limit float64) float64 {
		n, _ := slices.BinarySearch(s.Ratios, limit)
		return float64(n) / float64(max(1, s.Jobs))
	}
	s.OnTime, s.Within = within(1), within(winch.LateFactor)
	s.Lateness /= time.Duration(max(1, s.Jobs))
	if n := len(took); n > 0 {
		s.P50, s.P99 = took[n/2], took[n*99/100]
	}
	for _, reason := range sortedKeys(waits) {
		if waits[reason] > 0 {
			s.Waits = append(s.Waits, WaitingTime{reason, waits[reason].Round(time.Millisecond)})
		}
	}
	slices.SortStableFunc(s.Waits, func(a, b WaitingTime) int { return cmp.Compare(b.Time, a.Time) })
}

// maxReasons is the number of reasons that a row of the table names.
const maxReasons = 3

// PrintOutcomes writes outcomes as a table, followed by a line for each with copies and each with crashes.
func PrintOutcomes(w io.Writer, all []Outcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PATTERN\tWITHOUT\tORDER\tQUEUE\tJOBS\tON TIME\tWITHIN 3\tREFUSED\tABANDONED\tLARGEST\tLARGE\tVALUE\tWORST TEAMS\tLATENESS\tP50\tP99\tLANES\tROOM\tWAITED FOR")
	for _, o := range all {
		for _, q := range o.Queues {
			var reasons []string
			for _, x := range q.Waits[:min(maxReasons, len(q.Waits))] {
				reasons = append(reasons, fmt.Sprintf("%s %s", x.Reason, x.Time.Round(100*time.Millisecond)))
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%.3f\t%.3f\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\t%s\t%.2f\t%s\t%s\n", o.Pattern, strings.Join(o.Without, ","), o.Order, q.Queue, q.Jobs, q.OnTime, q.Within,
				q.Refused, q.Abandoned, q.Sizes.Largest, q.Sizes.Large, o.Value, o.WorstTeams(),
				q.Lateness.Round(time.Millisecond), q.P50.Round(time.Millisecond), q.P99.Round(time.Millisecond), o.Lanes, o.formatRoom(), strings.Join(reasons, ", "))
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, o := range all {
		if o.Evicted > 0 {
			fmt.Fprintf(w, "%s without %s: %d runs evicted, %.1f processor-seconds lost\n", o.Pattern, cmp.Or(strings.Join(o.Without, ","), "nothing"), o.Evicted, o.EvictionLost.Seconds())
		}
		if o.Copies != (CopyReport{}) {
			fmt.Fprintf(w, "%s without %s: %s\n", o.Pattern, cmp.Or(strings.Join(o.Without, ","), "nothing"), o.Copies)
		}
		if o.Harm != (CrashReport{}) {
			fmt.Fprintf(w, "%s without %s: %s\n", o.Pattern, cmp.Or(strings.Join(o.Without, ","), "nothing"), o.Harm)
		}
	}
	return nil
}

// formatRoom returns the used fraction of each service's capacity, in the order of their names.
func (o Outcome) formatRoom() string {
	var out []string
	for _, name := range sortedKeys(o.Room) {
		out = append(out, fmt.Sprintf("%.2f", o.Room[name]))
	}
	return strings.Join(out, "/")
}
