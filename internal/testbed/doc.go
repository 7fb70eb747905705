// Package testbed contains stand-ins for clients and storage nodes, scenarios with injected faults, and the
// invariant checker, which checks the rules against the logged socket traffic. The daemon's packages don't
// import it.
package testbed
