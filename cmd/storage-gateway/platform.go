package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"landingpaddle/internal/platform"
)

type platformCommand struct {
	LogLevel string `default:"info" help:"Least level that is logged: debug, info, warn or error."`
}

// Run serves on the platform until SIGTERM has been carried out. SIGHUP reads the configuration again; one
// that cannot be read is logged and changes nothing.
func (c *platformCommand) Run() error {
	// Caught before anything else, as SIGHUP must not end a scheduler that has only begun.
	received := make(chan os.Signal, 8)
	signal.Notify(received, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	log, err := newLogger(c.LogLevel, false)
	if err != nil {
		return err
	}
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	platform.ApplyRuntimeLimits(cfg)
	server, err := platform.New(cfg, log)
	if err != nil {
		return fmt.Errorf("%s: %w", os.Getenv("BALANCER_CONFIG"), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for sig := range received {
			if sig == syscall.SIGHUP {
				reload(server, log)
			} else {
				server.Shutdown()
			}
		}
	}()
	return server.Run(ctx)
}

func reload(server *platform.Gateway, log *slog.Logger) {
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		log.Error("configuration kept as it was", "error", err)
		return
	}
	server.Reload(cfg)
}
