// Package platform runs the scheduler on the platform's machines. It reads the configuration, accepts
// requests over HTTP/1.1 from clients, forwards them over HTTP/1.1 to disk servers, watches the platform's
// discovery service, exchanges datagrams with the other schedulers, and shuts down gracefully.
//
// It is the second set of drivers of the event loop in package daemon, beside the native protocol, and
// makes no decision on a request: health, retries, quotas, ordering, draining and every timeout except
// those of connections are decided in package scheduler.
//
// [Gateway.Run] waits for the goroutines that it starts, except those of sessions, attempts and health
// checks. Each client connection is read and closed by one session goroutine, each attempt at a disk server
// runs in its own goroutine, and the state that they share is guarded by the mutex of the frontend or of the
// upstream pool.
package platform
