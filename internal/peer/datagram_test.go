package peer

import (
	"bytes"
	"testing"
)

func FuzzDecode(f *testing.F) {
	valid, _ := Encode(3, []byte("body"))
	f.Add(valid)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		sender, body, err := Decode(datagram)
		if err != nil {
			return
		}
		encoded, err := Encode(sender, body)
		if err != nil || !bytes.Equal(encoded, datagram) {
			t.Fatalf("%x decoded and encoded: got %x, error %v; want the same bytes", datagram, encoded, err)
		}
	})
}
