// Package http1 is a strict, bounded HTTP/1.1 codec for one connection, both directions. It does no I/O but
// reading from the io.Reader it is given, starts no goroutine and sends nothing by itself. It is ours because
// what a scheduler promises hangs on things that net/http hides: whether a request was written whole, that
// nothing is sent a second time, that contradictory framing is an error, and that bytes nobody asked for are
// noticed before a connection is used again.
package http1

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits bound what is read, in bytes.
type Limits struct {
	MaxHead int // of a head, its last empty line included
	MaxBody int // of a body
}

// mostFields bounds the header fields of a head.
const mostFields = 64

// mostInterim bounds the 1xx answers ahead of an answer.
const mostInterim = 8

// Error is a message that cannot be taken: what is wrong with it and the status that says so to a client.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

func bad(what string) error { return &Error{400, what} }

// Field is one header field.
type Field struct{ Name, Value string }

// Header is the fields of a head in their order.
type Header []Field

// Get is the value of the first field of that name, and how many there are.
func (h Header) Get(name string) (value string, count int) {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			if count == 0 {
				value = f.Value
			}
			count++
		}
	}
	return value, count
}

// has tells whether a comma-separated field of that name lists a word.
func (h Header) has(name, word string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), word) {
				return true
			}
		}
	}
	return false
}

// Request is a client's request.
type Request struct {
	Method, Target string
	Header         Header
	Length         int64 // of the body, as stated
	Close          bool  // the client wants nothing more on this connection
}

// Response is a server's answer, whole.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool // the connection is of no further use
}

// Reader reads messages off one connection. Its buffer holds a head, never a body.
type Reader struct {
	src     io.Reader
	lim     Limits
	buf     []byte
	at, end int
	reads   int
}

const firstBuffer = 1024

// NewReader reads from src.
func NewReader(src io.Reader, lim Limits) *Reader { return &Reader{src: src, lim: lim} }

// Buffered is how many bytes have been read and belong to no message yet.
func (r *Reader) Buffered() int { return r.end - r.at }

// Size is how many bytes the buffer takes.
func (r *Reader) BufferSize() int { return len(r.buf) }

// Reads is how often the source was read: a message that was taken without a read had come whole before.
func (r *Reader) ReadCount() int { return r.reads }

// ErrFull is Ahead's error where as many bytes are buffered as may be.
var ErrBufferFull = errors.New("as many bytes are buffered as may be")

// Ahead blocks until more has come than what is buffered, which may be up to most bytes. An error of the
// source tells of its end while messages that came before it are still in the buffer.
func (r *Reader) ReadAhead(most int) error { return r.more(max(most, r.lim.MaxHead), ErrBufferFull) }

// Shrink gives the buffer back while nothing is in it, as a connection that idles needs none.
func (r *Reader) Shrink() {
	if r.at == r.end {
		r.buf, r.at, r.end = nil, 0, 0
	}
}

// Await blocks until at least one byte is there.
func (r *Reader) WaitReadable() error {
	if r.Buffered() > 0 {
		return nil
	}
	return r.fill()
}

// fill reads more, growing the buffer up to the bound of a head.
func (r *Reader) fill() error { return r.more(r.lim.MaxHead, &Error{431, "the head is too long"}) }

