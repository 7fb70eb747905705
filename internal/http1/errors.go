package http1

import (
	"errors"
	"io"
	"net/http"
)

// Error reports a rejected message. Its text is Reason, which clients receive in the body of the response.
type Error struct {
	Status int    // of the response that reports the error to a client
	Reason string // why the message was rejected
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

// ErrBufferFull is returned by Reader.ReadAhead if the number of buffered bytes has reached its limit.
var ErrBufferFull = errors.New("buffer limit reached")

// Errors with fixed reasons. The values are shared and must not be modified.
var (
	errHeadTooLong    = newError(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	errTooManyFields  = newError(http.StatusRequestHeaderFieldsTooLarge, "too many header fields")
	errBodyTooLong    = newError(http.StatusRequestEntityTooLarge, "the body is too long")
	errLengthRange    = newError(http.StatusRequestEntityTooLarge, "Content-Length is out of range")
	errLengthRequired = newError(http.StatusLengthRequired, "a request states its length")
	errUnknownCoding  = newError(http.StatusNotImplemented, "the transfer coding is not known")
	errLengthDoubtful = newError(http.StatusBadRequest, "the body may be longer than its stated length")
	errUnknownVersion = newError(http.StatusHTTPVersionNotSupported, "the version is not HTTP/1.1")
)

func newError(status int, reason string) *Error { return &Error{Status: status, Reason: reason} }

// malformed returns the error for a message that violates the syntax or the framing rules of HTTP/1.1.
func malformed(reason string) error { return newError(http.StatusBadRequest, reason) }

// unexpectedEOF returns the error for a source that failed inside a message: io.EOF becomes
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
