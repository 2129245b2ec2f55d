package peer

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// DialSoon makes the mesh dial at once the peers that it has no link to, for example because the set of
// addresses has changed.
func (m *Mesh) DialSoon() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dialNow != nil {
		close(m.dialNow)
		m.dialNow = nil
	}
}

// pause waits for redialInterval, or until DialSoon is called or ctx ends.
func (m *Mesh) pause(ctx context.Context) {
	m.mu.Lock()
	if m.dialNow == nil {
		m.dialNow = make(chan struct{})
	}
	wake := m.dialNow
	m.mu.Unlock()
	timer := time.NewTimer(redialInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
		sleep(ctx, dialGatherDelay)
	}
}

// claim reserves an address for one goroutine that dials it. The returned channel is closed once the attempt
// has succeeded or failed; fresh reports whether the address was free.
func (m *Mesh) claim(address string) (attempt chan struct{}, fresh bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claimed == nil {
		m.claimed = make(map[string]chan struct{})
	}
	if attempt, claimed := m.claimed[address]; claimed {
		return attempt, false
	}
	attempt = make(chan struct{})
	m.claimed[address] = attempt
	return attempt, true
}

func (m *Mesh) unclaim(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claimed, address)
}

// dialWanted dials the wanted addresses that the mesh has no link to.
func (m *Mesh) dialWanted(wanted []string) {
	linked := m.linkedAddresses()
	for _, address := range wanted {
		if !linked[address] {
			m.startDial(address)
		}
	}
}

// startDial starts an attempt to connect to an address, unless there is one or the mesh is stopping, and
// returns the channel that is closed when the attempt ends.
func (m *Mesh) startDial(address string) <-chan struct{} {
	attempt, fresh := m.claim(address)
	if !fresh {
		return attempt
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dialers == nil {
		delete(m.claimed, address)
		close(attempt)
		return attempt
	}
	ctx := m.dialCtx
	m.dialers.Go(func() {
		defer m.unclaim(address)
		m.connect(ctx, address, attempt)
	})
	return attempt
}

// connect dials an address once and runs the link until it breaks. Run dials it again with its next look
// at the addresses. The channel is closed once the link is established or the attempt has failed.
func (m *Mesh) connect(ctx context.Context, address string, attempt chan struct{}) {
	ended := sync.OnceFunc(func() { close(attempt) })
	defer ended()
	l, err := m.dial(ctx, address)
	if err != nil {
		metrics.GetOrRegisterCounter("Peer.DialFailed", m.Metrics).Inc(1)
		return
	}
	l.dialled = address
	m.sendFirst(l)
	if !m.add(l) {
		ended()
		l.runRetired(ctx, m.dialledHandler(l))
		sleep(ctx, 10*redialInterval)
		return
	}
	m.OnLinkChange(l.hello, true)
	ended()
	l.run(ctx, m.dialledHandler(l))
	if m.remove(l) {
		m.OnLinkChange(l.hello, false)
	}
}

// dialledHandler returns the handler of requests on a link that this entry has dialled. A peer without an
// address in its hello sends none.
func (m *Mesh) dialledHandler(l *link) winch.Handler {
	if !m.twoWay(l) {
		return nil
	}
	return m.Handler
}

// sendFirst queues the first message of a link.
func (m *Mesh) sendFirst(l *link) {
	if m.FirstMessage != nil {
		kind, body := m.FirstMessage(l.hello.Entry)
		_ = l.enqueue(proto.Frame{Kind: kind, Body: encode(body)})
	}
}

// Connect establishes a link to an entry unless there is one, and returns winch.ErrNoPeer if that fails. The
// link is closed once it is idle, unless its address is one of Addresses.
func (m *Mesh) Connect(ctx context.Context, name, address string) error {
	if m.Linked(name) {
		return nil
	}
	if address == "" {
		return winch.ErrNoPeer
	}
	select {
	case <-m.startDial(address):
	case <-ctx.Done():
	}
	if !m.Linked(name) {
		return winch.ErrNoPeer
	}
	return nil
}

// closeIdle closes the links that this entry has dialled and that are neither wanted nor used. It does so
// only in a mesh with two-way links; in others all links are wanted.
func (m *Mesh) closeIdle(wanted []string) {
	if m.Self.Address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.dialled != "" && !slices.Contains(wanted, l.dialled) && time.Since(l.lastUsed()) > idleTimeout {
			_ = l.conn.CloseNow()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (m *Mesh) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + m.Token}}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPHeader: header}) //nolint:bodyclose // The library closes it.
	if err != nil {
		return nil, merry.Wrap(err)
	}
	conn.SetReadLimit(maxFrameSize)
	if err := m.write(ctx, conn, proto.Frame{Kind: proto.KindHello, Body: encode(m.Self)}); err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return m.readHello(ctx, conn)
}

// readHello reads the peer's hello and checks that version and cell match.
func (m *Mesh) readHello(ctx context.Context, conn *websocket.Conn) (*link, error) {
	frames, err := m.read(ctx, conn)
	if err == nil && len(frames) != 1 {
		err = merry.New("the first message is not a single hello frame")
	}
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	var hello proto.Hello
	if err := proto.Decode(frames[0].Body, &hello); err != nil {
		_ = conn.CloseNow()
		return nil, merry.Wrap(err)
	}
	if hello.Version != m.Self.Version || hello.Cell != m.Self.Cell {
		_ = conn.Close(websocket.StatusPolicyViolation, "version or cell differs")
		return nil, merry.Errorf("peer %s has protocol version %d and belongs to cell %s", hello.Entry, hello.Version, hello.Cell)
	}
	l := &link{
		hello: hello, conn: conn, mesh: m, since: time.Now(),
		queue: make(chan *proto.Frame, sendQueueSize), waiting: make(map[uint64]chan proto.Frame), closed: make(chan struct{}),
		pingRequested: make(chan struct{}, 1), retired: make(chan struct{}),
	}
	l.touch()
	return l, nil
}
