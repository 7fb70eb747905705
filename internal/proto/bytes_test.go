package proto

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// Each frame's bytes are part of the protocol: version 1 is what testdata/frames.txt says.
func TestFrameBytes(t *testing.T) {
	request := Request{
		Token:   1,
		Class:   2,
		Plan:    3,
		Volume:  4,
		Key:     5,
		Units:   6,
		Cell:    7,
		Wait:    8 * time.Millisecond,
		Try:     9,
		Attempt: 10,
		Writers: 11,
		Write:   true,
		Offset:  13,
		Length:  14,
		Client:  15,
		Ranged:  true,
		Data:    17,
		Piece:   18,
		Odd:     20,
		Members: []Member{{Token: 1, Volume: 2, Key: 3, Plan: 4, Units: 5, Offset: 6, Length: 7,
			Piece: 8, Try: 9, Client: 10}},
	}
	answer := Answer{
		Code:      Refused,
		Metered:   2,
		Elsewhere: 3,
		Load:      []float64{0.5, 2},
		Advice:    5 * time.Millisecond,
		Reason:    "word",
		Cell:      7,
		Bad:       []Bad{{Offset: 1, Length: 2}},
		Done:      9,
		Unsure:    10,
		Unsent:    11,
	}
	var out strings.Builder
	for _, frame := range []struct {
		kind    Type
		header  any
		payload []byte
	}{
		{TypeHello, Hello{Version: 1, Role: "client", Number: 3, Boot: 4, Header: 5, Payload: 6,
			Streams: 7}, nil},
		{TypeRequest, request, []byte("bytes")},
		{TypeRequest, Request{Token: 1}, nil},
		{TypeAnswer, answer, []byte("bytes")},
		{TypeAnswer, Answer{Code: OK}, nil},
		{TypeFirst, nil, nil},
		{TypeCancel, Cancel{Members: []uint16{1, 2}}, nil},
		{TypeProbe, nil, nil},
		{TypeProbed, Answer{Code: OK}, nil},
		{TypeDrain, nil, nil},
		{TypeBye, Bye{Reason: "word"}, nil},
		{TypeWatch, Ask{Epoch: 1, Version: 2}, nil},
		{TypeFetch, Ask{}, nil},
		{TypeNews, nil, nil},
		{TypeHeard, nil, nil},
		{TypeRegister, nil, nil},
	} {
		var b bytes.Buffer
		if err := appendFrame(&b, frame.kind, 0x0102, frame.header, frame.payload,
			DefaultLimits); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%d %x\n", frame.kind, b.Bytes())
	}
	for _, code := range []Code{OK, Error, Full, Dropped, Moot, Refused, Failed} {
		fmt.Fprintf(&out, "code %d\n", code)
	}
	golden(t, "testdata/frames.txt", out.String())
}

func golden(t *testing.T, path, got string) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}
