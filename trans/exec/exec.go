// Package exec sends calls to executors over HTTP/1.1.
package exec

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// RequestIDHeader carries the id of an attempt; an executor that can echoes it.
const RequestIDHeader = "Winch-Request-Id"

// TeamHeader tells the executor whose request it is.
const TeamHeader = "Winch-Team"

// DialTimeout bounds how long connecting to an executor may take.
const DialTimeout = time.Second

// Client implements winch.Executor. Its transport holds at most Connections
// open to one executor, so that all entries together stay within its limit.
type Client struct {
	HTTP *http.Transport
}

var _ winch.Executor = (*Client)(nil)

// NewTransport returns a transport with at most conns connections to each executor.
func NewTransport(conns int) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		DialContext:         dial,
	}
}

// Send implements winch.Executor. The transport gets no means to rewind the
// body: were it to resend a request on a fresh connection by itself, the
// executor could run it twice and only its own count would show it.
func (c *Client) Send(ctx context.Context, vm winch.VM, req winch.Request) (*winch.Response, bool, error) {
	var left atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { left.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + vm.Address + "/" + strings.TrimPrefix(req.Path, "/")
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, url, req.Body)
	if err != nil {
		return nil, false, merry.Wrap(err)
	}
	out.GetBody = nil
	out.ContentLength = req.Length
	for name, values := range req.Header {
		out.Header[name] = values
	}
	out.Header.Set(RequestIDHeader, req.ID)
	out.Header.Set(TeamHeader, req.Team)
	resp, err := c.HTTP.RoundTrip(out)
	if err != nil {
		return nil, left.Load(), merry.Wrap(err)
	}
	return &winch.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, true, nil
}
