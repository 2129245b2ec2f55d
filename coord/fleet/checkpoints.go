package fleet

import (
	"cmp"
	"slices"

	"plantainwinch/winch"
)

// SavedCheckpoint is the checkpoint of a stopped task, or the empty string if the task no longer needs
// it.
type SavedCheckpoint struct {
	Task       winch.RunID
	Checkpoint string
}

// noteSaved keeps the checkpoint of a stopped task until it runs again. The worker forgets the
// completion soon, so another planner learns the checkpoint from this planner only.
func (p *Planner) noteSaved(t *task, e winch.Completion) {
	if e.Kind != winch.CompletionStopped || e.Checkpoint == "" || t.done || t.phase.job.cancelled || t.phase.job.state.Final() {
		return
	}
	p.saved[t.id()] = e.Checkpoint
	p.savedChanges = append(p.savedChanges, SavedCheckpoint{t.id(), e.Checkpoint})
}

// dropSaved notes that a task runs from its checkpoint, so that its worker knows it.
func (p *Planner) dropSaved(id winch.RunID) {
	if p.saved[id] != "" {
		delete(p.saved, id)
		p.savedChanges = append(p.savedChanges, SavedCheckpoint{Task: id})
	}
}

// KeepsCheckpoints reports whether checkpoints of stopped tasks are kept.
func (p *Planner) KeepsCheckpoints() bool {
	return len(p.saved) > 0
}

// SavedCheckpoints returns the checkpoints of stopped tasks that changed since the last call or, if
// all is set, all of them.
func (p *Planner) SavedCheckpoints(all bool) []SavedCheckpoint {
	for id := range p.saved {
		// After a takeover, jobs may not have been added yet.
		if t := p.task(id); t != nil && (t.done || t.phase.job.cancelled || t.phase.job.state.Final()) {
			p.dropSaved(id)
		}
	}
	out := p.savedChanges
	p.savedChanges = nil
	if !all {
		return out
	}
	out = make([]SavedCheckpoint, 0, len(p.saved))
	for id, checkpoint := range p.saved {
		out = append(out, SavedCheckpoint{id, checkpoint})
	}
	slices.SortFunc(out, func(a, b SavedCheckpoint) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.K, b.Task.K), cmp.Compare(a.Task.Phase, b.Task.Phase), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}

// SetSavedCheckpoints sets the checkpoints of stopped tasks that the last planner knew. It must be
// called before jobs are added.
func (p *Planner) SetSavedCheckpoints(saved map[winch.RunID]string) {
	for id, checkpoint := range saved {
		p.saved[id] = checkpoint
	}
}

// restoreSaved applies the checkpoints that the last planner knew to the job's tasks.
func (j *job) restoreSaved() {
	if len(j.planner.saved) == 0 {
		return
	}
	for _, s := range j.phases {
		for _, t := range s.tasks {
			if t.checkpoint == "" && !t.done {
				t.checkpoint = j.planner.saved[t.id()]
			}
		}
	}
}
