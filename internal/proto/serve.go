package proto

import (
	"context"
	"errors"
	"fmt"
	"net"

	"golang.org/x/sync/errgroup"
)

// Serve accepts connections until ctx ends, exchanges greetings and calls serve for each in a goroutine of
// its own. At most maxConns connections are served at the same time; one more is closed at once. Serve
// returns when all of them have ended; the listener is closed.
func Serve(
	ctx context.Context, listener net.Listener, cfg Config, maxConns int, serve func(context.Context, *Conn),
) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	slots := make(chan struct{}, maxConns)
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
		case slots <- struct{}{}:
		default:
			netConn.Close() // all slots are in use
			continue
		}
		group.Go(func() error {
			defer func() { <-slots }()
			if conn, err := Greet(ctx, netConn, cfg); err == nil {
				serve(ctx, conn)
			}
			return nil
		})
	}
}
