package main

import (
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/testbed"
	"landingpaddle/scheduler"
)

type nodeCommand struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (node …)."`
	Log    string `help:"Write the node's own log here when it ends, for audit."`

	Linger time.Duration `default:"2s" help:"It ends so long after the first signal drained it."`
}

// Run serves as a stand-in node: the first signal drains it, a second ends it at once.
func (c *nodeCommand) Run() error {
	settings := config.DefaultNode()
	if err := config.Load(c.Config, "node", &settings); err != nil {
		return err
	}
	events, group := testbed.NewLog(), testbed.NewDedupGroup()
	node, err := testbed.NewNode(testbed.NodeConfig{
		Number:      settings.Number,
		Cell:        settings.Cell,
		Zone:        uint8(settings.Site.Zone(settings.Zone)),
		Model:       settings.Model,
		Site:        &settings.Site,
		Registry:    settings.Registry.String(),
		Addr:        settings.Listen.AddrPort,
		Seed:        settings.Seed,
		Log:         events,
		Meter:       testbed.NewMeter(settings.Site.MeterPeriod),
		StartsCold:  true,
		DedupGroups: func(scheduler.DedupScope) *testbed.DedupGroup { return group },
	})
	if err != nil {
		return err
	}
	ctx, cancel := handleSignals(func() {
		node.Drain()
		time.AfterFunc(c.Linger, node.Kill)
	})
	defer cancel()
	return writeLog(node.Run(ctx), events, c.Log)
}
