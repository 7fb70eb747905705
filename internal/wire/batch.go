package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"landingpaddle/scheduler"
)

// Sizes in bytes.
const (
	batchHeaderSize  = 16 // count of records, length of the frame, clock
	recordHeaderSize = 5  // code, length of the body
	maxFrameSize     = 1 << 30
)

// Offsets in the header of a batch.
const (
	frameLengthOffset = 4
	clockOffset       = 8
)

// InstanceStart starts an instance with new state; one that is running is replaced.
type InstanceStart struct {
	Seed     uint64
	Settings scheduler.Settings
}

// Record is one event for one instance: a start, a stop, or an event for the scheduler.
type Record struct {
	Instance uint16
	Start    *InstanceStart  // nil: not a start
	Stop     bool            // the instance stops
	Event    scheduler.Event // nil: a start or a stop
}

// Batch contains the records received at one clock value.
type Batch struct {
	Now     time.Duration // the clock value
	Records []Record
}

// ReadBatch reads and decodes one frame. It returns io.EOF if the input ended before a frame began; after any
// other error the input cannot be read any further.
func ReadBatch(r io.Reader) (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("input ends inside a batch header")
		}
		return Batch{}, err
	}
	size := binary.LittleEndian.Uint32(header[frameLengthOffset:])
	if size < batchHeaderSize || size > maxFrameSize {
		return Batch{}, fmt.Errorf("invalid frame length %d", size)
	}
	frame := make([]byte, size)
	copy(frame, header[:])
	if _, err := io.ReadFull(r, frame[batchHeaderSize:]); err != nil {
		return Batch{}, errors.New("input ends inside a frame")
	}
	return DecodeBatch(frame)
}

// DecodeBatch decodes one complete frame.
func DecodeBatch(frame []byte) (Batch, error) {
	if len(frame) < batchHeaderSize ||
		int(binary.LittleEndian.Uint32(frame[frameLengthOffset:])) != len(frame) {
		return Batch{}, errors.New("invalid frame length")
	}
	count := binary.LittleEndian.Uint32(frame)
	d := &decoder{rest: frame[clockOffset:]}
	batch := Batch{Now: d.duration()}
	if int64(count)*recordHeaderSize > int64(len(d.rest)) {
		return Batch{}, fmt.Errorf("%d records cannot fit in %d bytes", count, len(d.rest))
	}
	batch.Records = make([]Record, 0, count)
	for index := range count {
		code, body := d.uint8(), d.take(int64(d.uint32()))
		if d.err != nil {
			return Batch{}, fmt.Errorf("record %d: %w", index, d.err)
		}
		record, err := decodeRecord(code, body)
		if err != nil {
			return Batch{}, fmt.Errorf("record %d, code %d: %w", index, code, err)
		}
		batch.Records = append(batch.Records, record)
	}
	if len(d.rest) > 0 || d.err != nil {
		return Batch{}, fmt.Errorf("frame has %d bytes after its last record", len(d.rest))
	}
	return batch, nil
}
