package proto

import "time"

// Hello is the message of the handshake. Each side sends one first; the smaller of both sides' limits
// applies.
type Hello struct {
	Version   uint16 `cbor:"1,keyasint"`
	Role      string `cbor:"2,keyasint"` // client, instance, node or list (the registry)
	Number    uint32 `cbor:"3,keyasint"` // of an instance or node within its fleet
	StartedAt int64  `cbor:"4,keyasint"` // Unix nanoseconds of the start of the sender's process
	Header    uint32 `cbor:"5,keyasint"` // largest header that the sender accepts, bytes
	Payload   uint32 `cbor:"6,keyasint"` // largest payload that the sender accepts, bytes
	Streams   uint32 `cbor:"7,keyasint"` // requests in flight that the sender accepts on this connection
}

// NewObject as the Cell of a request means that its data may be put on any node.
const NewObject = -1

// Request is a read or write that is sent to a node, or to an instance in front of the nodes.
type Request struct {
	// Token is the operation's idempotency key, the same in all its tries and attempts.
	Token  uint64 `cbor:"1,keyasint"`
	Class  uint16 `cbor:"2,keyasint"`           // index in the settings' list of classes
	Plan   uint16 `cbor:"3,keyasint"`           // index in the settings' list of plans
	Volume uint64 `cbor:"4,keyasint"`           // charged for the request
	Key    uint64 `cbor:"5,keyasint,omitempty"` // of the data that is read or written; 0: none
	Units  uint32 `cbor:"6,keyasint"`           // the scheduler's measure of cost
	Cell   int32  `cbor:"7,keyasint"`           // where the data is stored, or NewObject
	// Timeout is the time for which the sender waits, counted from when the receiver reads the request.
	Timeout   time.Duration `cbor:"8,keyasint"`
	ClientTry uint16        `cbor:"9,keyasint,omitempty"`  // number of the client's try, from 0
	Attempt   uint16        `cbor:"10,keyasint,omitempty"` // number of the instance's attempt, from 0
	// VolumeInstances is the number of instances through which the volume's requests are sent.
	VolumeInstances uint16 `cbor:"11,keyasint,omitempty"`
	Write           bool   `cbor:"12,keyasint,omitempty"`
	Offset          uint64 `cbor:"13,keyasint,omitempty"` // bytes; of a ranged request
	Length          uint32 `cbor:"14,keyasint,omitempty"` // bytes
	Client          uint32 `cbor:"15,keyasint,omitempty"` // number of the client that sent the request
	// Ranged means that the request is for a range of bytes of the volume that DataVolume returns; Cell is
	// derived from Offset and Length.
	Ranged bool `cbor:"16,keyasint,omitempty"`
	// DataVolumeID is the volume that a ranged request reads or writes; 0 means Volume.
	DataVolumeID uint64 `cbor:"17,keyasint,omitempty"`
	// Piece, in a request to a node, is the index of this piece of the client's request.
	Piece uint16 `cbor:"18,keyasint,omitempty"`
	// Members, in a request to a node, are the requests that the operation merges; the leader is first.
	Members []Member `cbor:"19,keyasint,omitempty"`
	// WorkFactor multiplies the work of the request; only the testbed sets it.
	WorkFactor uint32 `cbor:"20,keyasint,omitempty"`
}

// DataVolume returns the volume that a ranged request reads or writes.
func (r *Request) DataVolume() uint64 {
	if r.DataVolumeID != 0 {
		return r.DataVolumeID
	}
	return r.Volume
}

// Member is one piece of an operation that several requests share; all other values are those of the
// operation. It is encoded as an array: the order of its fields must not change.
type Member struct {
	_         struct{} `cbor:",toarray"`
	Token     uint64
	Volume    uint64 // charged for the member
	Key       uint64
	Plan      uint16
	Units     uint32
	Offset    uint32 // bytes, from the operation's first byte
	Length    uint32 // bytes
	Piece     uint16
	ClientTry uint16
	Client    uint32
}

// Code is the result of a request. Codes below 400 originate at a node and are those of scheduler.ResultCode;
// codes from 400 on originate at an instance.
type Code uint16

// The codes. The numbers must not change.
const (
	OK            Code = 100
	Error         Code = 301 // the node failed; the request may have run
	Overloaded    Code = 302 // not run: the node's queue is full, or the node is draining
	Cancelled     Code = 306 // cancelled; the request may have run
	NotApplicable Code = 307 // not run: the node does not store the cell
	Rejected      Code = 400 // final; safe to retry, best after Answer.RetryAfter
	Failed        Code = 401 // final; the request may have run or not
)

// Answer is the final answer of a stream.
type Answer struct {
	Code Code `cbor:"1,keyasint"`
	// MeteredRate is 1 + the percentage of its plan's rate at which the volume was served; 0: unknown.
	MeteredRate uint32 `cbor:"2,keyasint,omitempty"`
	// ElsewhereUnits is the number of units that were served for the volume through other instances since the
	// last answer to this instance.
	ElsewhereUnits uint32 `cbor:"3,keyasint,omitempty"`
	// Load is the load report; its values are in the order of the settings' load fields.
	Load       []float64     `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"` // delay before a retry
	Reason     string        `cbor:"6,keyasint,omitempty"` // one word
	Cell       int32         `cbor:"7,keyasint,omitempty"` // 1 + the cell in which a new object was put
	// Unreadable lists the byte ranges of an otherwise successful operation that could not be served.
	Unreadable []UnreadableRange `cbor:"8,keyasint,omitempty"`
	// Done, Uncertain and Unsent count the pieces of a ranged request that was not served as a whole: those
	// that are done, those that may be running or may have run, and those that were never sent.
	Done      uint16 `cbor:"9,keyasint,omitempty"`
	Uncertain uint16 `cbor:"10,keyasint,omitempty"`
	Unsent    uint16 `cbor:"11,keyasint,omitempty"`
}

// Cancel cancels members of an operation.
type Cancel struct {
	Members []uint16 `cbor:"1,keyasint,omitempty"` // indices in Request.Members; empty: the whole operation
}

// UnreadableRange is a range of bytes that a node could not serve. It is encoded as an array: the order of
// its fields must not change.
type UnreadableRange struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64   // bytes, from the operation's first byte
	Length uint64   // bytes
}

// Goodbye states why a connection is closed.
type Goodbye struct {
	Reason string `cbor:"1,keyasint"`
}

// ListVersion reports to the registry which endpoint list an instance stores; both 0: none.
type ListVersion struct {
	Epoch   uint64 `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
}
