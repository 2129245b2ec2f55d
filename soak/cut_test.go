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

// An entry dials another by its way and names itself. Then one way between the
// two is cut, or both: what goes that way is lost, and what goes the other way
// still arrives. Links to others stay whole.
func TestCutsBetweenEntries(t *testing.T) {
	const hello = "some fields, e1/ABCDEF, and others that make it a longer message than the shortest frames carry: " +
		"................................................................................................"
	for _, x := range []struct {
		name        string
		from, to    string
		there, back bool
	}{
		{"none", "e2", "e0", true, true},
		{"what the dialler says", "e1", "e0", false, true},
		{"what the dialler hears", "e0", "e1", true, false},
		{"the way to another", "e1", "e2", true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			got, say := make(chan string, 8), make(chan string, 8)
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
						got <- string(data)
					}
				})
				for {
					select {
					case <-ctx.Done():
						return
					case m := <-say:
						_ = conn.Write(ctx, websocket.MessageBinary, []byte(m))
					}
				}
			}))
			defer server.Close()
			c := &cuts{}
			r := &relay{target: strings.TrimPrefix(server.URL, "http://"), entry: "e0", cuts: c}
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
			is.Equal(<-got, hello)
			say <- "an answer"
			_, data, err := conn.Read(ctx)
			is.NoErr(err)
			is.Equal(string(data), "an answer")

			c.add(x.from, x.to, 1)
			say <- "another answer"
			is.NoErr(conn.Write(ctx, websocket.MessageBinary, []byte("another question")))
			is.Equal(arrives(got), x.there)
			short, stop := context.WithTimeout(ctx, awhile)
			defer stop()
			_, _, err = conn.Read(short)
			is.Equal(err == nil, x.back)
		})
	}
}

// awhile is how long a test waits for what must not come.
const awhile = 300 * time.Millisecond

func arrives(ch chan string) bool {
	select {
	case <-ch:
		return true
	case <-time.After(awhile):
		return false
	}
}
