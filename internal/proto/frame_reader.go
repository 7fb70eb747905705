package proto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Reader reads frames. It allocates a buffer for each payload, after checking its length against the limit,
// and reuses one buffer for all headers. It must be used by one goroutine only.
type Reader struct {
	source io.Reader
	limits Limits
	prefix [prefixSize]byte
	header []byte // reused; grows to the longest header read
}

// NewReader returns a Reader of the frames from source, which should be buffered.
func NewReader(source io.Reader, limits Limits) *Reader {
	return &Reader{source: source, limits: limits}
}

// Next reads one frame. io.EOF means that the source ended between two frames.
func (r *Reader) Next() (Frame, error) {
	if err := r.readPrefix(); err != nil {
		return Frame{}, err
	}
	prefix := parsePrefix(&r.prefix)
	if err := prefix.validate(r.limits); err != nil {
		return Frame{}, err
	}
	frame := Frame{Type: prefix.frameType, Stream: prefix.stream, Header: r.headerBuffer(prefix.headerLength)}
	if err := r.readFull(frame.Type, frame.Header); err != nil {
		return Frame{}, err
	}
	if prefix.payloadLength > 0 {
		frame.Payload = make([]byte, prefix.payloadLength)
		if err := r.readFull(frame.Type, frame.Payload); err != nil {
			return Frame{}, err
		}
	}
	stated := binary.LittleEndian.Uint32(r.prefix[checksumOffset:])
	if checksum(r.prefix[:], frame.Header, frame.Payload) != stated {
		return Frame{}, fmt.Errorf("%v: %w", frame.Type, ErrChecksum)
	}
	return frame, nil
}

func (r *Reader) readPrefix() error {
	count, err := io.ReadFull(r.source, r.prefix[:])
	if count > 0 && errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: %d of %d bytes of the prefix", ErrTruncated, count, prefixSize)
	}
	return err
}

// headerBuffer returns the buffer into which a header of the given length is read.
func (r *Reader) headerBuffer(length uint32) []byte {
	if cap(r.header) < int(length) {
		r.header = make([]byte, length)
	}
	return r.header[:length]
}

func (r *Reader) readFull(frameType Type, into []byte) error {
	count, err := io.ReadFull(r.source, into)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%v: %w: %d of %d bytes", frameType, ErrTruncated, count, len(into))
	}
	return err
}
