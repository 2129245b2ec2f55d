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
	// Changes is the change count of the job up to which the record is complete.
	Changes uint64
	// Retain is set if the job has ended but runs of it may still exist, at known workers or at
	// some that have not listed their runs. The job is kept in the store until they have ended,
	// since the next planner must know their needs.
	Rest bool
}

// markChanged counts a modification of a job and schedules the write of its record.
func (p *Planner) change(j *job) {
	j.changes++
	p.note(j)
}

// markDirty adds a job to the list of those whose records must be written.
func (p *Planner) note(j *job) {
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// RecordAwaited reports whether a record that a caller or a start waits for must be written.
func (p *Planner) Pressing() bool {
	return slices.ContainsFunc(p.dirty, func(j *job) bool { return j.pressing && !j.saving })
}

// HasUnsaved reports whether any record must be written.
func (p *Planner) Unsaved() bool {
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
		case a.pressing == b.pressing:
			return 0
		case a.pressing:
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
		out = append(out, Record{Job: j.rec.ID, Progress: j.progress(), Revision: j.revision, Changes: j.changes, Rest: j.hasRuns() || len(p.roster) > 0})
	}
	p.dirty = remaining
	return out
}

func (j *job) progress() winch.Progress {
	out := winch.Progress{Failed: make(map[string][]uint64), Done: make(map[int][][]byte), Ended: j.ended}
	if j.state.Final() {
		out.State = j.state
	}
	for key, runs := range j.failed {
		out.Failed[key] = slices.Clone(runs)
	}
	j.recordCrashes(&out)
	for _, s := range j.steps {
		if s.done == 0 {
			continue
		}
		if out.Done[s.k] == nil {
			out.Done[s.k] = make([][]byte, len(j.rec.Phases))
		}
		bits := make([]byte, (len(s.tasks)+7)/8)
		for _, t := range s.tasks {
			if t.done {
				bits[t.index/8] |= 1 << (t.index % 8)
			}
		}
		out.Done[s.k][s.phase] = bits
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
	j.saved = max(j.saved, r.Changes)
	j.pressing = j.pressing && j.saved < j.changes
	if r.Progress.State.Final() {
		if j.shown != j.state {
			p.endings = append(p.endings, j.ending(p.now()))
			j.ended = p.now() // Callers see the end from now on, and the retention period starts.
		}
		j.shown, j.rest = r.Progress.State, r.Rest
	}
	for _, w := range j.listing {
		p.forget(w)
	}
	j.listing = slices.DeleteFunc(j.listing, func(w *worker) bool { return !p.ending[w] })
}

// SaveFailed notes that a record was not written, or that the outcome is unknown. A non-zero
// revision is the one that the stored record has now.
func (p *Planner) Unwritten(r Record, revision uint64) {
	j := p.jobs[r.Job]
	if j == nil {
		return
	}
	j.saving = false
	if revision != 0 {
		j.revision = revision
	}
	p.note(j)
}
