package registry

import (
	"context"
	"fmt"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
)

// registerRetryDelay is the maximum delay before a node reconnects to a registry that cannot be reached; a
// change of the endpoint ends it early.
const registerRetryDelay = 100 * time.Millisecond

// Register keeps a node listed until ctx ends: it sends each endpoint received from changes to the registry,
// and sends the last one again after a reconnect. It returns nil.
func Register(ctx context.Context, addr string, cfg proto.Config, changes <-chan endpoints.Endpoint) error {
	cfg.Limits, cfg.IdleTimeout = Limits, watchIdleTimeout
	r := &registration{changes: changes}
	for ctx.Err() == nil {
		conn, err := proto.Dial(ctx, addr, cfg)
		if err != nil {
			r.waitForRetry(ctx)
			continue
		}
		r.serve(ctx, conn)
	}
	return nil
}

// registration is the state of a node's registration across reconnects.
type registration struct {
	changes <-chan endpoints.Endpoint
	last    *endpoints.Endpoint // nil: no endpoint was received yet
}

func (r *registration) waitForRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case endpoint := <-r.changes:
		r.last = &endpoint
	case <-time.After(registerRetryDelay):
	}
}

// serve sends endpoints on a connection until the connection or ctx ends.
func (r *registration) serve(ctx context.Context, conn *proto.Conn) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = conn.Run(ctx, func(frame proto.Frame) error { // the cause of the end is not needed
			return fmt.Errorf("unexpected frame of type %v", frame.Type)
		})
	}()
	if r.last != nil {
		send(conn, *r.last)
	}
	for {
		select {
		case <-ctx.Done():
			conn.Close(ctx.Err())
			<-ended
			return
		case <-ended:
			return
		case endpoint := <-r.changes:
			r.last = &endpoint
			send(conn, endpoint)
		}
	}
}

func send(conn *proto.Conn, endpoint endpoints.Endpoint) {
	message := Message{Endpoints: recordsOf([]endpoints.Endpoint{endpoint})}
	_ = conn.Send(proto.TypeRegister, 0, message, nil) // the endpoint is sent again after a reconnect
}
