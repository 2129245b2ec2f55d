package fleet

// SetEvacuated sets the failure domains that the operator has evacuated. Nothing is started there, and
// no advice is requested about workers there; what runs there goes on.
func (p *Planner) SetEvacuated(domains []string) {
	clear(p.evacuated)
	for _, d := range domains {
		p.evacuated[d] = true
	}
}

// evacuated reports whether the worker is in an evacuated failure domain.
func (w *worker) evacuated() bool {
	return w.planner.evacuated[w.vm.Domain]
}

// allEvacuated reports whether the service has workers that could be given work, but all of them are in
// evacuated failure domains.
func (x *pool) allEvacuated() bool {
	return x.evacuated > 0 && len(x.workers) == 0
}
