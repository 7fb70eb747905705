package testbed

import (
	_ "embed"
	"fmt"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/sexpr"
)

// Day is a scripted day: a fleet, its traffic, and what goes wrong when.
type Scenario struct {
	Name      string        `s:"name"`
	Length    time.Duration `s:"length,required" min:"100ms" max:"10m"`
	Instances int           `s:"instances" min:"1" max:"512"`
	Nodes     NodeSet       `s:"nodes"`
	List      ListSet       `s:"list"`
	Site      config.Site   `s:"site,required"`
	Clients   ClientSet     `s:"clients"`
	Traffic   []Traffic     `s:"traffic"`
	Faults    []Fault       `s:"at"`
}

// NodeSet is the nodes: all of one kind, dealt out over the zones in turn.
type NodeSet struct {
	Count int              `s:",arg"`
	Kind  config.NodeModel `s:"kind"`
	Ahead time.Duration    `s:"clock-ahead" max:"1h"` // of the instances' clocks
}

// ListSet is the list service.
type ListSet struct {
	Delay    time.Duration `s:"delay" min:"0s" max:"1m"`
	Workers  int           `s:"workers" min:"1" max:"64"`
	CallTime time.Duration `s:"call-time" min:"0s" max:"10s"`
	MaxWait  time.Duration `s:"max-wait" min:"0s" max:"10s"`
}

// ClientSet is the clients and their habits.
type ClientSet struct {
	Count           int           `s:",arg"`
	Retries         int           `s:"retries" min:"0" max:"10"`
	RetryDelay      time.Duration `s:"wait" min:"0s" max:"1m"`
	HonorRetryAfter bool          `s:"heed"`
	FailOver        bool          `s:"elsewhere"`
}

// Traffic is one stream of requests: of one class, by the volumes of one plan.
type Traffic struct {
	Class   string  `s:"class,required"`
	Plan    string  `s:"plan,required"`
	Rate    float64 `s:"rate,required" min:"0.1" max:"100000"` // requests a second
	Volumes int     `s:"volumes" min:"1" max:"100000"`
	Units   []int   `s:"units"` // least and most
	Keys    int     `s:"keys" min:"0" max:"1000000"`
	New     bool    `s:"new-objects"`
	Hot     float64 `s:"hot" min:"0" max:"1"`       // part of it that goes to the first volume
	Writers int     `s:"writers" min:"1" max:"512"` // instances that a volume comes through
	Fields  *Fields `s:"fields"`
}

// Fields make a stream ask for bytes of fields, one field a volume, slice by slice: at random places at the
// stream's rate, or with a run all slices at the same moment.
type Fields struct {
	Size   sexpr.Size    `s:"size,required" min:"1B" max:"1GiB"`
	Slice  sexpr.Size    `s:"slice,required" min:"1B" max:"64MiB"`
	Shared bool          `s:"shared"`                   // all volumes read the first one's field
	Run    time.Duration `s:"run" min:"0s" max:"10m"`   // so often all slices are asked for; 0: at random
	Spread time.Duration `s:"spread" min:"0s" max:"1m"` // within so long
}

// at makes a request one for the nth slice of its field.
func (f *Fields) at(q *proto.Request, nth uint64) {
	q.Ranged, q.Offset = true, nth*uint64(f.Slice)
	q.Length, q.Cell = uint32(min(f.Slice, f.Size-sexpr.Size(q.Offset))), 0
	if f.Shared {
		q.Data = q.Volume>>32<<32 | 1
	}
}

// slices is how many a field has.
func (f *Fields) slices() uint64 { return uint64((f.Size + f.Slice - 1) / f.Slice) }

// Check holds what binds fields to one another.
func (t *Traffic) Check() error {
	if t.Units == nil {
		t.Units = []int{1, 4}
	}
	if len(t.Units) != 2 || t.Units[0] < 1 || t.Units[0] > t.Units[1] {
		return fmt.Errorf("(units …) wants the least and the most, as (units 1 4)")
	}
	t.Volumes, t.Writers = max(t.Volumes, 1), max(t.Writers, 1)
	return nil
}

