package proto

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"landingpaddle/extent"
)

func drawRequest(t *rapid.T) Request {
	request := Request{
		Token:        rapid.Uint64().Draw(t, "token"),
		Class:        rapid.Uint16().Draw(t, "class"),
		Key:          rapid.Uint64().Draw(t, "key"),
		Units:        rapid.Uint32().Draw(t, "units"),
		Cell:         rapid.Int32().Draw(t, "cell"),
		Write:        rapid.Bool().Draw(t, "write"),
		Timeout:      time.Duration(rapid.Int64().Draw(t, "timeout")),
		Ranged:       rapid.Bool().Draw(t, "ranged"),
		DataVolumeID: rapid.Uint64().Draw(t, "data"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "members") {
		request.Members = append(request.Members, Member{
			Token:     rapid.Uint64().Draw(t, "member token"),
			Offset:    rapid.Uint32().Draw(t, "member offset"),
			ClientTry: rapid.Uint16().Draw(t, "member try"),
		})
	}
	return request
}

func TestReader_ReadsBackWhatWasAppended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := drawRequest(t)
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		stream := rapid.Uint64().Draw(t, "stream")
		var buffer bytes.Buffer
		if err := appendFrame(&buffer, TypeRequest, stream, request, payload, DefaultLimits); err != nil {
			t.Fatal(err)
		}
		frame, err := NewReader(&buffer, DefaultLimits).Next()
		if err != nil {
			t.Fatal(err)
		}
		var got Request
		if err := frame.Decode(&got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, request) || frame.Stream != stream ||
			!bytes.Equal(frame.Payload, payload) {
			t.Fatalf("got %+v, want %+v", got, request)
		}
	})
}

// The maximum number of members of an operation fits into one header, whatever their values are.
func TestAppendFrame_FitsTheMaximumOfMembersIntoAHeader(t *testing.T) {
	const maxUint64 = 1<<64 - 1
	request := Request{Token: maxUint64, Class: 1<<16 - 1, Plan: 1<<16 - 1, Volume: maxUint64, Key: maxUint64,
		Units: 1<<32 - 1, Cell: 1<<31 - 1, Timeout: 1<<63 - 1, ClientTry: 1<<16 - 1,
		VolumeInstances: 1<<16 - 1, Write: true, Offset: maxUint64, Length: 1<<32 - 1, Client: 1<<32 - 1,
		Ranged: true, DataVolumeID: maxUint64, Piece: 1<<16 - 1}
	for range extent.MaxMembers {
		request.Members = append(request.Members, Member{Token: maxUint64, Volume: maxUint64, Key: maxUint64,
			Plan: 1<<16 - 1, Units: 1<<32 - 1, Offset: 1<<32 - 1, Length: 1<<32 - 1, Piece: 1<<16 - 1,
			ClientTry: 1<<16 - 1, Client: 1<<32 - 1})
	}
	var buffer bytes.Buffer
	if err := appendFrame(&buffer, TypeRequest, 1, request, nil, DefaultLimits); err != nil {
		t.Fatal(err)
	}
	t.Logf("the header has %d bytes, the limit is %d", buffer.Len()-prefixSize, DefaultLimits.MaxHeader)
}

// A frame that is truncated at any length, changed in any byte or over a limit is rejected with an error.
func TestReader_RejectsMalformedFrames(t *testing.T) {
	good := frameBytes(t, TypeRequest, 7, Request{Token: 1, Units: 2}, []byte("payload"))
	read := func(data []byte, limits Limits) error {
		_, err := NewReader(bytes.NewReader(data), limits).Next()
		return err
	}
	t.Run("truncated", func(t *testing.T) {
		for length := 1; length < len(good); length++ {
			if err := read(good[:length], DefaultLimits); !errors.Is(err, ErrTruncated) {
				t.Fatalf("truncated at byte %d: got %v, want ErrTruncated", length, err)
			}
		}
	})
	t.Run("changed", func(t *testing.T) {
		for index := range good {
			changed := bytes.Clone(good)
			changed[index] ^= 0x40
			if read(changed, DefaultLimits) == nil {
				t.Fatalf("change of byte %d was not detected", index)
			}
		}
	})
	t.Run("over a limit", func(t *testing.T) {
		for _, test := range []struct {
			limits Limits
			want   error
		}{
			{Limits{MaxHeader: 3, MaxPayload: 100}, ErrHeaderTooLong},
			{Limits{MaxHeader: 100, MaxPayload: 3}, ErrPayloadTooLong},
		} {
			if err := read(good, test.limits); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		}
	})
	t.Run("end between frames", func(t *testing.T) {
		if err := read(nil, DefaultLimits); !errors.Is(err, io.EOF) {
			t.Errorf("got %v, want %v", err, io.EOF)
		}
	})
}

func FuzzReader(f *testing.F) {
	f.Add(frameBytes(f, TypeRequest, 7, Request{Token: 1}, []byte("x")))
	f.Add(frameBytes(f, TypeAnswer, 7, Answer{Code: OK, Load: []float64{1}}, nil))
	f.Add(frameBytes(f, TypeHello, 0, Hello{Version: 1}, nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewReader(bytes.NewReader(data), Limits{MaxHeader: 512, MaxPayload: 1024})
		for {
			frame, err := reader.Next()
			if err != nil {
				return
			}
			for _, message := range []any{&Request{}, &Answer{}, &Hello{}, &Goodbye{}, &ListVersion{}} {
				_ = frame.Decode(message) // must not panic
			}
		}
	})
}

func BenchmarkRoundTrip(b *testing.B) {
	for _, size := range []int{0, 64 << 10} {
		b.Run(fmt.Sprintf("payload=%d", size), func(b *testing.B) {
			payload := make([]byte, size)
			request := Request{Token: 1 << 40, Volume: 1 << 33, Key: 1 << 50, Units: 4, Timeout: time.Second}
			var buffer bytes.Buffer
			reader := NewReader(&buffer, DefaultLimits)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				buffer.Reset()
				if err := appendFrame(&buffer, TypeRequest, 1, &request, payload, DefaultLimits); err != nil {
					b.Fatal(err)
				}
				frame, err := reader.Next()
				if err != nil {
					b.Fatal(err)
				}
				var got Request
				if err := frame.Decode(&got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
