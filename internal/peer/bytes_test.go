package peer

import (
	"encoding/hex"
	"testing"
)

// A datagram's bytes are part of the protocol.
func TestDatagramBytes(t *testing.T) {
	const want = "4c50503107000000626f6479a8eac565"
	b, err := Encode(7, []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(b); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
