package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// Guards against the soak testing other partitions than its fault log lists. An entry dials
// another through its relay and names itself. A partition of one direction between the two
// must drop data in that direction only, and a partition that involves other entries must
// not affect the connection.
func TestPartitionsBetweenEntries(t *testing.T) {
	const hello = "some fields, e1/ABCDEF, and others that make it a longer message than the shortest frames carry: " +
		"................................................................................................"
	for _, x := range []struct {
		name              string
		from, to          string
		forward, backward bool
	}{
		{"sender is another entry", "e2", "e0", true, true},
		{"from the dialing entry", "e1", "e0", false, true},
		{"to the dialing entry", "e0", "e1", true, false},
		{"receiver is another entry", "e1", "e2", true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			received, send := make(chan string, 8), make(chan string, 8)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, err := websocket.Accept(w, r, nil)
				if err != nil {
					return
				}
				defer func() { _ = conn.CloseNow() }()
				var group conc.WaitGroup
				defer group.Wait()
				ctx, cancel := context.WithCancel(r.Context())
				group.Go(func() {
					defer cancel()
					for {
						_, data, err := conn.Read(ctx)
						if err != nil {
							return
						}
						received <- string(data)
					}
				})
				for {
					select {
					case <-ctx.Done():
						return
					case m := <-send:
						_ = conn.Write(ctx, websocket.MessageBinary, []byte(m))
					}
				}
			}))
			defer server.Close()
			p := &partitions{}
			r := &relay{target: strings.TrimPrefix(server.URL, "http://"), entry: "e0", partitions: p, losesCloses: true}
			is.NoErr(r.start())
			defer r.stop()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			conn, resp, err := websocket.Dial(ctx, "ws://"+r.address(), nil)
			is.NoErr(err)
			if resp.Body != nil {
				_ = resp.Body.Close()
			}
			defer func() { _ = conn.CloseNow() }()
			is.NoErr(conn.Write(ctx, websocket.MessageBinary, []byte(hello)))
			is.Equal(<-received, hello)
			send <- "a response"
			_, data, err := conn.Read(ctx)
			is.NoErr(err)
			is.Equal(string(data), "a response")

			p.add(x.from, x.to, 1)
			send <- "another response"
			is.NoErr(conn.Write(ctx, websocket.MessageBinary, []byte("another request")))
			is.Equal(messageArrives(received), x.forward)
			short, stop := context.WithTimeout(ctx, noMessageTimeout)
			defer stop()
			_, _, err = conn.Read(short)
			is.Equal(err == nil, x.backward)
		})
	}
}

// noMessageTimeout is how long the test waits for a message that must not arrive.
const noMessageTimeout = 300 * time.Millisecond

// messageArrives reports whether a message arrives within noMessageTimeout.
func messageArrives(ch chan string) bool {
	select {
	case <-ch:
		return true
	case <-time.After(noMessageTimeout):
		return false
	}
}
