package config

import (
	"landingpaddle/expect"
	"landingpaddle/internal/sexpr"
)

// model converts the fleet into the model against which expectations are checked. It returns an error for
// duplicate names and for zones, plans, cells and instances that the fleet does not have.
func (f *Fleet) model() (*expect.Model, error) {
	fleet := &expect.Fleet{
		Instances:    f.Instances,
		ColdCapacity: f.Site.Rules.ColdCapacity,
		MeanUnits:    f.Site.MeanUnits,
	}
	for _, plan := range f.Site.Plans {
		fleet.Plans = append(fleet.Plans,
			expect.Plan{Name: plan.Name, Reserve: plan.Reserve, Weight: plan.Weight, Limit: plan.Limit})
	}
	if err := f.addNodes(fleet); err != nil {
		return nil, err
	}
	if err := f.addVolumes(fleet); err != nil {
		return nil, err
	}
	return expect.New(fleet), nil
}

func (f *Fleet) addNodes(fleet *expect.Fleet) error {
	names := map[string]bool{}
	for _, node := range f.Nodes {
		switch {
		case names[node.Name]:
			return sexpr.Errorf(node.Pos, "duplicate node %s", node.Name)
		case f.Site.Zone(node.Zone) < 0:
			return sexpr.Errorf(node.Pos, "zone %q is not one of %v", node.Zone, f.Site.Zones)
		}
		names[node.Name] = true
		fleet.Nodes = append(fleet.Nodes,
			expect.Node{Name: node.Name, Cell: node.Cell, Zone: node.Zone, Capacity: node.Capacity})
	}
	return nil
}

func (f *Fleet) addVolumes(fleet *expect.Fleet) error {
	cells := map[int]bool{}
	for _, node := range f.Nodes {
		cells[node.Cell] = true
	}
	names := map[string]bool{}
	for i := range f.Volumes {
		volume := &f.Volumes[i]
		if names[volume.Name] {
			return sexpr.Errorf(volume.Pos, "duplicate volume %s", volume.Name)
		}
		names[volume.Name] = true
		converted, err := f.modelVolume(volume, cells)
		if err != nil {
			return err
		}
		fleet.Volumes = append(fleet.Volumes, converted)
	}
	return nil
}

// modelVolume converts one volume; cells contains the cells of all nodes.
func (f *Fleet) modelVolume(volume *FleetVolume, cells map[int]bool) (converted expect.Volume, err error) {
	plan := f.Site.PlanNumber(volume.Plan)
	if plan < 0 {
		return converted, sexpr.Errorf(volume.Pos, "plan %s is not in the site", volume.Plan)
	}
	for _, cell := range volume.Cells {
		if !cells[cell] {
			return converted, sexpr.Errorf(volume.Pos, "no node has cell %d", cell)
		}
	}
	statedInstances := max(1, volume.Writers)
	possibleInstances := volume.Paths
	if possibleInstances == 0 {
		possibleInstances = statedInstances
	}
	if possibleInstances > f.Instances {
		return converted, sexpr.Errorf(volume.Pos, "volume %s uses %d instances; the fleet has %d",
			volume.Name, possibleInstances, f.Instances)
	}
	return expect.Volume{
		Name:              volume.Name,
		Plan:              plan,
		Count:             max(1, volume.Count),
		StatedInstances:   statedInstances,
		PossibleInstances: possibleInstances,
		Cells:             volume.Cells,
	}, nil
}
