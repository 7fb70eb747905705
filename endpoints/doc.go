// Package endpoints maintains an instance's cached state of the storage nodes. It combines updates of the
// endpoint list, a snapshot of the list from before a restart and the nodes' own messages into one [View],
// and converts start times from the nodes' clocks to this instance's clock.
//
// The sources have three properties. The list lags behind, so a node's own message is newer than the list's
// entry for the same incarnation of that node. Changes build on a base version of the list, so after a gap,
// or when a registry with another epoch answers, only a full list may be applied. Clocks differ: a start time
// may appear to be in the future, or earlier than it was, by up to a configured skew.
//
// The package does no I/O, reads no clock and starts no goroutine. A View is owned by one goroutine.
package endpoints
