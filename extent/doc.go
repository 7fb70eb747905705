// Package extent plans clients' requests for byte ranges of volumes: it splits them into pieces, merges
// queued pieces into operations, and combines the pieces' outcomes into one answer for each request.
//
// A volume's bytes are stored in extents of a configured size. A request that crosses an extent boundary, or
// exceeds the largest operation, is split; each piece is sent to the node of its extent. Reads that are
// queued at the same time and touch or overlap, and writes that touch, are merged into one operation within
// configured limits. Every request gets its own single answer: all its pieces served, or the first final
// failure with the state of the other pieces as far as known. docs/design/extents.md compares the
// alternatives.
//
// The package is used between the daemon's frontend and package scheduler. It does no I/O, reads no clock and
// starts no goroutine. A [Planner] is owned by one goroutine.
package extent
