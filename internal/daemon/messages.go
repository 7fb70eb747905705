package daemon

import (
	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// message is an input to the loop, mostly from other goroutines. The loop calls apply on its own goroutine,
// once, in order of arrival.
type message interface {
	apply(l *loop)
}

// callSubmitted is an admitted call.
type callSubmitted struct{ call *Call }

func (m callSubmitted) apply(l *loop) { l.startCall(m.call) }

// callFailed reports that a frontend ends a call, for example because its client has disconnected.
type callFailed struct {
	call   *Call
	reason string
}

func (m callFailed) apply(l *loop) { l.endCall(m.call, m.reason) }

// attemptsStopped reports that no further attempt of a call may start.
type attemptsStopped struct{ call *Call }

func (m attemptsStopped) apply(l *loop) { l.endStopped(m.call) }

// operationResult reports how an operation ended.
type operationResult struct {
	operation *Operation
	code      scheduler.ResultCode
	answer    proto.Answer
	payload   []byte
}

func (m operationResult) apply(l *loop) { l.operationEnded(m) }

// responseStarted reports that a streamed answer has begun.
type responseStarted struct{ operation *Operation }

func (m responseStarted) apply(l *loop) {
	for _, member := range m.operation.members {
		if !member.ended {
			l.notify(scheduler.ResponseStarted{ID: member.request.id, Attempt: member.number,
				Server: member.server, Latency: l.now - member.startedAt})
		}
	}
}

// updateReceived is an update of the endpoint list.
type updateReceived struct{ update endpoints.Update }

func (m updateReceived) apply(l *loop) { l.applyUpdate(m.update) }

// listFailure reports that a watch or a fetch of the endpoint list failed.
type listFailure struct{ err error }

func (m listFailure) apply(l *loop) {
	l.shared.log.Warn("endpoint list request failed", keyError, m.err)
	l.updateEndpoints(scheduler.EndpointUpdate{Kind: scheduler.UpdateFailed})
}

// nodeProcess identifies one incarnation of a node.
type nodeProcess struct {
	server    scheduler.Server
	startedAt int64 // Unix nanoseconds, as stated by the node
}

// drainNotice reports that a node sent a drain notice on its connection.
type drainNotice struct{ node nodeProcess }

func (m drainNotice) apply(l *loop) {
	update, changed := l.view.ApplyDrainNotice(l.shared.clock(), m.node.server, m.node.startedAt)
	l.updateFromNode("node draining", m.node.server, update, changed)
}

// helloReceived reports which incarnation of a node completed the handshake of a new connection.
type helloReceived struct{ node nodeProcess }

func (m helloReceived) apply(l *loop) {
	update, changed := l.view.ApplyHello(l.shared.clock(), m.node.server, m.node.startedAt)
	l.updateFromNode("node restarted", m.node.server, update, changed)
}

// arrivalsCollected reports that a collection of arrivals is over.
type arrivalsCollected struct{ event scheduler.ArrivalsCollected }

func (m arrivalsCollected) apply(l *loop) { l.notify(m.event) }

// peerMessageReceived is a message from another instance.
type peerMessageReceived struct{ message scheduler.PeerMessage }

func (m peerMessageReceived) apply(l *loop) { l.notify(m.message) }

// healthCheckEnded is the result of a health check.
type healthCheckEnded struct{ result scheduler.HealthCheckResult }

func (m healthCheckEnded) apply(l *loop) { l.notify(m.result) }

// nodeInspection requests a call of inspect with the scheduler's states of the nodes.
type nodeInspection struct{ inspect func([]scheduler.NodeState) }

func (m nodeInspection) apply(l *loop) { m.inspect(l.scheduler.NodeStates()) }
