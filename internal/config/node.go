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

// DefaultNode returns a node with the defaults, before its file is read.
func DefaultNode() Node { return Node{Model: DefaultNodeModel(), Site: DefaultSite()} }

// Check replaces an empty zone by the site's first and reports a zone that the site does not have.
func (n *Node) Check() error { return n.Site.resolveZone(&n.Zone) }

// NodeModel describes how a stand-in node works: (kind …).
type NodeModel struct {
	Cores   int           `s:"cores" min:"1" max:"64"`
	Queue   int           `s:"queue" min:"1" max:"100000"`  // requests that may wait
	PerUnit time.Duration `s:"per-unit" min:"0s" max:"10s"` // work of a read, for each unit
	// work of an operation of any size
	PerOperation time.Duration `s:"per-operation" min:"0s" max:"10s"`
	// work of a write, relative to a read
	WriteFactor float64 `s:"write-times" min:"0" max:"10"`
	Jitter      float64 `s:"jitter" min:"0" max:"1"` // fraction by which work varies
	// fraction of a write's work put off
	Deferred           float64       `s:"deferred" min:"0" max:"1"`
	FlushInterval      time.Duration `s:"flush" min:"0s" max:"1m"` // interval of doing deferred work
	RepeatSaving       float64       `s:"again" min:"0" max:"1"`   // fraction saved for a recent key
	RecentKeys         int           `s:"last" min:"0" max:"64"`   // keys that count as recent
	MaxConnections     int           `s:"connections" min:"1" max:"65536"`
	CancelDropsWaiting bool          `s:"cancel-drops"`    // a cancel removes work that waits
	CancelStopsRunning bool          `s:"cancel-stops"`    // a cancel stops work that runs
	DrainNotices       bool          `s:"drain-notices"`   // draining is announced on the connections
	PauseLength        time.Duration `s:"pause" max:"10s"` // length of a pause in which nothing is done
	PauseInterval      time.Duration `s:"every" max:"10m"` // interval of the pauses
	BytesPerUnit       int           `s:"bytes" min:"0"`   // payload of a read's answer, for each unit
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
		CancelDropsWaiting: true,
		CancelStopsRunning: true,
		DrainNotices:       true,
	}
}
