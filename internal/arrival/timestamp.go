package arrival

import (
	"encoding/binary"
	"syscall"
	"time"
)

// Layout of the control message with a time of arrival on 64-bit systems, in bytes: its own length (8), level
// (4) and type (4), then seconds (8) and nanoseconds (8).
const (
	levelOffset       = 8
	typeOffset        = 12
	secondsOffset     = 16
	nanosecondsOffset = 24
	controlSize       = 32
)

// parseTimestamp returns the time in a control message, and false if the message holds none.
func parseTimestamp(control []byte) (at time.Time, ok bool) {
	if len(control) < controlSize || binary.NativeEndian.Uint64(control) != controlSize ||
		binary.NativeEndian.Uint32(control[levelOffset:]) != syscall.SOL_SOCKET ||
		binary.NativeEndian.Uint32(control[typeOffset:]) != syscall.SCM_TIMESTAMPNS {
		return time.Time{}, false
	}
	seconds := int64(binary.NativeEndian.Uint64(control[secondsOffset:]))
	nanoseconds := int64(binary.NativeEndian.Uint64(control[nanosecondsOffset:]))
	return time.Unix(seconds, nanoseconds), true
}
