package http1

import (
	"fmt"
	"net/http"
	"strings"
)

// Versions that are accepted. Only version11 is written.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// Request is the head of a client's request.
type Request struct {
	Method, Target string
	Header         Header
	Length         int64 // of the body in bytes; 0 if the head does not state it
	Close          bool  // the client sends no more requests on this connection
}

// ReadRequest reads the head of a request. The caller must then read its body of Length bytes with ReadBody.
// io.EOF means that the connection ended before a request began; a rejected request is reported as an *Error.
func (r *Reader) ReadRequest() (*Request, error) {
	if err := r.WaitReadable(); err != nil {
		return nil, err
	}
	if !isTokenChar(r.buffer[r.start]) { // rejected without waiting for a line end, which may never arrive
		return nil, malformed("no request begins so")
	}
	budget := r.limits.MaxHead
	text, err := r.readLine(&budget)
	if err != nil {
		return nil, err
	}
	line, err := parseRequestLine(text)
	if err != nil {
		return nil, err
	}
	header, err := r.readHeader(&budget)
	if err != nil {
		return nil, err
	}
	length, err := requestLength(line.method, header, r.limits)
	if err != nil {
		return nil, err
	}
	if _, hosts := header.Get("Host"); hosts > 1 || hosts == 0 && line.version == version11 {
		return nil, malformed("a request names one Host")
	}
	return &Request{
		Method: line.method,
		Target: line.target,
		Header: header,
		Length: length,
		Close:  header.closesConnection(line.version),
	}, nil
}

// CheckPipelined returns an *Error unless the bytes that follow a request's body on its connection may begin
// another request of one of the methods, or there are none. Any other bytes may be the rest of a body whose
// stated length is too short.
func CheckPipelined(trailing []byte, methods ...string) error {
	for _, method := range methods {
		begin := method + " "
		count := min(len(begin), len(trailing))
		if string(trailing[:count]) == begin[:count] {
			return nil
		}
	}
	return errLengthDoubtful
}

// requestLine is the first line of a request.
type requestLine struct{ method, target, version string }

func parseRequestLine(text string) (requestLine, error) {
	method, rest, _ := strings.Cut(text, " ")
	target, version, complete := strings.Cut(rest, " ")
	if !complete || !isToken(method) || target == "" {
		return requestLine{}, malformed("the request line is not method, target, version")
	}
	if version != version11 && version != version10 {
		return requestLine{}, errUnknownVersion
	}
	if err := validateTarget(target); err != nil {
		return requestLine{}, err
	}
	return requestLine{method: method, target: target, version: version}, nil
}

func validateTarget(target string) error {
	if target[0] != '/' {
		return malformed("the target does not begin with /")
	}
	for i := range len(target) {
		if char := target[i]; char <= ' ' || char >= 0x7f || char == '#' {
			return malformed("the target holds a character that it may not")
		}
	}
	return nil
}

// requestLength returns the length of a request's body in bytes; 0 if the header does not state one.
func requestLength(method string, header Header, limits Limits) (int64, error) {
	stated, err := header.framing()
	switch {
	case err != nil:
		return 0, err
	case stated.chunked:
		return 0, errLengthRequired
	case stated.length > int64(limits.MaxBody):
		reason := fmt.Sprintf("the body is over %d bytes", limits.MaxBody)
		return 0, newError(http.StatusRequestEntityTooLarge, reason)
	case stated.length > 0 && (method == http.MethodGet || method == http.MethodHead):
		return 0, malformed("a " + method + " has a body")
	}
	return max(0, stated.length), nil
}
