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

// Guards against a request being reported as possibly sent when nothing listens at
// the executor's address: it may still go to another executor.
func TestUnreachableExecutorGetsNothing(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	c := &Client{HTTP: NewTransport(2)}
	defer c.HTTP.CloseIdleConnections()
	_, sent, err := send(c, address, "x")
	is.True(err != nil)
	is.Equal(sent, false)
}

// Guards against the transport resending a request by itself when the executor closes
// the connection on the second request, as it does while it is being stopped. The
// caller must learn that the request may have run.
func TestTransportDoesNotResend(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if requests.Add(1) == 1 {
			_, _ = w.Write(body)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c := &Client{HTTP: NewTransport(1)}
	defer c.HTTP.CloseIdleConnections()
	address := strings.TrimPrefix(s.URL, "http://")
	resp, sent, err := send(c, address, "one")
	is.NoErr(err)
	is.True(sent)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "one")
	_ = resp.Body.Close()
	_, sent, err = send(c, address, "two")
	is.True(err != nil)
	is.True(sent)
	is.Equal(requests.Load(), int64(2))
}

// Guards against the request's id, team, path or body not reaching the executor, and
// against the response's headers being lost.
func TestSendForwardsIDTeamPathAndBody(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		w.Header().Set(RequestIDHeader, req.Header.Get(RequestIDHeader))
		_, _ = io.WriteString(w, req.URL.Path+" "+req.Header.Get(TeamHeader)+" "+string(body))
	}))
	defer s.Close()
	c := &Client{HTTP: NewTransport(1)}
	defer c.HTTP.CloseIdleConnections()
	resp, _, err := send(c, strings.TrimPrefix(s.URL, "http://"), "body")
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "/x choir body")
	is.Equal(resp.Header.Get(RequestIDHeader), "r1")
	is.Equal(resp.RequestID, "r1")
}
