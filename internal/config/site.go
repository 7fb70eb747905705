// Package config is the typed form of settings: what a file may say, its defaults and checks, and how it
// becomes the module's settings. Files are S-expressions; errors name file:line:col.
package config

import (
	"fmt"
	"slices"
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/sexpr"
	"landingpaddle/scheduler"
)

// Repeat is control.Repeat in settings.
type Idempotency scheduler.Idempotency

var repeatNames = []string{"safe", "keyed", "unsafe"}

// UnmarshalText reads safe, keyed or unsafe.
func (r *Idempotency) UnmarshalText(text []byte) error { return word(r, text, repeatNames) }

func (r Idempotency) String() string { return repeatNames[r] }

// Group is control.Group in settings.
type DedupScope scheduler.DedupScope

var groupNames = []string{"all", "zone", "cell"}

// UnmarshalText reads all, zone or cell.
func (g *DedupScope) UnmarshalText(text []byte) error { return word(g, text, groupNames) }

func (g DedupScope) String() string { return groupNames[g] }

func word[T ~uint8](to *T, text []byte, names []string) error {
	i := slices.Index(names, string(text))
	if i < 0 {
		return fmt.Errorf("found %q; want one of %v", text, names)
	}
	*to = T(i)
	return nil
}

// Class is one class of requests.
type Class struct {
	Name             string        `s:",arg"`
	LatencyObjective time.Duration `s:"aim,required" min:"1ms" max:"1h"`
	Deadline         time.Duration `s:"deadline,required" min:"1ms" max:"1h"`
	Idempotency      Idempotency   `s:"repeat"`
	DedupScope       DedupScope    `s:"group"`
	DedupWindow      time.Duration `s:"window" min:"0s" max:"1h"`
	OrderedByKey     bool          `s:"in-order"`
	Writes           bool          `s:"writes"`
	PriorityWeight   float64       `s:"worth" min:"0"`
	LateFraction     float64       `s:"late" min:"0" max:"1"`
}

// Check holds what binds fields to one another.
func (c *Class) Check() error {
	switch {
	case c.LatencyObjective > c.Deadline:
		return fmt.Errorf("class %s: aim %v is after its deadline %v", c.Name, c.LatencyObjective, c.Deadline)
	case c.Idempotency == Idempotency(scheduler.IdempotentByKey) && c.DedupWindow == 0:
		return fmt.Errorf("class %s is keyed; want (window …), in which its group drops repeats", c.Name)
	case c.Idempotency != Idempotency(scheduler.IdempotentByKey) && c.DedupWindow > 0:
		return fmt.Errorf("class %s is %v; only a keyed class has a (window …)", c.Name, c.Idempotency)
	}
	return nil
}

// Plan is one plan. Rates are in units a second over all instances and nodes.
type Plan struct {
	Name           string  `s:",arg"`
	Rate           float64 `s:"rate,required" min:"0"`
	Reserve        float64 `s:"reserve" min:"0"`
	Weight         float64 `s:"weight" min:"0"`
	Limit          float64 `s:"limit" min:"0"`
	Burst          float64 `s:"burst" min:"0"`
	LimitSlack     float64 `s:"slack" min:"0"`
	PriorityWeight float64 `s:"worth" min:"0"`
}

// Check holds what binds fields to one another.
func (p *Plan) Check() error {
	if p.Limit > 0 && p.Burst <= 0 {
		return fmt.Errorf("plan %s has a limit; want (burst …), the units that its store holds", p.Name)
	}
	return nil
}

// Budget rations attempts beyond each request's first.
type RetryBudget struct {
	Floor  float64       `s:"floor" min:"0"`
	Ratio  float64       `s:"ratio" min:"0"`
	Window time.Duration `s:"window,required" min:"1ms" max:"10m"`
}

// Rules are the figures of the seven rules.
type Rules struct {
	AnswerSlack     time.Duration `s:"answer-slack" min:"0s" max:"10s"`
	DrainGrace      time.Duration `s:"drain-grace" min:"0s" max:"1m"`
	ColdFraction    float64       `s:"cold-share" min:"0" max:"1"`
	ColdCapacity    float64       `s:"cold-units" min:"0"`
	SlowStartPeriod time.Duration `s:"ramp" min:"0s" max:"1h"`
	OverloadWindow  time.Duration `s:"fall-window" min:"0s" max:"10m"`
	OverloadFactor  float64       `s:"fall-multiple" min:"0"`
	OrderingPause   time.Duration `s:"order-pause" min:"0s" max:"1m"`
	PollTimeout     time.Duration `s:"ask-within" min:"0s" max:"1h"`
	RetryBudget     *RetryBudget  `s:"budget"`
}

