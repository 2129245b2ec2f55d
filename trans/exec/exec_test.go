package exec

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

func send(c *Client, address, body string) (*winch.Response, bool, error) {
	req := winch.Request{ID: "r1", Team: "choir", Path: "/x", Header: http.Header{}, Body: strings.NewReader(body), Length: int64(len(body))}
	return c.Send(context.Background(), winch.VM{Address: address}, req)
}

// Nobody listens at the executor's address. No byte has left, so the request
// may go elsewhere.
func TestNotReached(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	c := &Client{HTTP: NewTransport(2)}
	defer c.HTTP.CloseIdleConnections()
	_, left, err := send(c, address, "x")
	is.True(err != nil)
	is.Equal(left, false)
}

// An executor closes its connection when it gets a second request on it, as one
// does that is just being stopped. The transport must not send the request again
// by itself, and the caller must learn that it may have run.
func TestNoSilentResend(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if seen.Add(1) == 1 {
			_, _ = w.Write(body)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c := &Client{HTTP: NewTransport(1)}
	defer c.HTTP.CloseIdleConnections()
	address := strings.TrimPrefix(s.URL, "http://")
	a, left, err := send(c, address, "one")
	is.NoErr(err)
	is.True(left)
	body, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(body), "one")
	_ = a.Body.Close()
	_, left, err = send(c, address, "two")
	is.True(err != nil)
	is.True(left)
	is.Equal(seen.Load(), int64(2))
}

// The request carries its id and team, and its body whole.
func TestSendCarries(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		w.Header().Set(RequestIDHeader, req.Header.Get(RequestIDHeader))
		_, _ = io.WriteString(w, req.URL.Path+" "+req.Header.Get(TeamHeader)+" "+string(body))
	}))
	defer s.Close()
	c := &Client{HTTP: NewTransport(1)}
	defer c.HTTP.CloseIdleConnections()
	a, _, err := send(c, strings.TrimPrefix(s.URL, "http://"), "body")
	is.NoErr(err)
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(body), "/x choir body")
	is.Equal(a.Header.Get(RequestIDHeader), "r1")
}
