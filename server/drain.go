package server

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lingerTimeout bounds how long a connection is read after its last response. If it were closed while bytes lie
// unread, the reset would discard what the peer has not yet received.
const lingerTimeout = 500 * time.Millisecond

const (
	// descriptorTimeout bounds how long a listener that is to be closed waits in all for descriptors for the connections
	// in its queue, and descriptorInterval is the pause between two attempts.
	descriptorTimeout  = time.Second
	descriptorInterval = 10 * time.Millisecond
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// tcpListener and tcpConn are what a drainListener needs of a listener and of its connections.
type tcpListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// drainListener is the listener of an HTTP server that is shut down without losing requests. Unlike
// http.Server.Shutdown, it looks for a request in the socket before it closes an idle connection, and accepts the
// connections that are established before it closes the listener.
type drainListener struct {
	tcpListener
	ctx    context.Context // ctx is the base context of the server's requests.
	cancel context.CancelFunc

	// draining is set when the listener and idle connections are to be closed, expired when requests are no longer
	// waited for, and forced when connections are closed whatever is in them.
	draining, expired, forced atomic.Bool
	closing                   bool      // closing means that only the queue is left to accept; it is used by Accept only.
	giveUp                    time.Time // giveUp is when descriptors are no longer waited for; it is used by Accept only.
	log                       *log.Logger

	mu    sync.Mutex
	conns map[*drainConn]bool
	ended bool          // ended means that all connections have been accepted.
	done  chan struct{} // done is closed when all connections have ended, too.
}

// newDrainListener returns a listener for a server, and sets the hooks of the server that it needs.
func newDrainListener(ln tcpListener, server *http.Server) *drainListener {
	l := &drainListener{tcpListener: ln, log: server.ErrorLog, conns: make(map[*drainConn]bool), done: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return l.ctx }
	server.ConnState = func(c net.Conn, state http.ConnState) { c.(*drainConn).noteState(state) }
	return l
}

// replaceListeners replaces the listeners of the given servers by ones that can be drained, and returns those. It sets the
// hooks of the servers that they need. Listeners of other kinds than TCP stay, and are closed without being drained.
func replaceListeners(listeners map[string]net.Listener, servers map[string]*http.Server, names ...string) []*drainListener {
	var out []*drainListener
	for _, name := range names {
		ln, ok := listeners[name].(tcpListener)
		if !ok {
			continue
		}
		l := newDrainListener(ln, servers[name])
		listeners[name] = l
		out = append(out, l)
	}
	return out
}

// drain closes the listener and each connection that has no request, as soon as this is so. It waits for that, and
// cancels the requests that are still in progress after patience. It reports whether all requests were responded to
// before the timeout, which counts from the beginning.
func drain(listeners []*drainListener, patience, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	patienceCtx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	for _, l := range listeners {
		l.draining.Store(true)
		_ = l.SetDeadline(longAgo)
		l.wake()
	}
	if awaitAll(patienceCtx, listeners) {
		return true
	}
	for _, l := range listeners {
		l.cancel()
		l.expired.Store(true)
		l.wake()
	}
	finished := awaitAll(ctx, listeners)
	for _, l := range listeners {
		l.forced.Store(true)
	}
	return finished
}

// awaitAll waits until all connections have ended, and reports false if ctx ends before that.
func awaitAll(ctx context.Context, listeners []*drainListener) bool {
	for _, l := range listeners {
		select {
		case <-l.done:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// wake ends the reads that wait at the boundary of two requests, or all reads if the requests are no longer waited for.
func (l *drainListener) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.wake()
	}
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	if !l.closing {
		c, err := l.tcpListener.Accept()
		if err == nil {
			return l.track(c), nil
		}
		if !l.draining.Load() {
			return nil, err
		}
		l.closing = true
	}
	c, err := l.acceptQueued()
	if err == nil {
		return l.track(c), nil
	}
	if !errors.Is(err, syscall.EAGAIN) {
		l.log.Printf("dropping the connections that are not accepted yet: %v", err)
	}
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.checkDone()
	return nil, net.ErrClosed
}

// acceptQueued accepts a connection that is established. It returns EAGAIN if there is none.
func (l *drainListener) acceptQueued() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	for {
		var fd int
		controlErr := raw.Control(func(listener uintptr) { fd, err = acceptNow(int(listener)) })
		switch {
		case controlErr != nil:
			return nil, controlErr
		case err == nil:
			c, err := l.newConn(fd)
			if err == nil || noDescriptor(err) {
				return c, err
			}
			l.log.Printf("dropping a connection: %v", err)
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
		case !noDescriptor(err) || !l.awaitDescriptor():
			return nil, err
		}
	}
}

// newConn returns the connection of a descriptor, which it closes since the connection has one of its own.
func (l *drainListener) newConn(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	for {
		c, err := net.FileConn(file)
		if err == nil || !noDescriptor(err) || !l.awaitDescriptor() {
			return c, err
		}
	}
}

// noDescriptor reports whether an error means that no descriptor is left, which ends when other connections are closed.
func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// awaitDescriptor pauses before the next attempt, and reports whether there is to be one.
func (l *drainListener) awaitDescriptor() bool {
	if l.giveUp.IsZero() {
		l.giveUp = time.Now().Add(descriptorTimeout)
	}
	if l.expired.Load() || time.Now().After(l.giveUp) {
		return false
	}
	time.Sleep(descriptorInterval)
	return true
}

// acceptNow accepts a connection if there is one.
func acceptNow(listener int) (int, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	fd, _, err := syscall.Accept(listener)
	if err == nil {
		syscall.CloseOnExec(fd)
	}
	return fd, err
}

func (l *drainListener) track(c net.Conn) *drainConn {
	out := &drainConn{tcpConn: c.(tcpConn), listener: l, atBoundary: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[out] = true
	return out
}

func (l *drainListener) forget(c *drainConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[c] {
		delete(l.conns, c)
		l.checkDone()
	}
}

// checkDone closes done if nothing is left. The mutex is held.
func (l *drainListener) checkDone() {
	if l.ended && len(l.conns) == 0 {
		select {
		case <-l.done:
		default:
			close(l.done)
		}
	}
}

// drainConn is a connection of a drainListener.
type drainConn struct {
	tcpConn
	listener *drainListener
	mu       sync.Mutex
	deadline time.Time // deadline is the server's deadline for reads.
	// atBoundary means that no byte of a request has been read that is not responded to.
	atBoundary bool
	// bufferSize is the size of the server's buffer. A read between two requests with less space means that the buffer
	// holds the first part of a request.
	bufferSize int
}

// noteState records the state that the server reports.
func (c *drainConn) noteState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atBoundary = state == http.StateNew || state == http.StateIdle
}

// wake ends a read as described at drainListener.wake.
func (c *drainConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.atBoundary || c.listener.expired.Load() {
		_ = c.tcpConn.SetReadDeadline(longAgo)
	}
}

// SetReadDeadline implements net.Conn.
func (c *drainConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.tcpConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *drainConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *drainConn) Read(p []byte) (int, error) {
	c.noteSpace(len(p))
	for !c.mustNotWait() {
		n, err := c.tcpConn.Read(p)
		if n > 0 {
			c.noteRead()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.resume() {
			return n, err
		}
	}
	return c.readNow(p)
}

// mustNotWait reports whether the next read must not wait: between two requests while the listener drains or when the server's
// deadline has passed, and everywhere once requests are no longer waited for.
func (c *drainConn) mustNotWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listener.expired.Load() || c.atBoundary && (c.listener.draining.Load() || c.passed())
}

// resume reports whether to read again after a read that a deadline has ended. It returns false if the server's deadline has
// passed during a request; if that has not passed, the read was woken, and it is restored.
func (c *drainConn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.passed() {
		return c.atBoundary
	}
	_ = c.tcpConn.SetReadDeadline(c.deadline)
	return true
}

// passed reports whether the server's deadline has passed. The mutex is held.
func (c *drainConn) passed() bool {
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// noteSpace records the space of the server's buffer for a read. The first read of a connection finds the buffer empty.
func (c *drainConn) noteSpace(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = size
	}
	if size < c.bufferSize {
		c.atBoundary = false
	}
}

// noteRead records that bytes were read.
func (c *drainConn) noteRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atBoundary = false
}

