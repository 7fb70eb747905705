package http1

import "io"

// Reader reads messages from one connection. Its buffer holds heads, and bodies only as far as they came
// with the bytes of a head.
type Reader struct {
	source     io.Reader
	limits     Limits
	buffer     []byte
	start, end int // of the bytes in buffer that were read and not taken
	readCount  int
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader, limits Limits) *Reader {
	return &Reader{source: source, limits: limits}
}

// Buffered returns how many bytes have been read and belong to no message yet.
func (r *Reader) Buffered() int { return r.end - r.start }

// BufferSize returns the size of the buffer in bytes.
func (r *Reader) BufferSize() int { return len(r.buffer) }

// ReadCount returns how often the source was read: a message that was taken without a read was buffered
// completely before.
func (r *Reader) ReadCount() int { return r.readCount }

// ReadAhead blocks until more bytes have come than are buffered. Up to maxBuffered bytes are buffered, or a
// head's limit if that is more; beyond it the error is ErrBufferFull. An error of the source is returned
// while messages that came before it are still in the buffer.
func (r *Reader) ReadAhead(maxBuffered int) error {
	return r.fill(max(maxBuffered, r.limits.MaxHead), ErrBufferFull)
}

// WaitReadable blocks until at least one byte is buffered.
func (r *Reader) WaitReadable() error {
	if r.Buffered() > 0 {
		return nil
	}
	return r.fillHead()
}

// Shrink releases the buffer if it is empty, as an idle connection needs none.
func (r *Reader) Shrink() {
	if r.start == r.end {
		r.buffer, r.start, r.end = nil, 0, 0
	}
}

// Discard reads and drops what still comes until the source ends, or maxBytes were read.
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
	}
}

// fillHead reads more of a head.
func (r *Reader) fillHead() error { return r.fill(r.limits.MaxHead, errHeadTooLong) }

// fill reads more. The buffer grows up to maxBuffered bytes; errFull is the error if it is that large and
// full.
func (r *Reader) fill(maxBuffered int, errFull error) error {
	if err := r.makeRoom(maxBuffered, errFull); err != nil {
		return err
	}
	count, err := r.source.Read(r.buffer[r.end:])
	r.readCount++
	r.end += count
	if count > 0 {
		return nil // an error that came with bytes comes again at the next read
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// makeRoom ensures that the buffer has free bytes at its end.
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

// readLine takes one line from the source, without the CR LF that ends it. All lines of a head share a
// budget of bytes, which is counted down.
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
		if err := r.fillHead(); err != nil {
			return "", unexpectedEOF(err)
		}
	}
}

// takeLine takes the line whose LF was found at an index of what is buffered.
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

// findLineFeed returns the index of the LF that ends the first line of text, or -1 if it has not come. The
// first scanned bytes were looked at before. A line must end in CR LF and contain no other control character
// than a tab.
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
