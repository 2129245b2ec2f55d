package soak

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Directions through a relay: from clients to the target and back.
const (
	requests = iota
	responses
)

// cutKind is what a relay does with the data of a direction that is cut off.
type cutKind int

const (
	lossy   cutKind = iota // lossy data is dropped.
	held                   // held data is delivered once the cut is over.
	heldOld                // heldOld is held on connections that are older than the last such cut, others are not affected.
	cutKinds
)

// relay is a TCP proxy between an entry and the store, between an entry and the peers
// that dial it, or between a worker VM and the entries. It can cut off one direction or both, as a network
// partition does, lead connections to the target's next boot, reset its connections and delay data.
type relay struct {
	target string
	// entry is the name of the entry that peers reach through the relay, and partitions are
	// the network partitions between entries. Other relays have neither.
	entry      string
	partitions *partitions
	// losesCloses means that the close of one side isn't forwarded on a connection that has lost data.
	losesCloses bool
	// log, if set, is called with what is delivered late or to another boot than it was sent to.
	log func(format string, args ...any)

	ln      net.Listener
	group   conc.WaitGroup
	mu      sync.Mutex
	conns   map[net.Conn]bool
	cuts    [2][cutKinds]int // cuts counts the active cuts by direction and kind.
	oldAt   time.Time        // oldAt is when the last cut of old connections began.
	leading int              // leading counts the reasons to lead connections to the next boot instead of closing them.
	delay   time.Duration
	stopped bool
}

// link is a client's connection, and the one to the target that continues it.
type link struct {
	opened time.Time
	mu     sync.Mutex
	sides  [2]net.Conn // sides holds, by direction, the connection that data comes from.
	led    bool        // led means that the target's first connection has ended and another one has taken its place.
	ended  bool        // ended means that the client's connection has ended.
}

func (l *link) side(direction int) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sides[direction]
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
		l := &link{opened: time.Now(), sides: [2]net.Conn{in, out}}
		sniffer := &helloSniffer{}
		r.group.Go(func() {
			r.forward(l, requests, sniffer.observe, func() bool { return r.partitions.blocked(sniffer.entryName(), r.entry) })
		})
		r.group.Go(func() {
			r.forward(l, responses, func([]byte) {}, func() bool { return r.partitions.blocked(r.entry, sniffer.entryName()) })
		})
	}
}

// track adds open connections. It closes them if the relay has stopped meanwhile.
func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
		if r.stopped {
			_ = c.Close()
		}
	}
}

// forward copies data of a direction until one side closes. It drops what arrives while the direction is cut off by
// loss or a partition blocks it, and everything after that: the stream has a
// hole and can't be resumed, so the connection stays open without carrying data. If the relay loses closes, the close
// of one side isn't forwarded after that either.
func (r *relay) forward(l *link, direction int, observe func([]byte), blocked func() bool) {
	lost := false
	defer func() {
		l.mu.Lock()
		l.ended = l.ended || direction == requests
		from, to := l.sides[direction], l.sides[1-direction]
		l.mu.Unlock()
		_ = from.Close()
		if !lost || !r.losesCloses {
			_ = to.Close()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, from)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := l.side(direction).Read(buf)
		observe(buf[:n])
		waited, dropped, delay := r.await(l, direction)
		lost = lost || dropped || err == nil && blocked()
		if err != nil {
			if direction == responses && r.lead(l) {
				continue
			}
			return
		}
		if lost {
			continue
		}
		time.Sleep(delay)
		r.logLate(l, direction, waited, buf[:n])
		if _, err := l.side(1 - direction).Write(buf[:n]); err != nil && (direction == responses || !r.isLeading()) {
			return
		}
	}
}

// cutPollInterval is the interval at which held data is checked for the end of the cut.
const cutPollInterval = 2 * time.Millisecond

// await waits while a direction is held, and returns for how long, whether data of the direction is dropped, and its delay.
func (r *relay) await(l *link, direction int) (waited time.Duration, dropped bool, delay time.Duration) {
	for began := time.Now(); ; time.Sleep(cutPollInterval) {
		r.mu.Lock()
		cuts, stopped, delay, isOld := r.cuts[direction], r.stopped, r.delay, l.opened.Before(r.oldAt)
		r.mu.Unlock()
		if cuts[lossy] > 0 || cuts[held] == 0 && (cuts[heldOld] == 0 || !isOld) || stopped {
			return time.Since(began), cuts[lossy] > 0, delay
		}
	}
}

// lead continues a client's connection on another one to the target, as an address translation or a balancer does
// when a machine behind it is replaced. It reports whether the connection goes on.
func (r *relay) lead(l *link) bool {
	if !r.isLeading() {
		return false
	}
	next, err := net.Dial("tcp", r.target)
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.sides[responses]
	_ = last.Close()
	r.mu.Lock()
	delete(r.conns, last)
	r.mu.Unlock()
	r.track(next)
	l.sides[responses], l.led = next, true
	return !l.ended
}

func (r *relay) isLeading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading > 0
}

// maxLoggedBody bounds how much of a body is logged.
const maxLoggedBody = 300

// logLate logs data that was held, and requests on a connection that led to another boot before.
func (r *relay) logLate(l *link, direction int, waited time.Duration, data []byte) {
	l.mu.Lock()
	led := l.led && direction == requests
	l.mu.Unlock()
	if r.log == nil || waited < 5*cutPollInterval && !led {
		return
	}
	head, body, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	body = body[:min(len(body), maxLoggedBody)]
	r.log("delivers %s after %v, on a connection from before: %t: %s %s", [2]string{"requests", "responses"}[direction], waited.Round(time.Millisecond), led, line, bytes.TrimSpace(body))
}

// cut adds n to the cuts of a kind in the given directions: n is 1 to begin a cut and -1 to end it.
func (r *relay) cut(kind cutKind, n int, directions ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kind == heldOld && n > 0 {
		r.oldAt = time.Now()
	}
	for _, d := range directions {
		r.cuts[d][kind] += n
	}
}

// addLeading adds n to the reasons to lead connections to the next boot.
func (r *relay) addLeading(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading += n
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
	r.mu.Lock()
	r.stopped, r.leading = true, 0
	r.mu.Unlock()
	r.reset()
	r.group.Wait()
}
