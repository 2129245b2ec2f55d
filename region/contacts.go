package region

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// insideNeighbours and outsideNeighbours are how many other entries of its own failure domain and of
	// other domains an entry keeps links to, beside the planner and its standby. If the store turns an entry
	// away, these pass submissions on and have the configuration.
	insideNeighbours, outsideNeighbours = 2, 3
	// contactsInterval is how often an entry looks for missing neighbours.
	contactsInterval = 500 * time.Millisecond
	// vainRequestDelay is the pause after a request for neighbours that the planner could not name any for, as in
	// a failure domain with few entries.
	vainRequestDelay = 10 * time.Second
	// neighbourTimeout is how long a neighbour may be without a link before another one replaces it.
	neighbourTimeout = 3 * time.Second
	// maxOriginAddresses bounds the addresses that a keeper remembers of entries that accepted jobs.
	maxOriginAddresses = 1024
)

// contacts holds the entries that this entry keeps links to. Their number does not depend on the size of the
// region: the planner and its standby are linked to all entries, the others to these and to a few
// neighbours, whom the planner names.
type contacts struct {
	mu         sync.Mutex
	standby    string // standby is the address of the planner's standby.
	neighbours map[string]neighbour
	// addresses holds where entries that accepted jobs are reached, by name.
	addresses map[string]string
}

// neighbour is an entry to keep a link to.
type neighbour struct {
	proto.PeerAddress
	linkedAt time.Time // linkedAt is when a link to it was last seen, or when it became a neighbour.
}

// setStandby records the address of the planner's standby and reports whether it has changed.
func (c *contacts) setStandby(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.standby != address
	c.standby = address
	return changed
}

// noteAddresses records where entries are reached.
func (c *contacts) noteAddresses(addresses map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses)+len(addresses) > maxOriginAddresses {
		c.addresses = nil
	}
	if c.addresses == nil {
		c.addresses = make(map[string]string)
	}
	maps.Copy(c.addresses, addresses)
}

// address returns where an entry is reached, or "" if that is not known.
func (c *contacts) address(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[name]
}

// linkedNeighbours returns which of the linked entries are neighbours.
func (c *contacts) linkedNeighbours(linked []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, name := range linked {
		if _, ok := c.neighbours[name]; ok {
			out = append(out, name)
		}
	}
	return out
}

// wanted returns the addresses of the standby and the neighbours.
func (c *contacts) wanted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	if c.standby != "" {
		out = append(out, c.standby)
	}
	for _, x := range c.neighbours {
		out = append(out, x.Address)
	}
	return out
}

// request drops the neighbours that have been without a link, and returns a request for the missing ones.
func (c *contacts) request(domain string, linked []string) (request proto.PeersRequest, missing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	request = proto.PeersRequest{Domain: domain, Inside: insideNeighbours, Outside: outsideNeighbours}
	for name, x := range c.neighbours {
		switch {
		case slices.Contains(linked, name):
			x.linkedAt = now
			c.neighbours[name] = x
		case now.Sub(x.linkedAt) > neighbourTimeout:
			delete(c.neighbours, name)
			continue
		}
		if x.Domain == domain {
			request.Inside--
		} else {
			request.Outside--
		}
		request.Except = append(request.Except, name)
	}
	return request, request.Inside > 0 || request.Outside > 0
}

// add adds neighbours.
func (c *contacts) add(peers []proto.PeerAddress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.neighbours == nil {
		c.neighbours = make(map[string]neighbour)
	}
	for _, p := range peers {
		c.neighbours[p.Name] = neighbour{p, time.Now()}
	}
}

// PeerAddresses returns the addresses to keep links to.
func (n *Node) PeerAddresses() []string {
	out := n.contacts.wanted()
	out = append(out, n.cell.plannerAddress())
	if n.leadership.Load() != nil {
		for _, name := range n.Peers.OneWay() {
			out = append(out, n.cell.addressOf(name))
		}
	}
	out = slices.DeleteFunc(out, func(address string) bool { return address == "" || address == n.Address })
	slices.Sort(out)
	return slices.Compact(out)
}

