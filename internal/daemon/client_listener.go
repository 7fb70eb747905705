package daemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

const (
	clientIdleTimeout = 10 * time.Minute
	// The stream limit of a client connection is clientStreamFactor times that of a node connection, which
	// counts as at least minNodeStreams.
	clientStreamFactor = 64
	minNodeStreams     = 64
)

// clientListener is the frontend of the native protocol: it accepts requests from clients, limits their
// number and passes them to the loop. Each connection has a dedicated goroutine.
type clientListener struct {
	instance *Instance

	mu          sync.Mutex
	connections map[*clientConnection]struct{}
	closing     bool
	drained     chan struct{} // closed once closing is true and no connection is left
}

var _ Clients = (*clientListener)(nil)

// clientConnection is one client's connection.
type clientConnection struct {
	conn *proto.Conn

	mu    sync.Mutex
	calls map[uint64]*Call // open calls, by stream
}

func newClientListener(instance *Instance) *clientListener {
	return &clientListener{
		instance:    instance,
		connections: map[*clientConnection]struct{}{},
		drained:     make(chan struct{}),
	}
}

// serve accepts connections until ctx ends.
func (l *clientListener) serve(ctx context.Context) error {
	limits := l.instance.cfg.Site.Limits
	streams := max(limits.Streams, minNodeStreams) * clientStreamFactor
	config := proto.Config{
		Hello:       l.instance.hello(),
		Gate:        l.instance.cfg.Hooks.Gate,
		IdleTimeout: clientIdleTimeout,
		Limits:      proto.LimitsFor(int(limits.MaxPayload), streams),
	}
	return proto.Serve(ctx, l.instance.cfg.Listener, config, limits.ClientConnections, l.serveConnection)
}

// closeGracefully closes all connections once their queued frames are written.
func (l *clientListener) closeGracefully(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for connection := range l.connections {
		connection.conn.CloseGracefully(reason)
	}
	l.signalIfDrained()
}

// signalIfDrained closes drained once closing is true and no connection is left. The caller holds the lock.
func (l *clientListener) signalIfDrained() {
	if l.closing && len(l.connections) == 0 && !isClosed(l.drained) {
		close(l.drained)
	}
}

func (l *clientListener) add(connection *clientConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[connection] = struct{}{}
}

func (l *clientListener) remove(connection *clientConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, connection)
	l.signalIfDrained()
}

// serveConnection reads from a connection until it ends, then ends the calls still open on it.
func (l *clientListener) serveConnection(ctx context.Context, conn *proto.Conn) {
	connection := &clientConnection{conn: conn, calls: map[uint64]*Call{}}
	l.add(connection)
	err := conn.Run(ctx, func(frame proto.Frame) error { return l.handleFrame(connection, frame) })
	if err != nil && ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		l.instance.log.Warn("client connection ended", keyRole, conn.PeerHello().Role,
			keyClient, conn.PeerHello().Number, keyError, err)
	}
	l.remove(connection)
	for _, call := range connection.removeAll() {
		l.instance.CancelCall(call)
	}
}

// handleFrame handles a frame from a client. An error ends the connection.
func (l *clientListener) handleFrame(connection *clientConnection, frame proto.Frame) error {
	switch frame.Type {
	case proto.TypeRequest:
		return l.handleRequest(connection, frame)
	case proto.TypeCancel:
		if call := connection.get(frame.Stream); call != nil {
			l.instance.CancelCall(call)
		}
		return nil
	case proto.TypeHealthCheck:
		healthy := proto.Answer{Code: proto.OK}
		return connection.conn.Send(proto.TypeHealthCheckResult, frame.Stream, healthy, nil)
	}
	return fmt.Errorf("%w from a client: type %v", errUnexpectedFrame, frame.Type)
}

// handleRequest validates and admits a request, or rejects it at once.
func (l *clientListener) handleRequest(connection *clientConnection, frame proto.Frame) error {
	if err := connection.conn.OpenStream(frame.Stream); err != nil {
		return err
	}
	request := &clientRequest{
		listener:   l,
		connection: connection,
		stream:     frame.Stream,
		payload:    frame.Payload,
	}
	receivedAt := l.instance.ArrivalTime(connection.conn.ReceivedAt())
	if err := frame.Decode(&request.header); err != nil {
		return err
	}
	site := &l.instance.cfg.Site
	if reason := request.validate(site); reason != "" {
		return request.reject(reason, 0)
	}
	if reason := l.instance.Admit(site.Limits.MaxOpenRequests); reason != "" {
		retryAfter := site.Limits.MaxRetryAfter
		if !site.Limits.RetryAfter {
			retryAfter = 0 // the site's settings allow no Retry-After
		}
		return request.reject(reason, retryAfter)
	}
	call := request.newCall(receivedAt)
	connection.add(frame.Stream, call)
	l.instance.Submit(call)
	return nil
}

// Unaccepted returns nil: a client sends its first request only once its connection is accepted and its
// handshake answered.
func (l *clientListener) Unaccepted() (remaining func() int) { return nil }

// Unsubmitted implements Clients. It returns all connections with a request that is not submitted, whenever
// it arrived.
func (l *clientListener) Unsubmitted(time.Time) (unsubmitted []func() bool) {
	l.mu.Lock()
	connections := slices.Collect(maps.Keys(l.connections))
	l.mu.Unlock()
	for _, connection := range connections {
		if connection.conn.HasUnhandled() {
			unsubmitted = append(unsubmitted, connection.conn.HasUnhandled)
		}
	}
	return unsubmitted
}

func (c *clientConnection) add(stream uint64, call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[stream] = call
}

// get returns the open call of a stream; nil if there is none.
func (c *clientConnection) get(stream uint64) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[stream]
}

func (c *clientConnection) remove(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, stream)
}

// removeAll removes and returns all open calls of a connection that has ended.
func (c *clientConnection) removeAll() map[uint64]*Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.calls
	c.calls = nil
	return open
}
