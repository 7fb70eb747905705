package testbed

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	listenAttempts = 100
	listenPause    = 20 * time.Millisecond
)

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// listenAgain binds the address of an earlier incarnation. It retries, as the system may keep the address in
// use for a short time.
func listenAgain(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	var err error
	for range listenAttempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp4", addr.String()); err == nil {
			return listener, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(listenPause):
		}
	}
	return nil, err
}
