// Package expect checks expectations of a fleet's routing without traffic: the reachability of volumes, the
// resulting reserves, shares and limits, and the load of a cold node, optionally with nodes or zones missing.
//
// It computes measures from settings, placements and weights. Expectations that depend on the scheduler's
// behaviour are reported as undecided. The package does no I/O, reads no clock and starts no goroutine.
package expect
