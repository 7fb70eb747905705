package config

import (
	"slices"

	"landingpaddle/expect"
	"landingpaddle/internal/sexpr"
)

// FleetNode is a planned storage node: (node …) in a fleet.
type FleetNode struct {
	Name     string    `s:",arg"`
	Pos      sexpr.Pos `s:",pos"`
	Cell     int       `s:"cell" min:"0" max:"65535"`
	Zone     string    `s:"zone"`
	Capacity float64   `s:"capacity,required" min:"0"` // units per second
}

// FleetVolume is a planned volume, or several identical ones: (volume …).
type FleetVolume struct {
	Name    string    `s:",arg"`
	Pos     sexpr.Pos `s:",pos"`
	Plan    string    `s:"plan,required"`
	Count   int       `s:"count" min:"0" max:"1000000"` // identical volumes; 0: one
	Writers int       `s:"writers" min:"0" max:"65535"` // instances, as stated in its requests; 0: one
	Paths   int       `s:"paths" min:"0" max:"65535"`   // instances where its requests may arrive; 0: Writers
	Cells   []int     `s:"cells"`                       // that store its data; empty: all
}

// Fleet is a planned fleet with its site: (fleet …).
type Fleet struct {
	Name      string        `s:"name"`
	Instances int           `s:"instances,required" min:"1" max:"65535"`
	Site      Site          `s:"site,required"`
	Nodes     []FleetNode   `s:"node"`
	Volumes   []FleetVolume `s:"volume"`
}

// LoadFleet loads a fleet and its expectations. Each (expect …) is checked against the fleet: a name that
// matches nothing is an error at its position. Errors are of the same types as those of Load.
func LoadFleet(file string) (Fleet, *expect.Model, []expect.Expectation, error) {
	fleet := Fleet{Site: DefaultSite()}
	nodes, err := sexpr.ReadTree(file)
	if err != nil {
		return fleet, nil, nil, err
	}
	forms := removeExpectations(nodes)
	if err := sexpr.DecodeOne(nodes, file, "fleet", &fleet); err != nil {
		return fleet, nil, nil, err
	}
	model, err := fleet.model()
	if err != nil {
		return fleet, nil, nil, err
	}
	expectations, err := parseExpectations(model, forms)
	if err != nil {
		return fleet, nil, nil, err
	}
	return fleet, model, expectations, nil
}

// removeExpectations removes the (expect …) forms from a single (fleet …) form and returns them: they can
// be parsed only after the fleet has been decoded.
func removeExpectations(nodes []*sexpr.Node) (forms []*sexpr.Node) {
	if len(nodes) != 1 || nodes[0].Head() != "fleet" {
		return nil
	}
	nodes[0].List = slices.DeleteFunc(nodes[0].List, func(node *sexpr.Node) bool {
		if node.Head() != "expect" {
			return false
		}
		forms = append(forms, node)
		return true
	})
	return forms
}
