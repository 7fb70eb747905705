package main

import (
	"context"
	"net"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/config"
	"landingpaddle/internal/registry"
	"landingpaddle/internal/testbed"
)

// unknownNode is the Node of an event whose Reason identifies the node by its address.
const unknownNode = -1

// listCommand is the sub-command that runs the stand-in registry.
type listCommand struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (list …)."`
	Log    string `help:"At exit, write the updates that instances acknowledged to this file, for audit."`
}

// Run runs a stand-in registry until the first signal.
func (c *listCommand) Run() error {
	settings := config.DefaultRegistry()
	if err := config.Load(c.Config, "list", &settings); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", settings.Listen.String())
	if err != nil {
		return err
	}
	events := testbed.NewLog()
	server := registry.NewServer(registry.ServerConfig{
		Epoch:       uint64(time.Now().UnixNano()),
		Delay:       settings.Delay,
		Workers:     settings.Workers,
		ServiceTime: settings.CallTime,
		MaxWait:     settings.MaxWait,
		OnAcknowledged: func(instance uint32, endpoint endpoints.Endpoint) {
			events.Add(testbed.Event{
				Kind:      testbed.KindAcknowledged,
				Instance:  int(instance),
				Node:      unknownNode,
				StartedAt: endpoint.StartedAt,
				Status:    endpoint.Status.String(),
				Reason:    registry.AddrPortOf(endpoint.Server).String(),
			})
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, stop := handleSignals(cancel)
	defer stop()
	return writeLog(server.Serve(ctx, listener), events, c.Log)
}
