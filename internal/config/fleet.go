package config

import (
	"path"
	"slices"
	"strconv"

	"landingpaddle/expect"
	"landingpaddle/internal/sexpr"
)

// FleetNode is a storage node as planned.
type FleetNode struct {
	Name     string    `s:",arg"`
	Pos      sexpr.Pos `s:",pos"`
	Cell     int       `s:"cell" min:"0" max:"65535"`
	Zone     string    `s:"zone"`
	Capacity float64   `s:"capacity,required" min:"0"` // units a second
}

// FleetVolume is a volume as planned, or several alike.
type FleetVolume struct {
	Name    string    `s:",arg"`
	Pos     sexpr.Pos `s:",pos"`
	Plan    string    `s:"plan,required"`
	Count   int       `s:"count" min:"0" max:"1000000"`
	Writers int       `s:"writers" min:"0" max:"65535"` // that its requests tell of
	Paths   int       `s:"paths" min:"0" max:"65535"`   // instances that it may come through; 0: writers
	Cells   []int     `s:"cells"`                       // none: all
}

// Fleet is a fleet as planned, with what is expected of it: (fleet …).
type Fleet struct {
	Name      string        `s:"name"`
	Instances int           `s:"instances,required" min:"1" max:"65535"`
	Site      Site          `s:"site,required"`
	Nodes     []FleetNode   `s:"node"`
	Volumes   []FleetVolume `s:"volume"`
}

// LoadFleet reads a fleet and its expectations. Each (expect …) is checked against the fleet: a name that
// matches nothing is an error with its place.
func LoadFleet(file string) (Fleet, *expect.Model, []expect.Expectation, error) {
	f := Fleet{Site: DefaultSite()}
	nodes, err := sexpr.ReadTree(file)
	if err != nil {
		return f, nil, nil, err
	}
	var claims []*sexpr.Node
	if len(nodes) == 1 && nodes[0].Head() == "fleet" {
		nodes[0].List = slices.DeleteFunc(nodes[0].List, func(n *sexpr.Node) bool {
			if n.Head() == "expect" {
				claims = append(claims, n)
				return true
			}
			return false
		})
	}
	if err := sexpr.DecodeOne(nodes, file, "fleet", &f); err != nil {
		return f, nil, nil, err
	}
	plan, err := f.plan()
	if err != nil {
		return f, nil, nil, err
	}
	var all []expect.Expectation
	names := map[string]sexpr.Pos{}
	for _, n := range claims {
		e, err := expectation(plan, n)
		if err != nil {
			return f, nil, nil, err
		}
		if first, twice := names[e.Name]; twice {
			return f, nil, nil, sexpr.Errorf(n.Pos, "expectation %q stands at %v already", e.Name, first)
		}
		names[e.Name] = n.Pos
		all = append(all, e)
	}
	return f, plan, all, nil
}

// plan turns a fleet's file into what the checker takes.
func (f *Fleet) plan() (*expect.Model, error) {
	out := &expect.Fleet{Instances: f.Instances, ColdUnits: f.Site.Rules.ColdCapacity,
		MeanUnits: f.Site.MeanUnits}
	for _, p := range f.Site.Plans {
		out.Plans = append(out.Plans, expect.Plan{Name: p.Name, Reserve: p.Reserve, Weight: p.Weight,
			Limit: p.Limit})
	}
	names, cells := map[string]bool{}, map[int]bool{}
	for _, n := range f.Nodes {
		switch {
		case names["node "+n.Name]:
			return nil, sexpr.Errorf(n.Pos, "node %s stands twice", n.Name)
		case f.Site.Zone(n.Zone) < 0:
			return nil, sexpr.Errorf(n.Pos, "zone %q is none of %v", n.Zone, f.Site.Zones)
		}
		names["node "+n.Name], cells[n.Cell] = true, true
		out.Nodes = append(out.Nodes, expect.Node{Name: n.Name, Cell: n.Cell, Zone: n.Zone,
			Capacity: n.Capacity})
	}
	for _, v := range f.Volumes {
		number := f.Site.PlanNumber(v.Plan)
		switch {
		case names["volume "+v.Name]:
			return nil, sexpr.Errorf(v.Pos, "volume %s stands twice", v.Name)
		case number < 0:
			return nil, sexpr.Errorf(v.Pos, "plan %s is not in the site", v.Plan)
		}
		for _, c := range v.Cells {
			if !cells[c] {
				return nil, sexpr.Errorf(v.Pos, "no node has cell %d", c)
			}
		}
		names["volume "+v.Name] = true
		writers := max(1, v.Writers)
		paths := v.Paths
		if paths == 0 {
			paths = writers
		}
		if paths > f.Instances {
			return nil, sexpr.Errorf(v.Pos, "volume %s comes through %d instances; there are %d", v.Name,
				paths, f.Instances)
		}
		out.Volumes = append(out.Volumes, expect.Volume{Name: v.Name, Plan: number, Count: max(1, v.Count),
			Writers: writers, Paths: paths, Cells: v.Cells})
	}
	return expect.New(out), nil
}

