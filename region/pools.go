package region

import (
	"cmp"
	"slices"
)

const (
	// keeperWorkers is how many workers a keeper has before the failure domain gets another
	// one: each costs the planner a session, and news of many workers share messages.
	keeperWorkers = 32
	// leastKeepers is how many keepers a failure domain has at least, so that the loss of
	// one leaves others that the workers can go to at once.
	leastKeepers = 2
)

// pools chooses keepers: in each failure domain the entry with the fewest workers
// for its processor share, among as many as its workers need. A choice looks at the
// keepers of one domain, and only for a worker that needs another keeper.
type pools struct {
	live  map[string]member
	names map[string][]string // names lists the entries of a domain that may be keepers.
	count map[string]int      // count is how many workers each entry has.
	least map[string]string   // least is the entry of a domain with the least load; "" is not known.
}

// newPools returns pools of the live entries. Busy entries are keepers only where a failure
// domain has too few others.
func newPools(live map[string]member, busy ...string) *pools {
	p := &pools{live: live, names: make(map[string][]string), count: make(map[string]int), least: make(map[string]string)}
	spare := make(map[string][]string)
	for name, m := range live {
		if slices.Contains(busy, name) {
			spare[m.Domain] = append(spare[m.Domain], name)
		} else {
			p.names[m.Domain] = append(p.names[m.Domain], name)
		}
	}
	for domain, names := range spare {
		if len(p.names[domain]) < leastKeepers {
			p.names[domain] = append(p.names[domain], names...)
		}
	}
	return p
}

// add counts a worker that a keeper has.
func (p *pools) add(keeper string) {
	if keeper != "" {
		p.count[keeper]++
	}
}

// limit leaves as many keepers in each failure domain as its workers need: those that have
// most of them now, then those with most processor.
func (p *pools) limit(workers map[string]int) {
	for domain, names := range p.names {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.count[b], p.count[a]), cmp.Compare(p.live[b].Share, p.live[a].Share), cmp.Compare(a, b))
		})
		need := max(leastKeepers, (workers[domain]+keeperWorkers-1)/keeperWorkers)
		p.names[domain] = names[:min(need, len(names))]
	}
}

// choose returns the keeper for a worker that has one now, or had one, or "" if
// there is no entry.
func (p *pools) choose(domain, now string) string {
	m, there := p.live[now]
	best := p.best(domain)
	switch {
	case best == "":
		return now
	case !there, m.Domain != domain && p.live[best].Domain == domain:
	case m.Domain == p.live[best].Domain && p.count[now]-p.count[best] > uneven:
	default:
		return now
	}
	if now != "" {
		p.count[now]--
		p.least[m.Domain] = ""
	}
	p.count[best]++
	p.least[p.live[best].Domain] = ""
	return best
}

// best returns the entry with the least load in a domain, or in any where it has none.
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
