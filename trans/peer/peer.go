// Package peer maintains the links between entries. A link is a WebSocket that carries CBOR frames.
// Entries that name their address in the hello send requests on a link in both directions, so that one
// link serves a pair. Others send requests on the links that they dialled only.
package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Path is the URL path at which an entry accepts links.
const Path = "/Peer"

const (
	// sendQueueSize limits the messages that wait to be sent on one link. An entry has
	// links in both directions to hundreds of others, and the memory of each queue is
	// allocated with the link. So a queue holds pointers, an eighth of the size of the frames.
	sendQueueSize = 512
	// maxHandlers limits the requests of one link that are handled concurrently.
	maxHandlers = 4096
	// maxFrameSize limits a WebSocket message; the largest frames carry a configuration
	// document.
	maxFrameSize = 4 << 20
	// redialInterval is the delay between attempts to connect to a peer.
	redialInterval = 500 * time.Millisecond
	// dialGatherDelay is how long DialSoon waits for further changes: hundreds of peers may start at
	// once, and each look goes over all of them.
	dialGatherDelay = 20 * time.Millisecond
	// sendTimeout limits a write; it ends a link whose peer no longer reads.
	sendTimeout = 5 * time.Second
	// maxBatchFrames and maxBatchBytes limit the frames sent in one WebSocket message.
	maxBatchFrames = 64
	maxBatchBytes  = 64 << 10
	helloTimeout   = 2 * time.Second
	// simultaneousDial is how long after a link was established another one of the same pair counts as
	// dialled at the same time. A peer that dials later than that has lost the earlier link.
	simultaneousDial = time.Second
	// retireDelay is how long a link still serves after another one that was dialled at the same time has replaced it: the
	// peer may have sent requests on it before it knew of the other one.
	retireDelay = time.Second
	// idleTimeout is how long a link that no entry wants to keep may be unused.
	idleTimeout = 5 * time.Second
	// pingTimeout limits the response time to a ping, which is sent after a request has
	// timed out. After a network partition has healed, an old connection resumes only
	// seconds later or never, while a new connection works immediately. A peer that is
	// merely busy still responds, because pings do not pass through its handlers.
	pingTimeout = time.Second
)

// Mesh maintains links to all peers. Its exported fields must be set before Run.
type Mesh struct {
	Self    proto.Hello
	Token   string
	Handler winch.Handler
	Log     *zap.Logger
	Metrics metrics.Registry
	// Addresses returns the possible addresses of peers. It is called periodically.
	Addresses func() []string
	// FirstMessage returns the first message to send on a new link to a peer.
	FirstMessage func(peer string) (winch.Kind, any)
	// OnLinkChange is called when a link to a peer has been established or lost.
	OnLinkChange func(hello proto.Hello, up bool)

	mu      sync.Mutex
	dialNow chan struct{} // dialNow is closed by DialSoon; nil if nothing waits for that.
	links   map[string]*link
	// claimed holds the addresses that a goroutine dials or has a link to. The channels are closed once
	// the attempt to connect has ended.
	claimed map[string]chan struct{}
	// dialers runs the goroutines that dial, with dialCtx; nil while Run is not running.
	dialers *conc.WaitGroup
	dialCtx context.Context
	blocked map[string]bool // blocked holds the peers named by Partition.
	// accepted holds the links that peers dialled. After stopped is set no more are
	// accepted.
	accepted map[*link]bool
	stopped  bool
	bytes    atomic.Int64
	frames   atomic.Int64
}

var _ winch.Links = (*Mesh)(nil)

// Cost returns the number of frames and bytes sent and received so far.
func (m *Mesh) Cost() (frames, bytes int64) {
	return m.frames.Load(), m.bytes.Load()
}

