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

// sleep waits; it returns false when ctx ended first.
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

// listenAgain binds the address of an earlier incarnation, which the system may hold back for a moment.
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
