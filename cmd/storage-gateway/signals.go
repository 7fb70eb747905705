package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// handleSignals calls onFirst at the first SIGINT or SIGTERM and returns a context that is cancelled at the
// second.
func handleSignals(onFirst func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		defer signal.Stop(received)
		select {
		case <-received:
			onFirst()
		case <-ctx.Done():
			return
		}
		select {
		case <-received:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
