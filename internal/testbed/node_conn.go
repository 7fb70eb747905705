package testbed

import (
	"context"
	"fmt"
	"time"

	"landingpaddle/internal/proto"
)

// serveConn serves an instance's connection until it ends; then what it asked for is cancelled.
func (p *nodeProcess) serveConn(ctx context.Context, conn *proto.Conn) {
	instance := int(conn.PeerHello().Number)
	operations := map[uint64]*operation{}
	p.mu.Lock()
	p.conns[conn] = operations
	if p.draining && p.node.cfg.Model.Notices {
		p.sendDrainNotice(conn)
	}
	p.mu.Unlock()
	// Why it ended concerns the instance.
	_ = conn.Run(ctx, func(frame proto.Frame) error { return p.handleFrame(ctx, conn, instance, frame) })
	p.mu.Lock()
	delete(p.conns, conn)
	unanswered := make([]*operation, 0, len(operations))
	for _, o := range operations {
		unanswered = append(unanswered, o)
	}
	p.mu.Unlock()
	for _, o := range unanswered {
		p.cancelOperation(o)
		if ctx.Err() != nil {
			p.abandon(o)
		}
	}
}

func (p *nodeProcess) sendDrainNotice(conn *proto.Conn) {
	if conn.Send(proto.TypeDrain, 0, nil, nil) == nil {
		p.log(Event{Kind: KindNotice, Instance: int(conn.PeerHello().Number), StartedAt: p.startedAt})
	}
}

// handleFrame takes in a frame of an instance; an error ends the connection.
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
		return fmt.Errorf("an instance sends no frame of type %v", frame.Type)
	}
}

func (p *nodeProcess) handleRequest(ctx context.Context, conn *proto.Conn, instance int,
	frame proto.Frame) error {
	o := &operation{conn: conn, instance: instance, stream: frame.Stream, arrived: time.Now()}
	if err := frame.Decode(&o.request); err != nil {
		return err
	}
	if err := conn.OpenStream(frame.Stream); err != nil {
		return err
	}
	var ok bool
	if o.members, ok = membersOf(&o.request); !ok {
		return fmt.Errorf("a member is outside its operation of %d bytes", o.request.Length)
	}
	if err := p.checkOperation(o, len(frame.Payload)); err != nil {
		return err
	}
	o.payload, o.number = frame.Payload, p.node.operations.Add(1)
	o.ctx, o.cancel = context.WithCancel(ctx)
	p.accept(o)
	return nil
}

// checkOperation checks what an instance says of an operation against the site's settings.
func (p *nodeProcess) checkOperation(o *operation, payloadSize int) error {
	site, request := p.node.cfg.Site, &o.request
	for _, m := range o.members {
		if int(request.Class) >= len(site.Classes) || int(m.Plan) >= len(site.Plans) {
			return fmt.Errorf("class %d or plan %d is not known", request.Class, m.Plan)
		}
	}
	size := uint64(request.Length)
	tooLarge := size > uint64(site.Limits.MaxPayload)
	otherPayload := request.Write && size != uint64(payloadSize)
	if request.Ranged && (tooLarge || otherPayload) {
		return fmt.Errorf("an operation of %d bytes with %d bytes of payload", size, payloadSize)
	}
	return nil
}

func (p *nodeProcess) handleCancel(conn *proto.Conn, frame proto.Frame) error {
	p.mu.Lock()
	o := p.conns[conn][frame.Stream]
	p.mu.Unlock()
	var cancel proto.Cancel
	if len(frame.Header) > 0 {
		if err := frame.Decode(&cancel); err != nil {
			return err
		}
	}
	switch {
	case o == nil: // answered already
	case len(cancel.Members) == 0:
		p.cancelOperation(o)
	default:
		p.cancelMembers(o, cancel.Members)
	}
	return nil
}
