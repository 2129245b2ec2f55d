package exec

import (
	"context"
	"net"
)

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	return d.DialContext(ctx, network, address)
}
