package sched

import (
	"time"

	"landingpaddle/control"
	"landingpaddle/extent"
	"landingpaddle/internal/proto"
)

// operation is what goes to a node as one request: an attempt of one request, or the first attempts of
// several that the module let leave together.
type operation struct {
	server  control.Server
	members []*attempt       // the lead first
	plan    extent.Operation // of a ranged one, once it is sealed
	conn    *nodeConn        // where it is in flight; nil: waits for a connection
	stream  uint64
}

// alone is an operation of one attempt.
func alone(a *attempt) *operation { return &operation{server: a.server, members: []*attempt{a}} }

func (o *operation) ranged() bool { return o.members[0].req.call.id != 0 }

// seal fixes what the operation covers, once it is known who is part of it.
func (o *operation) seal(l *loop) {
	if !o.ranged() || len(o.plan.Members) > 0 {
		return
	}
	ids := make([]uint32, len(o.members))
	for i, a := range o.members {
		ids[i] = a.req.id
	}
	o.plan = l.plan.Left(ids)
}

// frame is the request as its node gets it, with the payload of a write. The node is told the time of the
// most urgent member; each member is given up on at its own.
func (o *operation) frame(now time.Duration) (req proto.Request, payload []byte, copied int) {
	lead := o.members[0]
	req = lead.req.call.req
	req.Attempt, req.Wait, req.Members, req.Piece = uint16(lead.n), lead.deadline-now, nil, 0
	if !o.ranged() {
		return req, lead.req.call.payload, 0
	}
	req.Cell = int32(lead.req.piece.Cell)
	req.Offset, req.Length, req.Units = o.plan.Range.Offset, uint32(o.plan.Range.Length), uint32(o.plan.Units)
	req.Data, req.Write, req.Piece = o.plan.Data, o.plan.Write, uint16(lead.req.piece.Nth)
	if len(o.members) == 1 {
		return req, lead.bytes(), 0
	}
	if req.Write {
		payload = make([]byte, o.plan.Range.Length)
	}
	for n, a := range o.members {
		req.Wait = min(req.Wait, a.deadline-now)
		q, at := &a.req.call.req, o.plan.Slice(o.plan.Members[n])
		req.Members = append(req.Members, proto.Member{Token: q.Token, Volume: q.Volume, Key: q.Key,
			Plan: q.Plan, Units: uint32(max(1, a.req.piece.Units)), Offset: uint32(at.Offset),
			Length: uint32(at.Length), Piece: uint16(a.req.piece.Nth), Try: q.Try, Client: q.Client})
		if req.Write {
			copied += copy(payload[at.Offset:at.End()], a.bytes())
		}
	}
	return req, payload, copied
}

// bytes are what a piece of a write writes; nil for a read.
func (a *attempt) bytes() []byte {
	k, r := a.req.call, a.req.piece.Range
	if k.payload == nil {
		return nil
	}
	from := r.Offset - k.req.Offset
	return k.payload[from : from+r.Length]
}
