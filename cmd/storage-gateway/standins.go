package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/internal/testbed"
	"landingpaddle/scheduler"
)

type nodeCmd struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (node …)."`
	Log    string `help:"Write the node's own log here when it ends, for audit."`

	Linger time.Duration `default:"2s" help:"It ends so long after the first signal drained it."`
}

// Run serves as a stand-in node: the first signal drains it, a second ends it at once.
func (c *nodeCmd) Run() error {
	set := config.DefaultNode()
	if err := config.Load(c.Config, "node", &set); err != nil {
		return err
	}
	events, group := testbed.NewLog(), testbed.NewDedupGroup()
	n, err := testbed.NewNode(testbed.NodeConfig{Number: set.Number, Cell: set.Cell,
		Zone: uint8(set.Site.Zone(set.Zone)), Model: set.Model, Site: &set.Site,
		Registry: set.Registry.String(), Addr: set.Listen.AddrPort, Seed: set.Seed,
		Log: events, Meter: testbed.NewMeter(set.Site.MeterPeriod), StartsCold: true,
		DedupGroups: func(scheduler.DedupScope) *testbed.DedupGroup { return group }})
	if err != nil {
		return err
	}
	ctx, cancel := signals(func() {
		n.Drain()
		time.AfterFunc(c.Linger, n.Kill)
	})
	defer cancel()
	err = n.Run(ctx)
	return orWrite(err, events, c.Log)
}

func orWrite(err error, events *testbed.Log, path string) error {
	if err == nil && path != "" {
		return events.WriteFile(path)
	}
	return err
}

type listCmd struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (list …)."`
	Log    string `help:"Write what instances were told here when it ends, for audit."`
}

// Run serves as a stand-in list service until a signal.
func (c *listCmd) Run() error {
	set := config.DefaultRegistry()
	if err := config.Load(c.Config, "list", &set); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", set.Listen.String())
	if err != nil {
		return err
	}
	events := testbed.NewLog()
	told := func(instance uint32, e endpoints.Endpoint) {
		addr := registry.AddrPortOf(e.Server).String()
		events.Add(
			testbed.Event{Kind: testbed.KindAcknowledged, Instance: int(instance), Node: -1,
				StartedAt: e.StartedAt, Status: e.Status.String(), Reason: addr},
		)
	}
	s := registry.NewServer(registry.ServerConfig{Epoch: uint64(time.Now().UnixNano()), Delay: set.Delay,
		Workers: set.Workers, CallTime: set.CallTime, MaxWait: set.MaxWait, OnAcknowledged: told})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, stop := signals(cancel)
	defer stop()
	return orWrite(s.Serve(ctx, ln), events, c.Log)
}

type callCmd struct {
	To      []string      `required:"" help:"Addresses of instances, in the order of their numbers."`
	Count   int           `default:"100" help:"Requests to send; 100000 at most."`
	Rate    float64       `default:"100" help:"Requests a second."`
	Class   uint16        `default:"0" help:"Number of the class."`
	Plan    uint16        `default:"0" help:"Number of the plan."`
	Cells   int32         `default:"1" help:"The data lies on cells 0 to this less one."`
	Units   uint32        `default:"1" help:"Units of each request."`
	Volumes uint64        `default:"4" help:"Volumes in turn."`
	Wait    time.Duration `default:"2s" help:"How long the client waits."`
	Write   bool          `help:"Requests write."`
	Log     string        `help:"Write the client's own log here, for audit."`
}

// Run sends requests at a rate and tells how they ended.
func (c *callCmd) Run(out io.Writer) error {
	if c.Count < 1 || c.Count > 100_000 || c.Rate <= 0 || c.Cells < 1 || c.Volumes < 1 {
		return fmt.Errorf("count is 1 to 100000; rate, cells and volumes are over 0")
	}
	events := testbed.NewLog()
	client := testbed.NewClient(0, events, c.To, testbed.ClientBehavior{})
	ctx, cancel := signals(func() {})
	defer cancel()
	var mu sync.Mutex
	ended := map[proto.Code]int{}
	var took time.Duration
	var wg sync.WaitGroup
	start, token := time.Now(), rand.Uint64()>>1
	for i := range c.Count {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / c.Rate * float64(time.Second)))))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			n := uint64(i)
			q := proto.Request{Token: token + n, Class: c.Class, Plan: c.Plan, Volume: 1 + n%c.Volumes,
				VolumeInstances: 1, Key: 1 + n%997, Units: c.Units, Cell: int32(n) % c.Cells, Timeout: c.Wait,
				Write: c.Write}
			r := client.Do(ctx, q, []int{i % len(c.To)}, 0)
			mu.Lock()
			defer mu.Unlock()
			ended[r.Code]++
			took += r.Took
		})
	}
	wg.Wait()
	client.Close()
	mean := (took / time.Duration(c.Count)).Round(time.Microsecond)
	fmt.Fprintf(out, "served %d, refused %d, failed %d, no answer %d; mean %v\n", ended[proto.OK],
		ended[proto.Rejected], ended[proto.Failed], ended[0], mean)
	return orWrite(nil, events, c.Log)
}
