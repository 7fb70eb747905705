package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"landingpaddle/internal/platform"
)

type platformCmd struct {
	LogLevel string `default:"info" help:"Least level that is logged: debug, info, warn or error."`
}

// Run serves on the platform until SIGTERM has been carried out. SIGHUP reads the configuration again; one
// that cannot be read is logged and changes nothing.
func (c *platformCmd) Run() error {
	// Caught before anything else, as SIGHUP must not end a scheduler that has only begun.
	got := make(chan os.Signal, 8)
	signal.Notify(got, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	log, err := logger(c.LogLevel, false)
	if err != nil {
		return err
	}
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	platform.ApplyRuntimeLimits(cfg)
	s, err := platform.New(cfg, log)
	if err != nil {
		return fmt.Errorf("%s: %w", os.Getenv("BALANCER_CONFIG"), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for sig := range got {
			if sig != syscall.SIGHUP {
				s.Shutdown()
				continue
			}
			again, err := platform.Load(os.Getenv)
			if err != nil {
				log.Error("configuration kept as it was", "error", err)
				continue
			}
			s.Reload(again)
		}
	}()
	return s.Run(ctx)
}
