// Package testbed holds stand-ins for clients and storage nodes, scenarios with injected faults, and the
// invariant checker, which judges the rules from what passed on the sockets. Nothing on the daemon's path
// imports it.
package testbed
