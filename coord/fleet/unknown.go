package fleet

import (
	"maps"
	"slices"
	"time"

	"plantainwinch/winch"
)

// awaitJob notes that a worker reports runs or completions of a job that the planner does not know. Either the job has
// ended and was removed, or it was started by an earlier planner after this one had read the accepted jobs. Until
// that is known, nothing of it is stopped or forgotten.
func (p *Planner) awaitJob(id string, w *worker) {
	if p.awaited[id] == nil {
		p.awaited[id] = make(map[*worker]bool)
	}
	p.awaited[id][w] = true
	p.unreportedAt = time.Time{}
}

// UnknownJobs returns the jobs of which workers report runs or completions and which the planner does not know. For
// each of them the caller must look in the store and call Add or JobMissing.
func (p *Planner) UnknownJobs() []string {
	return slices.Sorted(maps.Keys(p.awaited))
}

// HasUnknownJobs reports whether there are any.
func (p *Planner) HasUnknownJobs() bool {
	return len(p.awaited) > 0
}

// JobMissing notes that the store does not hold a job any more: its runs are stopped and its completions forgotten.
func (p *Planner) JobMissing(id string) {
	if p.jobs[id] != nil {
		return
	}
	for w := range p.takeAwaited(id) {
		for key, r := range w.runs {
			if key.task.Job == id {
				p.stopRun(r)
			}
		}
		for i := range w.completions {
			if w.completions[i].key.task.Job == id {
				w.completions[i].unknown = nil
			}
		}
		p.forgetRecorded(w)
	}
}

// jobFound applies the completions of a job that were reported before it was added, and adopts its runs.
func (p *Planner) jobFound(id string) {
	for w := range p.takeAwaited(id) {
		for i := range w.completions {
			if e := w.completions[i].unknown; e != nil && e.Task.Job == id {
				p.settleCompletion(w, nil, *e, &w.completions[i])
			}
		}
		var found []winch.Running
		for key, r := range w.runs {
			if key.task.Job == id && r.task == nil {
				found = append(found, r.known())
				p.endRun(r, "")
			}
		}
		p.handleFound(w, found, EarlierListed)
		p.forgetRecorded(w)
	}
}

// takeAwaited returns the workers that have reported runs or completions of a job, and forgets that they have.
func (p *Planner) takeAwaited(id string) map[*worker]bool {
	out := p.awaited[id]
	delete(p.awaited, id)
	p.unreportedAt = time.Time{}
	maps.DeleteFunc(out, func(w *worker, _ bool) bool { return p.workers[w.vm.ID] != w })
	return out
}
