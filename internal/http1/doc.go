// Package http1 implements a strict HTTP/1.1 codec with size limits for one connection, in both directions.
// Its only I/O is reading from the given io.Reader: it starts no goroutine, and writing means appending to a
// slice.
//
// It replaces net/http because the scheduler's guarantees depend on details that net/http hides: whether a
// request was written completely, that nothing is sent a second time, that contradictory framing is an
// error, and that unexpected bytes are detected before a connection is reused.
//
// A Reader and the values that it returns are not safe for concurrent use.
package http1
