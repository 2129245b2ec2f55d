package region

import (
	"cmp"
	"slices"
)

const (
	// workersPerKeeper is how many workers a keeper has before the failure domain gets another keeper:
	// each keeper costs the planner a session, and reports on many workers share messages.
	keeperWorkers = 32
	// minKeepers is the minimum number of keepers in a failure domain, so that after the loss of one
	// the workers can move to another at once.
	leastKeepers = 2
)

// keeperPools chooses keepers: in each failure domain the entry with the fewest workers for its
// processor share, out of as many entries as the workers need. A choice looks at the keepers of one
// domain, and only for a worker that needs another keeper.
type pools struct {
	live  map[string]member
	names map[string][]string // candidates lists the entries of a domain that may be keepers.
	count map[string]int      // workers is how many workers each entry has.
	// leastLoaded caches the entry of a domain with the lowest load; "" means not known.
	least map[string]string
}

// newKeeperPools returns pools of the live entries. Busy entries are keepers only where a failure
// domain has too few others.
func newPools(live map[string]member, busy ...string) *pools {
	p := &pools{
		live: live, names: make(map[string][]string), count: make(map[string]int),
		least: make(map[string]string),
	}
	busyByDomain := make(map[string][]string)
	for name, m := range live {
		if slices.Contains(busy, name) {
			busyByDomain[m.Domain] = append(busyByDomain[m.Domain], name)
		} else {
			p.names[m.Domain] = append(p.names[m.Domain], name)
		}
	}
	for domain, names := range busyByDomain {
		if len(p.names[domain]) < leastKeepers {
			p.names[domain] = append(p.names[domain], names...)
		}
	}
	return p
}

// add counts a worker of a keeper.
func (p *pools) add(keeper string) {
	if keeper != "" {
		p.count[keeper]++
	}
}

// limit restricts the keepers of each failure domain to as many as its workers need: those with most
// workers at present, then those with the largest processor share.
func (p *pools) limit(workers map[string]int) {
	for domain, names := range p.names {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.count[b], p.count[a]), cmp.Compare(p.live[b].Share, p.live[a].Share),
				cmp.Compare(a, b))
		})
		need := max(leastKeepers, (workers[domain]+keeperWorkers-1)/keeperWorkers)
		p.names[domain] = names[:min(need, len(names))]
	}
}

// choose returns the keeper for a worker whose current or last keeper is given, or "" if there is no
// entry.
func (p *pools) choose(domain, current string) string {
	m, found := p.live[current]
	best := p.best(domain)
	switch {
	case best == "":
		return current
	case !found, m.Domain != domain && p.live[best].Domain == domain:
	case m.Domain == p.live[best].Domain && p.count[current]-p.count[best] > uneven:
	default:
		return current
	}
	if current != "" {
		p.count[current]--
		p.least[m.Domain] = ""
	}
	p.count[best]++
	p.least[p.live[best].Domain] = ""
	return best
}

// best returns the entry with the lowest load in a domain, or in any domain if that one has no entry.
func (p *pools) best(domain string) string {
	if name := p.leastOf(domain); name != "" {
		return name
	}
	best := ""
	for other := range p.names {
		if name := p.leastOf(other); best == "" || p.less(name, best) {
			best = name
		}
	}
	return best
}

func (p *pools) leastOf(domain string) string {
	if name := p.least[domain]; name != "" {
		return name
	}
	best := ""
	for _, name := range p.names[domain] {
		if best == "" || p.less(name, best) {
			best = name
		}
	}
	p.least[domain] = best
	return best
}

func (p *pools) less(a, b string) bool {
	return cmp.Or(cmp.Compare(p.load(a), p.load(b)), cmp.Compare(a, b)) < 0
}

func (p *pools) load(name string) float64 {
	return float64(p.count[name]) / float64(max(1, p.live[name].Share))
}
