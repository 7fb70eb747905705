package wire

import (
	"encoding/hex"
	"strings"
	"testing"

	"landingpaddle/scheduler"
)

// unhex returns the bytes of a frame in the notation of the protocol's documentation: hex digits with white
// space.
func unhex(t testing.TB, text string) []byte {
	t.Helper()
	decoded, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// exampleClock is the encoded clock of the batches in the protocol's documentation.
const exampleClock = "90bf68f501000000"

// frameOf returns the frame of a batch at exampleClock, of less than 64 KiB. count, the number of records,
// and body, the records, are in the notation of unhex.
func frameOf(t testing.TB, count, body string) []byte {
	t.Helper()
	frame := unhex(t, count+"00000000"+exampleClock+body)
	frame[4], frame[5] = byte(len(frame)), byte(len(frame)>>8)
	return frame
}

// Servers of the examples in the protocol's documentation.
var (
	serverA = scheduler.Server{Addr: [4]byte{0x0a, 0x12, 0x4a, 0x07}, Port: 5003}
	serverB = scheduler.Server{Addr: [4]byte{0x0a, 0x90, 0x11, 0xf2}, Port: 5044}
)
