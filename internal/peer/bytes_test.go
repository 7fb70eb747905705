package peer

import (
	"encoding/hex"
	"testing"
)

// The encoding of a datagram is part of the protocol.
func TestEncode_WritesTheBytesOfTheProtocol(t *testing.T) {
	const want = "4c50503107000000626f6479a8eac565"
	datagram, err := Encode(7, []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(datagram); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