// Trouble is one thing that goes wrong. Exactly one of its forms is given.
type Fault struct {
	At          time.Duration `s:",arg"`
	Pos         sexpr.Pos     `s:",pos"`
	Crash       *Crash        `s:"crash"`
	Roll        *Roll         `s:"roll"`
	Stall       *Stall        `s:"stall"`
	Burst       *Surge        `s:"burst"`
	Surge       *Surge        `s:"surge"`
	Heavy       *Heavy        `s:"heavy"`
	Slow        *Slow         `s:"slow"`
	Neighbour   *Neighbour    `s:"neighbour"`
	StaleList   *StaleList    `s:"stale-list"`
	ListDown    *For          `s:"list-down"`
	Reconnect   *Reconnect    `s:"reconnect"`
	Impatient   *Impatient    `s:"impatient"`
	MassRestart *MassRestart  `s:"mass-restart"`
	KillNode    *KillNode     `s:"kill-node"`
	Drain       *Drain        `s:"drain"`
	Lose        *Lose         `s:"lose-answers"`
	Hang        *NodesFor     `s:"hang"`
	Reset       *NodesFor     `s:"reset"`
	Corrupt     *NodesFor     `s:"corrupt"`
	Still       *NodesFor     `s:"stand-still"`
	Stuck       *NodesFor     `s:"stuck-connections"`
}

// The forms of trouble.
type (
	// Crash kills instances; they come back with nothing but their last list.
	Crash struct {
		Instances []int         `s:"instances,required"`
		Back      time.Duration `s:"back" min:"1ms" max:"10m"`
	}
	// Roll restarts all instances one after the other.
	Roll struct {
		Every time.Duration `s:"every,required" min:"1ms" max:"10m"`
		Back  time.Duration `s:"back,required" min:"1ms" max:"10m"`
	}
	// Stall lets instances stand still and go on.
	Stall struct {
		Instances []int         `s:"instances,required"`
		For       time.Duration `s:"for,required" min:"1ms" max:"1m"`
	}
	// Surge multiplies traffic: all of it, one plan's, or that of a plan's first volumes.
	Surge struct {
		Plan    string        `s:"plan"`
		Volumes int           `s:"volumes" min:"0" max:"100000"`
		Times   float64       `s:"times,required" min:"0" max:"1000"`
		For     time.Duration `s:"for,required" min:"1ms" max:"10m"`
	}
	// Heavy makes a share of requests cost many times their work.
	Heavy struct {
		Share float64       `s:"share,required" min:"0" max:"1"`
		Times int           `s:"times,required" min:"1" max:"1000"`
		For   time.Duration `s:"for,required" min:"1ms" max:"10m"`
	}
	// Slow makes nodes slower.
	Slow struct {
		Nodes []int         `s:"nodes,required"`
		Times float64       `s:"times,required" min:"1" max:"1000"`
		For   time.Duration `s:"for,required" min:"1ms" max:"10m"`
	}
	// Neighbour lets another program take a share of nodes' machines, on and off.
	Neighbour struct {
		Nodes []int         `s:"nodes,required"`
		Share float64       `s:"share,required" min:"0" max:"0.95"`
		On    time.Duration `s:"on,required" min:"1ms" max:"10m"`
		Off   time.Duration `s:"off" min:"0s" max:"10m"`
		For   time.Duration `s:"for,required" min:"1ms" max:"10m"`
	}
	// StaleList makes the list later.
	StaleList struct {
		Delay time.Duration `s:"delay,required" min:"0s" max:"1m"`
		For   time.Duration `s:"for,required" min:"1ms" max:"10m"`
	}
	// For is a length.
	For struct {
		For time.Duration `s:"for,required" min:"1ms" max:"10m"`
	}
	// Reconnect makes a share of volumes change their busiest instance, and clients their connections, at
	// once.
	Reconnect struct {
		Share float64 `s:"share,required" min:"0" max:"1"`
	}
	// Impatient makes a share of tries wait only so long.
	Impatient struct {
		Share float64       `s:"share,required" min:"0" max:"1"`
		Wait  time.Duration `s:"wait,required" min:"1ms" max:"10m"`
		For   time.Duration `s:"for,required" min:"1ms" max:"10m"`
	}
	// MassRestart restarts all nodes of a zone; they come back cold.
	MassRestart struct {
		Zone string        `s:"zone,required"`
		Back time.Duration `s:"back,required" min:"1ms" max:"10m"`
	}
	// KillNode kills nodes; they come back cold.
	KillNode struct {
		Nodes []int         `s:"nodes,required"`
		Back  time.Duration `s:"back" min:"1ms" max:"10m"`
	}
	// Drain drains nodes; after a while they end, and come back cold later.
	Drain struct {
		Nodes []int         `s:"nodes,required"`
		Ends  time.Duration `s:"ends" min:"1ms" max:"10m"`
		Back  time.Duration `s:"back" min:"1ms" max:"10m"`
	}
	// Lose loses a share of nodes' answers.
	Lose struct {
		Nodes []int         `s:"nodes,required"`
		Share float64       `s:"share,required" min:"0" max:"1"`
		For   time.Duration `s:"for,required" min:"1ms" max:"10m"`
	}
	// NodesFor names nodes and a length: hang, reset, corrupt, stand still.
	NodesFor struct {
		Nodes []int         `s:"nodes,required"`
		For   time.Duration `s:"for" min:"1ms" max:"10m"`
	}
)

