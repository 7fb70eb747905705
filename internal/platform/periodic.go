package platform

import (
	"context"
	"time"
)

// runPeriodically calls a function at an interval, first after one interval, until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}
