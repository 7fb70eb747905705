package http1

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestReader_ReadsResponses(t *testing.T) {
	for name, test := range map[string]struct {
		text, body string
		status     int
		closes     bool
		buffered   int // bytes left in the buffer after the response
	}{
		"plain": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "hi", 200, false, 0},
		"interim": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" +
			"Content-Length: 1\r\n\r\nh", "h", 200, false, 0},
		"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n1\r\n!\r\n" +
			"0\r\nA: b\r\n\r\n", "hi!", 200, false, 0},
		"until close": {"HTTP/1.1 200 OK\r\n\r\nhi", "hi", 200, true, 0},
		"close": {"HTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "", 500, true,
			0},
		"no reason phrase": {"HTTP/1.1 204\r\n\r\n", "", 204, false, 0},
		"bytes after the body": {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nhHTTP/1.1 200 OK\r\n", "h", 200,
			false, 17},
		"older version": {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nh", "h", 200, true, 0},
		"empty length":  {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 200, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			reader := newTestReader(test.text)
			response, err := reader.ReadResponse()
			if err != nil || response.Status != test.status || string(response.Body) != test.body ||
				response.Close != test.closes || reader.Buffered() != test.buffered {
				t.Errorf("got %+v, %v, %d bytes buffered", response, err, reader.Buffered())
			}
		})
	}
}

// endlessSource returns bytes without end, like a response of gigabytes, and counts them: a Reader must read
// only a bounded number.
type endlessSource struct{ bytesRead int }

func (s *endlessSource) Read(buffer []byte) (int, error) {
	s.bytesRead += len(buffer)
	for i := range buffer {
		buffer[i] = 'a'
	}
	return len(buffer), nil
}

// Each text is followed by endless input: it must be rejected after a bounded number of bytes.
func TestReader_RejectsMalformedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"noise":              "\x16\x03\x01 not an answer",
		"noise, no line end": strings.Repeat("z", 100),
		"status":             "HTTP/1.1 20x OK\r\n\r\n",
		"switching":          "HTTP/1.1 101 x\r\n\r\n",
		"both framings": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"1\r\na\r\n0\r\n\r\n",
		"two lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\naa",
		"huge":              "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
		"huge chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
		"bad chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"chunk too long":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
		"until close, huge": "HTTP/1.1 200 OK\r\n\r\n",
		"head without end":  "HTTP/1.1 200 OK\r\nA: ",
		"interims":          strings.Repeat("HTTP/1.1 100 x\r\n\r\n", 20),
	} {
		t.Run(name, func(t *testing.T) {
			tail := &endlessSource{}
			source := io.MultiReader(strings.NewReader(text), tail)
			response, err := NewReader(source, testLimits).ReadResponse()
			var rejected *Error
			if !errors.As(err, &rejected) {
				t.Errorf("got %+v, %v; want an *Error", response, err)
			}
			if tail.bytesRead > 4*(testLimits.MaxHead+testLimits.MaxBody) {
				t.Errorf("got %d bytes read, want at most 4*(MaxHead+MaxBody)", tail.bytesRead)
			}
		})
	}
}

func TestReader_ReportsTruncatedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"in the head": "HTTP/1.1 200 OK\r\nA",
		"in the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := newTestReader(text).ReadResponse(); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Error("want io.ErrUnexpectedEOF, got:", err)
			}
		})
	}
}

// Guards against taking a body with too short a stated length for a whole one: only nothing, or another
// response with its whole head, may follow a response.
func TestCheckTrailing_AcceptsOnlyResponses(t *testing.T) {
	const copied = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Delta: 3\r\n\r\nhi"
	for name, test := range map[string]struct {
		trailing string
		isWhole  bool
	}{
		"nothing":                     {"", true},
		"second copy":                 {copied, true},
		"head of a second copy":       {copied[:len(copied)-len("hi")], true},
		"interim response, then copy": {"HTTP/1.1 100 x\r\n\r\n" + copied, true},
		"two more copies":             {copied + copied, true},
		"another response":            {"HTTP/1.1 500 x\r\n\r\n", true},
		"part of a head":              {copied[:len(copied)-len("\nhi")], false},
		"one byte of a head":          {"H", false},
		"rest of a body":              {" there", false},
		"rest of a body, then a copy": {" there" + copied, false},
		"line end, then a copy":       {"\r\n" + copied, false},
		"noise":                       {"\x00\x01", false},
		"interim responses only":      {strings.Repeat("HTTP/1.1 100 x\r\n\r\n", 20), false},
	} {
		t.Run(name, func(t *testing.T) {
			err := CheckTrailing([]byte(test.trailing))
			var rejected *Error
			if (err == nil) != test.isWhole || err != nil && !errors.As(err, &rejected) {
				t.Errorf("got %v, want accepted %v, else an *Error", err, test.isWhole)
			}
		})
	}
}
