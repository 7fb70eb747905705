package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// Response is a complete response of a server.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool // the connection cannot be reused
}

// ReadResponse reads a complete response to a request other than HEAD. Interim responses (status 1xx) before
// it are skipped. A rejected response is reported as an *Error.
func (r *Reader) ReadResponse() (*Response, error) {
	response, err := r.readFinalHead()
	if err != nil {
		return nil, err
	}
	if err := r.readResponseBody(response); err != nil {
		return nil, err
	}
	return response, nil
}

// CheckTrailing returns an *Error unless the bytes that follow a response on its connection leave no doubt
// that the body is complete. Nothing may follow, or another response, such as a second copy, recognized by
// its whole head. Any other bytes may be the rest of a body whose stated length is too short.
func CheckTrailing(trailing []byte) error {
	if len(trailing) == 0 {
		return nil
	}
	reader := NewReader(bytes.NewReader(trailing), Limits{MaxHead: len(trailing)})
	if _, err := reader.readFinalHead(); err != nil {
		return errLengthDoubtful
	}
	return nil
}

// readFinalHead reads the head of the next final response and skips the interim responses before it.
func (r *Reader) readFinalHead() (*Response, error) {
	for range maxInterimResponses + 1 {
		response, err := r.readResponseHead()
		if err != nil || !response.isInterim() {
			return response, err
		}
	}
	return nil, malformed("too many interim answers")
}

func (response *Response) isInterim() bool { return response.Status < http.StatusOK }

// readResponseHead reads the head of one response, interim or final.
func (r *Reader) readResponseHead() (*Response, error) {
	if err := r.expectPrefix("HTTP/1."); err != nil {
		return nil, err
	}
	budget := r.limits.MaxHead
	text, err := r.readLine(&budget)
	if err != nil {
		return nil, err
	}
	line, err := parseStatusLine(text)
	if err != nil {
		return nil, err
	}
	response := &Response{Status: line.status}
	if response.Header, err = r.readHeader(&budget); err != nil {
		return nil, err
	}
	if response.Status == http.StatusSwitchingProtocols {
		return nil, malformed("nobody asked for another protocol")
	}
	response.Close = response.Header.closesConnection(line.version)
	return response, nil
}

// expectPrefix returns an error as soon as the received bytes cannot begin a response, without waiting for a
// line end, which invalid input may not contain.
func (r *Reader) expectPrefix(prefix string) error {
	for {
		count := min(len(prefix), r.Buffered())
		if string(r.buffer[r.start:r.start+count]) != prefix[:count] {
			return malformed("no answer begins so")
		}
		if count == len(prefix) {
			return nil
		}
		if err := r.fillToHeadLimit(); err != nil {
			if count > 0 {
				err = unexpectedEOF(err)
			}
			return err
		}
	}
}

// statusLine is the first line of a response, without its reason phrase.
type statusLine struct {
	version string
	status  int
}

func parseStatusLine(text string) (statusLine, error) {
	version, rest, _ := strings.Cut(text, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	validCode := err == nil && len(code) == 3 && status >= http.StatusContinue
	if !validCode || (version != version11 && version != version10) {
		return statusLine{}, malformed("the status line is not version, status, reason")
	}
	return statusLine{version: version, status: status}, nil
}

// readResponseBody reads the body with the framing that the response's head states. If it states none, the
// body ends with the connection.
func (r *Reader) readResponseBody(response *Response) error {
	stated, err := response.Header.framing()
	switch {
	case err != nil:
		return err
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
		return nil
	case stated.chunked:
		response.Body, err = r.readChunks()
	case stated.length == lengthUnstated:
		response.Close = true
		response.Body, err = r.readToEnd()
	default:
		response.Body, err = r.ReadBody(stated.length)
	}
	return err
}
