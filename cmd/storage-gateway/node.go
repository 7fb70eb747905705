package main

import (
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/testbed"
	"landingpaddle/scheduler"
)

type nodeCommand struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (node …)."`
	Log    string `help:"At exit, write the node's log to this file, for audit."`

	Linger time.Duration `default:"2s" help:"Time between the start of the drain (first signal) and exit."`
}

// Run runs a stand-in node. The first signal drains it, and stops it after Linger; a second one stops it
// immediately.
func (c *nodeCommand) Run() error {
	settings := config.DefaultNode()
	if err := config.Load(c.Config, "node", &settings); err != nil {
		return err
	}
	// The node deduplicates alone, whatever the scope: nodes in other processes cannot share its group.
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
