package http1

import (
	"bytes"
	"io"
	"runtime"
	"time"

	"landingpaddle/internal/arrival"
)

// Reader reads messages from one connection. Its buffer contains heads and the bytes that were received
// together with them; the rest of a body of known length is read without the buffer.
type Reader struct {
	source     io.Reader
	limits     Limits
	buffer     []byte
	start, end int // bounds of the bytes in buffer that were read but not consumed
	arrivals   arrival.Log
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader, limits Limits) *Reader {
	return &Reader{source: source, limits: limits}
}

// RecordArrivals makes ConsumedAt tell when messages arrived at the source. It must be called before the
// first read.
func (r *Reader) RecordArrivals(source arrival.Source) { r.arrivals = arrival.NewLog(source) }

// Buffered returns the number of bytes that were read but not yet consumed as part of a message.
func (r *Reader) Buffered() int { return r.end - r.start }

// Unread returns a copy of the first bytes, at most limit, that were read but not yet consumed as part of a
// message.
func (r *Reader) Unread(limit int) []byte {
	return bytes.Clone(r.buffer[r.start : r.start+min(limit, r.Buffered())])
}

// BufferSize returns the size of the buffer in bytes.
func (r *Reader) BufferSize() int { return len(r.buffer) }

// ConsumedAt returns when the last byte arrived that was consumed as part of a message; the zero time if that
// is not known, or since Shrink. A byte that was read together with later ones counts as having arrived with
// them.
func (r *Reader) ConsumedAt() time.Time { return r.arrivals.TimeOf(r.Buffered()) }

// ReadAhead blocks until it has read more bytes into the buffer. It buffers up to maxBuffered bytes, or
// Limits.MaxHead if that is more; at this limit it returns ErrBufferFull. An error of the source is returned
// even while messages that were received before it are still in the buffer.
func (r *Reader) ReadAhead(maxBuffered int) error {
	return r.fill(max(maxBuffered, r.limits.MaxHead), ErrBufferFull)
}

// WaitReadable blocks until at least one byte is buffered.
func (r *Reader) WaitReadable() error {
	if r.Buffered() > 0 {
		return nil
	}
	return r.fillToHeadLimit()
}

// Shrink releases the buffer if it holds no unconsumed bytes: an idle connection needs no buffer.
func (r *Reader) Shrink() {
	if r.start == r.end {
		r.buffer, r.start, r.end = nil, 0, 0
		r.arrivals.Release()
	}
}

// Discard discards the buffered bytes, and then all input until the source returns an error or at least
// maxBytes bytes were read.
func (r *Reader) Discard(maxBytes int64) {
	r.start, r.end = 0, 0
	if len(r.buffer) == 0 {
		r.buffer = make([]byte, initialBufferSize)
	}
	for maxBytes > 0 {
		count, err := r.source.Read(r.buffer)
		if err != nil {
			return
		}
		maxBytes -= int64(count)
		runtime.Gosched() // a sender at full speed leaves no read waiting
	}
}

// fillToHeadLimit reads more bytes into the buffer, up to Limits.MaxHead bytes in total.
func (r *Reader) fillToHeadLimit() error { return r.fill(r.limits.MaxHead, errHeadTooLong) }

// fill reads more bytes into the buffer, which grows up to maxBuffered bytes. It returns errFull if the
// buffer is full at that size.
func (r *Reader) fill(maxBuffered int, errFull error) error {
	if err := r.makeRoom(maxBuffered, errFull); err != nil {
		return err
	}
	count, err := r.source.Read(r.buffer[r.end:])
	r.end += count
	if count > 0 {
		r.arrivals.Record(count)
		return nil // an error returned together with bytes is returned again by the next read
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// makeRoom ensures that the buffer has free space at its end.
func (r *Reader) makeRoom(maxBuffered int, errFull error) error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	switch {
	case r.end < len(r.buffer):
	case r.start > 0:
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	case len(r.buffer) >= maxBuffered:
		return errFull
	default:
		grown := make([]byte, min(max(initialBufferSize, 2*len(r.buffer)), maxBuffered))
		copy(grown, r.buffer[:r.end])
		r.buffer = grown
	}
	return nil
}

// readLine reads one line and returns it without the CR LF at its end. All lines of a head share a budget of
// bytes, from which the length of each line is subtracted.
func (r *Reader) readLine(budget *int) (string, error) {
	scanned := 0
	for {
		text := r.buffer[r.start:r.end]
		lineFeed, err := findLineFeed(text, scanned)
		if err != nil {
			return "", err
		}
		if lineFeed >= 0 {
			return r.takeLine(lineFeed, budget)
		}
		scanned = len(text)
		if scanned > *budget {
			return "", errHeadTooLong
		}
		if err := r.fillToHeadLimit(); err != nil {
			return "", unexpectedEOF(err)
		}
	}
}

// takeLine consumes the line whose LF is at index lineFeed of the buffered bytes, and returns it without the
// CR LF.
func (r *Reader) takeLine(lineFeed int, budget *int) (string, error) {
	line := string(r.buffer[r.start : r.start+lineFeed-1])
	length := lineFeed + 1
	r.start += length
	*budget -= length
	if *budget < 0 {
		return "", errHeadTooLong
	}
	return line, nil
}

// findLineFeed returns the index of the LF that ends the first line of text, or -1 if it has not been
// received. The first scanned bytes were checked by an earlier call. A line must end in CR LF and contain no
// control character other than a tab.
func findLineFeed(text []byte, scanned int) (int, error) {
	for i := scanned; i < len(text); i++ {
		char, afterCR := text[i], i > 0 && text[i-1] == '\r'
		switch {
		case char == '\n' && afterCR:
			return i, nil
		case char == '\n':
			return -1, malformed("a line ends in a bare LF")
		case afterCR:
			return -1, malformed("a CR stands inside a line")
		case char < ' ' && char != '\t' && char != '\r' || char == 0x7f:
			return -1, malformed("a control character stands in the head")
		}
	}
	return -1, nil
}
