package soak

import (
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// relay is a TCP proxy between an entry and the store, or between an entry and the peers
// that dial it. It can drop all data, as a network partition does, reset its connections
// and delay data.
type relay struct {
	target string
	// entry is the name of the entry that peers reach through the relay, and partitions are
	// the network partitions between entries. A relay to the store has neither.
	entry      string
	partitions *partitions

	ln    net.Listener
	group conc.WaitGroup
	mu    sync.Mutex
	conns map[net.Conn]bool
	// dropping makes the relay drop all data that it receives.
	dropping bool
	delay    time.Duration
}

func (r *relay) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.ln, r.conns = ln, make(map[net.Conn]bool)
	r.group.Go(r.accept)
	return nil
}

func (r *relay) address() string { return r.ln.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.track(in, out)
		sniffer := &helloSniffer{}
		r.group.Go(func() {
			r.forward(in, out, sniffer.observe, func() bool { return r.partitions.blocked(sniffer.entryName(), r.entry) })
		})
		r.group.Go(func() {
			r.forward(out, in, func([]byte) {}, func() bool { return r.partitions.blocked(r.entry, sniffer.entryName()) })
		})
	}
}

func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

// forward copies data until one side closes. It drops what arrives while the relay drops
// data or a partition blocks this direction, and everything after that: the stream has a
// hole and can't be resumed, so the connection stays open without carrying data. Between
// entries, the close of one side isn't forwarded after that either.
func (r *relay) forward(from, to net.Conn, observe func([]byte), blocked func() bool) {
	lost := false
	defer func() {
		_ = from.Close()
		if !lost || r.partitions == nil {
			_ = to.Close()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, from)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		observe(buf[:n])
		r.mu.Lock()
		lost = lost || r.dropping || blocked()
		delay := r.delay
		r.mu.Unlock()
		if lost {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) setDropping(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropping = on
}

func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// reset closes all open connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *relay) stop() {
	_ = r.ln.Close()
	r.reset()
	r.group.Wait()
}
