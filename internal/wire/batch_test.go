package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"landingpaddle/scheduler"
)

func TestDecodeBatch_DecodesEmptyBatch(t *testing.T) {
	batch, err := DecodeBatch(unhex(t, "00000000 10000000 "+exampleClock))
	if err != nil || len(batch.Records) != 0 || batch.Now != 0x1f568bf90 {
		t.Fatalf("got %+v, %v; want the documented clock and no records", batch, err)
	}
}

func TestDecodeBatch_DecodesDocumentedBatch(t *testing.T) {
	batch, err := DecodeBatch(unhex(t, `03000000 5b000000 90bf68f501000000
		12 30000000 0300 c4913a5d 00 00000000 01 00004040 00000000 640ad2557c3bf091 90dbb60302000000
		107cf3d901648e2b 00000040
		16 06000000 0300 4d000000
		15 06000000 0500 192b6f0e`))
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{
		{Instance: 3, Event: scheduler.Request{ID: 0x5d3a91c4, VolumeInstances: 3, Key: 0x91f03b7c55d20a64,
			ExpiresAt: 0x203b6db90, Volume: 0x2b8e6401d9f37c10, Units: 2}},
		{Instance: 3, Event: scheduler.TimerFired{Token: 77}},
		{Instance: 5, Event: scheduler.RequestWithdrawn{ID: 0x0e6f2b19}},
	}
	if !reflect.DeepEqual(batch.Records, want) {
		t.Fatalf("got  %+v\nwant %+v", batch.Records, want)
	}
}

func TestReadBatch_RejectsInvalidFrames(t *testing.T) {
	for name, frame := range map[string][]byte{
		"length too small":   unhex(t, "00000000 0f000000 "+exampleClock),
		"length too large":   unhex(t, "00000000 ffffffff "+exampleClock),
		"header truncated":   unhex(t, "00000000 1000"),
		"frame truncated":    unhex(t, "00000000 18000000 "+exampleClock+"0000"),
		"too few records":    unhex(t, "02000000 10000000 "+exampleClock),
		"unknown code":       frameOf(t, "01000000", "63 02000000 0300"),
		"record past frame":  frameOf(t, "01000000", "15 ff000000 0300"),
		"record too short":   frameOf(t, "01000000", "15 04000000 0500 192b"),
		"record too long":    frameOf(t, "01000000", "16 07000000 0300 4d000000 00"),
		"trailing bytes":     frameOf(t, "01000000", "19 02000000 0300 00"),
		"too many endpoints": frameOf(t, "01000000", "11 0f000000 0300 2900000000000000 01 ffffffff"),
		"update kind":        frameOf(t, "01000000", "11 0f000000 0300 2900000000000000 09 00000000"),
		"settings without =": frameOf(t, "01000000", "10 10000000 0300 0000000000000000 02000000 6d65"),
		"clock out of range": unhex(t, "00000000 10000000 ffffffffffffffff"),
		"number not a number": frameOf(t, "01000000",
			"12 30000000 0300 c4913a5d 00 0000c07f 01 00004040 00000000"+strings.Repeat("00", 28)),
	} {
		t.Run(name, func(t *testing.T) {
			batch, err := ReadBatch(bytes.NewReader(frame))
			if err == nil || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %+v, %v; want a one-line error", batch, err)
			}
		})
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: got %v, want io.EOF", err)
	}
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add(unhex(f, "00000000 10000000 "+exampleClock))
	f.Add(frameOf(f, "01000000", "15 06000000 0500 192b6f0e"))
	f.Add(frameOf(f, "01000000", "11 0f000000 0300 2900000000000000 01 ffffffff"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		batch, err := DecodeBatch(frame)
		if err == nil && len(frame) < batchHeaderSize+recordHeaderSize*len(batch.Records) {
			t.Errorf("%d records decoded from %d bytes", len(batch.Records), len(frame))
		}
	})
}
