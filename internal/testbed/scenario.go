package testbed

import (
	_ "embed"
	"fmt"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/sexpr"
)

// Bounds of a scenario.
const (
	maxNodes   = 1024
	maxClients = 4096
)

// scenarioForm is the head of a scenario's form in its file.
const scenarioForm = "day"

// Scenario is a fleet, its traffic, and what goes wrong when.
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

// NodeSettings are the nodes: all of one model, dealt out over the zones in turn.
type NodeSettings struct {
	Count      int              `s:",arg"`
	Model      config.NodeModel `s:"kind"`
	ClockAhead time.Duration    `s:"clock-ahead" max:"1h"` // of the instances' clocks
}

// RegistrySettings are the stand-in registry.
type RegistrySettings struct {
	Delay    time.Duration `s:"delay" min:"0s" max:"1m"`      // after which changes are published
	Workers  int           `s:"workers" min:"1" max:"64"`     // calls served at the same time
	CallTime time.Duration `s:"call-time" min:"0s" max:"10s"` // that one call takes
	MaxWait  time.Duration `s:"max-wait" min:"0s" max:"10s"`  // for a worker; a call fails after it
}

// ClientSettings are the clients and their behaviour.
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

// Check reports what does not fit together in a scenario.
func (s *Scenario) Check() error {
	if s.Nodes.Count < 1 || s.Nodes.Count > maxNodes || s.Clients.Count < 1 || s.Clients.Count > maxClients {
		return fmt.Errorf("a day has 1 to %d nodes and 1 to %d clients", maxNodes, maxClients)
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

// DefaultScenario is what a scenario's file changes.
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

// FaultScenario is the embedded scenario: every kind of fault once.
func FaultScenario() (Scenario, error) { return ParseScenario("bad-day.lisp", faultScenario) }

// ParseScenario reads a scenario from the text of a file of that name. An error names the place.
func ParseScenario(name string, data []byte) (Scenario, error) {
	scenario := DefaultScenario()
	nodes, err := sexpr.Parse(name, data)
	if err != nil {
		return scenario, err
	}
	err = sexpr.DecodeOne(nodes, name, scenarioForm, &scenario)
	return scenario, err
}

// ReadScenario reads a scenario's file. An error names the place.
func ReadScenario(path string) (Scenario, error) {
	scenario := DefaultScenario()
	err := config.Load(path, scenarioForm, &scenario)
	return scenario, err
}
