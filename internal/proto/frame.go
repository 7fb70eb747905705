// Package proto is the protocol between clients, instances, nodes and the list service: frames over TCP, many
// requests in flight on one connection, answers in any order. docs/protocol.md describes it for others.
package proto

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Version of the protocol, told in the greeting. Both sides must speak the same.
const Version = 1

// Type tells what a frame is.
type Type uint8

// The frame types.
const (
	TypeHello           Type = 1 // the greeting, first on each side; header Hello
	TypeRequest         Type = 2 // header Request, payload of a write
	TypeAnswer          Type = 3 // the one final answer of a stream; header Answer, payload of a read
	TypeResponseStarted Type = 4 // a streamed answer has begun; no header
	// the stream's answer is no longer wanted; it still comes; no header or Cancel
	TypeCancel            Type = 5
	TypeHealthCheck       Type = 6  // asks whether the other side lives; no header
	TypeHealthCheckResult Type = 7  // its answer; header Answer
	TypeDrain             Type = 8  // the sender takes nothing new from now on
	TypeGoodbye           Type = 9  // the sender closes the connection in order; header Bye
	TypeWatch             Type = 10 // to the list service: header Ask; News until the connection ends
	TypeFetch             Type = 11 // to the list service: header Ask; one News or Answer
	TypeUpdate            Type = 12 // from the list service: header is the list's own
	TypeAcknowledge       Type = 13 // to the list service: the News of this stream has been taken in
	TypeRegister          Type = 14 // to the list service, from a node: header is the list's own
)

func (t Type) String() string {
	names := [...]string{"none", "hello", "request", "answer", "first", "cancel", "probe", "probed", "drain",
		"bye", "watch", "fetch", "news", "heard", "register"}
	if int(t) < len(names) {
		return names[t]
	}
	return fmt.Sprintf("type %d", uint8(t))
}

// The fixed part in front of each frame, little-endian:
//
//	0  u32  length of the header
//	4  u32  length of the payload
//	8  u8   type
//	9  u8   0
//	10 u16  0
//	12 u64  stream
//	20 u32  CRC-32C of bytes 0 to 19, the header and the payload
const headerSize = 24

// Limits bound what one connection takes from the other side.
type Limits struct {
	Header  int // bytes of one header
	Payload int // bytes of one payload
	Streams int // requests in flight
	Backlog int // bytes waiting to be written
}

// DefaultLimits fit object reads and writes of a few MiB.
var DefaultLimits = Limits{Header: 4 << 10, Payload: 8 << 20, Streams: 1024, Backlog: 32 << 20}

// LimitsFor fit payloads of a stated size: a few of them may wait to be written.
func LimitsFor(payload, streams int) Limits {
	return Limits{Header: DefaultLimits.Header, Payload: payload, Streams: streams, Backlog: 4*payload +
		1<<20}
}

// Frame is one frame as read. The header is only valid until the next read; the payload is the reader's to
// keep.
type Frame struct {
	Type    Type
	Stream  uint64
	Header  []byte
	Payload []byte
}

