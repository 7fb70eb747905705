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
type Repeat uint8

// The kinds of repeat.
const (
	Safe   Repeat = iota // a second run does no harm
	Keyed                // nodes of the class's group drop a repeat within its window
	Unsafe               // a second run does harm
)

// Group names the nodes that drop each other's repeats of a keyed request.
type Group uint8

// The groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is what the settings say of one class of requests.
type Class struct {
	Aim, Deadline time.Duration // wanted within; the client's total wait
	Repeat        Repeat
	Group         Group         // of keyed classes
	Window        time.Duration // for how long the group drops repeats
	InOrder       bool          // requests of one key run one at a time, as they were taken
	Writes        bool
	Worth, Late   float64 // of an answer in time, and the part paid for a late one
}

// Plan is what the settings say of one plan. Rates are in units a second and count over all hosts and nodes.
type Plan struct {
	Rate, Reserve, Weight    float64
	Limit, Burst, LimitSlack float64 // the limit's store; Limit 0: none
	Worth                    float64
}

// Settings is what a host is handed at its start.
type Settings struct {
	Me, Hosts       int
	Classes         []Class
	Plans           []Plan
	Ask             bool // the list of nodes comes only when asked for
	MaxAttempts     int
	Probes, Peers   bool
	Cancel          bool
	SecondCopies    bool
	RetryAfter      bool
	MaxRetryAfter   time.Duration // the longest advice that a client heeds
	ConnectTimeout  time.Duration
	Tick            time.Duration // events come at most this often
	MeanUnits       float64
	MostUnits       float64
	ColdUnits       float64 // always safe within FallWindow, over all hosts
	MeterPeriod     time.Duration
	ShareWorth      float64 // what units within the weighted share earn, against those of the reserve
	SpareWorth      float64 // and what the rest earns
	AskWithin       time.Duration
	PushGrace       time.Duration // where lists are pushed: in it a watch must be back; 0: they are asked for
	ColdShare       float64
	Ramp            time.Duration // a node is warm after this, at the latest
	FallWindow      time.Duration
	FallMultiple    float64
	DrainGrace      time.Duration
	OrderPause      time.Duration
	Budget          bool // further attempts are rationed:
	BudgetFloor     float64
	BudgetRatio     float64
	BudgetWindow    time.Duration
	LoadFields      []string // the values of a load report, in order
	Zone            uint8
	TellsElsewhere  bool
	RetriesAreKnown bool // clients mark their repeats
}

// Event is something that a host sees; one of the types below.
type Event interface{ isEvent() }

// ListForm says how a list of nodes is to be read.
type ListForm uint8

// The forms of a list.
const (
	ListDelta  ListForm = iota // only what changed
	ListCached                 // the whole list as this host last held it, maybe out of date
	ListFull                   // the whole list
	ListFailed                 // a watch or fetch failed, or a watch broke; no entries
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
type Entry struct {
	Server  Server
	Status  Status
	Cell    uint16
	Zone    uint8
	Kind    uint8
	Boot    time.Duration // clock at its last start; 0: long ago
	Nominal float64
}

// Members is news of the list of nodes.
type Members struct {
	Version uint64
	Form    ListForm
	Entries []Entry
}

// NewObject is the Cell of a request whose data may be put on any node.
const NewObject = -1

// Request is a client's request; the host owes it one final answer before Expires.
type Request struct {
	ID      uint32
	Class   int
	Cell    int // the shard that holds the data, or NewObject
	Repeat  bool
	Write   bool
	Writers int // hosts that the volume's requests come through
	Plan    int
	Key     uint64 // 0: none
	Expires time.Duration
	Volume  uint64
	Units   float64
	Further bool // a part of a request whose first part was taken before: for the budget one with it
}

// Company knows which held requests could be done at their node as one operation. It proposes; each member
// is decided on by the Host. IDs of requests are not 0 where it is used.
type Company interface {
	// Beside is told that a request leaves for the first time. It calls join for each other that fits to
	// the operation, with the units that the whole operation counts with it on board; join tells whether
	// it leaves with it. Beside must not call the Host.
	Beside(id uint32, join func(id uint32, units float64) bool)
}

// Accompany lets what is held leave with others, as a company proposes; without one each leaves alone.
func (h *Host) Accompany(c Company) { h.company = c }

// Code tells how an attempt ended.
type Code uint16

// The codes.
const (
	OK            Code = 100
	Error         Code = 301
	Full          Code = 302
	TimedOut      Code = 303
	ConnectFailed Code = 304
	Reset         Code = 305
	Cancelled     Code = 306
	Moot          Code = 307
)

// Outcome is the end of one attempt. Each Send gets exactly one.
type Outcome struct {
	ID        uint32
	Attempt   int
	Server    Server
	Code      Code
	Took      time.Duration
	Ended     bool    // the request is over and has its answer
	Metered   int     // 1 + percent of its plan's rate that the volume was served in a period; 0: unknown
	Elsewhere float64 // units that the shard served the volume through other hosts since its last answer here
	Load      []float64
}

// First says that a streamed answer has begun.
type First struct {
	ID      uint32
	Attempt int
	Server  Server
	Took    time.Duration
}

// Left says that the request is over and nothing is owed for it any more.
type Left struct{ ID uint32 }

// Timer is a timer that came due.
type Timer struct{ Token uint32 }

// Probed is the result of one Probe.
type Probed struct {
	Server Server
	Code   Code
	Took   time.Duration
	Load   []float64
}

// Peer is a message from another host.
type Peer struct {
	From uint32
	Body []byte
}

func (Members) isEvent() {}
func (Request) isEvent() {}
func (Outcome) isEvent() {}
func (First) isEvent()   {}
func (Left) isEvent()    {}
func (Timer) isEvent()   {}
func (Probed) isEvent()  {}
func (Peer) isEvent()    {}

// Action is something that a host asks for; one of the types below.
type Action interface{ isAction() }

// Send starts an attempt. Attempts of a request are numbered from 0 in the order of their sends.
type Send struct {
	ID     uint32
	Server Server
	Allow  time.Duration // give up after this; 0: as long as the client waits
	Before time.Duration // clock by which it must have begun, or not at all; 0: any time
	With   uint32        // a member of the operation that this request leads, sent just before; 0: alone
}

// Refuse is a final answer: trying again does no harm, best after Backoff.
type Refuse struct {
	ID      uint32
	Backoff time.Duration
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
type Probe struct{ Server Server }

// Close shuts idle connections to a node.
type Close struct{ Server Server }

// AllPeers is the To of a message to every other host.
const AllPeers = ^uint32(0)

// Tell sends a message to one host or to all.
type Tell struct {
	To   uint32
	Body []byte
}

// Log writes a line for the operators.
type Log struct{ Text string }

// Watch opens or ends the standing subscription to the list.
type Watch struct{ On bool }

// Fetch asks for the whole list once.
type Fetch struct{}

func (Send) isAction()     {}
func (Refuse) isAction()   {}
func (Fail) isAction()     {}
func (Cancel) isAction()   {}
func (SetTimer) isAction() {}
func (Probe) isAction()    {}
func (Close) isAction()    {}
func (Tell) isAction()     {}
func (Log) isAction()      {}
func (Watch) isAction()    {}
func (Fetch) isAction()    {}
