// Package daemon implements a running instance of the gateway.
//
// One goroutine, the event loop, owns one scheduler and the state of all requests. It passes events to the
// scheduler and executes the scheduler's actions through drivers. This package makes no decisions about
// health, retries, shares, ordering or draining. The time-outs of calls and attempts are those that clients
// and actions specify. Requests beyond a limit are rejected at once, with a reason and, where the site allows
// it, a time after which to retry.
//
// EventLoop serves any protocol; Instance is an event loop with the drivers of the native protocol.
package daemon
