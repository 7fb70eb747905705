package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// maxZones is the number of values of a byte, less the one reserved for an unknown zone.
const maxZones = 255

// Site contains the settings that all instances, nodes and clients of a fleet share: (site …). The fields
// that scheduler.Settings has too are described there.
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
	Extents          *Extents      `s:"extents"` // nil: requests have no byte ranges
}

// DefaultSite returns the default settings of a site, into which its file is loaded. They contain no classes
// and no plans.
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

// Check reports fields that contradict one another and replaces zero weights of classes and plans with 1.
func (s *Site) Check() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return errors.New("a site must have at least one (class …) and one (plan …)")
	}
	if len(s.Zones) == 0 || len(s.Zones) > maxZones {
		return fmt.Errorf("a site must have 1 to %d zones, not %d", maxZones, len(s.Zones))
	}
	if err := s.checkNames(); err != nil {
		return err
	}
	s.fillWeights()
	if s.Extents != nil && s.Extents.MaxOperation > s.Limits.MaxPayload {
		return fmt.Errorf("an operation of %d bytes exceeds the payload limit of %d", s.Extents.MaxOperation,
			s.Limits.MaxPayload)
	}
	if s.SpareWeight > s.ShareWeight {
		return fmt.Errorf("spare-worth %v exceeds share-worth %v: spare units must not be worth more",
			s.SpareWeight, s.ShareWeight)
	}
	if err := s.Rules.checkRetryBudget(s.Limits.MaxAttempts); err != nil {
		return err
	}
	return s.Rules.checkSlowStart()
}

// checkNames reports two classes or two plans of the same name.
func (s *Site) checkNames() error {
	if name, found := firstRepeated(s.Classes, func(class Class) string { return class.Name }); found {
		return fmt.Errorf("duplicate class %s", name)
	}
	if name, found := firstRepeated(s.Plans, func(plan Plan) string { return plan.Name }); found {
		return fmt.Errorf("duplicate plan %s", name)
	}
	return nil
}

// firstRepeated returns the key of the first item that has the same key as an earlier one.
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

// Zone returns the index of a zone by its name, or -1 if the site has no zone of that name.
func (s *Site) Zone(name string) int { return slices.Index(s.Zones, name) }

// resolveZone replaces an empty zone with the site's first, and reports a zone that the site does not have.
func (s *Site) resolveZone(zone *string) error {
	if *zone == "" {
		*zone = s.Zones[0]
	}
	if s.Zone(*zone) < 0 {
		return fmt.Errorf("zone %s is not one of %v", *zone, s.Zones)
	}
	return nil
}

// ClassNumber returns the index of a class by its name, or -1 if the site has no class of that name.
func (s *Site) ClassNumber(name string) int {
	return slices.IndexFunc(s.Classes, func(class Class) bool { return class.Name == name })
}

// PlanNumber returns the index of a plan by its name, or -1 if the site has no plan of that name.
func (s *Site) PlanNumber(name string) int {
	return slices.IndexFunc(s.Plans, func(plan Plan) bool { return plan.Name == name })
}

// SchedulerSettings returns the settings of one instance's scheduler. The index starts at 0; peerMessages
// specifies whether this instance can send messages to its peers.
func (s *Site) SchedulerSettings(index, instances int, zone uint8, peerMessages bool) scheduler.Settings {
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
