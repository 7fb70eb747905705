package testbed

import (
	_ "embed"
	"fmt"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/sexpr"
)

// Limits of a scenario.
const (
	maxNodes   = 1024
	maxClients = 4096
)

// scenarioForm is the head of the form in a scenario's file.
const scenarioForm = "day"

// Scenario describes a fleet, its traffic, and the faults to inject with their times.
type Scenario struct {
	Name      string           `s:"name"`
	Length    time.Duration    `s:"length,required" min:"100ms" max:"10m"` // of the traffic
	Instances int              `s:"instances" min:"1" max:"512"`
	Nodes     NodeSettings     `s:"nodes"`
	Registry  RegistrySettings `s:"list"`
	Site      config.Site      `s:"site,required"`
	Clients   ClientSettings   `s:"clients"`
	Traffic   []Traffic        `s:"traffic"`
	Faults    []Fault          `s:"at"`
}

// NodeSettings describes the nodes: all of one model, assigned to the zones round-robin.
type NodeSettings struct {
	Count      int              `s:",arg"`
	Model      config.NodeModel `s:"kind"`
	ClockAhead time.Duration    `s:"clock-ahead" max:"1h"` // relative to the instances' clocks
}

// RegistrySettings configures the stand-in registry.
type RegistrySettings struct {
	Delay    time.Duration `s:"delay" min:"0s" max:"1m"`      // until changes are published
	Workers  int           `s:"workers" min:"1" max:"64"`     // calls served concurrently
	CallTime time.Duration `s:"call-time" min:"0s" max:"10s"` // of one call
	MaxWait  time.Duration `s:"max-wait" min:"0s" max:"10s"`  // for a worker; a call fails after it
}

// ClientSettings describes the clients and their behaviour.
type ClientSettings struct {
	Count           int           `s:",arg"`
	Retries         int           `s:"retries" min:"0" max:"10"`
	RetryDelay      time.Duration `s:"wait" min:"0s" max:"1m"`
	HonorRetryAfter bool          `s:"heed"`
	FailOver        bool          `s:"elsewhere"`
}

func (s *ClientSettings) behavior() ClientBehavior {
	return ClientBehavior{
		Retries:         s.Retries,
		RetryDelay:      s.RetryDelay,
		HonorRetryAfter: s.HonorRetryAfter,
		FailOver:        s.FailOver,
	}
}

// Check reports counts out of range, and traffic and faults that do not match the site or the fleet.
func (s *Scenario) Check() error {
	if s.Nodes.Count < 1 || s.Nodes.Count > maxNodes || s.Clients.Count < 1 || s.Clients.Count > maxClients {
		return fmt.Errorf("(day …) must have 1 to %d nodes and 1 to %d clients", maxNodes, maxClients)
	}
	for i := range s.Traffic {
		if err := s.Traffic[i].checkSite(&s.Site); err != nil {
			return err
		}
	}
	for i := range s.Faults {
		if err := s.Faults[i].check(s); err != nil {
			return err
		}
	}
	return nil
}

// DefaultScenario returns the defaults that a scenario's file overrides.
func DefaultScenario() Scenario {
	return Scenario{
		Name:      "day",
		Instances: 3,
		Nodes:     NodeSettings{Count: 4, Model: config.DefaultNodeModel()},
		Registry: RegistrySettings{
			Delay:    200 * time.Millisecond,
			Workers:  2,
			CallTime: time.Millisecond,
			MaxWait:  300 * time.Millisecond,
		},
		Clients: ClientSettings{
			Count:           8,
			Retries:         1,
			RetryDelay:      100 * time.Millisecond,
			HonorRetryAfter: true,
			FailOver:        true,
		},
		Site: config.DefaultSite(),
	}
}

//go:embed bad-day.lisp
var faultScenario []byte

// FaultScenario returns the embedded scenario, which contains every kind of fault.
func FaultScenario() (Scenario, error) { return ParseScenario("bad-day.lisp", faultScenario) }

// ParseScenario parses a scenario from the text of the named file. An error gives file, line and column.
func ParseScenario(name string, data []byte) (Scenario, error) {
	scenario := DefaultScenario()
	nodes, err := sexpr.Parse(name, data)
	if err != nil {
		return scenario, err
	}
	err = sexpr.DecodeOne(nodes, name, scenarioForm, &scenario)
	return scenario, err
}

// ReadScenario reads a scenario's file. An error gives file, line and column.
func ReadScenario(path string) (Scenario, error) {
	scenario := DefaultScenario()
	err := config.Load(path, scenarioForm, &scenario)
	return scenario, err
}
