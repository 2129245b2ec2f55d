package trial

import (
	"cmp"
	"slices"

	"plantainwinch/winch"
)

const (
	// baseValue is the part of a job's value that does not depend on its size, maxValue the highest
	// value, both relative to the mean of its queue. lateValue is the part that is left if it is late.
	baseValue = 0.3
	maxValue  = 4
	lateValue = 0.2
)

// TeamOutcome holds the results of the jobs of one team.
type TeamOutcome struct {
	Team string
	Jobs int
	// OnTime is the fraction of jobs completed within the objective, Within that within three times
	// the objective, and Value the fraction of the value of all jobs that was earned.
	OnTime, Within, Value float64
}

// Sizes holds the fraction of a queue's jobs on time, for all and for its largest jobs.
type Sizes struct {
	All, Largest, Large float64 // Largest is for the largest tenth, Large for the fifth below it.
}

// work returns the processor-seconds of a job.
func (a *jobArrival) work() float64 {
	sum := 0.0
	for i, runTimes := range a.runTimes {
		for _, d := range runTimes {
			sum += d.Seconds() * float64(a.job.Phases[i].Need.Milli) / 1000
		}
	}
	return sum
}

// values returns the value of each job: small jobs are worth more for their work.
func (r *simRegion) values() map[string]float64 {
	sum, n := make(map[string]float64), make(map[string]float64)
	for _, id := range sortedKeys(r.jobs) {
		a := r.jobs[id]
		sum[a.job.Queue] += a.work()
		n[a.job.Queue]++
	}
	out := make(map[string]float64, len(r.jobs))
	for id, a := range r.jobs {
		mean := sum[a.job.Queue] / n[a.job.Queue]
		out[id] = min(maxValue, baseValue+(1-baseValue)*a.work()/mean)
	}
	return out
}

// ratios returns the times that completed jobs took as multiples of their objectives.
func (r *simRegion) ratios() map[string]float64 {
	out := make(map[string]float64)
	for _, e := range r.completed {
		if e.State == winch.JobDone {
			out[e.Job] = e.Took.Seconds() / r.pattern.objective(r.jobs[e.Job]).Seconds()
		}
	}
	return out
}

// teamOutcomes returns the results by team, those with the least value first, and the fraction of all
// value that was earned.
func (r *simRegion) teamOutcomes() ([]TeamOutcome, float64) {
	values, ratios := r.values(), r.ratios()
	teams := make(map[string]*TeamOutcome)
	offered := make(map[string]float64)
	total, earned := 0.0, 0.0
	for _, id := range sortedKeys(r.jobs) {
		a := r.jobs[id]
		if a.crash.crashes {
			continue
		}
		name := a.job.Team
		if teams[name] == nil {
			teams[name] = &TeamOutcome{Team: name}
		}
		x := teams[name]
		x.Jobs++
		offered[name] += values[id]
		total += values[id]
		ratio, done := ratios[id]
		gain := 0.0
		if done && ratio <= winch.LateFactor {
			x.Within++
			gain = lateValue * values[id]
		}
		if done && ratio <= 1 {
			x.OnTime++
			gain = values[id]
		}
		x.Value += gain
		earned += gain
	}
	out := make([]TeamOutcome, 0, len(teams))
	for _, name := range sortedKeys(teams) {
		x := teams[name]
		x.OnTime /= float64(x.Jobs)
		x.Within /= float64(x.Jobs)
		x.Value /= offered[name]
		out = append(out, *x)
	}
	slices.SortStableFunc(out, func(a, b TeamOutcome) int { return cmp.Compare(a.Value, b.Value) })
	return out, earned / max(1e-9, total)
}

// WorstTeams returns the mean value of the worst tenth of the teams, at least one.
func (o Outcome) WorstTeams() float64 {
	n := max(1, len(o.Teams)/10)
	sum := 0.0
	for _, t := range o.Teams[:min(n, len(o.Teams))] {
		sum += t.Value
	}
	return sum / float64(n)
}

// sizeOutcomes returns the fractions of a queue's jobs on time by size.
func (r *simRegion) sizeOutcomes(queue string) Sizes {
	var jobs []string
	for _, id := range sortedKeys(r.jobs) {
		if r.jobs[id].job.Queue == queue {
			jobs = append(jobs, id)
		}
	}
	slices.SortStableFunc(jobs, func(a, b string) int { return cmp.Compare(r.jobs[b].work(), r.jobs[a].work()) })
	ratios := r.ratios()
	onTime := func(ids []string) float64 {
		n := 0
		for _, id := range ids {
			if ratio, done := ratios[id]; done && ratio <= 1 {
				n++
			}
		}
		return float64(n) / float64(max(1, len(ids)))
	}
	tenth := len(jobs) / 10
	return Sizes{All: onTime(jobs), Largest: onTime(jobs[:tenth]), Large: onTime(jobs[tenth : 3*tenth])}
}
