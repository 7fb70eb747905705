package daemon

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// upstreamPool is the Upstream of the native protocol: the connections to nodes. The loop's goroutine owns
// it; the goroutines of the connections report through the inbox.
type upstreamPool struct {
	ctx      context.Context // ends all connections
	group    *errgroup.Group // of the connections' goroutines
	instance *Instance
	config   proto.Config
	nodes    map[scheduler.Server]*upstreamNode
}

// upstreamNode holds the connections to one node.
type upstreamNode struct {
	server      scheduler.Server
	connections []*upstreamConnection
	dialing     int          // connections being established
	waiting     []*Operation // for a connection being established
}

func newUpstreamPool(ctx context.Context, group *errgroup.Group, instance *Instance) *upstreamPool {
	limits := instance.cfg.Site.Limits
	return &upstreamPool{
		ctx:      ctx,
		group:    group,
		instance: instance,
		config: proto.Config{
			Hello:            instance.hello(),
			Gate:             instance.cfg.Hooks.Gate,
			HandshakeTimeout: limits.ConnectTimeout,
			IdleTimeout:      limits.IdleTimeout,
			SilenceTimeout:   limits.SilenceTimeout,
			Limits:           proto.LimitsFor(int(limits.MaxPayload), limits.Streams),
		},
		nodes: map[scheduler.Server]*upstreamNode{},
	}
}

// serverAddress returns the address of a node as text.
func serverAddress(server scheduler.Server) string { return registry.AddrPortOf(server).String() }

// node returns the pool's entry for a node, and creates it if there is none.
func (p *upstreamPool) node(server scheduler.Server) *upstreamNode {
	node := p.nodes[server]
	if node == nil {
		node = &upstreamNode{server: server}
		p.nodes[server] = node
	}
	return node
}

// Send writes an operation to the connection with the fewest requests in flight. If all are at their stream
// limit, it queues the operation for a connection being established, and dials another if necessary. If the
// limit of connections is reached and none of them has a stream left, the operation ends as ConnectFailed.
func (p *upstreamPool) Send(operation *Operation) {
	node := p.node(operation.server)
	if connection := node.leastLoaded(); connection != nil {
		p.write(connection, operation)
		return
	}
	limits := p.instance.cfg.Site.Limits
	if len(node.waiting) >= node.dialing*limits.Streams {
		// The connections being established have no stream left for another operation.
		if len(node.connections)+node.dialing >= limits.NodeConnections {
			p.instance.inbox.put(operationResult{operation: operation, code: scheduler.ConnectFailed})
			return
		}
		p.dial(node)
	}
	node.waiting = append(node.waiting, operation)
}

// leastLoaded returns the connection with the fewest requests in flight; nil if all are at their limit.
func (n *upstreamNode) leastLoaded() *upstreamConnection {
	var best *upstreamConnection
	for _, connection := range n.connections {
		inFlight := connection.conn.InFlight()
		if inFlight < connection.conn.MaxStreams() && (best == nil || inFlight < best.conn.InFlight()) {
			best = connection
		}
	}
	return best
}

// dial establishes a connection and reads from it, on a goroutine of the group that ends with the connection.
func (p *upstreamPool) dial(node *upstreamNode) {
	node.dialing++
	server := node.server
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, p.instance.cfg.Site.Limits.ConnectTimeout)
		defer cancel()
		conn, err := proto.Dial(ctx, serverAddress(server), p.config)
		if err != nil {
			p.instance.inbox.put(dialFailed{p, server, err})
			return nil
		}
		connection := &upstreamConnection{server: server, conn: conn, operations: map[uint64]*Operation{}}
		p.instance.inbox.put(helloReceived{connection.peerProcess()})
		p.instance.inbox.put(connectionEstablished{p, connection})
		err = conn.Run(p.ctx, func(frame proto.Frame) error { return p.handleFrame(connection, frame) })
		p.connectionEnded(connection, err)
		return nil
	})
}

// dialFailed reports that a connection could not be established.
type dialFailed struct {
	pool   *upstreamPool
	server scheduler.Server
	err    error
}

// apply fails the operations that wait for a connection, unless another is being established.
func (m dialFailed) apply(l *loop) {
	node := m.pool.node(m.server)
	node.dialing--
	m.pool.instance.log.Info("node unreachable", keyNode, serverAddress(m.server), keyError, m.err)
	if node.dialing > 0 {
		return
	}
	for _, operation := range node.waiting {
		l.operationEnded(operationResult{operation: operation, code: scheduler.ConnectFailed})
	}
	node.waiting = nil
	m.pool.removeUnused(node)
}

// connectionEstablished reports a new connection.
type connectionEstablished struct {
	pool       *upstreamPool
	connection *upstreamConnection
}

// apply sends the operations that waited for a connection, except those that are no longer needed or valid.
func (m connectionEstablished) apply(l *loop) {
	node := m.pool.node(m.connection.server)
	node.dialing--
	node.connections = append(node.connections, m.connection)
	waiting := node.waiting
	node.waiting = nil
	for _, operation := range waiting {
		for _, sendable := range l.sendableOperations(operation) {
			// The scheduler's decision is void if the node began to drain or restarted during the dial.
			if code := l.shared.CheckPreconditions(sendable); code != scheduler.OK {
				l.operationEnded(operationResult{operation: sendable, code: code})
				continue
			}
			m.pool.Send(sendable)
		}
	}
}

// connectionClosed reports that a connection has ended.
type connectionClosed struct {
	pool       *upstreamPool
	connection *upstreamConnection
}

func (m connectionClosed) apply(*loop) {
	node := m.pool.node(m.connection.server)
	if i := slices.Index(node.connections, m.connection); i >= 0 {
		node.connections = slices.Delete(node.connections, i, i+1)
	}
	m.pool.removeUnused(node)
}

// removeUnused removes the entry of a node without connections, dials and waiting operations.
func (p *upstreamPool) removeUnused(node *upstreamNode) {
	if len(node.connections) == 0 && node.dialing == 0 && len(node.waiting) == 0 {
		delete(p.nodes, node.server)
	}
}

// CloseIdle closes the connections to a node on which nothing is in flight.
func (p *upstreamPool) CloseIdle(server scheduler.Server) {
	node := p.nodes[server]
	if node == nil {
		return
	}
	for _, connection := range node.connections {
		if connection.conn.InFlight() == 0 {
			connection.conn.CloseGracefully("not needed")
		}
	}
}
