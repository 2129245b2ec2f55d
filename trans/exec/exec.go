// Package exec sends callers' requests to executors over HTTP/1.1.
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

// RequestIDHeader carries the id of an attempt. Executors that support it return it in
// the response.
const RequestIDHeader = "Winch-Request-Id"

// TeamHeader carries the name of the team that makes the request.
const TeamHeader = "Winch-Team"

// DialTimeout limits how long connecting to an executor may take.
const DialTimeout = time.Second

// Client implements winch.Executor. Its transport opens only a limited number of
// connections to each executor, so that all entries together stay within the
// executor's limit.
type Client struct {
	HTTP *http.Transport
}

var _ winch.Executor = (*Client)(nil)

// NewTransport returns a transport that opens at most limit connections to each
// executor.
func NewTransport(limit int) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		DialContext:         dial,
	}
}

// Send implements winch.Executor. GetBody is not set, so that the transport cannot
// resend a request on a new connection by itself: the executor could run the request
// twice, and only the executor's own count would show it.
func (c *Client) Send(ctx context.Context, vm winch.VM, req winch.Request) (*winch.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
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
		return nil, sent.Load(), merry.Wrap(err)
	}
	return &winch.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, RequestID: resp.Header.Get(RequestIDHeader)}, true, nil
}
