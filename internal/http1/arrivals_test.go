package http1

import (
	"io"
	"strings"
	"testing"
	"time"
)

// piecewiseSource returns one piece of a stream with each read; piece n arrives n seconds after the epoch.
type piecewiseSource struct {
	pieces []string
	reads  int
}

func (s *piecewiseSource) Read(buffer []byte) (int, error) {
	if s.reads == len(s.pieces) {
		return 0, io.EOF
	}
	s.reads++
	return copy(buffer, s.pieces[s.reads-1]), nil
}

func (s *piecewiseSource) LastArrival() time.Time { return time.Unix(int64(s.reads), 0) }

// A request arrived with its last byte, whatever was read together with the request or ahead of it.
func TestReader_TellsArrivalOfLastByte(t *testing.T) {
	const head = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	const put = "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	for name, test := range map[string]struct {
		pieces []string
		want   []int64 // the piece with which each request arrived
	}{
		"one piece each":        {[]string{head, head}, []int64{1, 2}},
		"two in one piece":      {[]string{head + head}, []int64{1, 1}},
		"head in two pieces":    {[]string{head[:9], head[9:]}, []int64{2}},
		"end with the next one": {[]string{head[:9], head[9:] + head[:9], head[9:]}, []int64{2, 3}},
		"body in the buffer":    {[]string{put + "body"}, []int64{1}},
		"body in a later piece": {[]string{put, "bo", "dy"}, []int64{3}},
	} {
		t.Run(name, func(t *testing.T) {
			source := &piecewiseSource{pieces: test.pieces}
			reader := NewReader(source, testLimits)
			reader.RecordArrivals(source)
			for number, want := range test.want {
				readOneRequest(t, reader)
				if got := reader.ConsumedAt(); got.Unix() != want {
					t.Errorf("request %d: got piece %d, want piece %d", number, got.Unix(), want)
				}
			}
		})
	}
}

func readOneRequest(t *testing.T, reader *Reader) {
	t.Helper()
	request, err := reader.ReadRequest()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := reader.ReadBody(request.Length); err != nil {
		t.Fatal(err)
	}
}

// maxPieces is the number of pieces that are told apart while they are read ahead.
const maxPieces = 16

// Read ahead, each request still tells its own piece; beyond maxPieces pieces, a later one.
func TestReader_TellsArrivalOfRequestsReadAhead(t *testing.T) {
	const head, count = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", maxPieces + 4
	source := &piecewiseSource{pieces: strings.Split(strings.Repeat(head+"|", count-1)+head, "|")}
	reader := NewReader(source, testLimits)
	reader.RecordArrivals(source)
	for range count {
		if err := reader.ReadAhead(count * len(head)); err != nil {
			t.Fatal(err)
		}
	}
	for number := int64(1); number <= count; number++ {
		want := number
		if number >= maxPieces {
			want = count
		}
		readOneRequest(t, reader)
		if got := reader.ConsumedAt().Unix(); got != want {
			t.Errorf("request %d: got piece %d, want %d", number, got, want)
		}
	}
	reader.Shrink()
	if at := reader.ConsumedAt(); !at.IsZero() {
		t.Errorf("after Shrink: got %v, want the zero time", at)
	}
}

func TestReader_TellsNoArrivalUnlessRecorded(t *testing.T) {
	reader := newTestReader("GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	if at := reader.ConsumedAt(); !at.IsZero() {
		t.Errorf("before a request: got %v, want the zero time", at)
	}
	readOneRequest(t, reader)
	if at := reader.ConsumedAt(); !at.IsZero() {
		t.Errorf("got %v, want the zero time", at)
	}
}
