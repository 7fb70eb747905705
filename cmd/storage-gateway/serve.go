package main

import (
	"net"
	"net/netip"

	"landingpaddle/internal/config"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/registry"
)

type serveCommand struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (instance …)."`
}

// Run serves until the first signal, then answers the requests in flight and returns; a second signal stops
// it immediately.
func (c *serveCommand) Run() error {
	settings := config.DefaultInstance()
	if err := config.Load(c.Config, "instance", &settings); err != nil {
		return err
	}
	log, err := newLogger(settings.LogLevel, settings.LogJSON)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", settings.Listen.String())
	if err != nil {
		return err
	}
	cfg := instanceConfig(&settings, listener)
	cfg.Log = log
	instance, err := daemon.New(cfg)
	if err != nil {
		listener.Close()
		return err
	}
	ctx, cancel := handleSignals(instance.Stop)
	defer cancel()
	return instance.Run(ctx)
}

func instanceConfig(settings *config.Instance, listener net.Listener) daemon.Config {
	cfg := daemon.Config{
		Number:          settings.Number,
		Instances:       settings.Instances,
		Zone:            uint8(settings.Site.Zone(settings.Zone)),
		Seed:            settings.Seed,
		Site:            settings.Site,
		Listener:        listener,
		Registry:        settings.Registry.String(),
		Snapshot:        registry.SnapshotFile{Path: settings.SnapshotFile},
		StatisticsFile:  settings.StatisticsFile,
		ShutdownTimeout: settings.ShutdownTimeout,
	}
	if settings.PeerListen.IsValid() {
		cfg.PeerListen, cfg.Peers = settings.PeerListen.String(), map[uint32]netip.AddrPort{}
		for _, peer := range settings.Peers {
			cfg.Peers[peer.Number] = peer.Addr.AddrPort
		}
	}
	return cfg
}
