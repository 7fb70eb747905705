package proto

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// appendFrame appends a frame to buffer, or nothing if it fails. A nil header is encoded as no bytes.
func appendFrame(
	buffer *bytes.Buffer, frameType Type, stream uint64, header any, payload []byte, limits Limits,
) error {
	start := buffer.Len()
	headerLength, err := appendHeader(buffer, frameType, header)
	if err == nil {
		err = checkLengths(frameType, uint64(headerLength), uint64(len(payload)), limits)
	}
	if err != nil {
		buffer.Truncate(start)
		return err
	}
	buffer.Write(payload)
	encoded := buffer.Bytes()[start:]
	prefix{
		frameType:     frameType,
		stream:        stream,
		headerLength:  uint32(headerLength),
		payloadLength: uint32(len(payload)),
	}.put(encoded)
	sum := checksum(encoded, encoded[prefixSize:prefixSize+headerLength], payload)
	binary.LittleEndian.PutUint32(encoded[checksumOffset:], sum)
	return nil
}

// appendHeader appends a zeroed prefix and a header, and returns the length of the header in bytes.
func appendHeader(buffer *bytes.Buffer, frameType Type, header any) (int, error) {
	var zeroedPrefix [prefixSize]byte
	buffer.Write(zeroedPrefix[:])
	if header == nil {
		return 0, nil
	}
	start := buffer.Len()
	if err := headerEncoder.MarshalToBuffer(header, buffer); err != nil {
		return 0, fmt.Errorf("%v header: %w", frameType, err)
	}
	return buffer.Len() - start, nil
}
