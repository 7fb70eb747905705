package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// reviewInterval is the interval between decisions on queued and in-flight requests while no event
	// arrives.
	reviewInterval = 5 * time.Millisecond
	// stallThreshold is the delay of a review beyond which this process is considered to have stalled.
	stallThreshold = 50 * time.Millisecond
	// timingMargin is the margin kept before each deadline: two review intervals.
	timingMargin = 2 * reviewInterval
)

// Tokens of the timers that the scheduler sets.
const (
	tokenReview = 1
	tokenWatch  = 2
)

// Scheduler queues requests and decides when and where they are sent. Create one with New. It is owned by one
// goroutine.
type Scheduler struct {
	settings   Settings
	random     *rand.Rand
	now        time.Duration // clock value of the current event or batch
	startedAt  time.Duration // clock value of the first event
	started    bool
	actions    []Action // collected since the last Decide
	classes    []*class // by number
	requests   map[uint32]*request
	sequence   uint64 // number of the request admitted last
	inFlight   int    // attempts
	objectives objectives
	endpoints  endpointView
	backlog    backlog
	volumes    volumeTable
	keys       keyTable
	arrivals   arrivals
	retries    retryBudget
	latency    latencyModel
	review     reviewTimer
	watch      endpointWatch
	batcher    Batcher // nil: each request is sent alone
}

// objectives are the shortest latency objective and the largest priority weights of the settings.
type objectives struct {
	shortest       time.Duration // latency objective of any class; 0: no class has one
	maxClassWeight float64       // priority weight of any class; 0: none is set
	maxPlanWeight  float64       // priority weight of any plan; 0: none is set
}

// reviewTimer keeps one review scheduled while requests wait or are in flight.
type reviewTimer struct {
	pending bool
	dueAt   time.Duration
	stalled bool // the pending review is so late that this process must have stalled
}

// New returns a scheduler without endpoints and statistics. Instances that share nodes need different seeds,
// as random delays keep them from acting in step.
func New(seed uint64, settings Settings) *Scheduler {
	s := &Scheduler{
		settings:   settings,
		random:     rand.New(rand.NewPCG(seed, 0)),
		requests:   map[uint32]*request{},
		objectives: newObjectives(settings),
		endpoints:  endpointView{nodes: map[Server]*node{}},
		volumes:    volumeTable{byID: map[uint64]*volume{}},
		keys:       keyTable{byKey: map[uint64]*keyQueue{}},
		retries:    newRetryBudget(settings),
		watch:      newEndpointWatch(settings),
	}
	for _, c := range settings.Classes {
		s.classes = append(s.classes, &class{Class: c})
	}
	return s
}

func newObjectives(settings Settings) objectives {
	var o objectives
	for _, c := range settings.Classes {
		o.maxClassWeight = max(o.maxClassWeight, c.PriorityWeight)
		if c.LatencyObjective > 0 && (o.shortest == 0 || c.LatencyObjective < o.shortest) {
			o.shortest = c.LatencyObjective
		}
	}
	for _, p := range settings.Plans {
		o.maxPlanWeight = max(o.maxPlanWeight, p.PriorityWeight)
	}
	return o
}

// Handle processes one event. The clock value must not be smaller than that of an earlier call of Handle or
// Decide. Events that the scheduler does not use (ResponseStarted, HealthCheckResult, PeerMessage) only
// advance the clock.
func (s *Scheduler) Handle(now time.Duration, event Event) {
	s.advanceClock(now)
	switch event := event.(type) {
	case EndpointUpdate:
		s.applyEndpointUpdate(event)
	case Request:
		s.admit(event)
	case AttemptResult:
		s.handleResult(event)
	case RequestWithdrawn:
		if r := s.requests[event.ID]; r != nil {
			s.finish(r)
		}
	case TimerFired:
		s.handleTimer(event)
	case ArrivalsCollected:
		s.finishCollection(event)
	}
}

// Decide dispatches requests, sheds those that cannot be served in time, and returns all actions since the
// last call in the order in which they are to be carried out.
func (s *Scheduler) Decide(now time.Duration) []Action {
	s.advanceClock(now)
	waiting := false
	for _, queue := range s.backlog.snapshot() {
		s.dispatch(queue)
		s.shedLate(queue)
		waiting = waiting || len(queue.requests) > 0
	}
	if waiting || s.inFlight > 0 {
		s.scheduleReview()
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// advanceClock sets the clock. On the first call it also opens the watch of the endpoint list, if
// PollEndpoints is set.
func (s *Scheduler) advanceClock(now time.Duration) {
	if now != s.now {
		s.review.stalled = s.review.pending && now > s.review.dueAt+stallThreshold
		s.arrivals.observeClock(s.now, now)
	}
	s.now = now
	if s.started {
		return
	}
	s.started, s.startedAt = true, now
	if s.settings.PollEndpoints {
		s.openWatch()
	}
}

func (s *Scheduler) scheduleReview() {
	if s.review.pending {
		return
	}
	s.review.pending, s.review.dueAt = true, s.now+reviewInterval
	s.emit(SetTimer{Token: tokenReview, After: reviewInterval})
}

func (s *Scheduler) handleTimer(timer TimerFired) {
	switch timer.Token {
	case tokenReview:
		s.review.pending = false
	case tokenWatch:
		s.reopenSilentWatch()
	}
}

// instanceShare returns this instance's even share of a total for all instances.
func (s *Scheduler) instanceShare(total float64) float64 {
	return total / float64(max(s.settings.Instances, 1))
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
