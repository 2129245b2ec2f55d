package office

import (
	"slices"

	"plantainwinch/winch"
)

// completions holds the ended tasks that the workers still list. A completion is first
// recorded in the ledger; after that the worker is allowed to forget it.
type completions struct {
	unrecorded  map[string][]*completion   // The completions not recorded yet, by job.
	listed      map[completionKey]bool     // All completions that the workers still list.
	forgettable map[string][]winch.Attempt // The recorded completions, by worker.
}

type completionKey struct {
	vm      string
	attempt winch.Attempt
}

type completion struct {
	vm      string
	task    winch.Task
	writing bool // Set while the completion is being written to the ledger.
}

func (c *completions) has(vm string, attempt winch.Attempt) bool {
	return c.listed[completionKey{vm, attempt}]
}

func (c *completions) add(vm string, t winch.Task) {
	if c.unrecorded == nil {
		c.unrecorded = make(map[string][]*completion)
		c.listed = make(map[completionKey]bool)
		c.forgettable = make(map[string][]winch.Attempt)
	}
	c.listed[completionKey{vm, t.Ref()}] = true
	c.unrecorded[t.ID.Job] = append(c.unrecorded[t.ID.Job], &completion{vm: vm, task: t})
}

// takeUnrecorded returns the completions to be written, by job, and marks them as being
// written.
func (c *completions) takeUnrecorded() map[string][]winch.Task {
	out := make(map[string][]winch.Task)
	for job, list := range c.unrecorded {
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
func (c *completions) retryRecording(job string) {
	for _, item := range c.unrecorded[job] {
		item.writing = false
	}
}

// markRecorded lets the workers forget completions that are in the ledger. A nil list
// stands for all completions of the job.
func (c *completions) markRecorded(job string, done []winch.Task) {
	var remaining []*completion
	for _, item := range c.unrecorded[job] {
		found := done == nil || slices.ContainsFunc(done, func(t winch.Task) bool { return t.Ref() == item.task.Ref() })
		if found {
			c.forgettable[item.vm] = append(c.forgettable[item.vm], item.task.Ref())
		} else {
			remaining = append(remaining, item)
		}
	}
	if len(remaining) == 0 {
		delete(c.unrecorded, job)
		return
	}
	c.unrecorded[job] = remaining
}

// takeForgettable removes and returns the tasks that a worker may forget. The caller sends
// them to the worker.
func (c *completions) takeForgettable(vm string) []winch.Attempt {
	out := c.forgettable[vm]
	delete(c.forgettable, vm)
	return out
}

// restoreForgettable puts back tasks after the message to the worker failed.
func (c *completions) restoreForgettable(vm string, attempts []winch.Attempt) {
	if len(attempts) > 0 {
		c.forgettable[vm] = append(attempts, c.forgettable[vm]...)
	}
}

// removeForgotten removes the tasks that the worker has forgotten.
func (c *completions) removeForgotten(vm string, attempts []winch.Attempt) {
	for _, attempt := range attempts {
		delete(c.listed, completionKey{vm, attempt})
	}
}
