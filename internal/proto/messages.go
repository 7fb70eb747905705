package proto

import "time"

// Hello is the greeting. Each side sends one first and takes the smaller of both limits.
type Hello struct {
	Version   uint16 `cbor:"1,keyasint"`
	Role      string `cbor:"2,keyasint"` // client, instance, node, list
	Number    uint32 `cbor:"3,keyasint"` // of an instance or node within its fleet
	StartedAt int64  `cbor:"4,keyasint"` // Unix nanoseconds of the sender's start
	Header    uint32 `cbor:"5,keyasint"` // what the sender takes: bytes of a header,
	Payload   uint32 `cbor:"6,keyasint"` // bytes of a payload,
	Streams   uint32 `cbor:"7,keyasint"` // and requests in flight on this connection
}

// NewObject as the Cell of a request means that its data may be put on any node.
const NewObject = -1

// Request asks a node, or an instance in front of the nodes, to read or write.
type Request struct {
	// Of the operation; all tries and attempts of it carry the same.
	Token  uint64 `cbor:"1,keyasint"`
	Class  uint16 `cbor:"2,keyasint"`           // place in the settings' list of classes
	Plan   uint16 `cbor:"3,keyasint"`           // and of plans
	Volume uint64 `cbor:"4,keyasint"`           //
	Key    uint64 `cbor:"5,keyasint,omitempty"` // what is read or written; 0: none
	Units  uint32 `cbor:"6,keyasint"`           //
	Cell   int32  `cbor:"7,keyasint"`           // where the data lies, or NewObject
	// how long the sender waits, from when this is read
	Timeout time.Duration `cbor:"8,keyasint"`
	Try     uint16        `cbor:"9,keyasint,omitempty"` // of the client, counted from 0
	Attempt uint16        `cbor:"10,keyasint,omitempty"`
	// instances that the volume's requests come through
	VolumeInstances uint16 `cbor:"11,keyasint,omitempty"`
	Write           bool   `cbor:"12,keyasint,omitempty"`
	Offset          uint64 `cbor:"13,keyasint,omitempty"` // bytes; of a ranged request
	Length          uint32 `cbor:"14,keyasint,omitempty"` // bytes
	Client          uint32 `cbor:"15,keyasint,omitempty"`
	// it is for bytes of Data; Cell follows from them
	Ranged bool `cbor:"16,keyasint,omitempty"`
	// the volume whose bytes are meant; 0: Volume
	Data uint64 `cbor:"17,keyasint,omitempty"`
	// to a node: which piece of the client's request
	Piece uint16 `cbor:"18,keyasint,omitempty"`
	// to a node: of an operation of several; lead first
	Members []Member `cbor:"19,keyasint,omitempty"`
	// laboratories: it takes so many times its work
	WorkFactor uint32 `cbor:"20,keyasint,omitempty"`
}

// Of is the volume whose bytes a ranged request is for.
func (r *Request) DataVolume() uint64 {
	if r.Data != 0 {
		return r.Data
	}
	return r.Volume
}

// Member is one piece of an operation that several requests share; what is not here is the operation's.
type Member struct {
	_      struct{} `cbor:",toarray"`
	Token  uint64
	Volume uint64 // that is charged
	Key    uint64
	Plan   uint16
	Units  uint32
	Offset uint32 // bytes, from the operation's first on
	Length uint32
	Piece  uint16
	Try    uint16
	Client uint32
}

// Code is how a request ended. Below 400 they are a node's, and those of control.Code; from 400 on an
// instance's.
type Code uint16

// The codes.
const (
	OK            Code = 100
	Error         Code = 301 // the node failed; the request may have run
	Overloaded    Code = 302 // turned away unseen: the queue is full or the node drains
	Cancelled     Code = 306 // called off; it may have run
	NotApplicable Code = 307 // not run: the node does not hold the cell
	Rejected      Code = 400 // final; trying again does no harm, best after Advice
	Failed        Code = 401 // final; promises nothing
)

// Answer ends a stream.
type Answer struct {
	Code Code `cbor:"1,keyasint"`
	// 1 + percent of its plan's rate the volume was served.
	MeteredRate uint32 `cbor:"2,keyasint,omitempty"`
	// Units served through others since the last answer here.
	ElsewhereUnits uint32 `cbor:"3,keyasint,omitempty"`
	// the load report, in the order of the settings
	Load       []float64     `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"` // stay away for so long
	Reason     string        `cbor:"6,keyasint,omitempty"` // one word
	Cell       int32         `cbor:"7,keyasint,omitempty"` // 1 + where a new object was put
	// Of an operation that was served but for some of its bytes: those, from its first byte on.
	Unreadable []UnreadableRange `cbor:"8,keyasint,omitempty"`
	// Of a ranged request that was not served: how many of its pieces are done, may run or have run, and
	// were never sent.
	Done      uint16 `cbor:"9,keyasint,omitempty"`
	Uncertain uint16 `cbor:"10,keyasint,omitempty"`
	Unsent    uint16 `cbor:"11,keyasint,omitempty"`
}

// Cancel calls off members of an operation, by their places; none: all of it.
type Cancel struct {
	Members []uint16 `cbor:"1,keyasint,omitempty"`
}

// Bad is a range of bytes that a node could not serve.
type UnreadableRange struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	Length uint64
}

// Bye says why a connection is closed.
type Goodbye struct {
	Reason string `cbor:"1,keyasint"`
}

// Ask is what an instance tells the list service of what it holds.
type ListVersion struct {
	Epoch   uint64 `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
}
