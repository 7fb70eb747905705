package expect

// Plan is a service plan. Reserve and Limit are in units per second over all instances and nodes; Limit 0
// means no limit.
type Plan struct {
	Name                   string
	Reserve, Weight, Limit float64
}

// Node is a planned storage node.
type Node struct {
	Name     string
	Cell     int
	Zone     string
	Capacity float64 // units per second
}

// Volume is a volume, or several identical ones.
type Volume struct {
	Name              string
	Plan              int   // index in Fleet.Plans
	Count             int   // number of identical volumes; 0: one
	StatedInstances   int   // number of instances that its requests state; 0: one
	PossibleInstances int   // number of instances through which its requests may arrive; 0: one
	Cells             []int // cells that store its data; empty: all cells
}

// Fleet is a planned fleet.
type Fleet struct {
	Instances    int
	Plans        []Plan
	Nodes        []Node // if several have the same cell, the first that is not missing serves it
	Volumes      []Volume
	ColdCapacity float64 // units that a cold node accepts from all instances within a window
	MeanUnits    float64 // mean units of a request
}
