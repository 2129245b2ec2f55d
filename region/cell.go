package region

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"plantainwinch/winch"
)

// endedBootRetention is how long an ended boot of an entry is remembered. It is longer than
// any lease that the boot can have granted.
const endedBootRetention = time.Minute

// endedBootInterval is the minimum time between two searches for boots to forget.
const endedBootInterval = time.Second

// maxEarlierBoots bounds the earlier boots that a record names. An entry that is killed
// repeatedly starts about once a second, and a lease lasts five seconds.
const maxEarlierBoots = 8

// cellView is the local copy of the cell's records in the store. The cell is the set of
// entries that run one region; its records are those of the entries, the office, the last
// term and the standby. Only the planner, its standby and an entry that is about to take the office
// know all of them; the others know the office and the last term, so that what an entry reads does not grow
// with the number of entries.
type cellView struct {
	mu      sync.Mutex
	members map[string]member // members holds the present records by node.
	// nodes holds the nodes of the present records by the name of the boot, byAddress by the address.
	nodes, byAddress map[string]string
	full             bool // full says that all records are known.
	// lastRecords holds the latest record of each node, also after its removal. endedBoots
	// holds, by name, a time by which the boot had ended: another one listens at its address.
	lastRecords    map[string]member
	endedBoots     map[string]time.Time
	bootsDroppedAt time.Time // bootsDroppedAt is when old boots were last dropped from endedBoots.
	// currentBoots holds the present boot of each node.
	currentBoots map[string]observedBoot
	office       office
	// officeRevision and termRevision are the revisions of the records; zero if there is none.
	officeRevision uint64
	term           office
	termRevision   uint64
	// terms holds when later terms were first seen, the earliest first.
	terms []termSeen
	// standby is the recorded standby of the last planner.
	standby         standbyRecord
	standbyRevision uint64
	loaded          bool // loaded is set once the office and the last term have been read.
}

// observedBoot is a boot of an entry whose record was seen.
type observedBoot struct {
	name         string
	revision     uint64    // revision is that of the first record seen of the boot.
	runningSince time.Time // runningSince is a time at which the boot was already running.
}

// maxClockDrift is the fraction by which an entry's clock may run too fast.
const maxClockDrift = 0.025

// runningSince returns a time at which the boot that wrote the record was already running.
// The record has to be one that has just arrived.
func (m *member) runningSince() time.Time {
	return time.Now().Add(-time.Duration(float64(m.Up) * (1 - maxClockDrift)))
}

// initBoots creates the maps of boots. The caller holds the mutex.
func (c *cellView) initBoots() {
	if c.lastRecords == nil {
		c.lastRecords, c.endedBoots, c.currentBoots = make(map[string]member), make(map[string]time.Time), make(map[string]observedBoot)
	}
}

// apply updates the view with a change of one key.
func (c *cellView) apply(e winch.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		c.initMembers()
	}
	c.initBoots()
	switch {
	case strings.HasPrefix(e.Key, prefixNode):
		name := strings.TrimPrefix(e.Key, prefixNode)
		var m member
		c.removeMember(name)
		if e.Deleted || decode(e.Data, &m) != nil {
			return
		}
		c.members[name], c.nodes[m.Name], c.byAddress[m.Address] = m, name, name
		c.noteReplaced(c.lastRecords[name], m)
		c.noteEnded(m.runningSince(), m.Before...)
		c.lastRecords[name] = m
		if c.currentBoots[name].name != m.Name {
			c.currentBoots[name] = observedBoot{m.Name, e.Version, m.runningSince()}
		}
	case e.Key == keyOffice:
		c.office, c.officeRevision = office{}, 0
		if !e.Deleted && decode(e.Data, &c.office) == nil {
			c.officeRevision = e.Version
			c.setTerm(c.office, e.Version) // Both records are written in one transaction.
		}
	case e.Key == keyTerm:
		var term office
		if !e.Deleted && decode(e.Data, &term) == nil {
			c.setTerm(term, e.Version)
		}
	case e.Key == keyStandby:
		if !e.Deleted && decode(e.Data, &c.standby) == nil {
			c.standbyRevision = e.Version
		}
	}
}

// initMembers drops all members. The caller holds the mutex.
func (c *cellView) initMembers() {
	c.members, c.nodes, c.byAddress = make(map[string]member), make(map[string]string), make(map[string]string)
}

