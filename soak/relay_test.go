package soak

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// boots is a server of lines: it confirms each with the number of the boot that received it. The next boot ends all
// connections.
type boots struct {
	ln       net.Listener
	group    conc.WaitGroup
	received chan string
	next     chan int
	conns    chan net.Conn
}

func startBoots(t *testing.T) *boots {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &boots{ln: ln, received: make(chan string, 8), next: make(chan int, 1), conns: make(chan net.Conn, 8)}
	b.next <- 1
	b.group.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.conns <- conn
			b.group.Go(func() { b.serve(conn) })
		}
	})
	return b
}

func (b *boots) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		boot := <-b.next
		b.next <- boot
		b.received <- lines.Text()
		_, _ = fmt.Fprintf(conn, "boot %d has %s\n", boot, lines.Text()) // The client may be gone.
	}
}

// reboot ends the connections of the current boot and begins the next one.
func (b *boots) reboot() {
	b.next <- <-b.next + 1
	for range len(b.conns) {
		_ = (<-b.conns).Close()
	}
}

func (b *boots) stop() {
	_ = b.ln.Close()
	b.reboot()
	b.group.Wait()
}

// client is a connection through a relay, and the lines that arrive on it. The channel is closed with the connection.
type client struct {
	net.Conn
	lines chan string
}

func dialRelay(t *testing.T, r *relay, group *conc.WaitGroup) *client {
	t.Helper()
	conn, err := net.Dial("tcp", r.address())
	if err != nil {
		t.Fatal(err)
	}
	c := &client{conn, make(chan string, 8)}
	group.Go(func() {
		defer close(c.lines)
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			c.lines <- lines.Text()
		}
	})
	return c
}

func (c *client) send(t *testing.T, line string) {
	t.Helper()
	if _, err := fmt.Fprintln(c, line); err != nil {
		t.Fatal(err)
	}
}

// Guards against cuts of workers that do something else than the fault log lists. What is sent in a cut of its direction must
// not arrive while it lasts, and after it only if it was held. The other direction must not be affected.
func TestCutsOfOneDirection(t *testing.T) {
	for _, x := range []struct {
		name                                     string
		kind                                     cutKind
		direction                                int
		requestIn, responseIn, request, response bool // Whether they arrive in the cut, or after it.
	}{
		{"requests are lost", lossy, requests, false, false, false, false},
		{"responses are lost", lossy, responses, true, false, false, false},
		{"requests are held", held, requests, false, false, true, true},
		{"responses are held", held, responses, true, false, false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			b := startBoots(t)
			defer b.stop()
			r := &relay{target: b.ln.Addr().String(), losesCloses: true}
			is.NoErr(r.start())
			var group conc.WaitGroup
			defer group.Wait()
			defer r.stop()
			c := dialRelay(t, r, &group)
			c.send(t, "a")
			is.Equal(<-b.received, "a")
			is.Equal(<-c.lines, "boot 1 has a")
			r.cut(x.kind, 1, x.direction)
			c.send(t, "b")
			is.Equal(messageArrives(b.received), x.requestIn)
			is.Equal(messageArrives(c.lines), x.responseIn)
			r.cut(x.kind, -1, x.direction)
			is.Equal(messageArrives(b.received), x.request)
			is.Equal(messageArrives(c.lines), x.response)
		})
	}
}

// Guards against returns of workers that do something else than the fault log lists. When the target boots, a client's connection
// must end, or lead to the next boot, and so must a request that was held meanwhile. In a cut, the client must not see the end.
func TestConnectionsThroughARestart(t *testing.T) {
	for _, x := range []struct {
		name        string
		leads       bool
		held, lossy []int
		response    string
		ends        bool
	}{
		{"plain", false, nil, nil, "", true},
		{"held requests", false, []int{requests}, nil, "", true},
		{"held responses", false, []int{responses}, nil, "boot 1 has b", true},
		{"lost responses", false, nil, []int{responses}, "", false},
		{"led on", true, nil, nil, "boot 2 has c", false},
		{"led on with held requests", true, []int{requests}, nil, "boot 2 has b", false},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			b := startBoots(t)
			defer b.stop()
			r := &relay{target: b.ln.Addr().String(), losesCloses: true}
			is.NoErr(r.start())
			var group conc.WaitGroup
			defer group.Wait()
			defer r.stop()
			c := dialRelay(t, r, &group)
			c.send(t, "a")
			is.Equal(<-c.lines, "boot 1 has a")
			if x.leads {
				r.addLeading(1)
			}
			r.cut(held, 1, x.held...)
			r.cut(lossy, 1, x.lossy...)
			if len(x.held) > 0 {
				c.send(t, "b")
				time.Sleep(noMessageTimeout / 3)
			}
			b.reboot()
			time.Sleep(noMessageTimeout / 3)
			r.cut(held, -1, x.held...)
			if x.leads && len(x.held) == 0 {
				c.send(t, "c")
			}
			got, ended := "", false
			select {
			case line, ok := <-c.lines:
				got, ended = line, !ok
			case <-time.After(noMessageTimeout):
			}
			is.Equal(got, x.response)
			if got != "" && !x.leads {
				_, ok := <-c.lines
				ended = !ok
			}
			is.Equal(ended, x.ends)
		})
	}
}

// Guards against a cut of old connections that holds new ones too. What was sent on a connection from before must arrive at the
// next boot after calls on a new connection.
func TestOldConnectionsAreHeld(t *testing.T) {
	is := is.New(t)
	b := startBoots(t)
	defer b.stop()
	r := &relay{target: b.ln.Addr().String(), losesCloses: true}
	is.NoErr(r.start())
	var group conc.WaitGroup
	defer group.Wait()
	defer r.stop()
	last := dialRelay(t, r, &group)
	last.send(t, "a")
	is.Equal(<-last.lines, "boot 1 has a")
	r.addLeading(1)
	r.cut(heldOld, 1, requests)
	last.send(t, "b")
	time.Sleep(noMessageTimeout / 3)
	b.reboot()
	next := dialRelay(t, r, &group)
	next.send(t, "c")
	is.Equal(<-next.lines, "boot 2 has c")
	is.Equal(messageArrives(last.lines), false)
	r.cut(heldOld, -1, requests)
	is.Equal(<-last.lines, "boot 2 has b")
}