// more reads more, growing the buffer up to most bytes; full is the error where it holds them.
func (r *Reader) more(most int, full error) error {
	if r.at == r.end {
		r.at, r.end = 0, 0
	}
	if r.end == len(r.buf) {
		switch {
		case r.at > 0:
			r.end, r.at = copy(r.buf, r.buf[r.at:r.end]), 0
		case len(r.buf) >= most:
			return full
		default:
			grown := make([]byte, min(max(firstBuffer, 2*len(r.buf)), most))
			copy(grown, r.buf[:r.end])
			r.buf = grown
		}
	}
	n, err := r.src.Read(r.buf[r.end:])
	r.reads++
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// cut is the error of a source that ends inside a message.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line takes one line off, which must end in CR LF. The whole head shares a bound, counted down in left.
func (r *Reader) line(left *int) (string, error) {
	for seen := 0; ; {
		for i := r.at + seen; i < r.end; i++ {
			c := r.buf[i]
			if c == '\n' {
				if i == r.at || r.buf[i-1] != '\r' {
					return "", bad("a line ends in a bare LF")
				}
				line := string(r.buf[r.at : i-1])
				*left -= i + 1 - r.at
				r.at = i + 1
				if *left < 0 {
					return "", &Error{431, "the head is too long"}
				}
				return line, nil
			}
			if i > r.at && r.buf[i-1] == '\r' {
				return "", bad("a CR stands inside a line")
			}
			if c < ' ' && c != '\t' && c != '\r' || c == 0x7f {
				return "", bad("a control character stands in the head")
			}
		}
		seen = r.end - r.at
		if seen > *left {
			return "", &Error{431, "the head is too long"}
		}
		if err := r.fill(); err != nil {
			return "", cut(err)
		}
	}
}

func tokenChar(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

func token(s string) bool {
	for i := range len(s) {
		if !tokenChar(s[i]) {
			return false
		}
	}
	return s != ""
}

// fields reads the header fields up to the empty line.
func (r *Reader) fields(left *int) (Header, error) {
	var h Header
	for {
		line, err := r.line(left)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return h, nil
		}
		if line[0] == ' ' || line[0] == '\t' {
			return nil, bad("a header line is folded")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) {
			return nil, bad("a header line has no proper name")
		}
		if len(h) == mostFields {
			return nil, &Error{431, "too many header fields"}
		}
		h = append(h, Field{name, strings.Trim(value, " \t")})
	}
}

// length reads the framing that a head states: the length of its body, or chunked. -1: neither is stated.
func (h Header) length() (n int64, chunked bool, err error) {
	text, count := h.Get("Content-Length")
	coding, codings := h.Get("Transfer-Encoding")
	switch {
	case count > 1:
		return 0, false, bad("Content-Length stands twice")
	case codings > 1:
		return 0, false, bad("Transfer-Encoding stands twice")
	case count > 0 && codings > 0:
		return 0, false, bad("Content-Length and Transfer-Encoding contradict each other")
	case codings > 0:
		if !strings.EqualFold(coding, "chunked") {
			return 0, false, &Error{501, "the transfer coding is not known"}
		}
		return 0, true, nil
	case count == 0:
		return -1, false, nil
	}
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false, bad("Content-Length is no number")
	}
	n, err = strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, false, &Error{413, "Content-Length is out of range"}
	}
	return n, false, nil
}

// Request reads a request's head. Its body, of Length bytes, is then read by Body. io.EOF means that the
// connection ended before a request began.
func (r *Reader) Request() (*Request, error) {
	if err := r.WaitReadable(); err != nil {
		return nil, err
	}
	if !tokenChar(r.buf[r.at]) {
		return nil, bad("no request begins so")
	}
	left := r.lim.MaxHead
	line, err := r.line(&left)
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !token(method) || target == "" {
		return nil, bad("the request line is not method, target, version")
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, &Error{505, "the version is not HTTP/1.1"}
	}
	if target[0] != '/' {
		return nil, bad("the target does not begin with /")
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c >= 0x7f || c == '#' {
			return nil, bad("the target holds a character that it may not")
		}
	}
	q := &Request{Method: method, Target: target}
	if q.Header, err = r.fields(&left); err != nil {
		return nil, err
	}
	n, chunked, err := q.Header.length()
	switch {
	case err != nil:
		return nil, err
	case chunked:
		return nil, &Error{411, "a request states its length"}
	case n > int64(r.lim.MaxBody):
		return nil, &Error{413, fmt.Sprintf("the body is over %d bytes", r.lim.MaxBody)}
	case n > 0 && (method == "GET" || method == "HEAD"):
		return nil, bad("a " + method + " has a body")
	}
	if _, hosts := q.Header.Get("Host"); hosts > 1 || hosts == 0 && version == "HTTP/1.1" {
		return nil, bad("a request names one Host")
	}
	q.Length = max(0, n)
	q.Close = version == "HTTP/1.0" || q.Header.has("Connection", "close")
	return q, nil
}

// Body reads n bytes that a head stated.
func (r *Reader) Body(n int64) ([]byte, error) {
	if n > int64(r.lim.MaxBody) {
		return nil, &Error{413, "the body is too long"}
	}
	body := make([]byte, n)
	got := copy(body, r.buf[r.at:r.end])
	r.at += got
	if got == len(body) {
		return body, nil
	}
	r.reads++
	if _, err := io.ReadFull(r.src, body[got:]); err != nil {
		return nil, cut(err)
	}
	return body, nil
}

