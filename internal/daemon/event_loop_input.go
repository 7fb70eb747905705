package daemon

import (
	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Admit counts one more call as open, unless the instance is stopping or maxOpen calls are open: then it
// returns the reason. A call that was admitted must be handed on by Submit.
func (e *EventLoop) Admit(maxOpen int) (reason string) {
	// The call is counted before Stopping is asked: the loop ends only when it sees none counted.
	open := e.openCalls.Add(1)
	switch {
	case e.Stopping():
		e.openCalls.Add(-1)
		return ReasonStopping
	case open > int64(maxOpen):
		e.openCalls.Add(-1)
		return ReasonOverload
	}
	e.Stats.Admitted.Add(1)
	return ""
}

// Submit hands an admitted call to the loop, which owns it from then on.
func (e *EventLoop) Submit(call *Call) { e.inbox.put(callSubmitted{call}) }

// ClientGone reports that a call's client is gone or wants no answer any more.
func (e *EventLoop) ClientGone(call *Call) {
	call.unwanted.Store(true) // at once: the loop may be a batch away, and an attempt about to begin
	e.inbox.put(clientGone{call})
}

// OperationEnded reports how an operation ended.
func (e *EventLoop) OperationEnded(operation *Operation, code scheduler.ResultCode, answer proto.Answer,
	payload []byte) {
	e.inbox.put(operationResult{operation, code, answer, payload})
}

// ReceiveUpdate hands an update of the endpoint list to the loop.
func (e *EventLoop) ReceiveUpdate(update endpoints.Update) { e.inbox.put(updateReceived{update}) }

// ReportListFailure reports that a watch of the endpoint list broke or a fetch failed.
func (e *EventLoop) ReportListFailure(err error) { e.inbox.put(listFailure{err}) }

// ReportHealthCheck reports the result of a health check.
func (e *EventLoop) ReportHealthCheck(result scheduler.HealthCheckResult) {
	e.inbox.put(healthCheckEnded{result})
}

// ReceivePeerMessage hands a message of another instance to the loop. Where too many wait it is lost.
func (e *EventLoop) ReceivePeerMessage(message scheduler.PeerMessage) {
	e.inbox.putPeerMessage(message)
}

// InspectNodes has inspect called, on the loop's goroutine, with what the scheduler holds of the nodes.
func (e *EventLoop) InspectNodes(inspect func([]scheduler.NodeState)) {
	e.inbox.put(nodeInspection{inspect})
}
