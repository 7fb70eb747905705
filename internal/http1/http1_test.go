package http1

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

var lim = Limits{MaxHead: 2048, MaxBody: 4096}

const head = "Host: a\r\nX-Call-Id: 1\r\n"

func TestRequestRead(t *testing.T) {
	src := "PUT /api?extent=01 HTTP/1.1\r\n" + head +
		"Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, Close\r\n\r\n"
	for name, from := range map[string]io.Reader{"whole": strings.NewReader(src),
		"byte by byte": iotest.OneByteReader(strings.NewReader(src))} {
		r := NewReader(from, lim)
		q, err := r.Request()
		if err != nil || q.Method != "PUT" || q.Target != "/api?extent=01" || q.Length != 3 || q.Close {
			t.Fatalf("%s: %+v, %v", name, q, err)
		}
		if v, n := q.Header.Get("x-call-id"); v != "1" || n != 1 {
			t.Fatalf("%s: id %q, %d times", name, v, n)
		}
		if b, err := r.Body(q.Length); err != nil || string(b) != "abc" {
			t.Fatalf("%s: body %q, %v", name, b, err)
		}
		if q, err = r.Request(); err != nil || q.Method != "GET" || !q.Close {
			t.Fatalf("%s: second: %+v, %v", name, q, err)
		}
		if _, err = r.Request(); !errors.Is(err, io.EOF) {
			t.Fatalf("%s: end: %v", name, err)
		}
	}
}

// Each of these must end in an error of the status, not in a request: what one side takes for the end of a
// request another may take for the middle of it.
func TestRequestMalformed(t *testing.T) {
	for name, c := range map[string]struct {
		src    string
		status int
	}{
		"noise":                {"\x00\xff\x17garbage\r\n\r\n", 400},
		"no version":           {"GET /\r\n\r\n", 400},
		"old version":          {"GET / HTTP/0.9\r\n\r\n", 505},
		"newer version":        {"GET / HTTP/2.0\r\n" + head + "\r\n", 505},
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
		"length twice": {"PUT / HTTP/1.1\r\n" + head +
			"Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
		"length negative": {"PUT / HTTP/1.1\r\n" + head + "Content-Length: -1\r\n\r\n", 400},
		"length signed":   {"PUT / HTTP/1.1\r\n" + head + "Content-Length: +1\r\n\r\na", 400},
		"length listed":   {"PUT / HTTP/1.1\r\n" + head + "Content-Length: 1, 1\r\n\r\na", 400},
		"length empty":    {"PUT / HTTP/1.1\r\n" + head + "Content-Length:\r\n\r\n", 400},
		"length huge":     {"PUT / HTTP/1.1\r\n" + head + "Content-Length: 60000000\r\n\r\n", 413},
		"length overflows": {"PUT / HTTP/1.1\r\n" + head +
			"Content-Length: 99999999999999999999\r\n\r\n", 413},
		"length and coding": {"PUT / HTTP/1.1\r\n" + head +
			"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"coding": {"PUT / HTTP/1.1\r\n" + head +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411},
		"coding unknown": {"PUT / HTTP/1.1\r\n" + head + "Transfer-Encoding: xchunked\r\n\r\n", 501},
		"coding twice": {"PUT / HTTP/1.1\r\n" + head +
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", 400},
		"GET with a body": {"GET / HTTP/1.1\r\n" + head + "Content-Length: 1\r\n\r\na", 400},
		"head without end": {"GET / HTTP/1.1\r\n" + strings.Repeat("X-A: aaaaaaaaaaaaaaaa\r\n", 200),
			431},
		"line without end": {"GET /" + strings.Repeat("a", 5000), 431},
		"many fields":      {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 100) + "\r\n", 431},
	} {
		q, err := NewReader(strings.NewReader(c.src), lim).Request()
		var e *Error
		if !errors.As(err, &e) || e.Status != c.status {
			t.Errorf("%s: %+v, %v; want status %d", name, q, err, c.status)
		}
	}
}

func TestResponseRead(t *testing.T) {
	for name, c := range map[string]struct {
		src, body string
		status    int
		last      bool
		left      int // bytes that belong to no answer
	}{
		"plain": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "hi", 200, false, 0},
		"interim": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" +
			"Content-Length: 1\r\n\r\nh", "h", 200, false, 0},
		"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n1\r\n!\r\n" +
			"0\r\nA: b\r\n\r\n", "hi!", 200, false, 0},
		"to the end": {"HTTP/1.1 200 OK\r\n\r\nhi", "hi", 200, true, 0},
		"close": {"HTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "", 500, true,
			0},
		"no reason": {"HTTP/1.1 204\r\n\r\n", "", 204, false, 0},
		"more behind": {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nhHTTP/1.1 200 OK\r\n", "h", 200,
			false, 17},
		"older":        {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nh", "h", 200, true, 0},
		"empty length": {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 200, false, 0},
	} {
		r := NewReader(strings.NewReader(c.src), lim)
		p, err := r.Response()
		if err != nil || p.Status != c.status || string(p.Body) != c.body || p.Close != c.last ||
			r.Buffered() != c.left {
			t.Errorf("%s: %+v, %v, %d left", name, p, err, r.Buffered())
		}
	}
}

