package http1

import (
	"strings"
	"testing"
)

func FuzzRequest(f *testing.F) {
	f.Add([]byte("PUT /a?b=c HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhiGET / HTTP/1.1\r\nHost: " +
		"a\r\n\r\n"))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := newTestReader(string(text))
		for range 4 {
			request, err := reader.ReadRequest()
			if err != nil {
				return
			}
			body, err := reader.ReadBody(request.Length)
			if err != nil {
				return
			}
			if _, hosts := request.Header.Get("Host"); hosts == 0 {
				return // HTTP/1.0 without Host: it would be written as HTTP/1.1, which requires one
			}
			checkRoundTrip(t, request, body)
		}
	})
}

// checkRoundTrip verifies that an accepted request is read back as the same request after it is written.
func checkRoundTrip(t *testing.T, request *Request, body []byte) {
	t.Helper()
	var header Header
	for _, field := range request.Header {
		if !strings.EqualFold(field.Name, "Content-Length") {
			header = append(header, field)
		}
	}
	written := string(AppendRequest(nil, request.Method, request.Target, header, body))
	reread, err := NewReader(strings.NewReader(written), Limits{MaxHead: 4096, MaxBody: 4096}).ReadRequest()
	if err != nil || reread.Method != request.Method || reread.Target != request.Target ||
		reread.Length != request.Length {
		t.Fatalf("%+v was read back as %+v, %v", request, reread, err)
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		response, err := newTestReader(string(text)).ReadResponse()
		if err != nil {
			return
		}
		if len(response.Body) > testLimits.MaxBody || response.Status < 200 {
			t.Fatalf("accepted status %d with a body of %d bytes, want 200 or above and at most MaxBody",
				response.Status, len(response.Body))
		}
		reread, err := newTestReader(
			string(AppendResponse(nil, 200, "OK", nil, response.Body))).ReadResponse()
		if err != nil || string(reread.Body) != string(response.Body) {
			t.Fatalf("a body of %d bytes was read back as %v, %v", len(response.Body), reread, err)
		}
	})
}
