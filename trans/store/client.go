package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// DefaultTimeout limits the duration of all calls but Watch.
const DefaultTimeout = 2 * time.Second

// watchTimeout is longer than the time for which the service holds a watch open.
const watchTimeout = 60 * time.Second

// Client implements winch.Store and winch.Lister against the service at Address.
type Client struct {
	Address string
	Timeout time.Duration
	HTTP    *http.Client

	calls, bytes atomic.Int64
}

var (
	_ winch.Store  = (*Client)(nil)
	_ winch.Lister = (*Client)(nil)
)

// Cost returns the number of calls made and of bytes sent and received in bodies so
// far.
func (c *Client) Cost() (calls, bytes int64) {
	return c.calls.Load(), c.bytes.Load()
}

// call makes one request. A failure to connect is known to have had no effect. Any
// later failure may have had one and is reported as winch.ErrUncertain.
func (c *Client) call(ctx context.Context, op Op, in Call, timeout time.Duration) (Reply, error) {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return Reply{}, merry.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+PathPrefix+string(op), bytes.NewReader(body))
	if err != nil {
		return Reply{}, merry.Wrap(err)
	}
	c.calls.Add(1)
	c.bytes.Add(int64(len(body)))
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return Reply{}, sendError(op, err)
	}
	defer resp.Body.Close()
	var out Reply
	bodyReader := &countingReader{r: resp.Body}
	if err := json.NewDecoder(bodyReader).Decode(&out); err != nil {
		return Reply{}, fmt.Errorf("%w: %s: %w", winch.ErrUncertain, op, err)
	}
	c.bytes.Add(bodyReader.n)
	return out, codeError(op, out.Code)
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func sendError(op Op, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %s: %w", winch.ErrUnavailable, op, err)
	}
	return fmt.Errorf("%w: %s: %w", winch.ErrUncertain, op, err)
}

func codeError(op Op, code Code) error {
	switch code {
	case "":
		return nil
	case CodeMissing:
		return fmt.Errorf("%s: %w", op, winch.ErrNotFound)
	case CodeConflict:
		return fmt.Errorf("%s: %w", op, winch.ErrConflict)
	default:
		return fmt.Errorf("%s: %w", op, winch.ErrUnavailable)
	}
}

// Get implements winch.Store.
func (c *Client) Get(ctx context.Context, key string) (winch.Value, error) {
	out, err := c.call(ctx, OpGet, Call{Key: key}, c.Timeout)
	if err != nil || len(out.Values) == 0 {
		return winch.Value{}, err
	}
	return out.Values[0], nil
}

// Put implements winch.Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error) {
	out, err := c.call(ctx, OpPut, Call{Key: key, Data: data, Version: version, Lease: lease}, c.Timeout)
	return out.Version, err
}

// Delete implements winch.Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.call(ctx, OpDelete, Call{Key: key, Version: version}, c.Timeout)
	return err
}

// List implements winch.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]winch.Value, error) {
	out, err := c.call(ctx, OpList, Call{Key: prefix}, c.Timeout)
	return out.Values, err
}

// Grant implements winch.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	out, err := c.call(ctx, OpGrant, Call{TTL: ttl}, c.Timeout)
	return out.Lease, err
}

// Renew implements winch.Store.
func (c *Client) Renew(ctx context.Context, lease string) error {
	_, err := c.call(ctx, OpRenew, Call{Lease: lease}, c.Timeout)
	return err
}

// Revoke implements winch.Store.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	_, err := c.call(ctx, OpRevoke, Call{Lease: lease}, c.Timeout)
	return err
}

// Watch implements winch.Store.
func (c *Client) Watch(ctx context.Context, prefixes []string, after uint64) ([]winch.Change, uint64, error) {
	out, err := c.call(ctx, OpWatch, Call{Prefixes: prefixes, Version: after}, watchTimeout)
	return out.Changes, out.Version, err
}

// VMs implements winch.Lister.
func (c *Client) VMs(ctx context.Context, known uint64) ([]winch.VM, uint64, error) {
	out, err := c.call(ctx, OpVMs, Call{Version: known}, c.Timeout)
	return out.VMs, out.Version, err
}

// countingReader counts the bytes read from r.
type countingReader struct {
	r interface{ Read([]byte) (int, error) }
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