// Limits are what the site allows.
type Limits struct {
	MaxAttempts       int           `s:"attempts" min:"1" max:"16"`
	MaxOpenRequests   int           `s:"open" min:"1" max:"1000000"`
	Cancellation      bool          `s:"cancel"`
	HealthChecks      bool          `s:"probes"`
	HedgedRequests    bool          `s:"second-copies"`
	PeerMessages      bool          `s:"peers"` // instances may send to one another
	RetryAfter        bool          `s:"retry-after"`
	MaxRetryAfter     time.Duration `s:"max-retry-after" min:"0s" max:"10m"`
	ConnectTimeout    time.Duration `s:"connect-timeout" min:"1ms" max:"1m"`
	IdleTimeout       time.Duration `s:"idle-close" min:"100ms" max:"24h"`
	SilenceTimeout    time.Duration `s:"silence" min:"100ms" max:"1h"`
	Streams           int           `s:"streams" min:"1" max:"65536"`
	NodeConnections   int           `s:"node-connections" min:"1" max:"1024"`
	ClientConnections int           `s:"client-connections" min:"1" max:"65536"`
	MaxPayload        sexpr.Size    `s:"payload" min:"0B" max:"1GiB"`
	BatchInterval     time.Duration `s:"tick" min:"0s" max:"1s"`
	ResponseMargin    time.Duration `s:"transit" min:"0s" max:"1s"`
	ClockSkew         time.Duration `s:"clock-skew" min:"0s" max:"1m"`
}

// Site is what all instances, nodes and clients of a fleet agree on.
type Site struct {
	Zones            []string      `s:"zones"`
	PollEndpoints    bool          `s:"ask"`
	MeanUnits        float64       `s:"mean-units" min:"0"`
	MaxUnits         float64       `s:"most-units" min:"1"`
	MeterPeriod      time.Duration `s:"meter" min:"0s" max:"10m"`
	ReportsElsewhere bool          `s:"elsewhere"`
	LoadFields       []string      `s:"load"`
	RetriesMarked    bool          `s:"retries-known"`
	ShareWeight      float64       `s:"share-worth" min:"0" max:"1"`
	SpareWeight      float64       `s:"spare-worth" min:"0" max:"1"`
	Classes          []Class       `s:"class"`
	Plans            []Plan        `s:"plan"`
	Rules            Rules         `s:"rules"`
	Limits           Limits        `s:"limits"`
	Extents          *Extents      `s:"extents"`
}

// Extents are how volumes' bytes lie on nodes, and what is made one operation.
type Extents struct {
	Size            sexpr.Size    `s:"size,required" min:"1B" max:"1GiB"`
	MaxOperation    sexpr.Size    `s:"largest" min:"0B" max:"1GiB"`
	MaxMembers      int           `s:"members" min:"0" max:"64"`
	Window          time.Duration `s:"window" min:"0s" max:"1m"`
	MaxPieces       int           `s:"pieces" min:"0" max:"1024"`
	Cells           int           `s:"cells,required" min:"1" max:"65535"`
	MergingDisabled bool          `s:"alone"` // nothing is merged
}

// Check fills what was not given.
func (e *Extents) Check() error {
	if e.MaxOperation == 0 {
		e.MaxOperation = e.Size
	}
	if e.MaxMembers == 0 {
		e.MaxMembers = 16
	}
	if e.MaxPieces == 0 {
		e.MaxPieces = 64
	}
	return e.Planner().Check()
}

// Planner turns them into the planner's settings.
func (e *Extents) Planner() extent.Settings {
	s := extent.Settings{
		ExtentSize:   uint64(e.Size),
		MaxOperation: uint64(e.MaxOperation),
		MaxMembers:   e.MaxMembers,
		Window:       e.Window,
		MaxPieces:    e.MaxPieces,
		Cells:        e.Cells,
	}
	if e.MergingDisabled {
		s.MaxMembers = 1
	}
	return s
}

// DefaultSite is a site before its file is read.
func DefaultSite() Site {
	return Site{Zones: []string{"a"}, MeanUnits: 2, MaxUnits: 8, ShareWeight: 1, SpareWeight: 1,
		Rules: Rules{AnswerSlack: 50 * time.Millisecond, DrainGrace: time.Second},
		Limits: Limits{
			MaxAttempts:       3,
			MaxOpenRequests:   20_000,
			Cancellation:      true,
			PeerMessages:      true,
			RetryAfter:        true,
			MaxRetryAfter:     500 * time.Millisecond,
			ConnectTimeout:    250 * time.Millisecond,
			IdleTimeout:       15 * time.Second,
			SilenceTimeout:    10 * time.Second,
			Streams:           128,
			NodeConnections:   4,
			ClientConnections: 1024,
			MaxPayload:        8 << 20,
			ResponseMargin:    5 * time.Millisecond,
			ClockSkew:         100 * time.Millisecond,
		}}
}

