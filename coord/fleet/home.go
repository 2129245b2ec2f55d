package fleet

import (
	"hash/fnv"
	"slices"
)

// homeDomain returns the failure domain in which the tasks of a phase are started while it has capacity:
// the same for all phases of a job, and spread over the domains. If a domain is partitioned, jobs at home
// in the others have all their tasks at hand. Lasting tasks and tasks with data in a rack have none.
func (p *Planner) homeDomain(s *phase) string {
	if !p.Policy.HomeDomain || s.spec.Lasting || s.spec.Rack != "" || len(p.domains) == 0 {
		return ""
	}
	j := s.job
	if !slices.Contains(p.domains, j.home) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(j.rec.ID)) // It never fails.
		j.home = p.domains[int(h.Sum32())%len(p.domains)]
	}
	return j.home
}

// updateDomains collects the failure domains with workers that may be given work.
func (p *Planner) updateDomains() {
	p.domains = p.domains[:0]
	for _, w := range p.byID {
		if w.usable() && !slices.Contains(p.domains, w.vm.Domain) {
			p.domains = append(p.domains, w.vm.Domain)
		}
	}
	slices.Sort(p.domains)
}
