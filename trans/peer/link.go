package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// link is a connection to one peer. Requests are sent on the links that this entry
// dialled, and responses on those that it accepted.
type link struct {
	hello         proto.Hello
	conn          *websocket.Conn
	queue         chan *proto.Frame
	mesh          *Mesh
	mu            sync.Mutex
	lastID        uint64
	waiting       map[uint64]chan proto.Frame
	closed        chan struct{}
	pingRequested chan struct{} // pingRequested makes pingLoop check the link.
	retired       chan struct{} // retired is closed once another link to the peer has replaced this one.
	dialled       string        // dialled is the address that this entry dialled; "" if the peer dialled.
	since         time.Time     // since is when the link was established.
	used          atomic.Int64  // used is when the last frame was sent or received, in Unix nanoseconds.
}

// touch records that the link is being used.
func (l *link) touch() { l.used.Store(time.Now().UnixNano()) }

// lastUsed returns when the last frame was sent or received.
func (l *link) lastUsed() time.Time { return time.Unix(0, l.used.Load()) }

// run reads and writes frames until the link breaks. With a handler it serves the
// peer's requests; without one it only delivers responses to this entry's requests.
func (l *link) run(ctx context.Context, handler winch.Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() {
		defer cancel()
		l.writeLoop(ctx)
	})
	group.Go(func() {
		defer cancel()
		l.readLoop(ctx, handler)
	})
	group.Go(func() {
		defer cancel()
		l.pingLoop(ctx)
	})
	group.Wait()
	close(l.closed)
	_ = l.conn.CloseNow()
}

// runRetired runs a link that was never used by this entry, if it is retired, and closes it otherwise.
func (l *link) runRetired(ctx context.Context, handler winch.Handler) {
	if l.isRetired() {
		l.run(ctx, handler)
		return
	}
	_ = l.conn.CloseNow()
}

// retire has the link end after retireDelay. The mutex of the mesh is held.
func (l *link) retire() {
	if !l.isRetired() {
		close(l.retired)
	}
}

func (l *link) isRetired() bool {
	select {
	case <-l.retired:
		return true
	default:
		return false
	}
}

func (l *link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			writeCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			err := l.mesh.write(writeCtx, l.conn, l.batch(f)...)
			cancel()
			if err != nil {
				return
			}
		}
	}
}

// requestPing makes pingLoop check the link, after a request that timed out.
func (l *link) requestPing() {
	select {
	case l.pingRequested <- struct{}{}:
	default:
	}
}

// pingLoop ends the link when a ping times out, or some time after it was retired.
func (l *link) pingLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.retired:
			sleep(ctx, retireDelay)
			return
		case <-l.pingRequested:
		}
		pingCtx, cancel := duty.WithTimeout(ctx, pingTimeout)
		err := l.conn.Ping(pingCtx)
		cancel()
		if err != nil {
			metrics.GetOrRegisterCounter("Peer.Silent", l.mesh.Metrics).Inc(1)
			return
		}
	}
}

// batch returns the first frame with others that are queued, without waiting for
// more. Sending them in one message saves system calls on a busy link.
func (l *link) batch(first *proto.Frame) []proto.Frame {
	out := []proto.Frame{*first}
	size := len(first.Body)
	for len(out) < maxBatchFrames && size < maxBatchBytes {
		select {
		case f := <-l.queue:
			size += len(f.Body)
			out = append(out, *f)
		default:
			return out
		}
	}
	return out
}

func (l *link) readLoop(ctx context.Context, handler winch.Handler) {
	var group conc.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	semaphore := make(chan struct{}, maxHandlers)
	for {
		frames, err := l.mesh.read(ctx, l.conn)
		if err != nil || l.mesh.isBlocked(l.hello.Entry) {
			return
		}
		l.touch()
		for _, f := range frames {
			switch {
			case f.Reply:
				l.deliver(f)
			case handler == nil:
			case f.ID == 0 && l.isRetired(): // Later messages may have overtaken it on the other link.
			case f.ID == 0:
				l.handle(ctx, handler, f) // Messages without a response are handled in order.
			default:
				semaphore <- struct{}{}
				group.Go(func() {
					defer func() { <-semaphore }()
					l.handle(ctx, handler, f)
				})
			}
		}
	}
}

func (l *link) handle(ctx context.Context, handler winch.Handler, f proto.Frame) {
	reply := handler(ctx, l.hello.Entry, f.Kind, func(into any) error { return proto.Decode(f.Body, into) })
	if f.ID == 0 {
		return
	}
	out := proto.Frame{ID: f.ID, Kind: f.Kind, Reply: true}
	if reply != nil {
		out.Body = encode(reply)
	}
	select {
	case l.queue <- &out:
	case <-ctx.Done():
	}
}

// deliver passes a response to the goroutine that waits for it. A response to a
// request that was abandoned is dropped and counted.
func (l *link) deliver(f proto.Frame) {
	l.mu.Lock()
	ch := l.waiting[f.ID]
	delete(l.waiting, f.ID)
	l.mu.Unlock()
	if ch == nil {
		metrics.GetOrRegisterCounter("Peer.LateAnswers", l.mesh.Metrics).Inc(1)
		return
	}
	ch <- f
}

func (m *Mesh) linkTo(to string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[to]
}

func (l *link) enqueue(f proto.Frame) error {
	l.touch()
	select {
	case l.queue <- &f:
		return nil
	default:
		metrics.GetOrRegisterCounter("Peer.RingFull", l.mesh.Metrics).Inc(1)
		return winch.ErrNoPeer
	}
}

func (l *link) register(ch chan proto.Frame) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	l.waiting[l.lastID] = ch
	return l.lastID
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}