// Errors of frames. Each ends the connection on which it came, and no other.
var (
	ErrChecksum  = errors.New("checksum does not match")
	ErrHeader    = errors.New("header is over the limit")
	ErrPayload   = errors.New("payload is over the limit")
	ErrReserved  = errors.New("reserved bytes are not zero")
	ErrType      = errors.New("frame type is not known")
	ErrTruncated = errors.New("frame is cut short")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encoding of headers: CBOR by RFC 8949 with small whole numbers as keys. What is read is bounded, may not
// double a key, and may hold keys that are not known, so that later versions can add some.
var (
	encMode = func() cbor.UserBufferEncMode {
		m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	decMode = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 256,
			DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

// Decode reads a frame's header into v.
func (f Frame) Decode(v any) error {
	if err := decMode.Unmarshal(f.Header, v); err != nil {
		return fmt.Errorf("%v header: %w", f.Type, err)
	}
	return nil
}

// appendFrame adds a frame to b. A nil header is none.
func appendFrame(b *bytes.Buffer, t Type, stream uint64, header any, payload []byte, lim Limits) error {
	start := b.Len()
	var lead [headerSize]byte
	b.Write(lead[:])
	if header != nil {
		if err := encMode.MarshalToBuffer(header, b); err != nil {
			b.Truncate(start)
			return fmt.Errorf("%v header: %w", t, err)
		}
	}
	size := b.Len() - start - headerSize
	if size > lim.Header || len(payload) > lim.Payload {
		b.Truncate(start)
		if size > lim.Header {
			return fmt.Errorf("%v: %w: %d bytes of %d", t, ErrHeader, size, lim.Header)
		}
		return fmt.Errorf("%v: %w: %d bytes of %d", t, ErrPayload, len(payload), lim.Payload)
	}
	b.Write(payload)
	out := b.Bytes()[start:]
	binary.LittleEndian.PutUint32(out[0:], uint32(size))
	binary.LittleEndian.PutUint32(out[4:], uint32(len(payload)))
	out[8] = byte(t)
	binary.LittleEndian.PutUint64(out[12:], stream)
	sum := crc32.Update(crc32.Checksum(out[:20], castagnoli), castagnoli, out[headerSize:])
	binary.LittleEndian.PutUint32(out[20:], sum)
	return nil
}

// Reader reads frames. It allocates payloads, and no more for one than the limit.
type Reader struct {
	r      io.Reader
	lim    Limits
	lead   [headerSize]byte
	header []byte
}

// NewReader reads frames from r, which should be buffered.
func NewReader(r io.Reader, lim Limits) *Reader { return &Reader{r: r, lim: lim} }

// Next reads one frame. io.EOF means that the input ended between two frames.
func (r *Reader) Next() (Frame, error) {
	if n, err := io.ReadFull(r.r, r.lead[:]); err != nil {
		if n > 0 && errors.Is(err, io.ErrUnexpectedEOF) {
			return Frame{}, fmt.Errorf("%w: %d of %d bytes of its fixed part", ErrTruncated, n, headerSize)
		}
		return Frame{}, err
	}
	header, payload := binary.LittleEndian.Uint32(r.lead[0:]), binary.LittleEndian.Uint32(r.lead[4:])
	f := Frame{Type: Type(r.lead[8]), Stream: binary.LittleEndian.Uint64(r.lead[12:])}
	switch {
	case f.Type == 0 || f.Type > TypeRegister:
		return Frame{}, fmt.Errorf("%w: %d", ErrType, r.lead[8])
	case r.lead[9] != 0 || r.lead[10] != 0 || r.lead[11] != 0:
		return Frame{}, fmt.Errorf("%v: %w", f.Type, ErrReserved)
	case uint64(header) > uint64(r.lim.Header):
		return Frame{}, fmt.Errorf("%v: %w: %d bytes of %d", f.Type, ErrHeader, header, r.lim.Header)
	case uint64(payload) > uint64(r.lim.Payload):
		return Frame{}, fmt.Errorf("%v: %w: %d bytes of %d", f.Type, ErrPayload, payload, r.lim.Payload)
	}
	if cap(r.header) < int(header) {
		r.header = make([]byte, header)
	}
	f.Header = r.header[:header]
	if err := r.full(f.Type, f.Header); err != nil {
		return Frame{}, err
	}
	if payload > 0 {
		f.Payload = make([]byte, payload)
		if err := r.full(f.Type, f.Payload); err != nil {
			return Frame{}, err
		}
	}
	sum := crc32.Update(crc32.Checksum(r.lead[:20], castagnoli), castagnoli, f.Header)
	if crc32.Update(sum, castagnoli, f.Payload) != binary.LittleEndian.Uint32(r.lead[20:]) {
		return Frame{}, fmt.Errorf("%v: %w", f.Type, ErrChecksum)
	}
	return f, nil
}

func (r *Reader) full(t Type, into []byte) error {
	n, err := io.ReadFull(r.r, into)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%v: %w: %d of %d bytes", t, ErrTruncated, n, len(into))
	}
	return err
}
