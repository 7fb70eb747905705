// Package control decides when and where a host's requests go. This file is its interface: the settings, the
// events that a host sees and the actions that it asks for. It holds no decisions; those are in control.go.
package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Server identifies a storage node's process: an IPv4 address and a port. It tells nothing else of the node.
type Server struct {
	Addr [4]byte `cbor:"Addr"`
	Port uint16  `cbor:"Port"`
}

// Compare orders servers by address and port.
func (s Server) Compare(o Server) int {
	return cmp.Or(slices.Compare(s.Addr[:], o.Addr[:]), cmp.Compare(s.Port, o.Port))
}

// Repeat says what a second run of a request of a class does.
type Idempotency uint8

// The kinds of repeat.
const (
	Idempotent      Idempotency = iota // a second run does no harm
	IdempotentByKey                    // nodes of the class's group drop a repeat within its window
	NotIdempotent                      // a second run does harm
)

// Group names the nodes that drop each other's repeats of a keyed request.
type DedupScope uint8

// The groups.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class is what the settings say of one class of requests.
type Class struct {
	LatencyObjective, Deadline   time.Duration // wanted within; the client's total wait
	Idempotency                  Idempotency
	DedupScope                   DedupScope    // of keyed classes
	DedupWindow                  time.Duration // for how long the group drops repeats
	OrderedByKey                 bool          // requests of one key run one at a time, as they were taken
	Writes                       bool
	PriorityWeight, LateFraction float64 // of an answer in time, and the part paid for a late one
}

// Plan is what the settings say of one plan. Rates are in units a second and count over all hosts and nodes.
type Plan struct {
	Rate, Reserve, Weight    float64
	Limit, Burst, LimitSlack float64 // the limit's store; Limit 0: none
	PriorityWeight           float64
}

// Settings is what a host is handed at its start.
type Settings struct {
	InstanceIndex, Instances   int
	Classes                    []Class
	Plans                      []Plan
	PollEndpoints              bool // the list of nodes comes only when asked for
	MaxAttempts                int
	HealthChecks, PeerMessages bool
	Cancellation               bool
	HedgedRequests             bool
	RetryAfter                 bool
	MaxRetryAfter              time.Duration // the longest advice that a client heeds
	ConnectTimeout             time.Duration
	BatchInterval              time.Duration // events come at most this often
	MeanUnits                  float64
	MaxUnits                   float64
	ColdCapacity               float64 // always safe within FallWindow, over all hosts
	MeterPeriod                time.Duration
	// what units within the weighted share earn, against those of the reserve
	ShareWeight float64
	SpareWeight float64 // and what the rest earns
	PollTimeout time.Duration
	// where lists are pushed: in it a watch must be back; 0: they are asked for
	PushGrace         time.Duration
	ColdFraction      float64
	SlowStartPeriod   time.Duration // a node is warm after this, at the latest
	OverloadWindow    time.Duration
	OverloadFactor    float64
	DrainGrace        time.Duration
	OrderingPause     time.Duration
	RetryBudget       bool // further attempts are rationed:
	RetryBudgetFloor  float64
	RetryBudgetRatio  float64
	RetryBudgetWindow time.Duration
	LoadFields        []string // the values of a load report, in order
	Zone              uint8
	ReportsElsewhere  bool
	RetriesMarked     bool // clients mark their repeats
}

// Event is something that a host sees; one of the types below.
type Event interface{ isEvent() }

// ListForm says how a list of nodes is to be read.
type UpdateKind uint8

// The forms of a list.
const (
	UpdateDelta  UpdateKind = iota // only what changed
	UpdateCached                   // the whole list as this host last held it, maybe out of date
	UpdateFull                     // the whole list
	UpdateFailed                   // a watch or fetch failed, or a watch broke; no entries
)

// Status is a node's state as listed.
type Status uint8

// The states of a node.
const (
	Gone Status = iota
	Ready
	Draining
)

func (s Status) String() string { return [...]string{"gone", "ready", "draining"}[s] }

// Entry is one node in a list.
type Endpoint struct {
	Server          Server
	Status          Status
	Cell            uint16
	Zone            uint8
	MachineType     uint8
	StartedAt       time.Duration // clock at its last start; 0: long ago
	NominalCapacity float64
}

// Members is news of the list of nodes.
type EndpointUpdate struct {
	Version   uint64
	Kind      UpdateKind
	Endpoints []Endpoint
}

// NewObject is the Cell of a request whose data may be put on any node.
const NewObject = -1