// forms counts the forms given and lists the nodes and instances that they name.
func (t *Fault) forms() (count int, nodes, insts []int) {
	add := func(given bool, n, i []int) {
		if given {
			count++
			nodes, insts = append(nodes, n...), append(insts, i...)
		}
	}
	if x := t.Crash; x != nil {
		add(true, nil, x.Instances)
	}
	if x := t.Stall; x != nil {
		add(true, nil, x.Instances)
	}
	if x := t.Slow; x != nil {
		add(true, x.Nodes, nil)
	}
	if x := t.Neighbour; x != nil {
		add(true, x.Nodes, nil)
	}
	if x := t.KillNode; x != nil {
		add(true, x.Nodes, nil)
	}
	if x := t.Drain; x != nil {
		add(true, x.Nodes, nil)
	}
	if x := t.Lose; x != nil {
		add(true, x.Nodes, nil)
	}
	for _, x := range []*NodesFor{t.Hang, t.Reset, t.Corrupt, t.Still, t.Stuck} {
		if x != nil {
			add(true, x.Nodes, nil)
		}
	}
	for _, given := range []bool{t.Roll != nil, t.Burst != nil, t.Surge != nil, t.Heavy != nil,
		t.StaleList != nil, t.ListDown != nil, t.Reconnect != nil, t.Impatient != nil, t.MassRestart != nil} {
		add(given, nil, nil)
	}
	return count, nodes, insts
}

// Check holds what binds fields to one another.
func (d *Scenario) Check() error {
	if d.Nodes.Count < 1 || d.Nodes.Count > 1024 || d.Clients.Count < 1 || d.Clients.Count > 4096 {
		return fmt.Errorf("a day has 1 to 1024 nodes and 1 to 4096 clients")
	}
	for _, t := range d.Traffic {
		if d.Site.ClassNumber(t.Class) < 0 || d.Site.PlanNumber(t.Plan) < 0 {
			return fmt.Errorf("traffic of class %s and plan %s: the site lacks one of them", t.Class, t.Plan)
		}
		if t.Fields != nil && d.Site.Extents == nil {
			return fmt.Errorf("traffic of fields: the site has no (extents …)")
		}
	}
	for i := range d.Faults {
		t := &d.Faults[i]
		count, nodes, insts := t.forms()
		if count != 1 {
			return sexpr.Errorf(t.Pos, "(at …) names %d troubles; want one", count)
		}
		for _, n := range nodes {
			if n < 0 || n >= d.Nodes.Count {
				return sexpr.Errorf(t.Pos, "node %d: there are 0 to %d", n, d.Nodes.Count-1)
			}
		}
		for _, n := range insts {
			if n < 0 || n >= d.Instances {
				return sexpr.Errorf(t.Pos, "instance %d: there are 0 to %d", n, d.Instances-1)
			}
		}
		if t.MassRestart != nil && d.Site.Zone(t.MassRestart.Zone) < 0 {
			return sexpr.Errorf(t.Pos, "zone %s is none of %v", t.MassRestart.Zone, d.Site.Zones)
		}
		for _, s := range []*Surge{t.Burst, t.Surge} {
			if s != nil && s.Plan != "" && d.Site.PlanNumber(s.Plan) < 0 {
				return sexpr.Errorf(t.Pos, "plan %s is not in the site", s.Plan)
			}
		}
	}
	return nil
}

// DefaultDay is a day before its file is read.
func DefaultScenario() Scenario {
	return Scenario{Name: "day", Instances: 3, Nodes: NodeSet{Count: 4, Kind: config.DefaultNodeModel()},
		List: ListSet{Delay: 200 * time.Millisecond, Workers: 2, CallTime: time.Millisecond,
			MaxWait: 300 * time.Millisecond},
		Clients: ClientSet{
			Count:           8,
			Retries:         1,
			RetryDelay:      100 * time.Millisecond,
			HonorRetryAfter: true,
			FailOver:        true,
		},
		Site: config.DefaultSite()}
}

//go:embed bad-day.lisp
var faultScenario []byte

// BadDay is the embedded day: every kind of trouble once.
func FaultScenario() (Scenario, error) { return ParseScenario("bad-day.lisp", faultScenario) }

// ParseDay reads a day.
func ParseScenario(name string, data []byte) (Scenario, error) {
	d := DefaultScenario()
	nodes, err := sexpr.Parse(name, data)
	if err != nil {
		return d, err
	}
	err = sexpr.DecodeOne(nodes, name, "day", &d)
	return d, err
}

// ReadDay reads a day's file.
func ReadScenario(path string) (Scenario, error) {
	d := DefaultScenario()
	err := config.Load(path, "day", &d)
	return d, err
}