// Check holds what binds fields to one another, and fills what follows from others.
func (s *Site) Check() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return fmt.Errorf("a site has at least one (class …) and one (plan …)")
	}
	if len(s.Zones) == 0 || len(s.Zones) > 255 {
		return fmt.Errorf("a site has 1 to 255 zones, not %d", len(s.Zones))
	}
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		if names["class "+c.Name] {
			return fmt.Errorf("class %s stands twice", c.Name)
		}
		names["class "+c.Name] = true
		if c.PriorityWeight == 0 {
			c.PriorityWeight = 1
		}
	}
	for i := range s.Plans {
		p := &s.Plans[i]
		if names["plan "+p.Name] {
			return fmt.Errorf("plan %s stands twice", p.Name)
		}
		names["plan "+p.Name] = true
		if p.Weight == 0 {
			p.Weight = 1
		}
		if p.PriorityWeight == 0 {
			p.PriorityWeight = 1
		}
	}
	if e := s.Extents; e != nil && e.MaxOperation > s.Limits.MaxPayload {
		return fmt.Errorf("an operation of %d bytes is over the payload limit of %d", e.MaxOperation,
			s.Limits.MaxPayload)
	}
	if s.SpareWeight > s.ShareWeight {
		return fmt.Errorf("spare-worth %v is over share-worth %v: beyond a share no more is earned",
			s.SpareWeight, s.ShareWeight)
	}
	r := s.Rules
	if b := r.RetryBudget; b != nil && s.Limits.MaxAttempts > 1 && b.Floor+b.Ratio == 0 {
		return fmt.Errorf("a budget of nothing allows no further attempt; want (attempts 1) as well")
	}
	if r.SlowStartPeriod > 0 && (r.ColdCapacity <= 0 || r.OverloadWindow <= 0 || r.OverloadFactor <= 1) {
		return fmt.Errorf("nodes that start cold (ramp %v) need cold-units, fall-window, fall-multiple",
			r.SlowStartPeriod)
	}
	return nil
}

// ClassNumber finds a class by its name.
func (s *Site) ClassNumber(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

// PlanNumber finds a plan by its name.
func (s *Site) PlanNumber(name string) int {
	return slices.IndexFunc(s.Plans, func(p Plan) bool { return p.Name == name })
}

// Control turns the site's settings into those of one instance's module.
func (s *Site) Scheduler(me, hosts int, zone uint8, peers bool) scheduler.Settings {
	set := scheduler.Settings{
		InstanceIndex:    me,
		Instances:        hosts,
		PollEndpoints:    s.PollEndpoints,
		MaxAttempts:      s.Limits.MaxAttempts,
		HealthChecks:     s.Limits.HealthChecks,
		PeerMessages:     peers,
		Cancellation:     s.Limits.Cancellation,
		HedgedRequests:   s.Limits.HedgedRequests,
		RetryAfter:       s.Limits.RetryAfter,
		MaxRetryAfter:    s.Limits.MaxRetryAfter,
		ConnectTimeout:   s.Limits.ConnectTimeout,
		BatchInterval:    s.Limits.BatchInterval,
		MeanUnits:        s.MeanUnits,
		MaxUnits:         s.MaxUnits,
		ColdCapacity:     s.Rules.ColdCapacity,
		MeterPeriod:      s.MeterPeriod,
		ShareWeight:      s.ShareWeight,
		SpareWeight:      s.SpareWeight,
		PollTimeout:      s.Rules.PollTimeout,
		ColdFraction:     s.Rules.ColdFraction,
		SlowStartPeriod:  s.Rules.SlowStartPeriod,
		OverloadWindow:   s.Rules.OverloadWindow,
		OverloadFactor:   s.Rules.OverloadFactor,
		DrainGrace:       s.Rules.DrainGrace,
		OrderingPause:    s.Rules.OrderingPause,
		LoadFields:       s.LoadFields,
		Zone:             zone,
		ReportsElsewhere: s.ReportsElsewhere,
		RetriesMarked:    s.RetriesMarked,
	}
	if b := s.Rules.RetryBudget; b != nil {
		set.RetryBudget, set.RetryBudgetFloor, set.RetryBudgetRatio, set.RetryBudgetWindow = true, b.Floor,
			b.Ratio, b.Window
	}
	for _, c := range s.Classes {
		set.Classes = append(
			set.Classes,
			scheduler.Class{LatencyObjective: c.LatencyObjective, Deadline: c.Deadline,
				Idempotency: scheduler.Idempotency(
					c.Idempotency,
				), DedupScope: scheduler.DedupScope(c.DedupScope), DedupWindow: c.DedupWindow,
				OrderedByKey: c.OrderedByKey, Writes: c.Writes, PriorityWeight: c.PriorityWeight,
				LateFraction: c.LateFraction},
		)
	}
	for _, p := range s.Plans {
		set.Plans = append(set.Plans, scheduler.Plan{Rate: p.Rate, Reserve: p.Reserve, Weight: p.Weight,
			Limit: p.Limit, Burst: p.Burst, LimitSlack: p.LimitSlack, PriorityWeight: p.PriorityWeight})
	}
	return set
}
