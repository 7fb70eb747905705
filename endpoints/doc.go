// Package endpoints decides what an instance believes of the storage nodes. It combines updates of the
// endpoint list, a snapshot of the list from before a restart and what nodes say of themselves into one
// [View], and converts start times of the nodes' clocks into this instance's clock.
//
// The sources have three properties. The list is late, so what a node says of itself is newer than what the
// list says of the same incarnation of that node. Changes build on the list already held, so after a gap, or
// when a registry with another epoch answers, only a full list may be applied. Clocks differ: a start may
// seem to lie in the future, or further back than it does, by up to a stated skew.
//
// The package does no I/O, reads no clock and starts no goroutine. A View is owned by one goroutine.
package endpoints