// Request is a client's request; the host owes it one final answer before Expires.
type Request struct {
	ID              uint32
	Class           int
	Cell            int // the shard that holds the data, or NewObject
	Retry           bool
	Write           bool
	VolumeInstances int // hosts that the volume's requests come through
	Plan            int
	Key             uint64 // 0: none
	ExpiresAt       time.Duration
	Volume          uint64
	Units           float64
	Continuation    bool // a part of a request whose first part was taken before: for the budget one with it
}

// Company knows which held requests could be done at their node as one operation. It proposes; each member
// is decided on by the Host. IDs of requests are not 0 where it is used.
type Batcher interface {
	// Beside is told that a request leaves for the first time. It calls join for each other that fits to
	// the operation, with the units that the whole operation counts with it on board; join tells whether
	// it leaves with it. Beside must not call the Host.
	Propose(id uint32, join func(id uint32, units float64) bool)
}

// Accompany lets what is held leave with others, as a company proposes; without one each leaves alone.
func (h *Scheduler) SetBatcher(c Batcher) { h.batcher = c }

// Code tells how an attempt ended.
type ResultCode uint16

// The codes.
const (
	OK            ResultCode = 100
	Error         ResultCode = 301
	Overloaded    ResultCode = 302
	TimedOut      ResultCode = 303
	ConnectFailed ResultCode = 304
	Reset         ResultCode = 305
	Cancelled     ResultCode = 306
	NotApplicable ResultCode = 307
)

// Outcome is the end of one attempt. Each Send gets exactly one.
type AttemptResult struct {
	ID          uint32
	Attempt     int
	Server      Server
	Code        ResultCode
	Latency     time.Duration
	RequestDone bool // the request is over and has its answer
	// 1 + percent of its plan's rate that the volume was served in a period; 0: unknown
	MeteredRate int
	// units that the shard served the volume through other hosts since its last answer here
	ElsewhereUnits float64
	Load           []float64
}

// First says that a streamed answer has begun.
type ResponseStarted struct {
	ID      uint32
	Attempt int
	Server  Server
	Latency time.Duration
}

// Left says that the request is over and nothing is owed for it any more.
type ClientGone struct{ ID uint32 }

// Timer is a timer that came due.
type TimerFired struct{ Token uint32 }

// Probed is the result of one Probe.
type HealthCheckResult struct {
	Server  Server
	Code    ResultCode
	Latency time.Duration
	Load    []float64
}

// Peer is a message from another host.
type PeerMessage struct {
	From uint32
	Body []byte
}

func (EndpointUpdate) isEvent()    {}
func (Request) isEvent()           {}
func (AttemptResult) isEvent()     {}
func (ResponseStarted) isEvent()   {}
func (ClientGone) isEvent()        {}
func (TimerFired) isEvent()        {}
func (HealthCheckResult) isEvent() {}
func (PeerMessage) isEvent()       {}

// Action is something that a host asks for; one of the types below.
type Action interface{ isAction() }

// Send starts an attempt. Attempts of a request are numbered from 0 in the order of their sends.
type Send struct {
	ID          uint32
	Server      Server
	Timeout     time.Duration // give up after this; 0: as long as the client waits
	StartBefore time.Duration // clock by which it must have begun, or not at all; 0: any time
	Leader      uint32        // a member of the operation that this request leads, sent just before; 0: alone
}

// Refuse is a final answer: trying again does no harm, best after Backoff.
type Reject struct {
	ID         uint32
	RetryAfter time.Duration
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID uint32 }

// Cancel calls an attempt off.
type Cancel struct {
	ID      uint32
	Attempt int
}

// SetTimer asks for a Timer after a while.
type SetTimer struct {
	Token uint32
	After time.Duration
}

// Probe checks a node.
type CheckHealth struct{ Server Server }

// Close shuts idle connections to a node.
type CloseIdle struct{ Server Server }

// AllPeers is the To of a message to every other host.
const AllPeers = ^uint32(0)

// Tell sends a message to one host or to all.
type SendToPeer struct {
	To   uint32
	Body []byte
}

// Log writes a line for the operators.
type WriteLog struct{ Text string }

// Watch opens or ends the standing subscription to the list.
type WatchEndpoints struct{ On bool }

// Fetch asks for the whole list once.
type FetchEndpoints struct{}

func (Send) isAction()           {}
func (Reject) isAction()         {}
func (Fail) isAction()           {}
func (Cancel) isAction()         {}
func (SetTimer) isAction()       {}
func (CheckHealth) isAction()    {}
func (CloseIdle) isAction()      {}
func (SendToPeer) isAction()     {}
func (WriteLog) isAction()       {}
func (WatchEndpoints) isAction() {}
func (FetchEndpoints) isAction() {}
