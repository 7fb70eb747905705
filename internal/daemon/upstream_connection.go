package daemon

import (
	"errors"
	"fmt"
	"sync"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Protocol violations by a peer.
var (
	errUnexpectedFrame  = errors.New("unexpected frame")
	errUnexpectedAnswer = errors.New("unexpected answer")
	errUnknownCode      = errors.New("unknown result code")
)

// upstreamConnection is one connection to a node.
type upstreamConnection struct {
	server scheduler.Server
	conn   *proto.Conn

	mu         sync.Mutex
	operations map[uint64]*Operation // in flight, by stream
	lastStream uint64
	ended      bool
}

// upstreamStream is the stream on which an operation was sent. It is the operation's DriverState.
type upstreamStream struct {
	connection *upstreamConnection
	id         uint64
}

// peerProcess returns the incarnation of the node that completed the handshake.
func (c *upstreamConnection) peerProcess() nodeProcess {
	return nodeProcess{c.server, c.conn.PeerHello().StartedAt}
}

// openStream assigns the next stream to an operation; false if the connection accepts no more.
func (c *upstreamConnection) openStream(operation *Operation) (stream uint64, opened bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastStream++
	stream = c.lastStream
	operation.DriverState = upstreamStream{c, stream}
	if c.ended || c.conn.OpenStream(stream) != nil {
		return stream, false
	}
	c.operations[stream] = operation
	return stream, true
}

// get returns the operation in flight on a stream; nil if there is none.
func (c *upstreamConnection) get(stream uint64) *Operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.operations[stream]
}

// remove removes the operation in flight on a stream and returns it; nil if there is none.
func (c *upstreamConnection) remove(stream uint64) *Operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	operation := c.operations[stream]
	delete(c.operations, stream)
	return operation
}

// write queues an operation's request on a connection. If that fails, the operation ends as ConnectFailed, as
// it cannot have run.
func (p *upstreamPool) write(connection *upstreamConnection, operation *Operation) {
	unsent := operationResult{operation: operation, code: scheduler.ConnectFailed}
	stream, opened := connection.openStream(operation)
	if !opened {
		p.instance.inbox.put(unsent)
		return
	}
	request := operation.encode(p.instance.Now())
	p.instance.Stats.Copied.Add(uint64(request.copied))
	err := connection.conn.Send(proto.TypeRequest, stream, request.header, request.payload)
	if err == nil {
		return
	}
	p.instance.log.Warn("request not sent", keyNode, serverAddress(operation.server), keyError, err)
	connection.conn.CloseStream(stream) // no answer will arrive that would close it
	// If the operation is not found, connectionEnded has reported it.
	if connection.remove(stream) != nil {
		p.instance.inbox.put(unsent)
	}
}

// Cancel notifies the node that the answer is no longer needed. The stream counts as in flight until the node
// ends it, so that a node that does not answer receives no more requests than the agreed limit.
func (p *upstreamPool) Cancel(operation *Operation) {
	stream, ok := operation.DriverState.(upstreamStream)
	if !ok || stream.connection.remove(stream.id) == nil {
		return
	}
	// An error means that the connection is closed, which its goroutine reports.
	_ = stream.connection.conn.Send(proto.TypeCancel, stream.id, nil, nil)
}

// HasUnreadAnswer reports whether anything on the operation's connection may be unread, or the operation's
// result is in the inbox. The connection carries the answers to other operations too.
func (p *upstreamPool) HasUnreadAnswer(operation *Operation) bool {
	stream, ok := operation.DriverState.(upstreamStream)
	if !ok {
		return false
	}
	// The order matters: an answer that is handled after the first check is found by the second.
	return stream.connection.conn.HasUnhandled() || stream.connection.get(stream.id) == nil
}

// CancelMember notifies the node that one of an operation's members no longer waits.
func (p *upstreamPool) CancelMember(operation *Operation, index int) {
	stream, ok := operation.DriverState.(upstreamStream)
	if !ok {
		return
	}
	cancel := proto.Cancel{Members: []uint16{uint16(index)}}
	// An error means that the connection is closed, which its goroutine reports.
	_ = stream.connection.conn.Send(proto.TypeCancel, stream.id, cancel, nil)
}

// handleFrame handles a frame from a node, on the connection's goroutine. An error ends the connection.
func (p *upstreamPool) handleFrame(connection *upstreamConnection, frame proto.Frame) error {
	switch frame.Type {
	case proto.TypeAnswer:
		return p.handleAnswer(connection, frame)
	case proto.TypeResponseStarted:
		if operation := connection.get(frame.Stream); operation != nil {
			p.instance.inbox.put(responseStarted{operation})
		}
		return nil
	case proto.TypeDrain:
		p.instance.inbox.put(drainNotice{connection.peerProcess()})
		return nil
	case proto.TypeHealthCheckResult:
		connection.conn.CloseStream(frame.Stream)
		return nil
	}
	return fmt.Errorf("%w from a node: type %v", errUnexpectedFrame, frame.Type)
}

func (p *upstreamPool) handleAnswer(connection *upstreamConnection, frame proto.Frame) error {
	var answer proto.Answer
	if err := frame.Decode(&answer); err != nil {
		return err
	}
	if !connection.conn.CloseStream(frame.Stream) {
		return fmt.Errorf("%w: stream %d is not in flight", errUnexpectedAnswer, frame.Stream)
	}
	code, err := resultCode(answer.Code)
	if err != nil {
		return err
	}
	if operation := connection.remove(frame.Stream); operation != nil {
		p.instance.inbox.put(operationResult{operation, code, answer, frame.Payload})
	}
	return nil
}

// connectionEnded reports each operation in flight on a connection as Reset, then the connection as closed.
func (p *upstreamPool) connectionEnded(connection *upstreamConnection, cause error) {
	connection.mu.Lock()
	connection.ended = true
	inFlight := connection.operations
	connection.operations = nil
	connection.mu.Unlock()
	if cause != nil && p.ctx.Err() == nil {
		p.instance.log.Info("node connection ended", keyNode, serverAddress(connection.server),
			keyInFlight, len(inFlight), keyError, cause)
	}
	for _, operation := range inFlight {
		p.instance.inbox.put(operationResult{operation: operation, code: scheduler.Reset})
	}
	p.instance.inbox.put(connectionClosed{p, connection})
}

// resultCode converts a node's code to the scheduler's. The numbers are the same.
func resultCode(code proto.Code) (scheduler.ResultCode, error) {
	switch code {
	case proto.OK, proto.Error, proto.Overloaded, proto.Cancelled, proto.NotApplicable:
		return scheduler.ResultCode(code), nil
	}
	return 0, fmt.Errorf("%w from a node: %d", errUnknownCode, code)
}
