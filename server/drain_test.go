package server

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/conf"
)

const (
	// testGrace is a grace period that leaves a second for requests in progress.
	testGrace = 4 * time.Second
	// starvation is for how long a goroutine gets no processor once the entry begins to close its listeners.
	starvation = 100 * time.Millisecond
	// testTimeout bounds each wait of a test.
	testTimeout = 20 * time.Second
)

// slowListener is a listener whose goroutines can be kept from reading and accepting until starvation after
// the entry has begun to close it.
type slowListener struct {
	*net.TCPListener
	starveAccept, starveRead atomic.Bool
	closing                  chan struct{} // closing is closed when the entry begins to close the listener.
	awake                    chan struct{} // awake is closed when the goroutines run again.
	closed                   chan struct{} // closed is closed when the entry has sent the end of a connection.
	arrived                  chan int      // arrived receives the sizes of the first reads.
	begin, end               sync.Once
}

// noteClosing records that the entry closes the listener.
func (l *slowListener) noteClosing() {
	l.begin.Do(func() {
		close(l.closing)
		time.AfterFunc(starvation, func() { close(l.awake) })
	})
}

// Close implements net.Listener.
func (l *slowListener) Close() error {
	l.noteClosing()
	return l.TCPListener.Close()
}

// SetDeadline ends waiting calls of Accept.
func (l *slowListener) SetDeadline(t time.Time) error {
	l.noteClosing()
	return l.TCPListener.SetDeadline(t)
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	if l.starveAccept.Load() {
		<-l.awake
	}
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{c.(*net.TCPConn), l}, nil
}

// slowConn is a connection of a slowListener.
type slowConn struct {
	*net.TCPConn
	listener *slowListener
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	if c.listener.starveRead.Load() {
		<-c.listener.awake
	}
	n, err := c.TCPConn.Read(p)
	select {
	case c.listener.arrived <- n:
	default:
	}
	return n, err
}

// CloseWrite implements the interface by which a server ends a connection that it still reads.
func (c *slowConn) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	c.listener.end.Do(func() { close(c.listener.closed) })
	return err
}

// Close implements net.Conn.
func (c *slowConn) Close() error {
	err := c.TCPConn.Close()
	c.listener.end.Do(func() { close(c.listener.closed) })
	return err
}

// stoppingEntry is an entry without a platform that a test stops as planned.
type stoppingEntry struct {
	*slowListener
	stopEntry func()
	errorLog  *log.Logger // errorLog is the log of the callers' server.
	group     conc.WaitGroup
}

// startFunc starts an entry that serves its callers with a handler.
type startFunc func(t *testing.T, starveAccept bool, handler http.HandlerFunc) *stoppingEntry

// starts holds the functions that start an entry of a region or of a cell.
var starts = map[string]startFunc{"region": startEntry, "cell": startCellEntry}

// newStoppingEntry puts a slowListener in the place of the callers' listener.
func newStoppingEntry(listeners map[string]net.Listener, starveAccept bool) *stoppingEntry {
	e := &stoppingEntry{slowListener: &slowListener{
		TCPListener: listeners["Callers"].(*net.TCPListener),
		closing:     make(chan struct{}), awake: make(chan struct{}), closed: make(chan struct{}),
		arrived: make(chan int, 2),
	}}
	e.starveAccept.Store(starveAccept)
	listeners["Callers"] = e.slowListener
	return e
}

// serve runs the servers, with the test's handler for callers.
func (e *stoppingEntry) serve(servers map[string]*http.Server, listeners map[string]net.Listener, stopping func() bool, handler http.HandlerFunc) {
	e.errorLog = servers["Callers"].ErrorLog
	servers["Callers"].Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		handler(w, r)
	})
	for name, server := range servers {
		e.group.Go(func() { _ = server.Serve(listeners[name]) })
	}
}

// startCellEntry starts an entry of a cell, of which only the shutdown of its servers is tested.
func startCellEntry(t *testing.T, starveAccept bool, handler http.HandlerFunc) *stoppingEntry {
	t.Helper()
	const address = "127.0.0.1:0"
	s := &Server{Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	s.Settings.Listen = conf.Listen{Callers: address, Operators: address, Peers: address}
	is.New(t).NoErr(s.listen())
	e := newStoppingEntry(s.listeners, starveAccept)
	servers := s.newServers()
	var stopping atomic.Bool
	e.stopEntry = func() {
		stopping.Store(true)
		s.shutdown(servers)
	}
	e.serve(servers, s.listeners, stopping.Load, handler)
	return e
}

// startEntry starts an entry of a region.
func startEntry(t *testing.T, starveAccept bool, handler http.HandlerFunc) *stoppingEntry {
	t.Helper()
	const address = "127.0.0.1:0"
	s := &Region{Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Settings: conf.Region{
		Listen: conf.RegionListen{Callers: address, Ready: address, Peers: address, Jobs: address},
		Limits: conf.RegionLimits{Memory: 1 << 30, Processors: 1}, Timing: conf.RegionTiming{Grace: testGrace},
	}}
	is.New(t).NoErr(s.Prepare())
	e := newStoppingEntry(s.listeners, starveAccept)
	servers := s.newServers()
	e.stopEntry = func() { s.stop(servers) }
	e.serve(servers, s.listeners, s.Node.Stopping, handler)
	return e
}

// stop begins the entry's planned stop.
func (e *stoppingEntry) stop() { e.group.Go(e.stopEntry) }

// dial opens a caller's connection.
func (e *stoppingEntry) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", e.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(testTimeout)))
	return c, bufio.NewReader(c)
}

