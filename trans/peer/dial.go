package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/proto"
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

// claim reserves an address for one goroutine and reports whether it was free.
func (m *Mesh) claim(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claimed == nil {
		m.claimed = make(map[string]bool)
	}
	if m.claimed[address] {
		return false
	}
	m.claimed[address] = true
	return true
}

func (m *Mesh) unclaim(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claimed, address)
}

// connect dials an address once and runs the link until it breaks. Run dials it again with its next look
// at the addresses.
func (m *Mesh) connect(ctx context.Context, address string) {
	l, err := m.dial(ctx, address)
	if err != nil {
		metrics.GetOrRegisterCounter("Peer.DialFailed", m.Metrics).Inc(1)
		return
	}
	if m.FirstMessage != nil {
		kind, body := m.FirstMessage(l.hello.Entry)
		_ = l.enqueue(proto.Frame{Kind: kind, Body: encode(body)})
	}
	if !m.add(l) {
		_ = l.conn.CloseNow()
		sleep(ctx, 10*redialInterval)
		return
	}
	m.OnLinkChange(l.hello, true)
	l.run(ctx, nil)
	m.remove(l)
	m.OnLinkChange(l.hello, false)
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
	return &link{
		hello: hello, conn: conn, mesh: m,
		queue: make(chan *proto.Frame, sendQueueSize), waiting: make(map[uint64]chan proto.Frame), closed: make(chan struct{}),
		pingRequested: make(chan struct{}, 1),
	}, nil
}
