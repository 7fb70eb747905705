package http1

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// ReadAhead buffers pipelined requests up to its own limit, which may exceed the limit of a head, and reports
// the end of the source while messages are still in the buffer.
func TestReader_ReadAheadIsBounded(t *testing.T) {
	const requests = 300
	text := strings.Repeat("GET /a HTTP/1.1\r\nHost: a\r\n\r\n", requests) // 8,100 bytes
	reader := readerOf(text)
	if err := reader.ReadAhead(100); err != nil || reader.Buffered() == 0 {
		t.Fatalf("%d bytes buffered, %v", reader.Buffered(), err)
	}
	for reader.Buffered() < len(text) {
		if err := reader.ReadAhead(len(text)); err != nil {
			t.Fatalf("after %d bytes: %v", reader.Buffered(), err)
		}
	}
	if err := reader.ReadAhead(len(text)); !errors.Is(err, ErrBufferFull) {
		t.Fatalf("beyond the limit: %v", err)
	}
	if err := reader.ReadAhead(2 * len(text)); !errors.Is(err, io.EOF) || reader.Buffered() != len(text) {
		t.Fatalf("at the end: %v with %d bytes buffered", err, reader.Buffered())
	}
	reads := reader.ReadCount()
	for number := range requests {
		if request, err := reader.ReadRequest(); err != nil || request.Target != "/a" {
			t.Fatalf("request %d: %+v, %v", number, request, err)
		}
	}
	if reader.ReadCount() != reads {
		t.Errorf("%d reads of the source for buffered requests", reader.ReadCount()-reads)
	}
	reader.Shrink()
	if reader.BufferSize() != 0 {
		t.Errorf("buffer size is %d bytes after Shrink", reader.BufferSize())
	}
}

func TestReader_RejectsLongHeadAfterReadAhead(t *testing.T) {
	reader := readerOf(strings.Repeat("a", 2*testLimits.MaxHead))
	for reader.ReadAhead(2*testLimits.MaxHead) == nil {
	}
	if _, err := reader.ReadRequest(); !hasStatus(t, err, http.StatusRequestHeaderFieldsTooLarge) {
		t.Error(err)
	}
}
