package proto

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// A request and an answer with all fields set, each to a different value.
var (
	fullRequest = Request{
		Token:           1,
		Class:           2,
		Plan:            3,
		Volume:          4,
		Key:             5,
		Units:           6,
		Cell:            7,
		Timeout:         8 * time.Millisecond,
		ClientTry:       9,
		Attempt:         10,
		VolumeInstances: 11,
		Write:           true,
		Offset:          13,
		Length:          14,
		Client:          15,
		Ranged:          true,
		DataVolumeID:    17,
		Piece:           18,
		WorkFactor:      20,
		Members: []Member{{Token: 1, Volume: 2, Key: 3, Plan: 4, Units: 5, Offset: 6, Length: 7,
			Piece: 8, ClientTry: 9, Client: 10}},
	}
	fullAnswer = Answer{
		Code:           Rejected,
		MeteredRate:    2,
		ElsewhereUnits: 3,
		Load:           []float64{0.5, 2},
		RetryAfter:     5 * time.Millisecond,
		Reason:         "word",
		Cell:           7,
		Unreadable:     []UnreadableRange{{Offset: 1, Length: 2}},
		Done:           9,
		Uncertain:      10,
		Unsent:         11,
	}
)

// The encoding of frames is part of the protocol: testdata/frames.txt contains the frames of version 1.
func TestAppendFrame_WritesTheBytesOfVersion1(t *testing.T) {
	var out strings.Builder
	for _, frame := range []struct {
		frameType Type
		header    any
		payload   []byte
	}{
		{TypeHello, Hello{Version: 1, Role: "client", Number: 3, StartedAt: 4, Header: 5, Payload: 6,
			Streams: 7}, nil},
		{TypeRequest, fullRequest, []byte("bytes")},
		{TypeRequest, Request{Token: 1}, nil},
		{TypeAnswer, fullAnswer, []byte("bytes")},
		{TypeAnswer, Answer{Code: OK}, nil},
		{TypeResponseStarted, nil, nil},
		{TypeCancel, Cancel{Members: []uint16{1, 2}}, nil},
		{TypeHealthCheck, nil, nil},
		{TypeHealthCheckResult, Answer{Code: OK}, nil},
		{TypeDrain, nil, nil},
		{TypeGoodbye, Goodbye{Reason: "word"}, nil},
		{TypeWatch, ListVersion{Epoch: 1, Version: 2}, nil},
		{TypeFetch, ListVersion{}, nil},
		{TypeUpdate, nil, nil},
		{TypeAcknowledge, nil, nil},
		{TypeRegister, nil, nil},
	} {
		var buffer bytes.Buffer
		err := appendFrame(&buffer, frame.frameType, 0x0102, frame.header, frame.payload, DefaultLimits)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%d %x\n", frame.frameType, buffer.Bytes())
	}
	for _, code := range []Code{OK, Error, Overloaded, Cancelled, NotApplicable, Rejected, Failed} {
		fmt.Fprintf(&out, "code %d\n", code)
	}
	checkGolden(t, "testdata/frames.txt", out.String())
}

// checkGolden compares text with the content of a file.
func checkGolden(t *testing.T, path, got string) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}
