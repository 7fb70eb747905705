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
	LogLevel string `default:"info" help:"Minimum log level: debug, info, warn or error."`
}

// Run serves on the platform until the graceful shutdown that SIGTERM or SIGINT starts is complete. SIGHUP
// reloads the configuration; if that fails, the error is logged and the current configuration is kept.
func (c *platformCommand) Run() error {
	// Signals are caught before anything else: SIGHUP must not terminate a scheduler that is starting.
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
