package expect

// Plan is a service plan; rates are in units per second over all instances and nodes.
type Plan struct {
	Name                   string
	Reserve, Weight, Limit float64
}

// Node is a storage node as planned.
type Node struct {
	Name     string
	Cell     int
	Zone     string
	Capacity float64 // units per second
}

// Volume is a volume, or several alike.
type Volume struct {
	Name    string
	Plan    int   // index in Fleet.Plans
	Count   int   // volumes alike; at least 1
	Writers int   // instances through which its requests say that they come
	Paths   int   // instances through which they may really come
	Cells   []int // where its data lies; empty: all cells
}

// Fleet is a planned fleet.
type Fleet struct {
	Instances int
	Plans     []Plan
	Nodes     []Node // of two with one cell, the first that is up holds it
	Volumes   []Volume
	ColdUnits float64 // that a warming node can take within a window from all instances
	MeanUnits float64 // of the usual request
}
