package testbed

import "landingpaddle/internal/proto"

// Kind is the type of an event.
type Kind string

// The kinds of events: first those logged by clients, then those of nodes, the registry and the scenario
// runner.
const (
	KindSent             Kind = "sent"    // a client sent a request to an instance
	KindAnswer           Kind = "answer"  // a client received a final answer
	KindBroken           Kind = "broken"  // not sent, or the connection ended before the answer
	KindClientLeft       Kind = "left"    // the client closed the connection before the answer
	KindTimedOut         Kind = "waited"  // no answer arrived within the timeout plus lateMargin
	KindNodeStarted      Kind = "boot"    // a node's process started
	KindNodeStopped      Kind = "down"    // a node's process ended
	KindArrive           Kind = "arrive"  // an attempt reached a node; logged for each member
	KindOverloaded       Kind = "full"    // the node rejected the attempt: its queue is full, or it drains
	KindNotApplicable    Kind = "moot"    // the node does not serve the cell
	KindStart            Kind = "start"   // work began
	KindEnd              Kind = "end"     // work ended; a write has taken effect
	KindDuplicate        Kind = "repeat"  // ignored as a duplicate by the deduplication group
	KindCancel           Kind = "cancel"  // cancelled; a write has not taken effect
	KindCancelArrived    Kind = "called"  // a cancellation arrived, or the connection ended
	KindReplied          Kind = "replied" // an answer was queued on the connection
	KindCollapsed        Kind = "fell"    // a cold node was overloaded and collapsed
	KindNotice           Kind = "notice"  // a node sent an instance a drain notice
	KindAcknowledged     Kind = "told"    // an instance acknowledged an update of an endpoint
	KindInstanceStarted  Kind = "up"      // an instance started
	KindInstanceKilled   Kind = "kill"    // an instance was killed
	KindInstanceStalled  Kind = "stall"   // an instance is stalled for Wait
	KindConnectionsStuck Kind = "stuck"   // a node's connections are neither read nor written for Wait
	KindProcessStalled   Kind = "pulse"   // the whole testbed process was stalled for Wait
)

// Event is one line of a log. Time is in Unix nanoseconds, of one clock for all components in a process.
type Event struct {
	Time       int64      `json:"t"`
	Kind       Kind       `json:"kind"`
	Instance   int        `json:"inst"`
	Node       int        `json:"node"`
	Client     int        `json:"client,omitempty"`
	Conn       uint64     `json:"conn,omitempty"` // number among the client's connections, from 1
	Seq        uint64     `json:"seq,omitempty"`  // number of the request on its connection, from 1
	Token      uint64     `json:"token,omitempty"`
	ClientTry  int        `json:"try,omitempty"`     // 0: first send; the client's retries count from 1
	Attempt    int        `json:"attempt,omitempty"` // 0: first attempt; the instance's retries count from 1
	Class      int        `json:"class"`
	Plan       int        `json:"plan"`
	Volume     uint64     `json:"volume,omitempty"`
	Key        uint64     `json:"key,omitempty"`
	Units      int        `json:"units,omitempty"`
	Code       proto.Code `json:"code,omitempty"`
	Reason     string     `json:"reason,omitempty"` // of an answer; or the node's address
	Wait       int64      `json:"wait,omitempty"`   // nanoseconds: the timeout, Retry-After or stall
	Status     string     `json:"status,omitempty"` // of an acknowledged endpoint
	StartedAt  int64      `json:"boot,omitempty"`   // of the node's incarnation by its own clock; 0: long ago
	Zone       int        `json:"zone,omitempty"`
	Cell       int        `json:"cell,omitempty"`
	Write      bool       `json:"write,omitempty"`
	Operation  uint64     `json:"op,omitempty"`    // number at the node, shared by all members
	Piece      int        `json:"piece,omitempty"` // number within the client's request, from 0
	DataVolume uint64     `json:"data,omitempty"`  // volume of a ranged request's bytes; 0: not ranged
	Offset     uint64     `json:"offset,omitempty"`
	Length     uint64     `json:"length,omitempty"`
	Checksum   uint64     `json:"sum,omitempty"` // checksum of the bytes and their offsets
}
