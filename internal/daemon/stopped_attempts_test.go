package daemon

import (
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// retryingDecider sends a request, and again after each attempt that fails.
type retryingDecider struct {
	sends   bool // it sends anything at all
	pending []scheduler.Action
}

func (d *retryingDecider) Handle(_ time.Duration, event scheduler.Event) {
	switch event := event.(type) {
	case scheduler.Request:
		d.send(event.ID)
	case scheduler.AttemptResult:
		if !event.RequestDone {
			d.send(event.ID)
		}
	}
}

func (d *retryingDecider) send(id uint32) {
	if d.sends {
		d.pending = append(d.pending, scheduler.Send{ID: id})
	}
}

func (d *retryingDecider) Decide(time.Duration) []scheduler.Action {
	actions := d.pending
	d.pending = nil
	return actions
}

// Guards against attempts for a client that has not been seen for long and may have gone. Once attempts are
// stopped, a call is rejected if none was sent; one that is out may still serve it, and none follows.
func TestEventLoop_StopsAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		sends      bool
		result     scheduler.ResultCode // of the attempt in flight; 0: there is none
		wantCode   proto.Code
		wantReason string
	}{
		"not sent":               {false, 0, proto.Rejected, ReasonOverload},
		"served":                 {true, scheduler.OK, proto.OK, ""},
		"failed, may have run":   {true, scheduler.Reset, proto.Failed, ReasonOverload},
		"failed before its time": {true, scheduler.ConnectFailed, proto.Rejected, ReasonOverload},
	} {
		t.Run(name, func(t *testing.T) {
			drivers, decider := &stubDrivers{}, &retryingDecider{sends: test.sends}
			settings := scheduler.Settings{RetryAfter: true, MaxRetryAfter: time.Second}
			eventLoop := NewEventLoop(EventLoopConfig{Settings: settings, Hooks: Hooks{
				Decider: func(scheduler.Settings, Decider) Decider { return decider },
			}})
			l := newLoop(eventLoop, Drivers{Upstream: drivers, Endpoints: drivers})
			call := &Call{Responder: drivers, ReceivedAt: eventLoop.Now(), Timeout: time.Minute}
			eventLoop.Submit(call)
			l.runBatch()
			eventLoop.StopAttempts(call)
			if code := preconditionsOf(eventLoop, drivers); code != scheduler.NotApplicable {
				t.Errorf("got preconditions %v for an attempt, want NotApplicable", code)
			}
			l.runBatch()
			if test.sends {
				if len(drivers.answers) != 0 {
					t.Fatalf("got answers %+v with an attempt in flight, want none", drivers.answers)
				}
				eventLoop.OperationEnded(drivers.sent[0], test.result, proto.Answer{}, nil)
				l.runBatch()
				l.runBatch()
			}
			if len(drivers.answers) != 1 || drivers.answers[0].Code != test.wantCode ||
				drivers.answers[0].Reason != test.wantReason {
				t.Fatalf("got answers %+v, want one of code %v, reason %q", drivers.answers, test.wantCode,
					test.wantReason)
			}
			if isRejected := test.wantCode == proto.Rejected; isRejected &&
				drivers.answers[0].RetryAfter != settings.MaxRetryAfter {
				t.Errorf("got Retry-After %v, want %v", drivers.answers[0].RetryAfter, settings.MaxRetryAfter)
			}
			if len(drivers.sent) > 1 || len(l.requests) != 0 {
				t.Errorf("got %d operations and %d requests left, want at most 1 and 0", len(drivers.sent),
					len(l.requests))
			}
		})
	}
}

// preconditionsOf returns the preconditions of the last operation sent; NotApplicable if there is none.
func preconditionsOf(eventLoop *EventLoop, drivers *stubDrivers) scheduler.ResultCode {
	if len(drivers.sent) == 0 {
		return scheduler.NotApplicable
	}
	return eventLoop.CheckPreconditions(drivers.sent[len(drivers.sent)-1])
}
