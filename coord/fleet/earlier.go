package fleet

// The ways in which the planner learns what work of earlier planners may run at a worker.
const (
	EarlierNotListed = "not in the list of workers" // EarlierNotListed stands for a worker that nobody knows any more.
	EarlierListed    = "lists of the worker"
	EarlierReported  = "report of the keeper or record" // EarlierReported includes what a standby or the roster knows.
	EarlierReplaced  = "other boot"
	EarlierExpired   = "lease expired"
	EarlierWaitOver  = "wait over" // EarlierWaitOver says that the longest time has passed for which work may run anywhere.
)

// noteEarlier notes that it is known what work of earlier planners may run at a worker.
func (p *Planner) noteEarlier(id, how string) {
	if !p.roster[id] {
		return
	}
	delete(p.roster, id)
	if p.earlier == nil {
		p.earlier = make(map[string][]string)
	}
	p.earlier[how] = append(p.earlier[how], id)
}

// EarlierKnown returns the workers at which it has become known since the last call what work of earlier planners may
// run, by how it was learned.
func (p *Planner) EarlierKnown() map[string][]string {
	out := p.earlier
	p.earlier = nil
	return out
}
