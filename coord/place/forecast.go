package place

import "time"

// runTimeWeight is the weight of a new sample in the moving averages of run times.
const runTimeWeight = 0.2

// historyKey identifies the tasks that share a run time history.
type historyKey struct {
	team, class string
}

// history holds averages of the actual run times of one team's tasks in one class.
type history struct {
	// factor is the average ratio of actual to declared run time.
	factor float64
	// meanRunTime is the average actual run time, for tasks that declare none.
	meanRunTime time.Duration
}

// forecast returns the expected run time of a task. Declared run times are often far
// off, but a team's error tends to be consistent, so the declared run time is corrected
// by the team's history in the class.
func (p *Planner) forecast(j *job) time.Duration {
	h := p.history[historyKey{j.rec.Team, j.rec.Class}]
	declared := j.rec.Spec.RunTime
	switch {
	case h != nil && declared > 0:
		return time.Duration(float64(declared) * h.factor)
	case h != nil:
		return h.meanRunTime
	case declared > 0:
		return declared
	default:
		return defaultRunTime
	}
}

func (p *Planner) recordRunTime(j *job, took time.Duration) {
	k := historyKey{j.rec.Team, j.rec.Class}
	h := p.history[k]
	if h == nil {
		h = &history{factor: 1, meanRunTime: took}
		p.history[k] = h
	}
	h.meanRunTime += time.Duration(runTimeWeight * float64(took-h.meanRunTime))
	if declared := j.rec.Spec.RunTime; declared > 0 {
		h.factor += runTimeWeight * (float64(took)/float64(declared) - h.factor)
	}
}