// runContacts keeps the neighbours up to date until ctx ends, and notices that the planner is silent. The
// planner needs no neighbours, since all entries link to it.
func (n *Node) runContacts(ctx context.Context) {
	var vainAt time.Time
	for ; ctx.Err() == nil; duty.Sleep(ctx, contactsInterval) {
		n.renewStaleWatches()
		planner := n.cell.holder()
		if planner == "" || planner == n.Name || !n.Peers.Linked(planner) {
			continue
		}
		request, missing := n.contacts.request(n.Domain, n.Peers.Names())
		if missing && time.Since(vainAt) > vainRequestDelay && !n.requestPeers(ctx, planner, request) {
			vainAt = time.Now()
		}
	}
}

// requestPeers asks the planner for neighbours, and reports whether it has named some or has not answered.
func (n *Node) requestPeers(ctx context.Context, planner string, request proto.PeersRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	var response proto.PeersResponse
	if n.Peers.Request(ctx, planner, proto.KindPeers, request, &response) != nil {
		return true
	}
	n.contacts.add(response.Peers)
	n.contactsChanged()
	return len(response.Peers) > 0
}

// peersResponse names entries that are linked to this one.
func (n *Node) peersResponse(from string, request proto.PeersRequest) proto.PeersResponse {
	var out proto.PeersResponse
	for _, m := range n.cell.present() {
		if request.Inside <= 0 && request.Outside <= 0 {
			break
		}
		if m.Name == from || slices.Contains(request.Except, m.Name) || m.Name != n.Name && !n.Peers.Linked(m.Name) {
			continue
		}
		left := &request.Outside
		if m.Domain == request.Domain {
			left = &request.Inside
		}
		if *left > 0 {
			*left--
			out.Peers = append(out.Peers, proto.PeerAddress{Name: m.Name, Address: m.Address, Domain: m.Domain})
		}
	}
	return out
}

// contactsChanged has links to new contacts established.
func (n *Node) contactsChanged() {
	if n.OnContactsChange != nil {
		n.OnContactsChange()
	}
}

// connect makes sure that there is a link to an entry, and reports whether there is one.
func (n *Node) connect(ctx context.Context, name string) bool {
	address := n.contacts.address(name)
	if address == "" {
		address = n.cell.addressOf(name)
	}
	return n.Peers.Connect(ctx, name, address) == nil
}

// originAddresses returns where the entries that accepted jobs are reached, for the keepers that ask them.
func (l *leadership) originAddresses(origins map[string]string) map[string]string {
	out := make(map[string]string)
	for _, name := range origins {
		if address := l.node.cell.addressOf(name); address != "" {
			out[name] = address
		}
	}
	return out
}

// standbyAddress returns where the standby is reached, or "" if there is none. It is called in the
// planner's goroutine.
func (l *leadership) standbyAddress() string {
	if l.standby == nil {
		return ""
	}
	return l.node.cell.addressOf(l.standby.name)
}

// notifyUnregistered has the records read of linked entries that were missing at the last report, and tells those that
// have had no record in the store for a while. Their lease may have been renewed although the record is gone.
func (l *leadership) notifyUnregistered(names []string, since map[string]time.Time) {
	linked, missing := make(map[string]bool, len(names)), make(map[string]bool)
	for _, name := range names {
		linked[name] = true
		if l.node.cell.addressOf(name) != "" {
			delete(since, name)
			continue
		}
		first, noted := since[name]
		if noted && time.Since(first) >= waitingInterval/2 {
			missing[name] = true
		}
		switch {
		case !noted:
			since[name] = time.Now()
		case time.Since(first) > nodeTTL:
			delete(since, name)
			_ = l.node.Peers.Notify(name, proto.KindUnregistered, proto.Unregistered{}) // It is told again if the link is lost.
		}
	}
	maps.DeleteFunc(since, func(name string, _ time.Time) bool { return !linked[name] })
	if len(missing) > 0 && l.node.storeResponsive() {
		l.group.Go(func() { l.node.readRecords(l.ctx, missing) })
	}
}

// readRecords reads the records of linked entries that this entry does not know. The call that waits for changes of the
// records may hang.
func (n *Node) readRecords(ctx context.Context, names map[string]bool) {
	values, _, err := n.Table.Read(ctx, prefixNode)
	if err != nil {
		return // The next report finds them missing again.
	}
	found := false
	for _, v := range values {
		var m member
		if decode(v.Data, &m) == nil && names[m.Name] && n.cell.addressOf(m.Name) == "" {
			n.cell.apply(winch.Event{Value: v})
			found = true
		}
	}
	if found {
		n.cellChanged()
	}
}
