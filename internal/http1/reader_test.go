package http1

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// countingSource counts how often it is read.
type countingSource struct {
	io.Reader
	reads int
}

func (s *countingSource) Read(buffer []byte) (int, error) {
	s.reads++
	return s.Reader.Read(buffer)
}

// ReadAhead buffers pipelined requests up to its own limit, which may exceed the limit of a head, and reports
// the end of the source while messages are still in the buffer.
func TestReader_ReadAheadIsBounded(t *testing.T) {
	const requests = 300
	text := strings.Repeat("GET /a HTTP/1.1\r\nHost: a\r\n\r\n", requests) // 8,400 bytes
	source := &countingSource{Reader: strings.NewReader(text)}
	reader := NewReader(source, testLimits)
	if err := reader.ReadAhead(100); err != nil || reader.Buffered() == 0 {
		t.Fatalf("first read: got %d bytes buffered, %v; want some and no error", reader.Buffered(), err)
	}
	for reader.Buffered() < len(text) {
		if err := reader.ReadAhead(len(text)); err != nil {
			t.Fatalf("after %d bytes: %v", reader.Buffered(), err)
		}
	}
	if err := reader.ReadAhead(len(text)); !errors.Is(err, ErrBufferFull) {
		t.Fatalf("at the limit: got %v, want ErrBufferFull", err)
	}
	if err := reader.ReadAhead(2 * len(text)); !errors.Is(err, io.EOF) || reader.Buffered() != len(text) {
		t.Fatalf("at the end: got %v with %d bytes buffered, want io.EOF with all", err, reader.Buffered())
	}
	reads := source.reads
	for number := range requests {
		if request, err := reader.ReadRequest(); err != nil || request.Target != "/a" {
			t.Fatalf("request %d: %+v, %v", number, request, err)
		}
	}
	if source.reads != reads {
		t.Errorf("got %d reads of the source for buffered requests, want 0", source.reads-reads)
	}
	reader.Shrink()
	if reader.BufferSize() != 0 {
		t.Errorf("got a buffer of %d bytes after Shrink, want 0", reader.BufferSize())
	}
}

// The limit of a head also applies to bytes that ReadAhead has buffered beyond it.
func TestReader_RejectsLongHeadAfterReadAhead(t *testing.T) {
	reader := newTestReader(strings.Repeat("a", 2*testLimits.MaxHead))
	for reader.ReadAhead(2*testLimits.MaxHead) == nil {
	}
	if _, err := reader.ReadRequest(); !hasStatus(t, err, http.StatusRequestHeaderFieldsTooLarge) {
		t.Error("want status 431, got:", err)
	}
}
