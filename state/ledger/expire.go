package ledger

import (
	"slices"
	"time"

	"plantainwinch/winch"
)

// expire reduces the records of jobs and calls that ended more than Retention ago
// to what is needed to recognize a resubmission, and deletes those that ended more
// than IDRetention ago.
func (l *Ledger) expire(p *Partition) {
	now := time.Now()
	for id, j := range p.Jobs {
		age := now.Sub(j.Finished)
		switch {
		case !j.State.Final() || age < l.Retention:
		case age < l.IDRetention:
			j.Spec.Command, j.Output, j.EndedTasks, j.Intent = "", nil, nil, nil
			p.Jobs[id] = j
		default:
			delete(p.Jobs, id)
		}
	}
	for id, c := range p.Calls {
		age := now.Sub(c.Finished)
		switch {
		case c.Finished.IsZero() || age < l.Retention:
		case age < l.IDRetention:
			c.Answer = nil
			p.Calls[id] = c
		default:
			delete(p.Calls, id)
		}
	}
	dropOldResponses(p)
}

// dropOldResponses drops the stored responses of the calls that ended first until
// the rest takes no more than maxResponsesSize.
func dropOldResponses(p *Partition) {
	sum := 0
	var calls []winch.CallRecord
	for _, c := range p.Calls {
		if len(c.Answer) > 0 {
			sum += len(c.Answer)
			calls = append(calls, c)
		}
	}
	if sum <= maxResponsesSize {
		return
	}
	slices.SortFunc(calls, func(a, b winch.CallRecord) int { return a.Finished.Compare(b.Finished) })
	for _, c := range calls {
		if sum <= maxResponsesSize {
			return
		}
		sum -= len(c.Answer)
		c.Answer = nil
		p.Calls[c.ID] = c
	}
}

// estimateSize estimates the size of the partition's value in the store, in bytes.
func (p *Partition) estimateSize() int {
	sum := 0
	for _, j := range p.Jobs {
		sum += recordOverhead + len(j.Spec.Command) + 6*(len(j.EndedTasks)+len(j.Intent))
		for _, out := range j.Output {
			sum += len(out)
		}
	}
	for _, c := range p.Calls {
		sum += recordOverhead + 4*len(c.Answer)/3
	}
	return sum
}
