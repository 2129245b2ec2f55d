package office

import (
	"slices"

	"plantainwinch/winch"
)

// completions holds the ended tasks that the workers still list. A completion is first
// recorded in the ledger; after that the worker is allowed to forget it.
type ends struct {
	tasks map[string][]*end          // The completions not recorded yet, by job.
	at    map[endKey]bool            // All completions that the workers still list.
	ready map[string][]winch.Attempt // The recorded completions, by worker.
}

type endKey struct {
	vm string
	id winch.Attempt
}

type end struct {
	vm      string
	task    winch.Task
	writing bool // Set while the completion is being written to the ledger.
}

func (e *ends) has(vm string, attempt winch.Attempt) bool {
	return e.at[endKey{vm, attempt}]
}

func (e *ends) add(vm string, t winch.Task) {
	if e.tasks == nil {
		e.tasks = make(map[string][]*end)
		e.at = make(map[endKey]bool)
		e.ready = make(map[string][]winch.Attempt)
	}
	e.at[endKey{vm, t.Ref()}] = true
	e.tasks[t.ID.Job] = append(e.tasks[t.ID.Job], &end{vm: vm, task: t})
}

// takeUnrecorded returns the completions to be written, by job, and marks them as being
// written.
func (e *ends) open() map[string][]winch.Task {
	out := make(map[string][]winch.Task)
	for job, list := range e.tasks {
		for _, c := range list {
			if !c.writing {
				c.writing = true
				out[job] = append(out[job], c.task)
			}
		}
	}
	return out
}

// retryRecording lets a later takeUnrecorded return the completions of a job again, after
// a write of them failed.
func (e *ends) reopen(job string) {
	for _, c := range e.tasks[job] {
		c.writing = false
	}
}

// markRecorded lets the workers forget completions that are in the ledger. A nil list
// stands for all completions of the job.
func (e *ends) recorded(job string, done []winch.Task) {
	var remaining []*end
	for _, c := range e.tasks[job] {
		found := done == nil || slices.ContainsFunc(done, func(t winch.Task) bool { return t.Ref() == c.task.Ref() })
		if found {
			e.ready[c.vm] = append(e.ready[c.vm], c.task.Ref())
		} else {
			remaining = append(remaining, c)
		}
	}
	if len(remaining) == 0 {
		delete(e.tasks, job)
		return
	}
	e.tasks[job] = remaining
}

// takeForgettable removes and returns the tasks that a worker may forget. The caller sends
// them to the worker.
func (e *ends) take(vm string) []winch.Attempt {
	out := e.ready[vm]
	delete(e.ready, vm)
	return out
}

// restoreForgettable puts back tasks after the message to the worker failed.
func (e *ends) restore(vm string, attempts []winch.Attempt) {
	if len(attempts) > 0 {
		e.ready[vm] = append(attempts, e.ready[vm]...)
	}
}

// removeForgotten removes the tasks that the worker has forgotten.
func (e *ends) forgotten(vm string, attempts []winch.Attempt) {
	for _, attempt := range attempts {
		delete(e.at, endKey{vm, attempt})
	}
}