// Partition closes and refuses links with exactly the named peers, in both directions,
// until the next call. Tests simulate network partitions with it.
func (m *Mesh) Partition(names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked = make(map[string]bool, len(names))
	for _, name := range names {
		m.blocked[name] = true
		if l := m.links[name]; l != nil {
			_ = l.conn.CloseNow()
		}
	}
}

func (m *Mesh) isBlocked(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blocked[name]
}

// Names implements winch.Peers.
func (m *Mesh) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.links))
	for name := range m.links {
		out = append(out, name)
	}
	return out
}

// Linked reports whether there is a link to an entry.
func (m *Mesh) Linked(name string) bool {
	return m.linkTo(name) != nil
}

// OneWay returns the peers that have dialled this entry and accept no requests on that link, since they name
// no address in their hello.
func (m *Mesh) OneWay() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for l := range m.accepted {
		if !m.twoWay(l) {
			out = append(out, l.hello.Entry)
		}
	}
	return out
}

// twoWay reports whether both entries send requests on a link.
func (m *Mesh) twoWay(l *link) bool {
	return m.Self.Address != "" && l.hello.Address != ""
}

// linkedAddresses returns the addresses of the peers that this entry has links to, as far as they name them.
func (m *Mesh) linkedAddresses() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]bool, len(m.links))
	for _, l := range m.links {
		if m.twoWay(l) {
			out[l.hello.Address] = true
		}
	}
	return out
}

// Run connects to the entries at the addresses that Addresses returns, and connects again to those
// whose links break, until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var group conc.WaitGroup
	m.mu.Lock()
	m.dialers, m.dialCtx = &group, ctx
	m.mu.Unlock()
	for ctx.Err() == nil {
		wanted := m.Addresses()
		m.dialWanted(wanted)
		m.closeIdle(wanted)
		m.pause(ctx)
	}
	m.closeAccepted()
	m.mu.Lock()
	m.dialers = nil
	m.mu.Unlock()
	group.Wait()
}

// add registers a link for messages to its peer. It reports false if the link must not be used: the peer is
// partitioned or this entry itself, or another link to it serves. Of two links that were dialled at the same time, the one
// that is not used is retired.
func (m *Mesh) add(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links == nil {
		m.links = make(map[string]*link)
	}
	old := m.links[l.hello.Entry]
	if l.hello.Entry == m.Self.Entry || m.blocked[l.hello.Entry] {
		return false
	}
	if old != nil && !m.replaces(l, old) {
		if m.dialledTogether(l, old) {
			l.retire()
		}
		return false
	}
	if old != nil && m.dialledTogether(l, old) {
		old.retire()
	} else if old != nil {
		_ = old.conn.CloseNow()
	}
	m.links[l.hello.Entry] = l
	return true
}

// dialledTogether reports whether a new and an older link to a peer were dialled at the same time, one by each entry.
func (m *Mesh) dialledTogether(l, old *link) bool {
	return m.twoWay(l) && (l.dialled == "") != (old.dialled == "") && time.Since(old.since) <= simultaneousDial
}

// replaces reports whether a new link is to be used instead of an older one to the same peer. If both
// entries have dialled at the same time, both keep the link that the one with the smaller name dialled.
func (m *Mesh) replaces(l, old *link) bool {
	switch {
	case !m.twoWay(l):
		return false
	case (l.dialled == "") == (old.dialled == ""):
		return l.dialled == ""
	case l.dialled == "" && time.Since(old.since) > simultaneousDial:
		return true
	}
	return (l.dialled != "") == (m.Self.Entry < l.hello.Entry)
}

// remove unregisters a link that has broken, and reports whether it was the one to its peer.
func (m *Mesh) remove(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.hello.Entry] != l {
		return false
	}
	delete(m.links, l.hello.Entry)
	return true
}

