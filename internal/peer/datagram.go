package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// MaxBody is the maximum length of a message's body, in bytes.
const MaxBody = 256

// A datagram consists of a magic string, the sender's instance number (u32, little-endian), the body, and the
// CRC-32C of the preceding bytes (u32, little-endian).
const (
	magic        = "LPP1"
	senderSize   = 4 // bytes
	checksumSize = 4 // bytes
	bodyOffset   = len(magic) + senderSize
	overhead     = bodyOffset + checksumSize
)

// Errors of datagrams.
var (
	ErrBodyTooLong = fmt.Errorf("message body exceeds %d bytes", MaxBody)
	ErrMalformed   = errors.New("malformed datagram")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the datagram of a message from an instance. The error of a body over MaxBody wraps
// ErrBodyTooLong.
func Encode(sender uint32, body []byte) ([]byte, error) {
	if len(body) > MaxBody {
		return nil, fmt.Errorf("%w: %d", ErrBodyTooLong, len(body))
	}
	datagram := make([]byte, 0, overhead+len(body))
	datagram = append(datagram, magic...)
	datagram = binary.LittleEndian.AppendUint32(datagram, sender)
	datagram = append(datagram, body...)
	return binary.LittleEndian.AppendUint32(datagram, crc32.Checksum(datagram, castagnoli)), nil
}

// Decode returns the sender and the body of a datagram. The body shares the datagram's memory. The error of
// an invalid datagram wraps ErrMalformed.
func Decode(datagram []byte) (sender uint32, body []byte, err error) {
	if len(datagram) < overhead || len(datagram) > overhead+MaxBody {
		return 0, nil, ErrMalformed
	}
	if string(datagram[:len(magic)]) != magic {
		return 0, nil, ErrMalformed
	}
	bodyEnd := len(datagram) - checksumSize
	checked, checksum := datagram[:bodyEnd], datagram[bodyEnd:]
	if crc32.Checksum(checked, castagnoli) != binary.LittleEndian.Uint32(checksum) {
		return 0, nil, fmt.Errorf("%w: checksum does not match", ErrMalformed)
	}
	return binary.LittleEndian.Uint32(checked[len(magic):]), checked[bodyOffset:], nil
}
