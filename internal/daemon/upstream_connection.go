package daemon

import (
	"errors"
	"fmt"
	"sync"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Protocol violations by the other end of a connection.
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

// process is the node's process at the other end.
func (c *upstreamConnection) process() nodeProcess {
	return nodeProcess{c.server, c.conn.PeerHello().StartedAt}
}

// open takes the next stream for an operation; false if the connection takes none any more.
func (c *upstreamConnection) open(operation *Operation) (stream uint64, opened bool) {
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

// remove takes an operation out of those in flight; nil if it is not there any more.
func (c *upstreamConnection) remove(stream uint64) *Operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	operation := c.operations[stream]
	delete(c.operations, stream)
	return operation
}

// write sends an operation's request. An operation that cannot be queued ends as ConnectFailed, as it has
// surely not run.
func (p *upstreamPool) write(connection *upstreamConnection, operation *Operation) {
	unsent := operationResult{operation: operation, code: scheduler.ConnectFailed}
	stream, opened := connection.open(operation)
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
	connection.conn.CloseStream(stream) // no answer will come that would close it
	if connection.remove(stream) != nil {
		p.instance.inbox.put(unsent)
	}
}

// Cancel tells the node that an answer is no longer wanted. The stream stays in flight until the node ends
// it, so that a node that answers nothing does not get more than was agreed.
func (p *upstreamPool) Cancel(operation *Operation) {
	stream, ok := operation.DriverState.(upstreamStream)
	if !ok || stream.connection.remove(stream.id) == nil {
		return
	}
	// The error is that of a closed connection, which reports itself.
	_ = stream.connection.conn.Send(proto.TypeCancel, stream.id, nil, nil)
}

// CancelMember tells the node that one of an operation's members no longer waits.
func (p *upstreamPool) CancelMember(operation *Operation, place int) {
	stream, ok := operation.DriverState.(upstreamStream)
	if !ok {
		return
	}
	cancel := proto.Cancel{Members: []uint16{uint16(place)}}
	// The error is that of a closed connection, which reports itself.
	_ = stream.connection.conn.Send(proto.TypeCancel, stream.id, cancel, nil)
}

// handleFrame takes a frame of a node in, on the connection's own goroutine. An error ends the connection.
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
		p.instance.inbox.put(drainNotice{connection.process()})
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

// resultCode is a node's code as the scheduler's. Both use the same numbers.
func resultCode(code proto.Code) (scheduler.ResultCode, error) {
	switch code {
	case proto.OK, proto.Error, proto.Overloaded, proto.Cancelled, proto.NotApplicable:
		return scheduler.ResultCode(code), nil
	}
	return 0, fmt.Errorf("%w from a node: %d", errUnknownCode, code)
}
