package http1

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReader_ReadsRequests(t *testing.T) {
	const text = "PUT /api?extent=01 HTTP/1.1\r\n" + requestFields +
		"Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, Close\r\n\r\n"
	for name, source := range map[string]io.Reader{
		"whole":        strings.NewReader(text),
		"byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		t.Run(name, func(t *testing.T) {
			reader := NewReader(source, testLimits)
			request, err := reader.ReadRequest()
			if err != nil || request.Method != "PUT" || request.Target != "/api?extent=01" ||
				request.Length != 3 || request.Close {
				t.Fatalf("first request: got %+v, %v", request, err)
			}
			if id, count := request.Header.Get("x-call-id"); id != "1" || count != 1 {
				t.Fatalf("got X-Call-Id %q in %d fields, want 1 in one field", id, count)
			}
			if body, err := reader.ReadBody(request.Length); err != nil || string(body) != "abc" {
				t.Fatalf("got body %q, %v; want abc", body, err)
			}
			if request, err = reader.ReadRequest(); err != nil || request.Method != "GET" || !request.Close {
				t.Fatalf("second request: got %+v, %v; want a GET that closes", request, err)
			}
			if _, err = reader.ReadRequest(); !errors.Is(err, io.EOF) {
				t.Fatalf("end of input: got %v, want io.EOF", err)
			}
		})
	}
}

// Each of these requests must be rejected with the status. Where two parsers disagree on the end of a
// request, one of them may parse a part of its body as another request.
func TestReader_RejectsMalformedRequests(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"noise":                {"\x00\xff\x17garbage\r\n\r\n", 400},
		"no version":           {"GET /\r\n\r\n", 400},
		"old version":          {"GET / HTTP/0.9\r\n\r\n", 505},
		"newer version":        {"GET / HTTP/2.0\r\n" + requestFields + "\r\n", 505},
		"bare LF":              {"GET / HTTP/1.1\nHost: a\n\n", 400},
		"CR inside":            {"GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", 400},
		"control in head":      {"GET / HTTP/1.1\r\nHost: a\x01\r\n\r\n", 400},
		"folded":               {"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", 400},
		"space before colon":   {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		"no colon":             {"GET / HTTP/1.1\r\nHost\r\n\r\n", 400},
		"no host":              {"GET / HTTP/1.1\r\n\r\n", 400},
		"two hosts":            {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"target without slash": {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"target with control":  {"GET /\x7f HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"length twice": {"PUT / HTTP/1.1\r\n" + requestFields +
			"Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
		"length negative": {"PUT / HTTP/1.1\r\n" + requestFields + "Content-Length: -1\r\n\r\n", 400},
		"length signed":   {"PUT / HTTP/1.1\r\n" + requestFields + "Content-Length: +1\r\n\r\na", 400},
		"length listed":   {"PUT / HTTP/1.1\r\n" + requestFields + "Content-Length: 1, 1\r\n\r\na", 400},
		"length empty":    {"PUT / HTTP/1.1\r\n" + requestFields + "Content-Length:\r\n\r\n", 400},
		"length huge":     {"PUT / HTTP/1.1\r\n" + requestFields + "Content-Length: 60000000\r\n\r\n", 413},
		"length overflows": {"PUT / HTTP/1.1\r\n" + requestFields +
			"Content-Length: 99999999999999999999\r\n\r\n", 413},
		"length and coding": {"PUT / HTTP/1.1\r\n" + requestFields +
			"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"coding": {"PUT / HTTP/1.1\r\n" + requestFields +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411},
		"coding unknown": {"PUT / HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: xchunked\r\n\r\n", 501},
		"coding twice": {"PUT / HTTP/1.1\r\n" + requestFields +
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", 400},
		"GET with a body": {"GET / HTTP/1.1\r\n" + requestFields + "Content-Length: 1\r\n\r\na", 400},
		"head without end": {"GET / HTTP/1.1\r\n" + strings.Repeat("X-A: aaaaaaaaaaaaaaaa\r\n", 200),
			431},
		"line without end": {"GET /" + strings.Repeat("a", 5000), 431},
		"many fields":      {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 100) + "\r\n", 431},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := newTestReader(test.text).ReadRequest()
			if !hasStatus(t, err, test.status) {
				t.Errorf("got %+v, %v; want status %d", request, err, test.status)
			}
		})
	}
}

// Guards against taking a body with too short a stated length for a whole one: only the begin of a request
// may follow a request's body.
func TestCheckPipelined_AcceptsOnlyRequests(t *testing.T) {
	for trailing, isAccepted := range map[string]bool{
		"": true, "G": true, "PU": true, "GET ": true, "PUT /api HTTP/1.1\r\n": true,
		" world": false, "GETS": false, "get ": false, "POST ": false, "\r\n": false, "\x00": false,
	} {
		err := CheckPipelined([]byte(trailing), "GET", "PUT")
		if isAccepted != (err == nil) || err != nil && !hasStatus(t, err, 400) {
			t.Errorf("%q: got %v, want accepted %v, else status 400", trailing, err, isAccepted)
		}
	}
}
