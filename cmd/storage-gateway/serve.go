package main

import (
	"net"
	"net/netip"

	"landingpaddle/internal/config"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/registry"
)

type serveCmd struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (instance …)."`
}

// Run serves until the first signal, then answers what is held and ends; a second signal ends it at once.
func (s *serveCmd) Run() error {
	set := config.DefaultInstance()
	if err := config.Load(s.Config, "instance", &set); err != nil {
		return err
	}
	log, err := logger(set.LogLevel, set.LogJSON)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", set.Listen.String())
	if err != nil {
		return err
	}
	cfg := daemon.Config{
		Number:          set.Number,
		Instances:       set.Instances,
		Zone:            uint8(set.Site.Zone(set.Zone)),
		Seed:            set.Seed,
		Site:            set.Site,
		Listener:        ln,
		Registry:        set.Registry.String(),
		Snapshot:        registry.SnapshotFile{Path: set.SnapshotFile},
		StatisticsFile:  set.StatisticsFile,
		ShutdownTimeout: set.ShutdownTimeout,
		Log:             log,
	}
	if set.PeerListen.IsValid() {
		cfg.PeerListen, cfg.Peers = set.PeerListen.String(), map[uint32]netip.AddrPort{}
		for _, p := range set.Peers {
			cfg.Peers[p.Number] = p.Addr.AddrPort
		}
	}
	inst, err := daemon.New(cfg)
	if err != nil {
		ln.Close()
		return err
	}
	ctx, cancel := signals(inst.Stop)
	defer cancel()
	return inst.Run(ctx)
}
