package region

import (
	"cmp"
	"slices"
)

const (
	// workersPerKeeper is how many workers a keeper has before the failure domain gets another keeper:
	// each keeper costs the planner a session, and reports on many workers share messages.
	workersPerKeeper = 32
	// minKeepers is the minimum number of keepers in a failure domain, so that after the loss of one
	// the workers can move to another at once.
	minKeepers = 2
)

// keeperPools chooses keepers: in each failure domain the entry with the fewest workers for its
// processor share, out of as many entries as the workers need. A choice looks at the keepers of one
// domain, and only for a worker that needs another keeper.
type keeperPools struct {
	live       map[string]member
	candidates map[string][]string // candidates lists the entries of a domain that may be keepers.
	workers    map[string]int      // workers is how many workers each entry has.
	// leastLoaded caches the entry of a domain with the lowest load; "" means not known.
	leastLoaded map[string]string
}

// newKeeperPools returns pools of the live entries. Busy entries are keepers only where a failure
// domain has too few others.
func newKeeperPools(live map[string]member, busy ...string) *keeperPools {
	p := &keeperPools{
		live: live, candidates: make(map[string][]string), workers: make(map[string]int),
		leastLoaded: make(map[string]string),
	}
	busyByDomain := make(map[string][]string)
	for name, m := range live {
		if slices.Contains(busy, name) {
			busyByDomain[m.Domain] = append(busyByDomain[m.Domain], name)
		} else {
			p.candidates[m.Domain] = append(p.candidates[m.Domain], name)
		}
	}
	for domain, names := range busyByDomain {
		if len(p.candidates[domain]) < minKeepers {
			p.candidates[domain] = append(p.candidates[domain], names...)
		}
	}
	return p
}

// add counts a worker of a keeper.
func (p *keeperPools) add(keeper string) {
	if keeper != "" {
		p.workers[keeper]++
	}
}

// limit restricts the keepers of each failure domain to as many as its workers need: those with most
// workers at present, then those with the largest processor share.
func (p *keeperPools) limit(workers map[string]int) {
	for domain, names := range p.candidates {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.workers[b], p.workers[a]), cmp.Compare(p.live[b].Share, p.live[a].Share),
				cmp.Compare(a, b))
		})
		need := max(minKeepers, (workers[domain]+workersPerKeeper-1)/workersPerKeeper)
		p.candidates[domain] = names[:min(need, len(names))]
	}
}

// choose returns the keeper for a worker whose current or last keeper is given, or "" if there is no
// entry.
func (p *keeperPools) choose(domain, current string) string {
	m, found := p.live[current]
	best := p.best(domain)
	switch {
	case best == "":
		return current
	case !found, m.Domain != domain && p.live[best].Domain == domain:
	case m.Domain == p.live[best].Domain && p.workers[current]-p.workers[best] > maxImbalance:
	default:
		return current
	}
	if current != "" {
		p.workers[current]--
		p.leastLoaded[m.Domain] = ""
	}
	p.workers[best]++
	p.leastLoaded[p.live[best].Domain] = ""
	return best
}

// best returns the entry with the lowest load in a domain, or in any domain if that one has no entry.
func (p *keeperPools) best(domain string) string {
	if name := p.leastLoadedOf(domain); name != "" {
		return name
	}
	best := ""
	for other := range p.candidates {
		if name := p.leastLoadedOf(other); best == "" || p.lessLoaded(name, best) {
			best = name
		}
	}
	return best
}

func (p *keeperPools) leastLoadedOf(domain string) string {
	if name := p.leastLoaded[domain]; name != "" {
		return name
	}
	best := ""
	for _, name := range p.candidates[domain] {
		if best == "" || p.lessLoaded(name, best) {
			best = name
		}
	}
	p.leastLoaded[domain] = best
	return best
}

func (p *keeperPools) lessLoaded(a, b string) bool {
	return cmp.Or(cmp.Compare(p.load(a), p.load(b)), cmp.Compare(a, b)) < 0
}

func (p *keeperPools) load(name string) float64 {
	return float64(p.workers[name]) / float64(max(1, p.live[name].Share))
}
