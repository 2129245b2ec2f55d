package fleet

import (
	"time"

	"plantainwinch/coord/admit"
	"plantainwinch/winch"
)

const (
	// refusedRetention is how long a refused ID is remembered: callers come back within half a minute.
	refusedRetention = 60 * time.Second
	// maxRefusedIDs bounds the refused IDs that are remembered.
	maxRefusedIDs = 16_384
)

// refusedIDs holds when jobs were first refused, by the admit.Hash of their IDs, and the hashes in the order
// of their addition.
type refusedIDs struct {
	first map[uint32]time.Time
	order []uint32
}

// NoteRefusedIDs notes the IDs, by their admit.Hash, that an entry has refused.
func (p *Planner) NoteRefusedIDs(hashes []uint32, now time.Time) {
	r := &p.forecasts.refused
	if r.first == nil {
		r.first = make(map[uint32]time.Time)
	}
	for _, h := range hashes {
		if _, known := r.first[h]; !known {
			r.first[h] = now
			r.order = append(r.order, h)
		}
	}
	for len(r.order) > 0 && (len(r.order) > maxRefusedIDs || now.Sub(r.first[r.order[0]]) > refusedRetention) {
		delete(r.first, r.order[0])
		r.order = r.order[1:]
	}
}

// countsFrom returns when a job's time begins. Its caller has waited since the job was first refused, so a
// job that is accepted at a later attempt must not be ranked as one that can still be on time: it would take
// the place of such jobs.
func (p *Planner) countsFrom(rec *winch.PhasedJob) time.Time {
	first, refused := p.forecasts.refused.first[admit.Hash(rec.ID)]
	if refused && first.Before(rec.Accepted) && rec.Accepted.Sub(first) < refusedRetention {
		return first
	}
	return rec.Accepted
}
