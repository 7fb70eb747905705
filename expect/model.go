package expect

import (
	"fmt"
	"path"
	"slices"
)

// Model is a fleet with indexes for checking many expectations. It must not be used by several goroutines at
// once.
type Model struct {
	*Fleet
	cells             []int            // of all nodes, ascending
	nodesByCell       map[int][]int    // indices of nodes by cell, ascending
	reserveByCell     map[int]float64  // sum over all volumes, by cell
	weightByCell      map[int]float64  // sum over all volumes, by cell
	volumesBySelector map[string][]int // indices of volumes by selector; filled on first use
	nodesByZone       map[string][]int // indices of nodes
	zoneNames         []string         // in the order of the nodes
}

// New returns a model of a fleet, which must not change afterwards.
func New(fleet *Fleet) *Model {
	m := &Model{
		Fleet:             fleet,
		nodesByCell:       map[int][]int{},
		reserveByCell:     map[int]float64{},
		weightByCell:      map[int]float64{},
		volumesBySelector: map[string][]int{},
		nodesByZone:       map[string][]int{},
	}
	m.addNodes()
	m.addVolumes()
	return m
}

func (m *Model) addNodes() {
	for i, node := range m.Nodes {
		m.nodesByCell[node.Cell] = append(m.nodesByCell[node.Cell], i)
		if m.nodesByZone[node.Zone] == nil {
			m.zoneNames = append(m.zoneNames, node.Zone)
		}
		m.nodesByZone[node.Zone] = append(m.nodesByZone[node.Zone], i)
	}
	for cell := range m.nodesByCell {
		m.cells = append(m.cells, cell)
	}
	slices.Sort(m.cells)
}

func (m *Model) addVolumes() {
	for i := range m.Volumes {
		volume := &m.Volumes[i]
		plan, count := m.Plans[volume.Plan], float64(max(1, volume.Count))
		cells := m.cellsOf(volume)
		for _, cell := range cells {
			m.reserveByCell[cell] += count * plan.Reserve / float64(len(cells))
			m.weightByCell[cell] += count * plan.Weight
		}
	}
}

// SelectsNothing reports whether a selector selects nothing, which is an error in settings.
func (m *Model) SelectsNothing(s Selector) bool {
	switch s.Kind {
	case Nodes:
		return len(m.selectNodes(s)) == 0
	case Zones:
		return len(m.selectZones(s)) == 0
	}
	return len(m.selectVolumes(s)) == 0
}

func (m *Model) cellsOf(volume *Volume) []int {
	if len(volume.Cells) == 0 {
		return m.cells
	}
	return volume.Cells
}

func matches(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return err == nil && ok
}

func (m *Model) selectNodes(s Selector) (nodes []int) {
	for i, node := range m.Nodes {
		if matches(s.Name, node.Name) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

func (m *Model) selectZones(s Selector) (zones []string) {
	for _, zone := range m.zoneNames {
		if matches(s.Name, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// selectVolumes returns the volumes that a selector selects by their own names or their plans' names. Of
// several that differ only in name and count it returns the first, since all their measures are equal: fleets
// have thousands of volumes with few different properties.
func (m *Model) selectVolumes(s Selector) []int {
	key := s.String()
	if volumes, ok := m.volumesBySelector[key]; ok {
		return volumes
	}
	var volumes []int
	seen := map[string]bool{}
	for i, volume := range m.Volumes {
		name := volume.Name
		if s.Kind == Plans {
			name = m.Plans[volume.Plan].Name
		}
		properties := fmt.Sprint(volume.Plan, volume.StatedInstances, volume.PossibleInstances, volume.Cells)
		if matches(s.Name, name) && !seen[properties] {
			seen[properties] = true
			volumes = append(volumes, i)
		}
	}
	m.volumesBySelector[key] = volumes
	return volumes
}

// servingNode returns the index of the node that serves a cell while some nodes are down; -1: none.
func (m *Model) servingNode(cell int, down []bool) int {
	for _, node := range m.nodesByCell[cell] {
		if !down[node] {
			return node
		}
	}
	return -1
}

func (m *Model) isServed(cell int, down []bool) bool { return m.servingNode(cell, down) >= 0 }