// readNow reads what has arrived. If there is nothing at the boundary of two requests, it ends the connection:
// only what arrives between the two system calls is not seen.
func (c *drainConn) readNow(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.readSocket(p, c.atBoundary)
	if n > 0 {
		c.atBoundary = false
		return n, nil
	}
	if errors.Is(err, syscall.EAGAIN) {
		return 0, os.ErrDeadlineExceeded
	}
	return 0, io.EOF
}

// readSocket reads from the socket without waiting. If there is nothing and end is set, it sends the end of the connection.
func (c *drainConn) readSocket(p []byte, end bool) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		for {
			if n, err = syscall.Read(int(fd), p); !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		if end && errors.Is(err, syscall.EAGAIN) {
			_ = syscall.Shutdown(int(fd), syscall.SHUT_WR) // The peer may have closed the connection.
		}
	})
	return max(n, 0), errors.Join(err, controlErr)
}

// Close implements net.Conn.
func (c *drainConn) Close() error {
	defer c.listener.forget(c)
	if !c.listener.forced.Load() {
		c.linger()
	}
	return c.tcpConn.Close()
}

// linger discards what the peer has sent after its last request, if anything is unread, until the peer has received the last
// response and closes the connection.
func (c *drainConn) linger() {
	n, _ := c.readSocket(make([]byte, 1), false) // Without a socket, nothing is unread.
	if n == 0 || c.CloseWrite() != nil || c.tcpConn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.tcpConn) // It ends with an error at the deadline.
}
