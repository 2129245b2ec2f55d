package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"plantainwinch/winch"
)

// DefaultTimeout limits the duration of a call, in addition to the wait that the call
// requests.
const DefaultTimeout = 2 * time.Second

// Client implements winch.Worker over HTTP.
type Client struct {
	HTTP    *http.Client
	Timeout time.Duration

	calls, bytes atomic.Int64
}

var _ winch.Worker = (*Client)(nil)

// Cost returns the number of calls made and of bytes sent in request bodies so far.
func (c *Client) Cost() (calls, bytes int64) {
	return c.calls.Load(), c.bytes.Load()
}

func (c *Client) call(ctx context.Context, vm winch.VM, op Op, in Call) (Reply, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+in.Wait)
	defer cancel()
	body, err := cbor.Marshal(in)
	if err != nil {
		return Reply{}, merry.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Address+PathPrefix+string(op), bytes.NewReader(body))
	if err != nil {
		return Reply{}, merry.Wrap(err)
	}
	c.calls.Add(1)
	c.bytes.Add(int64(len(body)))
	resp, err := c.HTTP.Do(req)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return Reply{}, fmt.Errorf("%w: %w", winch.ErrRefused, err)
		}
		return Reply{}, merry.Wrap(err)
	}
	defer resp.Body.Close()
	var out Reply
	if err := cbor.NewDecoder(resp.Body).Decode(&out); err != nil {
		return Reply{}, merry.Wrap(err)
	}
	switch out.Code {
	case CodeFenced:
		return out, winch.ErrFenced
	case CodeRefused:
		return out, winch.ErrRefused
	}
	return out, nil
}

// Start implements winch.Worker.
func (c *Client) Start(ctx context.Context, vm winch.VM, epoch uint64, task winch.Task, lease time.Duration) error {
	_, err := c.call(ctx, vm, OpStart, Call{Epoch: epoch, Task: task, Lease: lease})
	return err
}

// Renew implements winch.Worker.
func (c *Client) Renew(ctx context.Context, vm winch.VM, r winch.Renewal) (winch.Report, error) {
	out, err := c.call(ctx, vm, OpRenew, Call{Epoch: r.Epoch, Lease: r.Lease, Wait: r.Wait, Full: r.Full, Forget: r.Forget})
	return out.Report, err
}

// Stop implements winch.Worker.
func (c *Client) Stop(ctx context.Context, vm winch.VM, epoch uint64, task winch.Task) (bool, error) {
	out, err := c.call(ctx, vm, OpStop, Call{Epoch: epoch, Task: task})
	return out.Had, err
}