// Discard reads off what still comes, up to most bytes, until the source ends.
func (r *Reader) Discard(most int64) {
	r.at, r.end = 0, 0
	if len(r.buf) == 0 {
		r.buf = make([]byte, firstBuffer)
	}
	for most > 0 {
		n, err := r.src.Read(r.buf)
		if err != nil {
			return
		}
		most -= int64(n)
	}
}

// Response reads a whole answer to a request other than HEAD. Interim answers ahead of it are skipped.
func (r *Reader) Response() (*Response, error) {
	for range mostInterim + 1 {
		p, err := r.response()
		if err != nil || p.Status >= 200 {
			return p, err
		}
	}
	return nil, bad("too many interim answers")
}

// mustBegin fails as soon as what has come cannot be the start of an answer: noise need not end in a line.
func (r *Reader) mustBegin(prefix string) error {
	for {
		n := min(len(prefix), r.Buffered())
		if string(r.buf[r.at:r.at+n]) != prefix[:n] {
			return bad("no answer begins so")
		}
		if n == len(prefix) {
			return nil
		}
		if err := r.fill(); err != nil {
			if n > 0 {
				err = cut(err)
			}
			return err
		}
	}
}

func (r *Reader) response() (*Response, error) {
	if err := r.mustBegin("HTTP/1."); err != nil {
		return nil, err
	}
	left := r.lim.MaxHead
	line, err := r.line(&left)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || (version != "HTTP/1.1" && version != "HTTP/1.0") {
		return nil, bad("the status line is not version, status, reason")
	}
	p := &Response{Status: status}
	if p.Header, err = r.fields(&left); err != nil {
		return nil, err
	}
	if status == 101 {
		return nil, bad("nobody asked for another protocol")
	}
	if status < 200 {
		return p, nil
	}
	p.Close = version == "HTTP/1.0" || p.Header.has("Connection", "close")
	n, chunked, err := p.Header.length()
	switch {
	case err != nil:
		return nil, err
	case status == 204 || status == 304:
		return p, nil
	case chunked:
		p.Body, err = r.chunks()
	case n < 0:
		p.Close = true
		p.Body, err = r.rest()
	default:
		p.Body, err = r.Body(n)
	}
	if err != nil {
		return nil, err
	}
	return p, nil
}

// chunks reads a chunked body.
func (r *Reader) chunks() ([]byte, error) {
	var body []byte
	for {
		left := 256
		line, err := r.line(&left)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 32)
		if err != nil {
			return nil, bad("a chunk's size is no number")
		}
		if n == 0 {
			left = r.lim.MaxHead
			_, err = r.fields(&left) // trailers
			return body, err
		}
		if int64(n)+int64(len(body)) > int64(r.lim.MaxBody) {
			return nil, &Error{413, "the body is too long"}
		}
		chunk, err := r.Body(int64(n))
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
		if line, err = r.line(&left); err != nil {
			return nil, err
		}
		if line != "" {
			return nil, bad("a chunk is longer than its size")
		}
	}
}

// rest reads a body that ends with the connection.
func (r *Reader) rest() ([]byte, error) {
	var body []byte
	for {
		body = append(body, r.buf[r.at:r.end]...)
		r.at = r.end
		if len(body) > r.lim.MaxBody {
			return nil, &Error{413, "the body is too long"}
		}
		if err := r.fill(); errors.Is(err, io.EOF) {
			return body, nil
		} else if err != nil {
			return nil, err
		}
	}
}

// AppendRequest writes a request with its body. The fields must not state its framing.
func AppendRequest(b []byte, method, target string, h Header, body []byte) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\n"...)
	b = appendFields(b, h)
	if len(body) > 0 || method != "GET" {
		b = appendLength(b, len(body))
	}
	return append(append(b, "\r\n"...), body...)
}

// AppendResponse writes an answer with its body. The fields must not state its framing.
func AppendResponse(b []byte, status int, reason string, h Header, body []byte) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), reason...), "\r\n"...)
	b = appendLength(appendFields(b, h), len(body))
	return append(append(b, "\r\n"...), body...)
}

func appendFields(b []byte, h Header) []byte {
	for _, f := range h {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return b
}

func appendLength(b []byte, n int) []byte {
	return append(strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10), "\r\n"...)
}
