package config

import "time"

// Node is the settings file of storage-gateway node, a stand-in for a storage node: (node …).
type Node struct {
	Number   int       `s:"number" min:"0" max:"65535"`
	Listen   Addr      `s:"listen,required"`
	Registry Addr      `s:"list,required"`
	Cell     uint16    `s:"cell"`
	Zone     string    `s:"zone"` // "": the site's first
	Seed     uint64    `s:"seed"`
	Model    NodeModel `s:"kind"`
	Site     Site      `s:"site,required"`
}

// DefaultNode returns the default settings of a node, into which its file is loaded.
func DefaultNode() Node { return Node{Model: DefaultNodeModel(), Site: DefaultSite()} }

// Check replaces an empty zone with the site's first and reports a zone that the site does not have.
func (n *Node) Check() error { return n.Site.resolveZone(&n.Zone) }

// NodeModel describes how a stand-in node executes operations: (kind …). Work is time on one core.
type NodeModel struct {
	Cores   int           `s:"cores" min:"1" max:"64"`
	Queue   int           `s:"queue" min:"1" max:"100000"`  // maximum number of queued operations
	PerUnit time.Duration `s:"per-unit" min:"0s" max:"10s"` // work of a read, per unit
	// work of an operation, independent of its size
	PerOperation time.Duration `s:"per-operation" min:"0s" max:"10s"`
	// factor on the work of a write
	WriteFactor float64 `s:"write-times" min:"0" max:"10"`
	Jitter      float64 `s:"jitter" min:"0" max:"1"` // fraction by which work varies, up or down
	// fraction of a write's work that is deferred to the next flush
	Deferred      float64       `s:"deferred" min:"0" max:"1"`
	FlushInterval time.Duration `s:"flush" min:"0s" max:"1m"` // average time between flushes; 0: never
	// fraction of a first attempt's work that is saved if its key is recent
	RepeatSaving       float64       `s:"again" min:"0" max:"1"`
	RecentKeys         int           `s:"last" min:"0" max:"64"` // number of keys that count as recent
	MaxConnections     int           `s:"connections" min:"1" max:"65536"`
	CancelDropsQueued  bool          `s:"cancel-drops"`    // a cancel removes queued work
	CancelStopsRunning bool          `s:"cancel-stops"`    // a cancel stops running work
	DrainNotices       bool          `s:"drain-notices"`   // drain notices are sent on the connections
	PauseLength        time.Duration `s:"pause" max:"10s"` // length of a pause, in which no work begins
	PauseInterval      time.Duration `s:"every" max:"10m"` // average time between pauses; 0: none
	BytesPerUnit       int           `s:"bytes" min:"0"`   // payload of the response to a read, per unit
}

// DefaultNodeModel returns the model of a small node.
func DefaultNodeModel() NodeModel {
	return NodeModel{
		Cores:              2,
		Queue:              64,
		PerUnit:            5 * time.Millisecond,
		WriteFactor:        1.5,
		Jitter:             0.2,
		MaxConnections:     512,
		CancelDropsQueued:  true,
		CancelStopsRunning: true,
		DrainNotices:       true,
	}
}
