// Package http1 is a strict, bounded HTTP/1.1 codec for one connection, in both directions. Its only I/O is
// reading from the io.Reader that it is given: it starts no goroutine, and writing means appending to a
// slice.
//
// It stands in for net/http as the guarantees of a scheduler depend on what net/http hides: whether a
// request was written completely, that nothing is sent a second time, that contradictory framing is an
// error, and that unexpected bytes are noticed before a connection is used again.
//
// A Reader and what it returns belong to one goroutine at a time.
package http1
