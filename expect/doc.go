// Package expect checks expectations of a fleet's routing without traffic: what volumes reach, how reserves,
// shares and limits work out, and how a warming node is loaded, also with nodes or zones missing.
//
// It reasons over settings, placements and weights. What only the scheduler's own behaviour can tell is
// reported as undecided. The package does no I/O, reads no clock and starts no goroutine.
package expect
