package proto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Version is the protocol's version, stated in the handshake. Both sides must use the same version.
const Version = 1

// Type is the type of a frame.
type Type uint8

// The frame types. The numbers must not change.
const (
	TypeHello           Type = 1 // the handshake, first from each side; header Hello
	TypeRequest         Type = 2 // header Request, payload of a write
	TypeAnswer          Type = 3 // the one final answer of a stream; header Answer, payload of a read
	TypeResponseStarted Type = 4 // a streamed answer has begun; no header
	// TypeCancel cancels a stream's request; the final answer is still sent. No header, or Cancel.
	TypeCancel            Type = 5
	TypeHealthCheck       Type = 6  // checks whether the peer serves requests; no header
	TypeHealthCheckResult Type = 7  // answers a health check; header Answer
	TypeDrain             Type = 8  // the sender is draining: it accepts no new requests
	TypeGoodbye           Type = 9  // the sender closes the connection gracefully; header Goodbye
	TypeWatch             Type = 10 // to the registry: header ListVersion; updates until cancelled
	TypeFetch             Type = 11 // to the registry: header ListVersion; one update or answer
	TypeUpdate            Type = 12 // from the registry: header registry.Message
	TypeAcknowledge       Type = 13 // to the registry: confirms the update whose version is the stream
	TypeRegister          Type = 14 // from a node to the registry: header registry.Message

	lastType = TypeRegister
)

// typeNames are the frame types' names in docs/protocol.md and in logs.
var typeNames = [...]string{
	"none", "hello", "request", "answer", "first", "cancel", "probe", "probed", "drain", "bye",
	"watch", "fetch", "news", "heard", "register",
}

// String returns the type's name in the protocol's description.
func (t Type) String() string {
	if int(t) < len(typeNames) {
		return typeNames[t]
	}
	return fmt.Sprintf("type %d", uint8(t))
}

// Frame is a received frame. Header is valid only until the next read; the caller owns Payload.
type Frame struct {
	Type    Type
	Stream  uint64
	Header  []byte
	Payload []byte
}

// Errors of frames. An error in a received frame ends its connection, and no other connection.
var (
	ErrChecksum       = errors.New("checksum does not match")
	ErrHeaderTooLong  = errors.New("header is over the limit")
	ErrPayloadTooLong = errors.New("payload is over the limit")
	ErrReservedBytes  = errors.New("reserved bytes are not zero")
	ErrUnknownType    = errors.New("unknown frame type")
	ErrTruncated      = errors.New("truncated frame")
)

// Layout of the fixed-size prefix before each frame's header. Integers are little-endian.
const (
	headerLengthOffset  = 0  // u32, bytes
	payloadLengthOffset = 4  // u32, bytes
	typeOffset          = 8  // u8
	reservedOffset      = 9  // three bytes, 0
	streamOffset        = 12 // u64
	checksumOffset      = 20 // u32, CRC-32C of the prefix before it, the header and the payload
	prefixSize          = 24
)

// prefix is a frame's prefix without its checksum.
type prefix struct {
	frameType     Type
	stream        uint64
	headerLength  uint32
	payloadLength uint32
	reservedSet   bool // a reserved byte is not zero
}

func parsePrefix(encoded *[prefixSize]byte) prefix {
	reserved := encoded[reservedOffset:streamOffset]
	return prefix{
		frameType:     Type(encoded[typeOffset]),
		stream:        binary.LittleEndian.Uint64(encoded[streamOffset:]),
		headerLength:  binary.LittleEndian.Uint32(encoded[headerLengthOffset:]),
		payloadLength: binary.LittleEndian.Uint32(encoded[payloadLengthOffset:]),
		reservedSet:   reserved[0] != 0 || reserved[1] != 0 || reserved[2] != 0,
	}
}

// put encodes the prefix, except for its checksum, into zeroed bytes.
func (p prefix) put(encoded []byte) {
	binary.LittleEndian.PutUint32(encoded[headerLengthOffset:], p.headerLength)
	binary.LittleEndian.PutUint32(encoded[payloadLengthOffset:], p.payloadLength)
	encoded[typeOffset] = byte(p.frameType)
	binary.LittleEndian.PutUint64(encoded[streamOffset:], p.stream)
}

// validate checks the type, reserved bytes and lengths of a received frame before its header and payload are
// read.
func (p prefix) validate(limits Limits) error {
	switch {
	case p.frameType == 0 || p.frameType > lastType:
		return fmt.Errorf("%w: %d", ErrUnknownType, uint8(p.frameType))
	case p.reservedSet:
		return fmt.Errorf("%v: %w", p.frameType, ErrReservedBytes)
	}
	return checkLengths(p.frameType, uint64(p.headerLength), uint64(p.payloadLength), limits)
}

// checkLengths checks the lengths in bytes of a header and of a payload against the limits.
func checkLengths(frameType Type, header, payload uint64, limits Limits) error {
	switch {
	case header > uint64(limits.MaxHeader):
		return fmt.Errorf("%v: %w: %d > %d bytes", frameType, ErrHeaderTooLong, header, limits.MaxHeader)
	case payload > uint64(limits.MaxPayload):
		return fmt.Errorf("%v: %w: %d > %d bytes", frameType, ErrPayloadTooLong, payload, limits.MaxPayload)
	}
	return nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of a frame; prefix is the encoded prefix.
func checksum(prefix, header, payload []byte) uint32 {
	sum := crc32.Checksum(prefix[:checksumOffset], castagnoli)
	sum = crc32.Update(sum, castagnoli, header)
	return crc32.Update(sum, castagnoli, payload)
}
