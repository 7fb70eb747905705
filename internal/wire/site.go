package wire

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// unknownNumber is the number of a zone or a machine type that the settings do not list.
const unknownNumber = 255

// Site holds an instance's settings: those of the scheduler, and those that only the program around it needs,
// such as the names that clients and the registry use, and the limits and timeouts of connections.
type Site struct {
	Settings            scheduler.Settings
	Classes, Plans      []string      // names, by number
	Zones, MachineTypes []string      // names, by number
	Shards              int           // number of shards; 0: unknown
	MaxOpenRequests     int           // requests in flight; 0: not limited by the settings
	IdleTimeout         time.Duration // after which nodes close idle connections; 0: unknown
	AnswerSlack         time.Duration // how long after a request's deadline the instance itself fails it
}

// site returns the scheduler's settings, as ParseSettings does, and the other fields of Site.
func (r *valueReader) site() (Site, error) {
	site := Site{
		Settings:        r.settings(),
		Zones:           r.list("failure_domains"),
		MachineTypes:    r.list("kinds"),
		Shards:          r.count("domain.shards"),
		MaxOpenRequests: r.integer("limits.max_open"),
		IdleTimeout:     r.duration("limits.idle_close_ns"),
		AnswerSlack:     r.duration("rules.answer_slack_ns"),
	}
	for i := range site.Settings.Classes {
		site.Classes = append(site.Classes, r.values[fmt.Sprintf("classes.%d.name", i)])
	}
	for i := range site.Settings.Plans {
		site.Plans = append(site.Plans, r.values[fmt.Sprintf("contracts.%d.name", i)])
	}
	if r.err == nil && len(site.Classes) == 0 {
		r.err = errors.New("settings define no classes")
	}
	return site, r.err
}

// Zone returns the number of the zone with a name, as the registry states it, or 255 if the settings do not
// list it.
func (s *Site) Zone(name string) uint8 { return numberOf(s.Zones, name) }

// MachineType returns the number of the machine type with a name, or 255 if the settings do not list it.
func (s *Site) MachineType(name string) uint8 { return numberOf(s.MachineTypes, name) }

// numberOf returns the index of a name in a list of the settings, in which listElement replaced commas and
// spaces; 255 if it is missing.
func numberOf(names []string, name string) uint8 {
	if index := slices.Index(names, listElement(name)); index >= 0 && index < unknownNumber {
		return uint8(index)
	}
	return unknownNumber
}
