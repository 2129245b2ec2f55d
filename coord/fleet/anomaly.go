package fleet

import (
	"plantainwinch/winch"
)

// AnomalyKind says what is unusual about a completion.
type AnomalyKind string

// The kinds of anomalies.
const (
	// AnomalyUnknownJob is a completion of a job that the planner does not know.
	AnomalyUnknownJob AnomalyKind = "the job is not known"
	// AnomalyOvertaken is a completion that arrived after one with a higher number of the same worker.
	AnomalyOvertaken AnomalyKind = "a higher number was handled before"
	// AnomalyStartedAgain is a successful completion of a run after which the task was started again.
	AnomalyStartedAgain AnomalyKind = "the task was started again"
)

// Anomaly is an unusual completion.
type Anomaly struct {
	Kind       AnomalyKind
	Worker     string
	Completion winch.Completion
	LatestRun  uint64 // LatestRun is the last run of the task, zero if the task is not known.
	Previous   RunEnd // Previous is the run of the task that ended last before this completion.
}

// RunEnd is the end of a run as the planner knows it.
type RunEnd struct {
	Run    uint64
	Worker string
	How    string // How is the kind of the completion, or why the run ended without one.
}

// Ends of runs of which no completion was received.
const (
	endNotStarted = "not started"
	endNotListed  = "not listed"
	endVanished   = "vanished"
	endLost       = "lost"
	endReplaced   = "replaced"
)

// noteAnomaly records an unusual completion.
func (p *Planner) noteAnomaly(kind AnomalyKind, w *worker, t *task, e winch.Completion) {
	a := Anomaly{Kind: kind, Worker: w.vm.ID, Completion: e}
	if t != nil {
		a.LatestRun, a.Previous = t.latestRun, t.lastEnd
	}
	p.anomalies = append(p.anomalies, a)
}

// Anomalies returns the unusual completions since the last call.
func (p *Planner) Anomalies() []Anomaly {
	out := p.anomalies
	p.anomalies = nil
	return out
}

// PreviousRun returns the run of a task that ended last, and whether one has.
func (p *Planner) PreviousRun(id winch.RunID) (RunEnd, bool) {
	if t := p.task(id); t != nil {
		return t.lastEnd, t.lastEnd.Run != 0
	}
	return RunEnd{}, false
}
