package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// testEntry is the mesh of one entry, listening on a loopback port.
type testEntry struct {
	*Mesh
	address string
	up      chan bool
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startPair runs two entries that connect to each other until the test ends.
func startPair(t *testing.T, handler winch.Handler, change func(i int, m *Mesh)) [2]*testEntry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	var entries [2]*testEntry
	var servers []*http.Server
	lns := [2]net.Listener{listen(t), listen(t)}
	for i, name := range []string{"a", "b"} {
		e := &testEntry{address: lns[i].Addr().String(), up: make(chan bool, 100)}
		other := lns[1-i].Addr().String()
		e.Mesh = &Mesh{
			Self: proto.Hello{Version: proto.Version, Cell: "test", Entry: name}, Token: "secret",
			Handler: handler, Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
			Addresses:    func() []string { return []string{other} },
			OnLinkChange: func(_ proto.Hello, up bool) { e.up <- up },
		}
		if change != nil {
			change(i, e.Mesh)
		}
		server := &http.Server{Handler: e.Mesh, ReadHeaderTimeout: time.Minute}
		servers = append(servers, server)
		entries[i] = e
		group.Go(func() { _ = server.Serve(lns[i]) })
		group.Go(func() { e.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range servers {
			_ = s.Close()
		}
		group.Wait()
	})
	return entries
}

func echo(_ context.Context, _ string, _ winch.Kind, decode func(any) error) any {
	var s string
	if decode(&s) != nil {
		return nil
	}
	return s
}

// Guards against responses reaching the wrong request when many are in flight at the
// same time.
func TestConcurrentRequestsGetTheirOwnResponses(t *testing.T) {
	is := is.New(t)
	entries := startPair(t, echo, nil)
	is.True(<-entries[0].up)
	var group conc.WaitGroup
	for i := range 200 {
		text := strings.Repeat("x", i)
		group.Go(func() {
			var got string
			is.NoErr(entries[0].Request(context.Background(), "b", proto.KindConfig, text, &got))
			is.Equal(got, text)
		})
	}
	group.Wait()
	is.True(errors.Is(entries[0].Request(context.Background(), "c", proto.KindConfig, "x", new(string)), winch.ErrNoPeer))
}

// Guards against the late response to an abandoned request being taken for the
// response to a later one.
func TestLateResponseIsDropped(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	entries := startPair(t, func(_ context.Context, _ string, _ winch.Kind, decode func(any) error) any {
		var s string
		_ = decode(&s)
		if s == "slow" {
			<-hold
		}
		return s
	}, nil)
	is.True(<-entries[0].up)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		is.True(errors.Is(entries[0].Request(ctx, "b", proto.KindConfig, "slow", new(string)), context.Canceled))
	})
	var got string
	is.NoErr(entries[0].Request(context.Background(), "b", proto.KindConfig, "one", &got))
	cancel()
	group.Wait()
	close(hold)
	is.NoErr(entries[0].Request(context.Background(), "b", proto.KindConfig, "two", &got))
	is.Equal(got, "two")
}

// Guards against a request waiting for its timeout when the link breaks: it must fail
// immediately. A new link must follow soon, and begin with the first message.
func TestBrokenLinkFailsRequestsAndIsReplaced(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{}, 10)
	first := make(chan string, 10)
	entries := startPair(t, func(ctx context.Context, _ string, kind winch.Kind, decode func(any) error) any {
		var s string
		_ = decode(&s)
		if kind == proto.KindHeldSlots {
			first <- s
			return nil
		}
		received <- struct{}{}
		<-ctx.Done()
		return nil
	}, func(_ int, m *Mesh) {
		m.FirstMessage = func(peer string) (winch.Kind, any) { return proto.KindHeldSlots, "hello " + peer }
	})
	is.True(<-entries[0].up)
	var group conc.WaitGroup
	group.Go(func() {
		err := entries[0].Request(context.Background(), "b", proto.KindConfig, "x", new(string))
		is.True(errors.Is(err, winch.ErrPeerLost))
	})
	<-received
	entries[0].Partition("b")
	group.Wait()
	is.Equal(<-entries[0].up, false)
	entries[0].Partition()
	is.True(<-entries[0].up)
	is.True(strings.HasPrefix(<-first, "hello "))
}

// Guards against messages from an entry with another token, protocol version or cell:
// its link must be refused before any message is handled.
func TestUnauthorizedPeersAreRefused(t *testing.T) {
	for name, change := range map[string]func(m *Mesh){
		"token":   func(m *Mesh) { m.Token = "guess" },
		"version": func(m *Mesh) { m.Self.Version++ },
		"cell":    func(m *Mesh) { m.Self.Cell = "other" },
	} {
		is := is.New(t)
		handled := make(chan struct{}, 1)
		entries := startPair(t, func(context.Context, string, winch.Kind, func(any) error) any {
			handled <- struct{}{}
			return nil
		}, func(i int, m *Mesh) {
			if i == 1 {
				change(m)
			}
		})
		failed := metrics.GetOrRegisterCounter("Peer.DialFailed", entries[1].Metrics)
		for failed.Count() == 0 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(entries[0].Names())+len(entries[1].Names()), 0) // name
		select {
		case <-handled:
			t.Errorf("%s: a message of an unauthorized peer was handled", name)
		default:
		}
	}
}

// relay forwards TCP connections to target. Its existing connections can be stalled:
// they stay open but no longer carry data, while new connections work.
type relay struct {
	net.Listener
	target  string
	mu      sync.Mutex
	stalled chan struct{}
}

func (r *relay) serve(group *conc.WaitGroup) {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		stalled := r.stalled
		r.mu.Unlock()
		group.Go(func() { forward(in, out, stalled) })
		group.Go(func() { forward(out, in, stalled) })
	}
}

// forward copies data until one side closes. Once stalled is closed, it drops the data.
func forward(from, to net.Conn, stalled chan struct{}) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-stalled:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// stall stalls the existing connections.
func (r *relay) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.stalled)
	r.stalled = make(chan struct{})
}

// Guards against a link that stays open but no longer carries data, as after a network
// partition: a keeper remained lost for five seconds after the partition had healed.
// After a request times out, the link must be pinged, closed and replaced, and the
// next request must succeed.
func TestUnresponsiveLinkIsReplaced(t *testing.T) {
	is := is.New(t)
	var r *relay
	var group conc.WaitGroup
	entries := startPair(t, echo, func(i int, m *Mesh) {
		if i == 1 {
			m.Addresses = func() []string { return nil }
			return
		}
		r = &relay{Listener: listen(t), target: m.Addresses()[0], stalled: make(chan struct{})}
		group.Go(func() { r.serve(&group) })
		m.Addresses = func() []string { return []string{r.Addr().String()} }
	})
	t.Cleanup(func() { _ = r.Close() })
	is.True(<-entries[0].up)
	var got string
	is.NoErr(entries[0].Request(t.Context(), "b", proto.KindConfig, "one", &got))
	r.stall()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(entries[0].Request(ctx, "b", proto.KindConfig, "two", &got), context.DeadlineExceeded))
	is.Equal(<-entries[0].up, false)
	is.Equal(<-entries[0].up, true)
	is.NoErr(entries[0].Request(t.Context(), "b", proto.KindConfig, "three", &got))
	is.Equal(got, "three")
}
