package http1

import (
	"errors"
	"io"
	"net/http"
)

// Error reports a message that is not accepted. Its text is Reason, which clients see in the body of the
// answer.
type Error struct {
	Status int    // of the answer that tells a client
	Reason string // what is wrong with the message
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

// ErrBufferFull is the error of Reader.ReadAhead if as many bytes are buffered as are allowed.
var ErrBufferFull = errors.New("as many bytes are buffered as may be")

// Errors whose texts are fixed. They are shared and must not be changed.
var (
	errHeadTooLong    = newError(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	errTooManyFields  = newError(http.StatusRequestHeaderFieldsTooLarge, "too many header fields")
	errBodyTooLong    = newError(http.StatusRequestEntityTooLarge, "the body is too long")
	errLengthRange    = newError(http.StatusRequestEntityTooLarge, "Content-Length is out of range")
	errLengthRequired = newError(http.StatusLengthRequired, "a request states its length")
	errUnknownCoding  = newError(http.StatusNotImplemented, "the transfer coding is not known")
	errUnknownVersion = newError(http.StatusHTTPVersionNotSupported, "the version is not HTTP/1.1")
)

func newError(status int, reason string) *Error { return &Error{Status: status, Reason: reason} }

// malformed returns the error of a message that breaks the syntax or the framing rules of HTTP/1.1.
func malformed(reason string) error { return newError(http.StatusBadRequest, reason) }

// unexpectedEOF returns the error of a source that failed inside a message: its end is io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
