package scheduler

import "time"

// Idempotency specifies the effect of a second execution of a request.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a second execution does no harm
	IdempotentByKey                    // nodes in DedupScope ignore a duplicate of a key within DedupWindow
	NotIdempotent                      // a second execution does harm
)

// DedupScope specifies the nodes among which an idempotency key is deduplicated.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupAll  DedupScope = iota // all nodes
	DedupZone                   // the nodes of one zone
	DedupCell                   // the successive nodes that hold one cell
)

// Class is a class of requests as the settings describe it.
type Class struct {
	LatencyObjective time.Duration // latency within which requests should be answered; 0: no objective
	Deadline         time.Duration // total time that a client waits, over all its tries
	Idempotency      Idempotency
	DedupScope       DedupScope    // of classes that are idempotent by key
	DedupWindow      time.Duration // how long the nodes of that scope store a key
	OrderedByKey     bool          // requests of one key run one at a time, in arrival order
	Writes           bool
	PriorityWeight   float64 // value of an answer within the objective; 0: not set
	LateFraction     float64 // fraction of that value that a late answer still has
}

// RetrySafe reports whether a request of the class that may have run can be executed again on any node, so
// that it may be answered with Reject, which guarantees that a retry is safe.
func (c Class) RetrySafe() bool {
	return c.Idempotency == Idempotent || (c.Idempotency == IdempotentByKey && c.DedupScope == DedupAll)
}

// Plan is a service plan as the settings describe it. Rates are in units per second over all instances and
// nodes.
type Plan struct {
	Rate           float64 // nominal rate, to which AttemptResult.MeteredRate refers
	Reserve        float64 // guaranteed rate
	Weight         float64 // of the fair share beyond the reserve
	Limit          float64 // rate of the quota; 0: no quota
	Burst          float64 // units that the quota's bucket holds
	LimitSlack     float64 // units by which the quota may be exceeded; the scheduler does not use it
	PriorityWeight float64 // value of the plan's answers; 0: not set
}

// Settings configure a Scheduler. They do not change during its lifetime.
//
// They are part of a site's settings. Some are read only outside this package; no decision depends on them:
// HealthChecks, PeerMessages, Cancellation, HedgedRequests, ConnectTimeout, BatchInterval, MeterPeriod,
// SpareWeight, DrainGrace, LoadFields, Zone and ReportsElsewhere, and of a Class or Plan Deadline, Writes,
// LateFraction, Rate and LimitSlack.
type Settings struct {
	InstanceIndex     int // of this instance, from 0
	Instances         int // number of instances that share the nodes
	Classes           []Class
	Plans             []Plan
	PollEndpoints     bool // the endpoint list arrives only if the scheduler watches it
	MaxAttempts       int  // of one request
	HealthChecks      bool
	PeerMessages      bool
	Cancellation      bool
	HedgedRequests    bool
	RetryAfter        bool          // rejections may state a Retry-After
	MaxRetryAfter     time.Duration // the longest Retry-After
	ConnectTimeout    time.Duration
	BatchInterval     time.Duration // minimum time between batches
	MeanUnits         float64       // of a request
	MaxUnits          float64       // of a request
	ColdCapacity      float64       // units that a cold node accepts from all instances within OverloadWindow
	MeterPeriod       time.Duration
	ShareWeight       float64       // value of units within the fair share, relative to those in the reserve
	SpareWeight       float64       // value of units beyond the fair share, likewise
	PollTimeout       time.Duration // within which an instance that polls must request the list
	PushGrace         time.Duration // time to reopen a broken watch of a pushed list; 0: it is polled
	ColdFraction      float64       // ColdCapacity as a fraction of a warm node's capacity
	SlowStartPeriod   time.Duration // after which a restarted node is warm, at the latest
	OverloadWindow    time.Duration // over which a cold node's load is counted
	OverloadFactor    float64       // by which the load must exceed the capacity to overload a node
	DrainGrace        time.Duration
	OrderingPause     time.Duration // after an attempt of uncertain outcome, before the key's next request
	RetryBudget       bool          // retries are limited, by floor + ratio * requests within the window
	RetryBudgetFloor  float64
	RetryBudgetRatio  float64
	RetryBudgetWindow time.Duration
	LoadFields        []string // names of the values of a load report, in order
	Zone              uint8
	ReportsElsewhere  bool // nodes report units served through other instances
	RetriesMarked     bool // clients mark their retries
}
