package wire

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// unknownNumber is the number of a zone or a machine type that the settings do not name.
const unknownNumber = 255

// Site is an instance's settings with what a running program needs of them beside the scheduler's: names as
// clients and the registry use them, and the figures of connections.
type Site struct {
	Settings            scheduler.Settings
	Classes, Plans      []string // names, by number
	Zones, MachineTypes []string // names, by number
	Shards              int
	MaxOpenRequests     int
	IdleTimeout         time.Duration
	AnswerSlack         time.Duration
}

// site reads what ParseSettings reads, and the rest of Site.
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
		r.err = errors.New("settings name no classes")
	}
	return site, r.err
}

// Zone returns the number of a zone by the name that the registry uses, or 255 for one that the settings do
// not name.
func (s *Site) Zone(name string) uint8 { return numberOf(s.Zones, name) }

// MachineType returns the number of a machine type by its name, or 255 for one that the settings do not name.
func (s *Site) MachineType(name string) uint8 { return numberOf(s.MachineTypes, name) }

func numberOf(names []string, name string) uint8 {
	if index := slices.Index(names, listWord(name)); index >= 0 && index < unknownNumber {
		return uint8(index)
	}
	return unknownNumber
}