// readStatus reads a complete response and returns its status; zero if there is none.
func readStatus(r *bufio.Reader) int {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

const testRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// Guards against a request without a response when an entry that gets no processor closes a connection that it takes for
// idle, while the request lies unread in the socket.
func TestUnreadRequestOnAnIdleConnectionIsAnswered(t *testing.T) {
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var e *stoppingEntry
			e = start(t, false, func(http.ResponseWriter, *http.Request) { e.starveRead.Store(true) })
			c, r := e.dial(t)
			_, err := io.WriteString(c, testRequest)
			is.NoErr(err)
			is.Equal(readStatus(r), http.StatusOK)
			_, err = io.WriteString(c, testRequest)
			is.NoErr(err)
			e.stop()
			is.Equal(readStatus(r), http.StatusOK) // the second response
			e.group.Wait()
		})
	}
}

// Guards against a request without a response on a connection that was established, but not accepted when the entry closed
// its listener.
func TestRequestInTheAcceptQueueIsAnswered(t *testing.T) {
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := start(t, true, func(http.ResponseWriter, *http.Request) {})
			c, r := e.dial(t)
			_, err := io.WriteString(c, testRequest)
			is.NoErr(err)
			e.stop()
			is.Equal(readStatus(r), http.StatusOK)
			e.group.Wait()
		})
	}
}

// Guards against a request that is dropped in the accept queue since the process has no descriptor left when the entry begins to
// close its listener.
func TestRequestInTheAcceptQueueIsAnsweredOnceThereAreDescriptors(t *testing.T) {
	for free := range 2 { // With one descriptor the connection can be accepted, but not be converted.
		t.Run(strconv.Itoa(free), func(t *testing.T) {
			is := is.New(t)
			limit := reserveDescriptor(t)
			e := startCellEntry(t, true, func(http.ResponseWriter, *http.Request) {})
			c, r := e.dial(t)
			_, err := io.WriteString(c, testRequest)
			is.NoErr(err)
			restore := limit(free)
			e.stop()
			<-e.awake
			time.AfterFunc(descriptorTimeout/2, restore)
			is.Equal(readStatus(r), http.StatusOK)
			e.group.Wait()
		})
	}
}

// Guards against a stop that waits without end for a descriptor, and against a connection that is dropped without a word.
func TestConnectionsAreDroppedWithAMessageIfThereAreNoDescriptors(t *testing.T) {
	for free := range 2 {
		t.Run(strconv.Itoa(free), func(t *testing.T) {
			is := is.New(t)
			limit := reserveDescriptor(t)
			e := startCellEntry(t, true, func(http.ResponseWriter, *http.Request) {})
			var text strings.Builder
			e.errorLog.SetOutput(&text)
			_, r := e.dial(t)
			limit(free)
			e.stop()
			<-e.awake
			started := time.Now()
			is.Equal(readStatus(r), 0)
			e.group.Wait()
			is.True(time.Since(started) < closeTimeout)
			is.True(strings.Contains(text.String(), "too many open files"))
		})
	}
}

// reserveDescriptor reserves the lowest free descriptor. The returned function leaves the process the given number of free
// descriptors, at most one, until the test ends or the function that it returns is called. What is opened in between has higher
// descriptors, so that none is gained when that is closed.
func reserveDescriptor(t *testing.T) func(free int) func() {
	t.Helper()
	is := is.New(t)
	f, err := os.Open(os.DevNull)
	is.NoErr(err)
	t.Cleanup(func() { _ = f.Close() }) // It may have been closed.
	lowest := uint64(f.Fd())
	return func(free int) func() {
		var old syscall.Rlimit
		is.NoErr(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old))
		restore := func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old) } // Raising it to an old value succeeds.
		t.Cleanup(restore)
		is.NoErr(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: lowest + uint64(free), Max: old.Max}))
		if free > 0 {
			is.NoErr(f.Close())
		}
		return restore
	}
}

// Guards against a request that is cut off without a response since it is still in progress when the grace period is nearly over.
func TestRequestInProgressIsAnsweredBeforeTheGracePeriodEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	begun := make(chan struct{})
	e := startEntry(t, false, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c, r := e.dial(t)
	_, err := io.WriteString(c, testRequest)
	is.NoErr(err)
	<-begun
	e.stop()
	started := time.Now()
	is.Equal(readStatus(r), http.StatusServiceUnavailable)
	e.group.Wait()
	is.True(time.Since(started) < testGrace) // The entry has ended before SIGKILL.
}

