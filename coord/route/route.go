// Package route chooses the entry from which a call requests a slot.
package route

import (
	"math/rand/v2"

	"plantainwinch/coord/member"
	"plantainwinch/proto"
)

// candidate is an entry that has executors of the service.
type candidate struct {
	name string
	load proto.Load
	near bool // near is set for an entry in the same failure domain.
}

// free returns the number of slots that are neither busy nor claimed by queued calls.
func (c candidate) free() int {
	return c.load.Slots - c.load.Busy - c.load.Queued
}

// utilization returns the number of calls per slot.
func (c candidate) utilization() float64 {
	return float64(c.load.Busy+c.load.Queued) / float64(max(1, c.load.Slots))
}

// Pick returns the entry from which to request a slot of a service, or "" if no entry has executors
// of it. This entry is preferred if it has a free slot, since that saves a network hop. Next come
// entries with free slots in the same failure domain, then those in other domains; of each group
// it takes the less loaded of two random entries. If no entry has a free slot, it takes the less
// loaded of two random ones of all entries that have executors of the service. The entries in skip
// were tried before.
func Pick(view *member.View, service string, own []proto.Load, skip map[string]bool, rnd *rand.Rand) string {
	var near, far, all []candidate
	consider := func(name string, loads []proto.Load, isNear bool) {
		for _, l := range loads {
			if l.Service != service || l.Slots == 0 || skip[name] {
				continue
			}
			c := candidate{name, l, isNear}
			all = append(all, c)
			switch {
			case c.free() <= 0:
			case isNear:
				near = append(near, c)
			default:
				far = append(far, c)
			}
		}
	}
	if !view.Leaving {
		consider(view.Self, own, true)
	}
	if len(near) > 0 {
		return view.Self
	}
	for _, p := range view.Peers {
		if !p.Beat.Leaving {
			consider(p.Name, p.Beat.Loads, p.Beat.Domain == view.Domain)
		}
	}
	for _, group := range [][]candidate{near, far, all} {
		if len(group) > 0 {
			return lessLoaded(group, rnd)
		}
	}
	return ""
}

// lessLoaded returns the name of the less loaded of two random entries of a group.
func lessLoaded(group []candidate, rnd *rand.Rand) string {
	a, b := group[rnd.IntN(len(group))], group[rnd.IntN(len(group))]
	if b.utilization() < a.utilization() {
		return b.name
	}
	return a.name
}
