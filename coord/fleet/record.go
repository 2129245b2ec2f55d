package fleet

import (
	"slices"

	"plantainwinch/winch"
)

// Record is the progress of a job that must be written, and the revision that the stored record
// must still have.
type Record struct {
	Job      string
	Progress winch.Progress
	Revision uint64
	// Changes is the number of the job's changes that the record includes.
	Changes uint64
	// Retain is set if runs of the job may still exist, at known workers or at some that have not
	// listed their runs. A job that has ended is kept in the store until these runs have ended,
	// since the next planner must know their needs.
	Retain bool
}

// markChanged counts a change of a job and schedules the write of its record.
func (p *Planner) markChanged(j *job) {
	j.changes++
	p.markDirty(j)
}

// markDirty adds a job to the list of those whose records must be written.
func (p *Planner) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// RecordAwaited reports whether a record that a caller or a start waits for must be written.
func (p *Planner) RecordAwaited() bool {
	return slices.ContainsFunc(p.dirty, func(j *job) bool { return j.awaited && !j.saving })
}

// HasUnsaved reports whether any record must be written.
func (p *Planner) HasUnsaved() bool {
	return len(p.dirty) > 0
}

// Records returns at most n records to write, those that callers wait for first. A job's record is
// not returned again until Saved or SaveFailed was called for it.
func (p *Planner) Records(n int) []Record {
	return p.RecordsWithin(n, func(bool) int { return 1 })
}

// RecordsWithin is like Records with a limit on the total cost; records of ended jobs may cost
// more than others.
func (p *Planner) RecordsWithin(budget int, cost func(final bool) int) []Record {
	slices.SortStableFunc(p.dirty, func(a, b *job) int {
		switch {
		case a.awaited == b.awaited:
			return 0
		case a.awaited:
			return -1
		}
		return 1
	})
	var out []Record
	var remaining []*job
	for _, j := range p.dirty {
		c := cost(j.state.Final())
		if c > budget || j.saving {
			remaining = append(remaining, j)
			continue
		}
		budget -= c
		j.saving, j.dirty = true, false
		out = append(out, Record{Job: j.rec.ID, Progress: j.progress(), Revision: j.revision, Changes: j.changes, Retain: j.hasRuns() || len(p.roster) > 0})
	}
	p.dirty = remaining
	return out
}

func (j *job) progress() winch.Progress {
	out := winch.Progress{Failed: make(map[string][]uint64), Done: make(map[int][][]byte), Ended: j.endedAt}
	if j.state.Final() {
		out.State = j.state
	}
	for key, runs := range j.failed {
		out.Failed[key] = slices.Clone(runs)
	}
	j.recordCrashes(&out)
	for _, s := range j.phases {
		if s.done == 0 {
			continue
		}
		if out.Done[s.repetition] == nil {
			out.Done[s.repetition] = make([][]byte, len(j.rec.Phases))
		}
		bits := make([]byte, (len(s.tasks)+7)/8)
		for _, t := range s.tasks {
			if t.done {
				bits[t.index/8] |= 1 << (t.index % 8)
			}
		}
		out.Done[s.repetition][s.index] = bits
	}
	return out
}

// Saved notes that a record was written at a revision.
func (p *Planner) Saved(r Record, revision uint64) {
	j := p.jobs[r.Job]
	if j == nil {
		return
	}
	j.saving = false
	j.revision = revision
	j.savedChanges = max(j.savedChanges, r.Changes)
	j.awaited = j.awaited && j.savedChanges < j.changes
	if r.Progress.State.Final() {
		if j.visibleState != j.state {
			p.summaries = append(p.summaries, j.summary(p.now()))
			p.observeEstimates(j)
			j.endedAt = p.now() // Callers see the end from now on, and the retention period starts.
		}
		j.visibleState, j.retained = r.Progress.State, r.Retain
	}
	for _, w := range j.completionWorkers {
		p.forgetRecorded(w)
	}
	j.completionWorkers = slices.DeleteFunc(j.completionWorkers, func(w *worker) bool { return !p.pendingWorkers[w] })
}

// SaveFailed notes that a record was not written, or that the outcome is unknown. A non-zero
// revision is the one that the stored record has now.
func (p *Planner) SaveFailed(r Record, revision uint64) {
	j := p.jobs[r.Job]
	if j == nil {
		return
	}
	j.saving = false
	if revision != 0 {
		j.revision = revision
	}
	p.markDirty(j)
}