// removeMember drops the record of a node. The caller holds the mutex.
func (c *cellView) removeMember(node string) {
	old, present := c.members[node]
	if !present {
		return
	}
	delete(c.members, node)
	if c.nodes[old.Name] == node {
		delete(c.nodes, old.Name)
	}
	if c.byAddress[old.Address] == node {
		delete(c.byAddress, old.Address)
	}
}

// setTerm stores the record of the last term. The caller holds the mutex.
func (c *cellView) setTerm(term office, revision uint64) {
	if revision < c.termRevision {
		return
	}
	c.term, c.termRevision = term, revision
	c.noteTerm(term.Term)
}

// noteReplaced records that the boot of the old record has ended, if another boot now
// listens at its address. The caller holds the mutex.
func (c *cellView) noteReplaced(old, next member) {
	if old.Name == "" || old.Name == next.Name || old.Address != next.Address {
		return
	}
	c.noteEnded(next.runningSince(), old.Name)
}

// noteEnded records a time by which the named boots had ended. The first recorded time of a boot
// stays. The caller holds the mutex.
func (c *cellView) noteEnded(by time.Time, names ...string) {
	c.dropOldBoots()
	for _, name := range names {
		if _, noted := c.endedBoots[name]; !noted {
			c.endedBoots[name] = by
		}
	}
}

// dropOldBoots forgets the boots that have ended long ago, at most once per endedBootInterval. The caller
// holds the mutex.
func (c *cellView) dropOldBoots() {
	if time.Since(c.bootsDroppedAt) < endedBootInterval {
		return
	}
	c.bootsDroppedAt = time.Now()
	for name, at := range c.endedBoots {
		if time.Since(at) > endedBootRetention {
			delete(c.endedBoots, name)
		}
	}
}

// endedBy returns a time by which a boot of an entry had ended, and whether it is known to
// have ended.
func (c *cellView) endedBy(name string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.endedBoots[name]
	return at, ok
}

// noteSuccessor records that the named boot at an address has ended, if another boot has
// registered there after the given revision, at which some record still named the former.
func (c *cellView) noteSuccessor(name, address string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	node, registered := c.byAddress[address]
	if !registered {
		return
	}
	if m, s := c.members[node], c.currentBoots[node]; m.Name != name && s.name == m.Name && s.revision > revision {
		c.noteEnded(s.runningSince, name)
	}
}

// addressOf returns the address of a registered boot, or "" if it is not registered.
func (c *cellView) addressOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	node, registered := c.nodes[name]
	if !registered {
		return ""
	}
	return c.members[node].Address
}

// present returns the members in no particular order.
func (c *cellView) present() []member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.members))
}

// plannerAddress returns the address of the office's holder, or "" if the office is free.
func (c *cellView) plannerAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.office.Address
}

// currentTerm returns the last known term.
func (c *cellView) currentTerm() office {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// lastTermRevision returns the revision of the record of the last known term.
func (c *cellView) lastTermRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.termRevision
}

// noteEarlierBoot records that an earlier boot of this entry had ended when this one began.
func (c *cellView) noteEarlierBoot(name string, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initBoots()
	c.noteEnded(began, name)
}

// reset replaces the members and the office with those in the records that were read, and applies
// the other records.
func (c *cellView) reset(values []winch.Value) {
	c.mu.Lock()
	c.initMembers()
	c.office, c.officeRevision = office{}, 0
	c.loaded, c.full = true, true
	c.mu.Unlock()
	for _, v := range values {
		c.apply(winch.Event{Value: v})
	}
}

// resetOffice replaces the office and the last term with those in the records that were read, and drops what is
// known of the other records.
func (c *cellView) resetOffice(values []winch.Value) {
	c.mu.Lock()
	c.members, c.nodes, c.byAddress = nil, nil, nil
	c.office, c.officeRevision = office{}, 0
	c.standby, c.standbyRevision = standbyRecord{}, 0
	c.loaded, c.full = true, false
	c.mu.Unlock()
	for _, v := range values {
		c.apply(winch.Event{Value: v})
	}
}

// isFull reports whether all records are known.
func (c *cellView) isFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.full
}

// holder returns the name of the office's holder, or "" if the office is free.
func (c *cellView) holder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.office.Holder
}

// list returns the members, those with the largest share of a processor first.
func (c *cellView) list() []member {
	out := c.present()
	slices.SortFunc(out, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Node, b.Node))
	})
	return out
}

// replaced reports whether the office was taken after the given revision, at which it was taken last as
// far as the caller knows.
func (c *cellView) replaced(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.officeRevision > revision
}
