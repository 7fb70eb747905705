package expect

import "math"

// reportFunc receives the value of a measure for one object.
type reportFunc func(kind Kind, name string, value float64)

// measure reports the value of an expectation's measure for each selected object while some nodes are down.
func (m *Model) measure(e Expectation, down []bool, report reportFunc) {
	switch e.Measure {
	case Reach:
		m.measureReach(e, down, report)
	case Reserve:
		m.measureReserve(e.Of, down, report)
	case Share:
		m.measureShare(e, down, report)
	case Limit:
		m.measureLimit(e, report)
	case Cold:
		m.measureCold(e, down, report)
	}
}

// measureReach reports the fraction of each volume's cells that are served by a node that is up.
func (m *Model) measureReach(e Expectation, down []bool, report reportFunc) {
	served := map[int]bool{}
	for _, cell := range m.cells {
		served[cell] = m.isServed(cell, down)
	}
	for _, i := range m.selectVolumes(e.Of) {
		cells, reached := m.cellsOf(&m.Volumes[i]), 0
		for _, cell := range cells {
			if served[cell] {
				reached++
			}
		}
		report(Volumes, m.Volumes[i].Name, ratio(float64(reached), float64(len(cells))))
	}
}

// measureReserve reports the reserves on each node that is up, or on all nodes of each zone that are up, as a
// fraction of their capacity.
func (m *Model) measureReserve(of Selector, down []bool, report reportFunc) {
	reserved := make([]float64, len(m.Nodes))
	for _, cell := range m.cells {
		if node := m.servingNode(cell, down); node >= 0 {
			reserved[node] += m.reserveByCell[cell]
		}
	}
	if of.Kind == Nodes {
		for _, node := range m.selectNodes(of) {
			if !down[node] {
				report(Nodes, m.Nodes[node].Name, ratio(reserved[node], m.Nodes[node].Capacity))
			}
		}
		return
	}
	for _, zone := range m.selectZones(of) {
		sum, capacity := 0.0, 0.0
		for _, node := range m.nodesByZone[zone] {
			if !down[node] {
				sum, capacity = sum+reserved[node], capacity+m.Nodes[node].Capacity
			}
		}
		if capacity > 0 {
			report(Zones, zone, ratio(sum, capacity))
		}
	}
}

// measureShare reports each volume's worst share over the nodes that serve its cells; 0 if there is none.
func (m *Model) measureShare(e Expectation, down []bool, report reportFunc) {
	for _, i := range m.selectVolumes(e.Of) {
		volume := &m.Volumes[i]
		worst, found := 0.0, false
		for _, cell := range m.cellsOf(volume) {
			if !m.isServed(cell, down) {
				continue
			}
			share := ratio(m.Plans[volume.Plan].Weight, m.weightByCell[cell])
			if !found || e.worse(share, worst) {
				worst, found = share, true
			}
		}
		report(Volumes, volume.Name, worst)
	}
}

// measureLimit reports the sum of the limits that instances grant each volume, as a fraction of its plan's
// limit: each instance grants the limit divided by the number of instances that the volume's requests state.
func (m *Model) measureLimit(e Expectation, report reportFunc) {
	for _, i := range m.selectVolumes(e.Of) {
		volume := &m.Volumes[i]
		if m.Plans[volume.Plan].Limit > 0 {
			granted := float64(max(1, volume.PossibleInstances)) / float64(max(1, volume.StatedInstances))
			report(Volumes, volume.Name, granted)
		}
	}
}

// measureCold reports the fraction of a cold node's capacity in a window that one request of mean size from
// each instance uses.
func (m *Model) measureCold(e Expectation, down []bool, report reportFunc) {
	units := m.MeanUnits * float64(max(1, m.Instances))
	for _, node := range m.selectNodes(e.Of) {
		if !down[node] {
			report(Nodes, m.Nodes[node].Name, ratio(units, m.ColdCapacity))
		}
	}
}

// ratio returns a as a fraction of b. If b is not positive, it returns a value above any bound for a positive
// a, and 0 otherwise. It never returns infinity, by which worstCase recognizes that nothing was measured.
func ratio(a, b float64) float64 {
	switch {
	case b > 0:
		return a / b
	case a > 0:
		return math.MaxFloat64
	}
	return 0
}
