package peer

import (
	"context"
	"sync"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

type link struct {
	hello   proto.Hello
	conn    *websocket.Conn
	ring    chan proto.Frame
	mesh    *Mesh
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan proto.Frame
	closed  chan struct{}
	doubt   chan struct{} // doubt has the link pinged.
}

// run reads and writes frames until the link breaks. With a handler it answers
// questions; without one it takes the answers to its own.
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

func (l *link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.ring:
			wctx, cancel := context.WithTimeout(ctx, sendTimeout)
			err := l.mesh.write(wctx, l.conn, l.gather(f)...)
			cancel()
			if err != nil {
				return
			}
		}
	}
}

// suspect has the link checked: a question was not answered in time.
func (l *link) suspect() {
	select {
	case l.doubt <- struct{}{}:
	default:
	}
}

// pingLoop ends the link when a ping is not answered.
func (l *link) pingLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.doubt:
		}
		pctx, cancel := context.WithTimeout(ctx, pingTime)
		err := l.conn.Ping(pctx)
		cancel()
		if err != nil {
			metrics.GetOrRegisterCounter("Peer.Silent", l.mesh.Metrics).Inc(1)
			return
		}
	}
}

// gather takes what else is ready to be sent, without waiting, so that a busy
// link makes fewer system calls.
func (l *link) gather(first proto.Frame) []proto.Frame {
	out := []proto.Frame{first}
	size := len(first.Body)
	for len(out) < gatherMost && size < gatherBytes {
		select {
		case f := <-l.ring:
			size += len(f.Body)
			out = append(out, f)
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
	room := make(chan struct{}, handlers)
	for {
		frames, err := l.mesh.read(ctx, l.conn)
		if err != nil || l.mesh.refused(l.hello.Entry) {
			return
		}
		for _, f := range frames {
			switch {
			case f.Reply:
				l.deliver(f)
			case handler == nil:
			case f.ID == 0:
				l.answer(ctx, handler, f) // Told messages keep their order.
			default:
				room <- struct{}{}
				group.Go(func() {
					defer func() { <-room }()
					l.answer(ctx, handler, f)
				})
			}
		}
	}
}

func (l *link) answer(ctx context.Context, handler winch.Handler, f proto.Frame) {
	reply := handler(ctx, l.hello.Entry, f.Kind, func(into any) error { return proto.Decode(f.Body, into) })
	if f.ID == 0 {
		return
	}
	out := proto.Frame{ID: f.ID, Kind: f.Kind, Reply: true}
	if reply != nil {
		out.Body = encode(reply)
	}
	select {
	case l.ring <- out:
	case <-ctx.Done():
	}
}

// deliver gives an answer to whoever asked. One that comes after its question
// was given up is dropped and counted.
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

func (m *Mesh) link(to string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[to]
}

func (l *link) put(f proto.Frame) error {
	select {
	case l.ring <- f:
		return nil
	default:
		metrics.GetOrRegisterCounter("Peer.RingFull", l.mesh.Metrics).Inc(1)
		return winch.ErrNoPeer
	}
}

func (l *link) register(ch chan proto.Frame) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.waiting[l.next] = ch
	return l.next
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}