// endless never ends, as an answer that is said to have gigabytes does: reading it must be bounded.
type endless struct{ n int }

func (e *endless) Read(p []byte) (int, error) {
	e.n += len(p)
	for i := range p {
		p[i] = 'a'
	}
	return len(p), nil
}

func TestResponseSpoilt(t *testing.T) {
	for name, src := range map[string]string{
		"noise":          "\x16\x03\x01 not an answer",
		"noise, no line": strings.Repeat("z", 100),
		"status":         "HTTP/1.1 20x OK\r\n\r\n",
		"switching":      "HTTP/1.1 101 x\r\n\r\n",
		"both framings": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"1\r\na\r\n0\r\n\r\n",
		"two lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\naa",
		"huge":             "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
		"huge chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
		"bad chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"chunk too long":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
		"to the end, huge": "HTTP/1.1 200 OK\r\n\r\n",
		"head without end": "HTTP/1.1 200 OK\r\nA: ",
		"interims":         strings.Repeat("HTTP/1.1 100 x\r\n\r\n", 20),
	} {
		tail := &endless{}
		p, err := NewReader(io.MultiReader(strings.NewReader(src), tail), lim).Response()
		var e *Error
		if !errors.As(err, &e) {
			t.Errorf("%s: %+v, %v", name, p, err)
		}
		if tail.n > 4*(lim.MaxHead+lim.MaxBody) {
			t.Errorf("%s: %d bytes read", name, tail.n)
		}
	}
	for name, src := range map[string]string{"in the head": "HTTP/1.1 200 OK\r\nA",
		"in the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na"} {
		if _, err := NewReader(strings.NewReader(src), lim).Response(); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("ends %s: %v", name, err)
		}
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte("PUT /a?b=c HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhiGET / HTTP/1.1\r\nHost: " +
		"a\r\n\r\n"))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, src []byte) {
		r := NewReader(strings.NewReader(string(src)), lim)
		for range 4 {
			q, err := r.Request()
			if err != nil {
				return
			}
			body, err := r.Body(q.Length)
			if err != nil {
				return
			}
			if _, hosts := q.Header.Get("Host"); hosts == 0 {
				return // of HTTP/1.0, which is written again as 1.1
			}
			// What was taken, written again, is read as the same request by the same strict reader.
			var pass Header
			for _, h := range q.Header {
				if !strings.EqualFold(h.Name, "Content-Length") {
					pass = append(pass, h)
				}
			}
			again := NewReader(strings.NewReader(string(AppendRequest(nil, q.Method, q.Target, pass,
				body))), Limits{4096, 4096})
			p, err := again.Request()
			if err != nil || p.Method != q.Method || p.Target != q.Target || p.Length != q.Length {
				t.Fatalf("%+v became %+v, %v", q, p, err)
			}
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, src []byte) {
		p, err := NewReader(strings.NewReader(string(src)), lim).Response()
		if err != nil {
			return
		}
		if len(p.Body) > lim.MaxBody || p.Status < 200 {
			t.Fatalf("status %d with %d bytes", p.Status, len(p.Body))
		}
		again, err := NewReader(strings.NewReader(string(AppendResponse(nil, 200, "OK", nil, p.Body))),
			lim).Response()
		if err != nil || string(again.Body) != string(p.Body) {
			t.Fatalf("a body of %d bytes became %v, %v", len(p.Body), again, err)
		}
	})
}

// What comes ahead of its turn is kept within a bound that is not a head's, and the source's end is told
// while messages are still in the buffer.
func TestAhead(t *testing.T) {
	one := "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	many := strings.Repeat(one, 300) // 8,100 bytes, over the bound of a head
	r := NewReader(strings.NewReader(many), lim)
	if err := r.ReadAhead(100); err != nil || r.Buffered() == 0 {
		t.Fatalf("%d bytes, %v", r.Buffered(), err)
	}
	for r.Buffered() < len(many) {
		if err := r.ReadAhead(len(many)); err != nil {
			t.Fatalf("after %d bytes: %v", r.Buffered(), err)
		}
	}
	if err := r.ReadAhead(len(many)); !errors.Is(err, ErrBufferFull) {
		t.Fatalf("beyond the bound: %v", err)
	}
	if err := r.ReadAhead(2 * len(many)); !errors.Is(err, io.EOF) || r.Buffered() != len(many) {
		t.Fatalf("at the end: %v with %d bytes", err, r.Buffered())
	}
	reads := r.ReadCount()
	for n := range 300 {
		if q, err := r.Request(); err != nil || q.Target != "/a" {
			t.Fatalf("request %d: %+v, %v", n, q, err)
		}
	}
	if r.ReadCount() != reads {
		t.Errorf("%d reads for requests that had come whole", r.ReadCount()-reads)
	}
	r.Shrink()
	if r.BufferSize() != 0 {
		t.Errorf("the buffer keeps %d bytes", r.BufferSize())
	}
	r = NewReader(strings.NewReader(strings.Repeat("a", 2*lim.MaxHead)), lim)
	for r.ReadAhead(2*lim.MaxHead) == nil {
	}
	var e *Error
	if _, err := r.Request(); !errors.As(err, &e) || e.Status != 431 {
		t.Errorf("a head that is too long, read ahead: %v", err)
	}
}
