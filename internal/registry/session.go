package registry

import (
	"context"
	"fmt"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
)

// session is one connection of an instance or a node to the stand-in registry.
type session struct {
	server         *Server
	conn           *proto.Conn
	instance       uint32                          // number in its Hello
	unacknowledged map[uint64][]endpoints.Endpoint // sent, by version of the update; guarded by Server.mu
	registered     *endpoints.Endpoint             // of a node; nil: not registered
}

// serveConn serves a connection until it ends. A node is listed until its connection ends.
func (s *Server) serveConn(ctx context.Context, conn *proto.Conn) {
	c := &session{server: s, conn: conn, instance: conn.PeerHello().Number,
		unacknowledged: map[uint64][]endpoints.Endpoint{}}
	_ = conn.Run(ctx, c.handleFrame) // the cause of the end is not needed
	s.unwatch(c)
	if c.registered != nil {
		s.remove(*c.registered)
	}
}

func (c *session) handleFrame(frame proto.Frame) error {
	switch frame.Type {
	case proto.TypeRegister:
		return c.register(frame)
	case proto.TypeWatch, proto.TypeFetch:
		var stored proto.ListVersion
		if err := frame.Decode(&stored); err != nil {
			return err
		}
		c.server.call(c, frame.Type, frame.Stream, stored)
		return nil
	case proto.TypeCancel:
		c.server.unwatch(c)
		return nil
	case proto.TypeAcknowledge:
		c.server.acknowledge(c, frame.Stream)
		return nil
	}
	return fmt.Errorf("unexpected frame of type %v", frame.Type)
}

func (c *session) register(frame proto.Frame) error {
	update, err := DecodeUpdate(frame)
	if err != nil {
		return err
	}
	if len(update.Endpoints) != 1 {
		return fmt.Errorf("register: found %d endpoints; want 1", len(update.Endpoints))
	}
	c.registered = &update.Endpoints[0]
	c.server.Put(*c.registered)
	return nil
}

// fail answers a call with code Error and a reason.
func (c *session) fail(stream uint64, reason string) {
	answer := proto.Answer{Code: proto.Error, Reason: reason}
	_ = c.conn.Send(proto.TypeAnswer, stream, answer, nil) // a closed connection needs no answer
}
