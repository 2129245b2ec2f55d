package office

import "plantainwinch/winch"

// ledgerReads holds the reads of the ledger in progress. What a read returns may be older
// than what the planner did since the read began.
type ledgerReads map[*ledgerRead]bool

// ledgerRead is one read of the ledger.
type ledgerRead struct {
	// outdated holds the jobs whose records may be older in this read than what the planner
	// knew of them.
	outdated map[string]bool
}

// begin adds a read.
func (r *ledgerReads) begin() *ledgerRead {
	if *r == nil {
		*r = make(ledgerReads)
	}
	read := &ledgerRead{outdated: make(map[string]bool)}
	(*r)[read] = true
	return read
}

// outdate marks a job's record as outdated in all reads in progress.
func (r ledgerReads) outdate(job string) {
	for read := range r {
		read.outdated[job] = true
	}
}

// applyRead ends a read and applies its jobs. If it failed or a job's record in it is
// outdated, the ledger is read again. A read of an earlier term is dropped.
func (s *plannerState) applyRead(read *ledgerRead, jobs []winch.Job, err error, apply func(winch.Job)) {
	delete(s.reads, read)
	if s.ended || s.current.Load() != s {
		return // The term has ended, or the planner serves another one by now.
	}
	if err != nil {
		s.stale = true
		return
	}
	for _, j := range jobs {
		if read.outdated[j.ID] && !j.State.Final() {
			s.stale = true
			continue
		}
		apply(j)
	}
}
