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

func (c *ends) has(vm string, attempt winch.Attempt) bool {
	return c.at[endKey{vm, attempt}]
}

func (c *ends) add(vm string, t winch.Task) {
	if c.tasks == nil {
		c.tasks = make(map[string][]*end)
		c.at = make(map[endKey]bool)
		c.ready = make(map[string][]winch.Attempt)
	}
	c.at[endKey{vm, t.Ref()}] = true
	c.tasks[t.ID.Job] = append(c.tasks[t.ID.Job], &end{vm: vm, task: t})
}

// takeUnrecorded returns the completions to be written, by job, and marks them as being
// written.
func (c *ends) open() map[string][]winch.Task {
	out := make(map[string][]winch.Task)
	for job, list := range c.tasks {
		for _, item := range list {
			if !item.writing {
				item.writing = true
				out[job] = append(out[job], item.task)
			}
		}
	}
	return out
}

// retryRecording lets a later takeUnrecorded return the completions of a job again, after
// a write of them failed.
func (c *ends) reopen(job string) {
	for _, item := range c.tasks[job] {
		item.writing = false
	}
}

// markRecorded lets the workers forget completions that are in the ledger. A nil list
// stands for all completions of the job.
func (c *ends) recorded(job string, done []winch.Task) {
	var remaining []*end
	for _, item := range c.tasks[job] {
		found := done == nil || slices.ContainsFunc(done, func(t winch.Task) bool { return t.Ref() == item.task.Ref() })
		if found {
			c.ready[item.vm] = append(c.ready[item.vm], item.task.Ref())
		} else {
			remaining = append(remaining, item)
		}
	}
	if len(remaining) == 0 {
		delete(c.tasks, job)
		return
	}
	c.tasks[job] = remaining
}

// takeForgettable removes and returns the tasks that a worker may forget. The caller sends
// them to the worker.
func (c *ends) take(vm string) []winch.Attempt {
	out := c.ready[vm]
	delete(c.ready, vm)
	return out
}

// restoreForgettable puts back tasks after the message to the worker failed.
func (c *ends) restore(vm string, attempts []winch.Attempt) {
	if len(attempts) > 0 {
		c.ready[vm] = append(attempts, c.ready[vm]...)
	}
}

// removeForgotten removes the tasks that the worker has forgotten.
func (c *ends) forgotten(vm string, attempts []winch.Attempt) {
	for _, attempt := range attempts {
		delete(c.at, endKey{vm, attempt})
	}
}
