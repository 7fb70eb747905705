package config

import (
	"fmt"
	"net/netip"
	"time"

	"landingpaddle/internal/sexpr"
)

// Addr is an IPv4 address and port in settings.
type Addr struct{ netip.AddrPort }

// UnmarshalText reads an address such as 127.0.0.1:7100.
func (a *Addr) UnmarshalText(text []byte) error {
	ap, err := netip.ParseAddrPort(string(text))
	if err != nil || !ap.Addr().Is4() {
		return fmt.Errorf("%q is no IPv4 address with a port, as 127.0.0.1:7100", text)
	}
	a.AddrPort = ap
	return nil
}

// MarshalText writes it.
func (a Addr) MarshalText() ([]byte, error) {
	if !a.IsValid() {
		return []byte(""), nil
	}
	return []byte(a.String()), nil
}

// Peer is another instance.
type Peer struct {
	Number uint32 `s:",arg"`
	Addr   Addr   `s:",arg"`
}

// Instance is the settings file of storage-gateway serve: (instance …).
type Instance struct {
	Number          int           `s:"number" min:"0" max:"65535"`
	Instances       int           `s:"of" min:"1" max:"65535"`
	Zone            string        `s:"zone"`
	Seed            uint64        `s:"seed"`
	Listen          Addr          `s:"listen,required"`
	Registry        Addr          `s:"list,required"`
	SnapshotFile    string        `s:"kept-list"`
	StatisticsFile  string        `s:"learnt"` // file of what was learnt, for the next life
	PeerListen      Addr          `s:"peer-listen"`
	Peers           []Peer        `s:"peer"`
	LogLevel        string        `s:"log-level"`
	LogJSON         bool          `s:"log-json"`
	ShutdownTimeout time.Duration `s:"stop-within" min:"0s" max:"10m"`
	Site            Site          `s:"site,required"`
}

// DefaultInstance is an instance before its file is read.
func DefaultInstance() Instance {
	return Instance{Instances: 1, ShutdownTimeout: 10 * time.Second, LogLevel: "info", Site: DefaultSite()}
}

// Check holds what binds fields to one another.
func (i *Instance) Check() error {
	if i.Number >= i.Instances {
		return fmt.Errorf("instance number %d of %d: numbers count from 0", i.Number, i.Instances)
	}
	if i.Zone == "" {
		i.Zone = i.Site.Zones[0]
	}
	if i.Site.Zone(i.Zone) < 0 {
		return fmt.Errorf("zone %s is none of %v", i.Zone, i.Site.Zones)
	}
	if !i.Site.Limits.PeerMessages && (i.PeerListen.IsValid() || len(i.Peers) > 0) {
		return fmt.Errorf("the site has (peers no): want no (peer-listen …) and no (peer …)")
	}
	if i.StatisticsFile != "" && i.StatisticsFile == i.SnapshotFile {
		return fmt.Errorf("(learnt …) and (kept-list …) name the same file %s", i.StatisticsFile)
	}
	for n, p := range i.Peers {
		for _, q := range i.Peers[:n] {
			if p.Number == q.Number {
				return fmt.Errorf("peer %d stands twice", p.Number)
			}
		}
	}
	return nil
}

// Zone is a zone's number, -1 if there is none of that name.
func (s *Site) Zone(name string) int {
	for i, z := range s.Zones {
		if z == name {
			return i
		}
	}
	return -1
}

// List is the settings file of storage-gateway list: (list …), a stand-in list service.
type Registry struct {
	Listen   Addr          `s:"listen,required"`
	Delay    time.Duration `s:"delay" min:"0s" max:"10m"`
	Workers  int           `s:"workers" min:"1" max:"1024"`
	CallTime time.Duration `s:"call-time" min:"0s" max:"1m"`
	MaxWait  time.Duration `s:"max-wait" min:"0s" max:"1m"`
}

// DefaultList is a list service before its file is read.
func DefaultRegistry() Registry {
	return Registry{Delay: 500 * time.Millisecond, Workers: 2, CallTime: 2 * time.Millisecond,
		MaxWait: 500 * time.Millisecond}
}

// Node is the settings file of storage-gateway node: (node …), a stand-in node.
type Node struct {
	Number   int       `s:"number" min:"0" max:"65535"`
	Listen   Addr      `s:"listen,required"`
	Registry Addr      `s:"list,required"`
	Cell     uint16    `s:"cell"`
	Zone     string    `s:"zone"`
	Seed     uint64    `s:"seed"`
	Model    NodeModel `s:"kind"`
	Site     Site      `s:"site,required"`
}

// DefaultNode is a node before its file is read.
func DefaultNode() Node { return Node{Model: DefaultNodeModel(), Site: DefaultSite()} }

// Check holds what binds fields to one another.
func (n *Node) Check() error {
	if n.Zone == "" {
		n.Zone = n.Site.Zones[0]
	}
	if n.Site.Zone(n.Zone) < 0 {
		return fmt.Errorf("zone %s is none of %v", n.Zone, n.Site.Zones)
	}
	return nil
}

// Kind is how a stand-in node works.
type NodeModel struct {
	Cores        int           `s:"cores" min:"1" max:"64"`
	Queue        int           `s:"queue" min:"1" max:"100000"`
	PerUnit      time.Duration `s:"per-unit" min:"0s" max:"10s"`      // work of a read of one unit
	PerOperation time.Duration `s:"per-operation" min:"0s" max:"10s"` // and of an operation, however large
	WritePer     float64       `s:"write-times" min:"0" max:"10"`     // a write's work against a read's
	Jitter       float64       `s:"jitter" min:"0" max:"1"`           // work varies by so much to either side
	Deferred     float64       `s:"deferred" min:"0" max:"1"`         // part of a write that is put off
	Flush        time.Duration `s:"flush" min:"0s" max:"1m"`          // and done in one go so often
	Again        float64       `s:"again" min:"0" max:"1"`            // less for a key among the last
	Last         int           `s:"last" min:"0" max:"64"`
	Conns        int           `s:"connections" min:"1" max:"65536"`
	Drops        bool          `s:"cancel-drops"`    // a cancel drops work that waits
	Stops        bool          `s:"cancel-stops"`    // and stops work that runs
	Notices      bool          `s:"drain-notices"`   // it tells its connections when it drains
	Pause        time.Duration `s:"pause" max:"10s"` // it stands still so long
	Every        time.Duration `s:"every" max:"10m"` // so often
	Bytes        int           `s:"bytes" min:"0"`   // payload of a read's answer for each unit
}

// DefaultKind is a small box.
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

// Load reads a file that holds one form of that head into out, which holds the defaults.
func Load(path, head string, out any) error {
	nodes, err := sexpr.ReadTree(path)
	if err != nil {
		return err
	}
	return sexpr.DecodeOne(nodes, path, head, out)
}
