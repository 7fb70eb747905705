// Package extent decides what becomes of a client's request for a range of a volume: into which pieces it is
// split, which queued pieces are done as one operation, and whose answer an operation's end is.
//
// A volume's bytes lie in extents of one stated size. A request that crosses their edges, or is over the
// largest operation, is split; each piece goes to its own extent's node. Reads and writes that are queued at
// the same time and touch or overlap become one operation within stated bounds. Every client gets one answer
// of its own: all its pieces served, or the first final failure with what is known of the others.
// docs/design/extents.md weighs how that is done.
//
// The package stands between the daemon's frontend and package scheduler. It does no I/O, reads no clock and
// starts no goroutine. A [Planner] is owned by one goroutine.
package extent
