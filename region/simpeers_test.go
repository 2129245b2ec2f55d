package region

import (
	"context"
	"slices"
	"time"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// simPath is one direction of the network path between two hosts.
type simPath struct{ from, to string }

// linked reports whether the link between two entries is up.
func (w *world) linked(a, b string) bool {
	return w.brokenLinks[simPath{a, b}] == 0 && w.brokenLinks[simPath{b, a}] == 0
}

// simPeers carries the messages of one entry to the others.
type simPeers struct {
	world *world
	node  *Node
}

// networkDelay is how long a message takes in one direction.
const networkDelay = time.Millisecond

// connectedPair is a pair of processes that are linked because one has called Connect.
type connectedPair struct{ a, b string }

// reaches reports whether the network carries messages between two entries. The world's mutex is held.
func (p *simPeers) reaches(n *Node) bool {
	return p.world.canReach(p.node.Domain, n.Domain) && p.world.linked(p.node.Host, n.Host)
}

// hasLink reports whether there is a link to another process: one of the two wants it, or has called Connect.
// The world's mutex is held.
func (p *simPeers) hasLink(n *Node) bool {
	if n == p.node || !p.reaches(n) {
		return false
	}
	return p.world.connected[connectedPair{p.node.Name, n.Name}] || p.world.connected[connectedPair{n.Name, p.node.Name}] ||
		slices.Contains(p.node.PeerAddresses(), n.Address) || slices.Contains(n.PeerAddresses(), p.node.Address)
}

func (p *simPeers) Names() []string {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	var out []string
	for name, n := range p.world.liveNodes() {
		if p.hasLink(n) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (p *simPeers) Linked(name string) bool { return p.target(name) != nil }

func (p *simPeers) OneWay() []string { return nil }

func (p *simPeers) Connect(_ context.Context, name, address string) error {
	if p.Linked(name) {
		return nil
	}
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	n := p.world.liveNodes()[name]
	if n == nil || n.Address != address || !p.reaches(n) {
		return winch.ErrNoPeer
	}
	p.world.connected[connectedPair{p.node.Name, name}] = true
	return nil
}

// target returns the process named to if it is linked to this entry, else nil.
func (p *simPeers) target(to string) *Node {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	n := p.world.liveNodes()[to]
	if n == nil || !p.hasLink(n) || p.world.liveNodes()[p.node.Name] == nil {
		return nil
	}
	return n
}

// delivers reports whether a message from one host to another arrives.
func (p *simPeers) delivers(from, to string) bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return p.world.blockedPaths[simPath{from, to}] == 0 && p.world.paused[from] == nil
}

// pausedEntry holds the messages that were sent to a paused entry. The process handles them when
// it is resumed, even if the sender has given up waiting by then.
type pausedEntry struct {
	notifications, requests []func()
}

// queueIfPaused keeps a message for a paused entry until it is resumed, and reports whether the
// entry is paused.
func (w *world) queueIfPaused(to *Node, isNotification bool, handle func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.paused[to.Host]
	switch {
	case held == nil:
		return false
	case isNotification:
		held.notifications = append(held.notifications, handle)
	default:
		held.requests = append(held.requests, handle)
	}
	return true
}

// drops reports whether a request is lost on its way.
func (p *simPeers) drops(to string, kind winch.Kind) bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return p.world.dropsRequest != nil && p.world.dropsRequest(p.node.Name, to, kind)
}

// delay returns how long a request waits at its receiver before it is handled.
func (p *simPeers) delay(to string, kind winch.Kind) time.Duration {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	if p.world.requestDelay == nil {
		return 0
	}
	return p.world.requestDelay(p.node.Name, to, kind)
}

// respondsOtherwise returns the response that a test has set for a request instead of the receiver's, or nil.
func (p *simPeers) respondsOtherwise(to string, kind winch.Kind) any {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	if p.world.otherResponse == nil {
		return nil
	}
	return p.world.otherResponse(p.node.Name, to, kind)
}

// setResponse sets what requests between entries are answered with instead of the receiver's response, unless it is nil.
func (w *world) setResponse(response func(from, to string, kind winch.Kind) any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.otherResponse = response
}

// setRequestLoss sets which requests between entries are lost; nil means none.
func (w *world) setRequestLoss(drops func(from, to string, kind winch.Kind) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropsRequest = drops
}

func (p *simPeers) Request(ctx context.Context, to string, kind winch.Kind, body, reply any) error {
	data, err := proto.Encode(body)
	if err != nil {
		return err
	}
	if p.world.mayBeLate() {
		return p.requestLate(ctx, to, kind, data, reply)
	}
	time.Sleep(networkDelay)
	n := p.target(to)
	if n == nil || p.drops(to, kind) || !p.delivers(p.node.Host, n.Host) || !p.carry(ctx, p.node.Host, n.Host, len(data)) {
		<-ctx.Done()
		return winch.ErrPeerLost
	}
	decode := func(into any) error { return proto.Decode(data, into) }
	if p.world.queueIfPaused(n, false, func() { n.Handle(context.Background(), p.node.Name, kind, decode) }) {
		<-ctx.Done()
		return winch.ErrPeerLost
	}
	if delay := p.delay(to, kind); delay > 0 {
		time.Sleep(delay)
		n.Handle(context.Background(), p.node.Name, kind, decode)
		return winch.ErrPeerLost
	}
	response := p.respondsOtherwise(to, kind)
	if response == nil {
		response = n.Handle(ctx, p.node.Name, kind, decode)
	}
	time.Sleep(networkDelay)
	if p.target(to) == nil || !p.delivers(n.Host, p.node.Host) {
		<-ctx.Done()
		return winch.ErrPeerLost
	}
	p.countCopy(p.node.Name, response)
	data, err = proto.Encode(response)
	if err != nil {
		return err
	}
	if !p.carry(ctx, n.Host, p.node.Host, len(data)) {
		return winch.ErrPeerLost
	}
	return proto.Decode(data, reply)
}

// requestLate is Request where messages may be late. The receiver handles the request even if the sender no longer waits.
func (p *simPeers) requestLate(ctx context.Context, to string, kind winch.Kind, data []byte, reply any) error {
	if n := p.target(to); n != nil {
		response := callLate(ctx, p.world, p.node.Host, n.Host, func() []byte { return p.exchange(to, kind, data) }, nil)
		if response != nil && p.target(to) != nil {
			return proto.Decode(response, reply)
		}
	}
	<-ctx.Done()
	return winch.ErrPeerLost
}

// exchange has the receiver handle a request and returns the response, or nil if the request or the response is lost.
func (p *simPeers) exchange(to string, kind winch.Kind, data []byte) []byte {
	time.Sleep(networkDelay)
	n := p.target(to)
	if n == nil || !p.delivers(p.node.Host, n.Host) {
		return nil
	}
	decode := func(into any) error { return proto.Decode(data, into) }
	if p.world.queueIfPaused(n, false, func() { n.Handle(context.Background(), p.node.Name, kind, decode) }) {
		return nil
	}
	response := n.Handle(p.world.ctx, p.node.Name, kind, decode)
	time.Sleep(networkDelay)
	if !p.delivers(n.Host, p.node.Host) {
		return nil
	}
	data, err := proto.Encode(response)
	if err != nil {
		return nil
	}
	return data
}

// countCopy counts a configuration, or a part of one, that is sent to an entry.
func (p *simPeers) countCopy(to string, body any) {
	settings, ok := body.(proto.Settings)
	if !ok || len(settings.Data) == 0 && settings.Part == nil {
		return
	}
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	p.world.configCopies[to]++
	p.world.configBytes += len(settings.Data)
	if settings.Part != nil {
		p.world.configBytes += len(settings.Part.Data)
	}
}

// carry carries a request or a response over a link, and reports whether it arrives while ctx lasts.
func (p *simPeers) carry(ctx context.Context, from, to string, bytes int) bool {
	if !p.world.rated() {
		return true
	}
	arrived := make(chan struct{})
	p.world.send(from, to, bytes, func() { close(arrived) })
	select {
	case <-arrived:
		return true
	case <-ctx.Done():
		return false
	}
}

// setNotifySeen sets what is called for each notification between entries.
func (w *world) setNotifySeen(seen func(kind winch.Kind)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notifySeen = seen
}

func (p *simPeers) Notify(to string, kind winch.Kind, body any) error {
	p.world.mu.Lock()
	seen := p.world.notifySeen
	p.world.mu.Unlock()
	if seen != nil {
		seen(kind)
	}
	n := p.target(to)
	if n == nil {
		return winch.ErrNoPeer
	}
	p.countCopy(to, body)
	data, err := proto.Encode(body)
	if err != nil {
		return err
	}
	if !p.delivers(p.node.Host, n.Host) {
		return nil // The message is lost. The blocked path breaks the link a moment later.
	}
	handle := func() {
		n.Handle(context.Background(), p.node.Name, kind, func(into any) error { return proto.Decode(data, into) })
	}
	deliver := func() {
		if !p.world.queueIfPaused(n, true, handle) {
			handle()
		}
	}
	if p.world.rated() {
		p.world.send(p.node.Host, n.Host, len(data), deliver)
		return nil
	}
	if p.world.mayBeLate() {
		at := p.world.arrival(p.node.Host, n.Host)
		p.world.group.Go(func() {
			duty.Sleep(p.world.ctx, time.Until(at))
			deliver()
		})
		return nil
	}
	p.world.mu.Lock()
	delay := p.world.notifyDelay
	p.world.mu.Unlock()
	if delay == nil {
		deliver()
		return nil
	}
	if wait, arrives := delay(p.node.Host, n.Host, kind); arrives && wait == 0 {
		deliver()
	} else if arrives {
		p.world.group.Go(func() {
			time.Sleep(wait)
			deliver()
		})
	}
	return nil
}

// setNotifyDelay sets how long notifications between hosts wait on their way, and whether they arrive.
func (w *world) setNotifyDelay(delay func(from, to string, kind winch.Kind) (time.Duration, bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notifyDelay = delay
}