// ServeHTTP accepts a link and runs it until it breaks.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	authorization := r.Header.Get("Authorization")
	if subtle.ConstantTimeCompare([]byte(authorization), []byte("Bearer "+m.Token)) != 1 {
		http.Error(w, "peer token is wrong: set [Peers] Token to the same value on all entries", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	conn.SetReadLimit(maxFrameSize)
	ctx, cancel := context.WithTimeout(r.Context(), helloTimeout)
	defer cancel()
	l, err := m.readHello(ctx, conn)
	if err != nil || m.isBlocked(l.hello.Entry) {
		_ = conn.CloseNow()
		return
	}
	if m.write(ctx, conn, proto.Frame{Kind: proto.KindHello, Body: encode(m.Self)}) != nil {
		_ = conn.CloseNow()
		return
	}
	if !m.trackAccepted(l, true) {
		_ = conn.CloseNow()
		return
	}
	defer m.trackAccepted(l, false)
	if !m.twoWay(l) {
		l.run(r.Context(), m.Handler)
		return
	}
	m.sendFirst(l)
	if !m.add(l) {
		l.runRetired(r.Context(), m.Handler)
		return
	}
	m.OnLinkChange(l.hello, true)
	l.run(r.Context(), m.Handler)
	if m.remove(l) {
		m.OnLinkChange(l.hello, false)
	}
}

// trackAccepted registers an accepted link, or unregisters it if open is false. It
// returns whether the link may be used. The HTTP server does not track hijacked
// connections, so the mesh closes them when it stops; otherwise a peer would continue
// to send requests to an entry that has stopped.
func (m *Mesh) trackAccepted(l *link, open bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted == nil {
		m.accepted = make(map[*link]bool)
	}
	if !open {
		delete(m.accepted, l)
		return false
	}
	m.accepted[l] = true
	return !m.stopped
}

func (m *Mesh) closeAccepted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for l := range m.accepted {
		_ = l.conn.CloseNow()
	}
}

func encode(v any) []byte {
	data, err := proto.Encode(v)
	if err != nil {
		panic(fmt.Sprintf("message %T cannot be encoded: %v", v, err))
	}
	return data
}

func (m *Mesh) write(ctx context.Context, conn *websocket.Conn, frames ...proto.Frame) error {
	data := encode(frames)
	m.count("Peer.Sent.", frames, len(data))
	return merry.Wrap(conn.Write(ctx, websocket.MessageBinary, data))
}

func (m *Mesh) read(ctx context.Context, conn *websocket.Conn) (frames []proto.Frame, err error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	err = proto.Decode(data, &frames)
	m.count("Peer.Received.", frames, len(data))
	return frames, merry.Wrap(err)
}

// count adds to the totals of frames and bytes and to the counters by kind.
func (m *Mesh) count(name string, frames []proto.Frame, bytes int) {
	m.frames.Add(int64(len(frames)))
	m.bytes.Add(int64(bytes))
	for _, f := range frames {
		metrics.GetOrRegisterCounter(name+string(f.Kind), m.Metrics).Inc(int64(len(f.Body)))
	}
}

// Notify implements winch.Peers. It returns winch.ErrNoPeer if the send queue is full.
func (m *Mesh) Notify(to string, kind winch.Kind, body any) error {
	l := m.linkTo(to)
	if l == nil {
		return winch.ErrNoPeer
	}
	return l.enqueue(proto.Frame{Kind: kind, Body: encode(body)})
}

// Request implements winch.Peers.
func (m *Mesh) Request(ctx context.Context, to string, kind winch.Kind, body, reply any) error {
	l := m.linkTo(to)
	if l == nil {
		return winch.ErrNoPeer
	}
	ch := make(chan proto.Frame, 1)
	id := l.register(ch)
	defer l.unregister(id)
	if err := l.enqueue(proto.Frame{ID: id, Kind: kind, Body: encode(body)}); err != nil {
		return err
	}
	select {
	case f := <-ch:
		return merry.Wrap(proto.Decode(f.Body, reply))
	case <-l.closed:
		return winch.ErrPeerLost
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.requestPing()
		}
		return ctx.Err()
	}
}
