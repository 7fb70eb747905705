package proto

import (
	"context"
	"errors"
	"fmt"
	"net"

	"golang.org/x/sync/errgroup"
)

// Serve accepts connections until ctx ends, performs the handshake and calls serve for each in a separate
// goroutine. At most maxConns connections are served at the same time; further ones are closed at once. Serve
// returns when all of them have ended; the listener is closed.
func Serve(
	ctx context.Context, listener net.Listener, cfg Config, maxConns int, serve func(context.Context, *Conn),
) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	openConns := make(chan struct{}, maxConns)
	for {
		netConn, err := listener.Accept()
		if err != nil {
			waitErr := group.Wait()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return waitErr
			}
			return fmt.Errorf("accepting: %w", err)
		}
		select {
		case openConns <- struct{}{}:
		default:
			netConn.Close() // maxConns connections are open
			continue
		}
		group.Go(func() error {
			defer func() { <-openConns }()
			if conn, err := Handshake(ctx, netConn, cfg); err == nil {
				serve(ctx, conn) // a failed handshake ends only its connection
			}
			return nil
		})
	}
}
