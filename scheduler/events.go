package scheduler

import "time"

// Event is an input of the scheduler: one of the types below.
type Event interface{ isEvent() }

// EndpointUpdate is a change of the endpoint list, or the failure to get one.
type EndpointUpdate struct {
	Version   uint64
	Kind      UpdateKind
	Endpoints []Endpoint
}

// NewObject is the Cell of a request whose data may be placed on any node.
const NewObject = -1

// Request is a client's request. It gets one final answer before ExpiresAt: an attempt's, Reject or Fail.
type Request struct {
	ID              uint32
	Class           int  // index in Settings.Classes
	Cell            int  // the shard that holds the data, or NewObject
	Retry           bool // the client marked it as a retry
	Write           bool
	VolumeInstances int           // number of instances through which the volume's requests arrive
	Plan            int           // index in Settings.Plans
	Key             uint64        // ordering key, for classes that are ordered by key; 0: none
	ArrivedAt       time.Duration // clock value at which its last byte arrived; 0: now
	BacklogSince    time.Duration // clock value since which connections wait to be accepted; 0: none does
	ExpiresAt       time.Duration // clock value at which the client stops waiting
	Volume          uint64
	Units           float64
	Continuation    bool // a further piece of a split request: the retry budget counts the first only
}

// ResultCode states how an attempt ended.
type ResultCode uint16

// The result codes. Their numbers are those of the wire protocols.
const (
	OK            ResultCode = 100
	Error         ResultCode = 301 // the node failed; the request may have run
	Overloaded    ResultCode = 302 // the node rejected the request; it has not run
	TimedOut      ResultCode = 303
	ConnectFailed ResultCode = 304 // nothing was sent
	Reset         ResultCode = 305 // the connection broke; the request may have run
	Cancelled     ResultCode = 306
	NotApplicable ResultCode = 307 // nothing was sent, or the node does not hold the cell
)

// MayHaveRun reports whether an attempt that ended this way may have taken effect.
func (c ResultCode) MayHaveRun() bool {
	return c != Overloaded && c != ConnectFailed && c != NotApplicable
}

// AttemptResult reports the end of an attempt. There is exactly one for each Send.
type AttemptResult struct {
	ID             uint32
	Attempt        int
	Server         Server
	Code           ResultCode
	Latency        time.Duration
	RequestDone    bool      // the request has its final answer
	MeteredRate    int       // 1 + percent of the plan's rate at which the volume was served; 0: unknown
	ElsewhereUnits float64   // units served for the volume through other instances since the last answer here
	Load           []float64 // load report, in the order of Settings.LoadFields
}

// ResponseStarted reports that a streamed answer has begun.
type ResponseStarted struct {
	ID      uint32
	Attempt int
	Server  Server
	Latency time.Duration
}

// RequestWithdrawn reports that a request needs no answer any more, for example because its client
// disconnected.
type RequestWithdrawn struct{ ID uint32 }

// TimerFired reports that a timer set by SetTimer is due.
type TimerFired struct{ Token uint32 }

// HealthCheckResult is the result of one CheckHealth.
type HealthCheckResult struct {
	Server  Server
	Code    ResultCode
	Latency time.Duration
	Load    []float64
}

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From uint32
	Body []byte
}

// ArrivalsCollected reports that the collection requested by CollectArrivals with the same Before is over.
type ArrivalsCollected struct{ Before time.Duration }

func (EndpointUpdate) isEvent()    {}
func (Request) isEvent()           {}
func (AttemptResult) isEvent()     {}
func (ResponseStarted) isEvent()   {}
func (RequestWithdrawn) isEvent()  {}
func (TimerFired) isEvent()        {}
func (HealthCheckResult) isEvent() {}
func (PeerMessage) isEvent()       {}
func (ArrivalsCollected) isEvent() {}
