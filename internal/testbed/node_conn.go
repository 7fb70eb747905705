package testbed

import (
	"context"
	"fmt"
	"time"

	"landingpaddle/internal/proto"
)

// serveConn serves an instance's connection until it ends, and then cancels its unanswered operations.
func (p *nodeProcess) serveConn(ctx context.Context, conn *proto.Conn) {
	instance := int(conn.PeerHello().Number)
	operations := map[uint64]*operation{}
	p.mu.Lock()
	p.conns[conn] = operations
	if p.draining && p.node.cfg.Model.DrainNotices {
		p.sendDrainNotice(conn)
	}
	p.mu.Unlock()
	// The error is ignored: it ends only this instance's connection.
	_ = conn.Run(ctx, func(frame proto.Frame) error { return p.handleFrame(ctx, conn, instance, frame) })
	p.mu.Lock()
	delete(p.conns, conn)
	unanswered := make([]*operation, 0, len(operations))
	for _, op := range operations {
		unanswered = append(unanswered, op)
	}
	p.mu.Unlock()
	for _, op := range unanswered {
		p.cancelOperation(op)
		if ctx.Err() != nil {
			p.abandon(op)
		}
	}
}

func (p *nodeProcess) sendDrainNotice(conn *proto.Conn) {
	if conn.Send(proto.TypeDrain, 0, nil, nil) == nil {
		p.log(Event{Kind: KindNotice, Instance: int(conn.PeerHello().Number), StartedAt: p.startedAt})
	}
}

// handleFrame processes a frame from an instance; an error ends the connection.
func (p *nodeProcess) handleFrame(ctx context.Context, conn *proto.Conn, instance int,
	frame proto.Frame) error {
	switch frame.Type {
	case proto.TypeRequest:
		return p.handleRequest(ctx, conn, instance, frame)
	case proto.TypeCancel:
		return p.handleCancel(conn, frame)
	case proto.TypeHealthCheck:
		result := proto.Answer{Code: proto.OK, Load: p.loadReport()}
		return conn.Send(proto.TypeHealthCheckResult, frame.Stream, result, nil)
	default:
		return fmt.Errorf("unexpected frame of type %v from an instance", frame.Type)
	}
}

func (p *nodeProcess) handleRequest(ctx context.Context, conn *proto.Conn, instance int,
	frame proto.Frame) error {
	op := &operation{conn: conn, instance: instance, stream: frame.Stream, arrived: time.Now()}
	if err := frame.Decode(&op.request); err != nil {
		return err
	}
	if err := conn.OpenStream(frame.Stream); err != nil {
		return err
	}
	var ok bool
	if op.members, ok = membersOf(&op.request); !ok {
		return fmt.Errorf("the range of a member is outside its operation of %d bytes", op.request.Length)
	}
	if err := p.checkOperation(op, len(frame.Payload)); err != nil {
		return err
	}
	op.payload, op.number = frame.Payload, p.node.operations.Add(1)
	op.ctx, op.cancel = context.WithCancel(ctx)
	p.accept(op)
	return nil
}

// checkOperation checks an operation's class, plans and sizes against the site's settings.
func (p *nodeProcess) checkOperation(op *operation, payloadSize int) error {
	site, request := p.node.cfg.Site, &op.request
	for _, m := range op.members {
		if int(request.Class) >= len(site.Classes) || int(m.Plan) >= len(site.Plans) {
			return fmt.Errorf("unknown class %d or plan %d", request.Class, m.Plan)
		}
	}
	size := uint64(request.Length)
	tooLarge := size > uint64(site.Limits.MaxPayload)
	payloadMismatch := request.Write && size != uint64(payloadSize)
	if request.Ranged && (tooLarge || payloadMismatch) {
		return fmt.Errorf("invalid size: operation of %d bytes, payload of %d bytes", size, payloadSize)
	}
	return nil
}

func (p *nodeProcess) handleCancel(conn *proto.Conn, frame proto.Frame) error {
	p.mu.Lock()
	op := p.conns[conn][frame.Stream]
	p.mu.Unlock()
	var cancel proto.Cancel
	if len(frame.Header) > 0 {
		if err := frame.Decode(&cancel); err != nil {
			return err
		}
	}
	switch {
	case op == nil: // answered already
	case len(cancel.Members) == 0:
		p.cancelOperation(op)
	default:
		p.cancelMembers(op, cancel.Members)
	}
	return nil
}