const expectForm = `want (expect "name" CLAIM) or (expect "name" CLAIM (with 1 (node *) gone)), ` +
	`CLAIM one of (at-most 0.8 (MEASURE OF)), (at-least …), (always (reachable OF)), (never (send OF))`

// expectation reads one (expect …).
func expectation(f *expect.Model, n *sexpr.Node) (e expect.Expectation, err error) {
	if len(n.List) < 3 || len(n.List) > 4 || n.List[1].IsList() || n.List[1].Text == "" {
		return e, sexpr.Errorf(n.Pos, "%s", expectForm)
	}
	e.Name, e.Place = n.List[1].Text, n.Pos.String()
	claim := n.List[2]
	var measured *sexpr.Node
	switch head := claim.Head(); {
	case (head == "at-most" || head == "at-least") && len(claim.List) == 3:
		e.AtMost = head == "at-most"
		if e.Bound, err = strconv.ParseFloat(claim.List[1].Text, 64); err != nil || !(e.Bound >= 0) {
			return e, sexpr.Errorf(claim.List[1].Pos, "found %v; want a part, 1 being all, as 0.8",
				claim.List[1])
		}
		measured = claim.List[2]
	case (head == "always" || head == "never") && len(claim.List) == 2:
		measured, e.Bound, e.AtMost = claim.List[1], 1, head == "never"
		want := expect.Reach
		if head == "never" {
			want, e.Bound = expect.Send, 0
		}
		if measured.Head() != string(want) {
			return e, sexpr.Errorf(measured.Pos, "found %v; want (%s …) after %s", measured, want, head)
		}
	default:
		return e, sexpr.Errorf(claim.Pos, "%s", expectForm)
	}
	e.Measure = expect.Measure(measured.Head())
	kinds := expect.Takes[e.Measure]
	if kinds == nil || len(measured.List) != 2 {
		return e, sexpr.Errorf(measured.Pos,
			"found %v; want a measure of something: reachable, reserve, share, limit, cold or send", measured)
	}
	if e.Of, err = selector(f, measured.List[1], kinds); err != nil || len(n.List) == 3 {
		return e, err
	}
	with := n.List[3]
	if with.Head() != "with" || len(with.List) != 4 || with.List[3].Text != "gone" {
		return e, sexpr.Errorf(with.Pos, "found %v; want (with 1 (node *) gone)", with)
	}
	count, err := strconv.Atoi(with.List[1].Text)
	if err != nil || count < 1 {
		return e, sexpr.Errorf(with.List[1].Pos, "found %v; want how many are gone at once", with.List[1])
	}
	of, err := selector(f, with.List[2], []expect.Kind{expect.Nodes, expect.Zones})
	e.Missing = &expect.Missing{Count: count, Of: of}
	return e, err
}

// selector reads what a claim is about; it must pick something.
func selector(f *expect.Model, n *sexpr.Node, kinds []expect.Kind) (s expect.Selector, err error) {
	if len(n.List) != 2 || n.List[1].IsList() || !slices.Contains(kinds, expect.Kind(n.Head())) {
		return s, sexpr.Errorf(n.Pos, "found %v; want one of %v with a name, as (%s *)", n, kinds, kinds[0])
	}
	s = expect.Selector{Kind: expect.Kind(n.Head()), Name: n.List[1].Text}
	if _, err := path.Match(s.Name, ""); err != nil {
		return s, sexpr.Errorf(n.List[1].Pos, "%q is no pattern: %v", s.Name, err)
	}
	if f.Empty(s) {
		return s, sexpr.Errorf(n.Pos, "%v matches nothing", s)
	}
	return s, nil
}
