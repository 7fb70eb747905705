// Package arrival tells when the data that is read from a TCP connection arrived at this machine.
//
// The kernel records the time of arrival with each segment. The time at which a goroutine reads the data may
// be much later, and after a delay of the process many goroutines read in no particular order, so it tells
// neither when a message arrived nor which one arrived first.
//
// Connections of clients come from a [Listener], because the kernel must be set to record times before the
// first segment arrives: a client may send data before its connection is accepted.
package arrival
