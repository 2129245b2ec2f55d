package soak

import (
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// relay is one entry's way to the store, or the way of all others to an entry. It
// can go silent, as in a partition, reset what is open, and be slow.
type relay struct {
	target string
	// entry is the name of the entry that others reach by this way, and cuts says
	// who is cut off from whom. A way to the store has neither.
	entry string
	cuts  *cuts

	ln    net.Listener
	group conc.WaitGroup
	mu    sync.Mutex
	open  map[net.Conn]bool
	// silent drops what is sent while it is set.
	silent bool
	delay  time.Duration
}

func (r *relay) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.ln, r.open = ln, make(map[net.Conn]bool)
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
		from := &dialler{}
		r.group.Go(func() { r.pass(in, out, from.listen, func() bool { return r.cuts.cut(from.name(), r.entry) }) })
		r.group.Go(func() { r.pass(out, in, func([]byte) {}, func() bool { return r.cuts.cut(r.entry, from.name()) }) })
	}
}

func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.open[c] = true
	}
}

// pass copies until an end closes. What came while the relay was silent, or the one
// side cut off from the other, is lost, so that the connection stays open and never
// carries anything whole again. Its end does not pass a cut either.
func (r *relay) pass(from, to net.Conn, see func([]byte), cut func() bool) {
	lost := false
	defer func() {
		_ = from.Close()
		if !lost || r.cuts == nil {
			_ = to.Close()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, from)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		see(buf[:n])
		r.mu.Lock()
		lost = lost || r.silent || cut()
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

func (r *relay) setSilent(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
}

func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// reset closes what is open with a reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
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
