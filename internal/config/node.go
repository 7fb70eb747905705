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
	Cores        int           `s:"cores" min:"1" max:"64"`
	Queue        int           `s:"queue" min:"1" max:"100000"`       // requests that may wait
	PerUnit      time.Duration `s:"per-unit" min:"0s" max:"10s"`      // work of a read, for each unit
	PerOperation time.Duration `s:"per-operation" min:"0s" max:"10s"` // work of an operation of any size
	WritePer     float64       `s:"write-times" min:"0" max:"10"`     // work of a write, relative to a read
	Jitter       float64       `s:"jitter" min:"0" max:"1"`           // fraction by which work varies
	Deferred     float64       `s:"deferred" min:"0" max:"1"`         // fraction of a write's work put off
	Flush        time.Duration `s:"flush" min:"0s" max:"1m"`          // interval of doing deferred work
	Again        float64       `s:"again" min:"0" max:"1"`            // fraction saved for a recent key
	Last         int           `s:"last" min:"0" max:"64"`            // keys that count as recent
	Conns        int           `s:"connections" min:"1" max:"65536"`
	Drops        bool          `s:"cancel-drops"`    // a cancel removes work that waits
	Stops        bool          `s:"cancel-stops"`    // a cancel stops work that runs
	Notices      bool          `s:"drain-notices"`   // draining is announced on the connections
	Pause        time.Duration `s:"pause" max:"10s"` // length of a pause in which nothing is done
	Every        time.Duration `s:"every" max:"10m"` // interval of the pauses
	Bytes        int           `s:"bytes" min:"0"`   // payload of a read's answer, for each unit
}

// DefaultNodeModel returns the model of a small node.
func DefaultNodeModel() NodeModel {
	return NodeModel{
		Cores:    2,
		Queue:    64,
		PerUnit:  5 * time.Millisecond,
		WritePer: 1.5,
		Jitter:   0.2,
		Conns:    512,
		Drops:    true,
		Stops:    true,
		Notices:  true,
	}
}
