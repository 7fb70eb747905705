package daemon

import (
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// stubDrivers are drivers and a responder that record what they are asked for and do nothing.
type stubDrivers struct {
	sent []*Operation
	off  int
	got  []proto.Answer
}

func (e *stubDrivers) Send(op *Operation) { e.sent = append(e.sent, op) }

func (e *stubDrivers) Cancel(*Operation) { e.off++ }

func (e *stubDrivers) CancelMember(*Operation, int) {}

func (e *stubDrivers) CheckHealth(scheduler.Server) {}

func (e *stubDrivers) CloseIdle(scheduler.Server) {}

func (e *stubDrivers) Watch(bool) {}

func (e *stubDrivers) Fetch() {}

func (e *stubDrivers) FetchFull() {}

func (e *stubDrivers) Respond(a proto.Answer, payload []byte) { e.got = append(e.got, a) }
