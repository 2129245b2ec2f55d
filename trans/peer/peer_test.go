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

// end is one entry's side of the links, on a port of the loopback interface.
type end struct {
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

// pair runs two ends that dial each other until the test ends.
func pair(t *testing.T, handler winch.Handler, change func(i int, m *Mesh)) [2]*end {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	var ends [2]*end
	var servers []*http.Server
	lns := [2]net.Listener{listen(t), listen(t)}
	for i, name := range []string{"a", "b"} {
		e := &end{address: lns[i].Addr().String(), up: make(chan bool, 100)}
		other := lns[1-i].Addr().String()
		e.Mesh = &Mesh{
			Self: proto.Hello{Version: proto.Version, Cell: "test", Entry: name}, Token: "secret",
			Handler: handler, Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
			Addresses: func() []string { return []string{other} },
			Linked:    func(_ proto.Hello, up bool) { e.up <- up },
		}
		if change != nil {
			change(i, e.Mesh)
		}
		server := &http.Server{Handler: e.Mesh, ReadHeaderTimeout: time.Minute}
		servers = append(servers, server)
		ends[i] = e
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
	return ends
}

func echo(_ context.Context, _ string, _ winch.Kind, decode func(any) error) any {
	var s string
	if decode(&s) != nil {
		return nil
	}
	return s
}

// Questions and answers pass between two entries, many at once, and each answer
// goes to its own question.
func TestAsk(t *testing.T) {
	is := is.New(t)
	ends := pair(t, echo, nil)
	is.True(<-ends[0].up)
	var group conc.WaitGroup
	for i := range 200 {
		text := strings.Repeat("x", i)
		group.Go(func() {
			var got string
			is.NoErr(ends[0].Request(context.Background(), "b", proto.KindConfig, text, &got))
			is.Equal(got, text)
		})
	}
	group.Wait()
	is.True(errors.Is(ends[0].Request(context.Background(), "c", proto.KindConfig, "x", new(string)), winch.ErrNoPeer))
}

// The peer answers after its question was given up. The late answer reaches
// nobody, and the next question gets its own.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	ends := pair(t, func(_ context.Context, _ string, _ winch.Kind, decode func(any) error) any {
		var s string
		_ = decode(&s)
		if s == "slow" {
			<-hold
		}
		return s
	}, nil)
	is.True(<-ends[0].up)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		is.True(errors.Is(ends[0].Request(ctx, "b", proto.KindConfig, "slow", new(string)), context.Canceled))
	})
	var got string
	is.NoErr(ends[0].Request(context.Background(), "b", proto.KindConfig, "one", &got))
	cancel()
	group.Wait()
	close(hold)
	is.NoErr(ends[0].Request(context.Background(), "b", proto.KindConfig, "two", &got))
	is.Equal(got, "two")
}

// The link breaks while a question waits. The asker is told at once, and a new
// link stands soon; its first message comes before any question.
func TestLinkBreaks(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{}, 10)
	first := make(chan string, 10)
	ends := pair(t, func(ctx context.Context, _ string, kind winch.Kind, decode func(any) error) any {
		var s string
		_ = decode(&s)
		if kind == proto.KindHeldSlots {
			first <- s
			return nil
		}
		asked <- struct{}{}
		<-ctx.Done()
		return nil
	}, func(_ int, m *Mesh) {
		m.First = func(peer string) (winch.Kind, any) { return proto.KindHeldSlots, "hello " + peer }
	})
	is.True(<-ends[0].up)
	var group conc.WaitGroup
	group.Go(func() {
		err := ends[0].Request(context.Background(), "b", proto.KindConfig, "x", new(string))
		is.True(errors.Is(err, winch.ErrPeerLost))
	})
	<-asked
	ends[0].Cut("b")
	group.Wait()
	is.Equal(<-ends[0].up, false)
	ends[0].Cut()
	is.True(<-ends[0].up)
	is.True(strings.HasPrefix(<-first, "hello "))
}

// An entry of another cell, protocol version or token tries to link. It is
// refused before it can say anything.
func TestStrangersRefused(t *testing.T) {
	for name, change := range map[string]func(m *Mesh){
		"token":   func(m *Mesh) { m.Token = "guess" },
		"version": func(m *Mesh) { m.Self.Version++ },
		"cell":    func(m *Mesh) { m.Self.Cell = "other" },
	} {
		is := is.New(t)
		heard := make(chan struct{}, 1)
		ends := pair(t, func(context.Context, string, winch.Kind, func(any) error) any {
			heard <- struct{}{}
			return nil
		}, func(i int, m *Mesh) {
			if i == 1 {
				change(m)
			}
		})
		failed := metrics.GetOrRegisterCounter("Peer.DialFailed", ends[1].Metrics)
		for failed.Count() == 0 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(ends[0].Names())+len(ends[1].Names()), 0) // name
		select {
		case <-heard:
			t.Errorf("%s: a stranger was heard", name)
		default:
		}
	}
}

// relay passes connections on. The ones that it has can be made to go silent: they
// stay open and carry nothing any more, and new ones work.
type relay struct {
	net.Listener
	target string
	mu     sync.Mutex
	silent chan struct{}
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
		silent := r.silent
		r.mu.Unlock()
		group.Go(func() { pass(in, out, silent) })
		group.Go(func() { pass(out, in, silent) })
	}
}

// pass copies until an end closes, or drops everything once it is to be silent.
func pass(from, to net.Conn, silent chan struct{}) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// hush silences the connections there are.
func (r *relay) hush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

// A link goes silent without a reset, as after a partition. Once a question is not
// answered in time the link is pinged, given up and made anew, and the next
// question is answered. Without that a keeper was seen to be lost for five seconds
// after the partition had healed.
func TestSilentLinkIsMadeAnew(t *testing.T) {
	is := is.New(t)
	var r *relay
	var group conc.WaitGroup
	ends := pair(t, echo, func(i int, m *Mesh) {
		if i == 1 {
			m.Addresses = func() []string { return nil }
			return
		}
		r = &relay{Listener: listen(t), target: m.Addresses()[0], silent: make(chan struct{})}
		group.Go(func() { r.serve(&group) })
		m.Addresses = func() []string { return []string{r.Addr().String()} }
	})
	t.Cleanup(func() { _ = r.Close() })
	is.True(<-ends[0].up)
	var got string
	is.NoErr(ends[0].Request(t.Context(), "b", proto.KindConfig, "one", &got))
	r.hush()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(ends[0].Request(ctx, "b", proto.KindConfig, "two", &got), context.DeadlineExceeded))
	is.Equal(<-ends[0].up, false)
	is.Equal(<-ends[0].up, true)
	is.NoErr(ends[0].Request(t.Context(), "b", proto.KindConfig, "three", &got))
	is.Equal(got, "three")
}