// Guards against a stop that disturbs the requests in progress while it looks for requests on other connections.
func TestRequestInProgressIsNotDisturbedByAStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	begun := make(chan struct{})
	var e *stoppingEntry
	e = startEntry(t, false, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-e.awake
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	c, r := e.dial(t)
	_, err := io.WriteString(c, testRequest)
	is.NoErr(err)
	<-begun
	e.stop()
	is.Equal(readStatus(r), http.StatusOK)
	e.group.Wait()
}

// Guards against a request that is dropped since the entry began to close its connections while parts of it were on the way.
func TestRequestThatArrivesInPartsIsAnswered(t *testing.T) {
	const form = "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 6\r\n\r\nabcdef"
	for name, split := range map[string]int{"header": strings.Index(form, "Content"), "body": len(form) - 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var body atomic.Value
			e := startEntry(t, false, func(_ http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body) // A body that was cut is shorter.
				body.Store(string(data))
			})
			c, r := e.dial(t)
			_, err := io.WriteString(c, testRequest)
			is.NoErr(err)
			is.Equal(readStatus(r), http.StatusOK)
			_, err = io.WriteString(c, form[:split])
			is.NoErr(err)
			e.stop()
			<-e.awake
			_, _ = io.WriteString(c, form[split:]) // The connection may be closed.
			is.Equal(readStatus(r), http.StatusOK)
			is.Equal(body.Load(), "abcdef")
			e.group.Wait()
		})
	}
}

// Guards against a request that is dropped since the server had read its first byte while it served the one before.
func TestRequestWhoseFirstByteIsReadAheadIsAnswered(t *testing.T) {
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			begun, finish := make(chan struct{}, 2), make(chan struct{})
			e := start(t, false, func(http.ResponseWriter, *http.Request) {
				begun <- struct{}{}
				<-finish
			})
			c, r := e.dial(t)
			_, err := io.WriteString(c, testRequest)
			is.NoErr(err)
			is.Equal(<-e.arrived, len(testRequest))
			<-begun
			_, err = io.WriteString(c, testRequest[:1])
			is.NoErr(err)
			is.Equal(<-e.arrived, 1)
			close(finish)
			is.Equal(readStatus(r), http.StatusOK)
			e.stop()
			<-e.awake
			_, _ = io.WriteString(c, testRequest[1:]) // The connection may be closed.
			is.Equal(readStatus(r), http.StatusOK)
			e.group.Wait()
		})
	}
}

// Guards against a request that is dropped since its first part was read together with the request before, and lies in the
// server's buffer instead of the socket.
func TestRequestWhoseFirstPartIsPipelinedIsAnswered(t *testing.T) {
	for name, start := range starts {
		for _, split := range []int{1, 3, 4, 20, len(testRequest) - 1} {
			t.Run(name+" "+strconv.Itoa(split), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				e := start(t, false, func(http.ResponseWriter, *http.Request) {})
				c, r := e.dial(t)
				_, err := io.WriteString(c, testRequest+testRequest[:split])
				is.NoErr(err)
				is.Equal(<-e.arrived, len(testRequest)+split)
				is.Equal(readStatus(r), http.StatusOK)
				e.stop()
				<-e.awake
				_, _ = io.WriteString(c, testRequest[split:]) // The connection may be closed.
				is.Equal(readStatus(r), http.StatusOK)
				e.group.Wait()
			})
		}
	}
}

// Guards against a response that is lost on the way since the entry closes the connection while bytes that the caller has sent after
// its request lie unread: the reset discards what the caller has not received.
func TestResponseBeforeUnreadBytesIsComplete(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size = 1 << 20
	stopping := make(chan struct{})
	e := startEntry(t, false, func(w http.ResponseWriter, _ *http.Request) {
		<-stopping
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size)) // The caller may have disconnected.
	})
	c, r := e.dial(t)
	_, err := io.WriteString(c, testRequest+testRequest+strings.Repeat("x", 16<<10))
	is.NoErr(err)
	close(stopping)
	<-e.closed
	is.Equal(readStatus(r), http.StatusOK)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(c.Close())
	e.stop()
	e.group.Wait()
}

// Guards against a planned stop that waits for a connection on which nothing was ever sent.
func TestUnusedConnectionDoesNotDelayAStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	e := startEntry(t, false, func(http.ResponseWriter, *http.Request) {})
	_, r := e.dial(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.group.Go(func() {
		defer cancel()
		e.stopEntry()
	})
	started := time.Now()
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
	<-ctx.Done()
	is.True(time.Since(started) < unreadyDelay+closeReserve/2) // The entry has not waited for the connection.
	e.group.Wait()
}

// Guards against a panic when the listener that is given for an entry has no socket.
func TestListenerWithoutASocketIsServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listeners := map[string]net.Listener{"Callers": struct{ net.Listener }{ln}}
	servers := map[string]*http.Server{"Callers": {}}
	is.Equal(len(replaceListeners(listeners, servers, "Callers", "Operators")), 0)
	is.Equal(listeners["Callers"], net.Listener(struct{ net.Listener }{ln}))
	is.NoErr(ln.Close())
}
