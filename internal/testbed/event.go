package testbed

import "landingpaddle/internal/proto"

// Kind says what an event is.
type Kind string

// The kinds of events: those that clients log, then those of nodes, of the registry and of the scenario
// runner.
const (
	KindSent             Kind = "sent"    // a client wrote a request to an instance
	KindAnswer           Kind = "answer"  // a client read a final answer
	KindBroken           Kind = "broken"  // the connection ended before the answer
	KindClientLeft       Kind = "left"    // the client itself closed the connection before the answer
	KindTimedOut         Kind = "waited"  // the client's timeout passed before the answer
	KindNodeStarted      Kind = "boot"    // a node's process started
	KindNodeStopped      Kind = "down"    // a node's process ended
	KindArrive           Kind = "arrive"  // an attempt reached a node
	KindOverloaded       Kind = "full"    // the node rejected it for want of capacity
	KindNotApplicable    Kind = "moot"    // the node does not hold the cell
	KindStart            Kind = "start"   // work began
	KindEnd              Kind = "end"     // work ended; a write has taken effect
	KindRepeat           Kind = "repeat"  // dropped: the deduplication group remembers the operation
	KindCancel           Kind = "cancel"  // cancelled; a write has not taken effect
	KindCancelArrived    Kind = "called"  // a cancellation arrived, or the connection ended
	KindReplied          Kind = "replied" // an answer was written to the socket
	KindCollapsed        Kind = "fell"    // a cold node was overloaded and collapsed
	KindNotice           Kind = "notice"  // a node sent an instance a drain notice
	KindAcknowledged     Kind = "told"    // an instance has acknowledged an update of an endpoint
	KindInstanceStarted  Kind = "up"      // an instance started
	KindInstanceKilled   Kind = "kill"    // an instance was killed
	KindInstanceStalled  Kind = "stall"   // an instance is stalled for Wait
	KindConnectionsStuck Kind = "stuck"   // a node's connections are neither read nor written for Wait
	KindProcessStalled   Kind = "pulse"   // the whole testbed process was stalled for Wait
)

// Event is one line of a log. Its times are Unix nanoseconds of one clock for all that run in one process.
type Event struct {
	Time      int64      `json:"t"`
	Kind      Kind       `json:"kind"`
	Instance  int        `json:"inst"`
	Node      int        `json:"node"`
	Client    int        `json:"client,omitempty"`
	Conn      uint64     `json:"conn,omitempty"` // of a client, in the order of its connections
	Seq       uint64     `json:"seq,omitempty"`  // of a request on its connection
	Token     uint64     `json:"token,omitempty"`
	Try       int        `json:"try,omitempty"`     // a client's retries count from 1
	Attempt   int        `json:"attempt,omitempty"` // an instance's retries count from 1
	Class     int        `json:"class"`
	Plan      int        `json:"plan"`
	Volume    uint64     `json:"volume,omitempty"`
	Key       uint64     `json:"key,omitempty"`
	Units     int        `json:"units,omitempty"`
	Code      proto.Code `json:"code,omitempty"`
	Reason    string     `json:"reason,omitempty"` // of a KindNodeStarted: the node's address
	Wait      int64      `json:"wait,omitempty"`   // nanoseconds
	Status    string     `json:"status,omitempty"`
	StartedAt int64      `json:"boot,omitempty"` // of the node's incarnation by its own clock; 0: long ago
	Zone      int        `json:"zone,omitempty"`
	Cell      int        `json:"cell,omitempty"`
	Write     bool       `json:"write,omitempty"`
	Operation uint64     `json:"op,omitempty"`    // at a node: of several members, each has its own line
	Piece     int        `json:"piece,omitempty"` // of the client's request
	Data      uint64     `json:"data,omitempty"`  // volume whose bytes a ranged request is for
	Offset    uint64     `json:"offset,omitempty"`
	Length    uint64     `json:"length,omitempty"`
	Sum       uint64     `json:"sum,omitempty"` // checksum of the bytes and their offsets
}
