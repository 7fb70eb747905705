// Package daemon is the running instance of the gateway.
//
// One goroutine, the event loop, owns one scheduler and the state of all requests. It hands the scheduler
// what happens and carries out, through drivers, what the scheduler asks for. Nothing here decides about
// health, retries, shares, ordering or draining: the only time-outs are those that actions and clients
// state, and what comes in over a bound is rejected at once, with a reason and, where the site allows it, a
// time after which to retry.
//
// EventLoop serves any protocol; Instance is an event loop with the drivers of the native protocol.
package daemon
