package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// maxZones is how many zones a byte can number beside the mark for an unknown one.
const maxZones = 255

// Site is what all instances, nodes and clients of a fleet agree on: (site …).
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
	Extents          *Extents      `s:"extents"` // nil: requests name no byte ranges
}

// DefaultSite returns a site with the defaults, before its file is read. It has no classes and no plans.
func DefaultSite() Site {
	return Site{
		Zones:       []string{"a"},
		MeanUnits:   2,
		MaxUnits:    8,
		ShareWeight: 1,
		SpareWeight: 1,
		Rules:       defaultRules(),
		Limits:      defaultLimits(),
	}
}

// Check reports fields that contradict one another and gives classes and plans without a weight the weight 1.
func (s *Site) Check() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return errors.New("a site has at least one (class …) and one (plan …)")
	}
	if len(s.Zones) == 0 || len(s.Zones) > maxZones {
		return fmt.Errorf("a site has 1 to %d zones, not %d", maxZones, len(s.Zones))
	}
	if err := s.checkNames(); err != nil {
		return err
	}
	s.fillWeights()
	if s.Extents != nil && s.Extents.MaxOperation > s.Limits.MaxPayload {
		return fmt.Errorf("an operation of %d bytes is over the payload limit of %d", s.Extents.MaxOperation,
			s.Limits.MaxPayload)
	}
	if s.SpareWeight > s.ShareWeight {
		return fmt.Errorf("spare-worth %v is over share-worth %v: beyond a share no more is earned",
			s.SpareWeight, s.ShareWeight)
	}
	if err := s.Rules.checkRetryBudget(s.Limits.MaxAttempts); err != nil {
		return err
	}
	return s.Rules.checkSlowStart()
}

// checkNames reports two classes or two plans of one name.
func (s *Site) checkNames() error {
	if name, found := firstRepeated(s.Classes, func(class Class) string { return class.Name }); found {
		return fmt.Errorf("class %s stands twice", name)
	}
	if name, found := firstRepeated(s.Plans, func(plan Plan) string { return plan.Name }); found {
		return fmt.Errorf("plan %s stands twice", name)
	}
	return nil
}

// firstRepeated returns the key of the first item whose key an earlier item has.
func firstRepeated[Item any, Key comparable](items []Item, key func(Item) Key) (repeated Key, found bool) {
	seen := make(map[Key]bool, len(items))
	for _, item := range items {
		if seen[key(item)] {
			return key(item), true
		}
		seen[key(item)] = true
	}
	return repeated, false
}

func (s *Site) fillWeights() {
	for i := range s.Classes {
		setIfZero(&s.Classes[i].PriorityWeight, 1)
	}
	for i := range s.Plans {
		setIfZero(&s.Plans[i].Weight, 1)
		setIfZero(&s.Plans[i].PriorityWeight, 1)
	}
}

func setIfZero(value *float64, replacement float64) {
	if *value == 0 {
		*value = replacement
	}
}

// Zone returns the number of a zone by its name, or -1 if there is none of that name.
func (s *Site) Zone(name string) int { return slices.Index(s.Zones, name) }

// resolveZone replaces an empty zone by the site's first, and reports a zone that the site does not have.
func (s *Site) resolveZone(zone *string) error {
	if *zone == "" {
		*zone = s.Zones[0]
	}
	if s.Zone(*zone) < 0 {
		return fmt.Errorf("zone %s is none of %v", *zone, s.Zones)
	}
	return nil
}

// ClassNumber returns the number of a class by its name, or -1 if there is none of that name.
func (s *Site) ClassNumber(name string) int {
	return slices.IndexFunc(s.Classes, func(class Class) bool { return class.Name == name })
}

// PlanNumber returns the number of a plan by its name, or -1 if there is none of that name.
func (s *Site) PlanNumber(name string) int {
	return slices.IndexFunc(s.Plans, func(plan Plan) bool { return plan.Name == name })
}

// Scheduler returns the settings of one instance's scheduler. The index counts from 0; peerMessages says
// whether this instance can send to its peers.
func (s *Site) Scheduler(index, instances int, zone uint8, peerMessages bool) scheduler.Settings {
	settings := scheduler.Settings{
		InstanceIndex:    index,
		Instances:        instances,
		Zone:             zone,
		PeerMessages:     peerMessages,
		PollEndpoints:    s.PollEndpoints,
		MeanUnits:        s.MeanUnits,
		MaxUnits:         s.MaxUnits,
		MeterPeriod:      s.MeterPeriod,
		ShareWeight:      s.ShareWeight,
		SpareWeight:      s.SpareWeight,
		LoadFields:       s.LoadFields,
		ReportsElsewhere: s.ReportsElsewhere,
		RetriesMarked:    s.RetriesMarked,
	}
	s.Limits.applyTo(&settings)
	s.Rules.applyTo(&settings)
	for i := range s.Classes {
		settings.Classes = append(settings.Classes, s.Classes[i].schedulerClass())
	}
	for i := range s.Plans {
		settings.Plans = append(settings.Plans, s.Plans[i].schedulerPlan())
	}
	return settings
}
