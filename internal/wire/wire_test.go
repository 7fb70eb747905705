package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"landingpaddle/scheduler"
)

// unhex turns the protocol page's way of writing a frame into bytes.
func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const pageClock = "90bf68f501000000"

func frameOf(t testing.TB, count, body string) []byte {
	t.Helper()
	b := unhex(t, count+"00000000"+pageClock+body)
	b[4], b[5] = byte(len(b)), byte(len(b)>>8)
	return b
}

func TestEmptyBatchAndReply(t *testing.T) {
	b, err := DecodeBatch(unhex(t, "00000000 10000000 "+pageClock))
	if err != nil || len(b.Records) != 0 || b.Now != 0x1f568bf90 {
		t.Fatalf("got %+v, %v", b, err)
	}
	if got := NewReply().Bytes(); !bytes.Equal(got, unhex(t, "04000000")) {
		t.Fatalf("empty reply is %x", got)
	}
}

func TestPageBatch(t *testing.T) {
	b, err := DecodeBatch(unhex(t, `03000000 5b000000 90bf68f501000000
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
		{Instance: 5, Event: scheduler.ClientGone{ID: 0x0e6f2b19}},
	}
	if !reflect.DeepEqual(b.Records, want) {
		t.Fatalf("got  %+v\nwant %+v", b.Records, want)
	}
}

var serverA = scheduler.Server{Addr: [4]byte{0x0a, 0x12, 0x4a, 0x07}, Port: 5003}
var serverB = scheduler.Server{Addr: [4]byte{0x0a, 0x90, 0x11, 0xf2}, Port: 5044}

func TestPageEvents(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		want Record
	}{
		"members": {`11 3d000000 0300 2900000000000000 01 02000000
			01 0a124a07 8b13 0000 00 0000000000000000 00 0000803f
			01 0a9011f2 b413 0000 00 009d966b01000000 01 0000c03f`,
			Record{Instance: 3, Event: scheduler.EndpointUpdate{Version: 41, Kind: scheduler.UpdateCached,
				Endpoints: []scheduler.Endpoint{
					{Server: serverA, Status: scheduler.Ready, NominalCapacity: 1},
					{Server: serverB, Status: scheduler.Ready, StartedAt: 0x16b969d00, Zone: 1,
						NominalCapacity: 1.5}}}}},
		"probe result": {"17 13000000 0300 0a9011f2 b413 6400 c05c150000000000 00",
			Record{Instance: 3, Event: scheduler.HealthCheckResult{Server: serverB, Code: scheduler.OK,
				Latency: 1400 * time.Microsecond}}},
		"peer": {"18 0c000000 0300 02000000 0400 68692037",
			Record{Instance: 3, Event: scheduler.PeerMessage{From: 2, Body: []byte("hi 7")}}},
		"stop": {"19 02000000 0300", Record{Instance: 3, Stop: true}},
		"first": {"13 15000000 0300 c4913a5d 00 0a124a07 8b13 d0248d0000000000",
			Record{Instance: 3, Event: scheduler.ResponseStarted{ID: 0x5d3a91c4, Server: serverA,
				Latency: 9250 * time.Microsecond}}},
		"outcome": {"14 1d000000 0300 c4913a5d 00 0a124a07 8b13 6400 a0491a0100000000 01 5600 0300 00",
			Record{Instance: 3, Event: scheduler.AttemptResult{ID: 0x5d3a91c4, Server: serverA,
				Code:    scheduler.OK,
				Latency: 18500 * time.Microsecond, RequestDone: true, MeteredRate: 86, ElsewhereUnits: 3}}},
	} {
		b, err := DecodeBatch(frameOf(t, "01000000", c.body))
		if err != nil || len(b.Records) != 1 || !reflect.DeepEqual(b.Records[0], c.want) {
			t.Errorf("%s: got %+v, %v\nwant %+v", name, b.Records, err, c.want)
		}
	}
}

func TestPageActions(t *testing.T) {
	for _, c := range []struct {
		action scheduler.Action
		want   string
	}{
		{scheduler.Send{ID: 0x5d3a91c4, Server: serverA, Timeout: 80 * time.Millisecond},
			"50 14000000 0300 c4913a5d 0a124a07 8b13 00b4c40400000000"},
		{scheduler.Reject{ID: 0x0e6f2b19, RetryAfter: 250 * time.Millisecond},
			"51 0e000000 0300 192b6f0e 80b2e60e00000000"},
		{scheduler.Fail{ID: 0x0e6f2b19}, "52 06000000 0300 192b6f0e"},
		{scheduler.Cancel{ID: 0x5d3a91c4}, "53 07000000 0300 c4913a5d 00"},
		{scheduler.SetTimer{Token: 77, After: 500 * time.Millisecond},
			"54 0e000000 0300 4d000000 0065cd1d00000000"},
		{scheduler.CheckHealth{Server: serverB}, "55 08000000 0300 0a9011f2 b413"},
		{scheduler.CloseIdle{Server: serverB}, "56 08000000 0300 0a9011f2 b413"},
		{scheduler.SendToPeer{To: scheduler.AllPeers, Body: []byte("hi 7")},
			"57 0c000000 0300 ffffffff 0400 68692037"},
		{scheduler.WriteLog{Text: "two servers known"},
			"58 15000000 0300 1100 74776f2073657276657273206b6e6f776e"},
		{scheduler.WatchEndpoints{On: true}, "5a 03000000 0300 01"},
		{scheduler.FetchEndpoints{}, "5b 02000000 0300"},
	} {
		r := NewReply()
		if err := r.Add(3, c.action); err != nil {
			t.Fatal(err)
		}
		if got := r.Bytes()[4:]; !bytes.Equal(got, unhex(t, c.want)) {
			t.Errorf("%T: got %x, want %s", c.action, got, c.want)
		}
	}
	r := NewReply()
	r.Fault(3, "index out of range")
	if want := "59 16000000 0300 1200 696e646578206f7574206f662072616e6765"; !bytes.Equal(r.Bytes()[4:],
		unhex(t, want)) {
		t.Errorf("fault: got %x", r.Bytes()[4:])
	}
}

func TestBadInput(t *testing.T) {
	for name, frame := range map[string][]byte{
		"length too small":   unhex(t, "00000000 0f000000 "+pageClock),
		"length too large":   unhex(t, "00000000 ffffffff "+pageClock),
		"header cut":         unhex(t, "00000000 1000"),
		"frame cut":          unhex(t, "00000000 18000000 "+pageClock+"0000"),
		"more records":       unhex(t, "02000000 10000000 "+pageClock),
		"unknown code":       frameOf(t, "01000000", "63 02000000 0300"),
		"record past frame":  frameOf(t, "01000000", "15 ff000000 0300"),
		"record too short":   frameOf(t, "01000000", "15 04000000 0500 192b"),
		"record too long":    frameOf(t, "01000000", "16 07000000 0300 4d000000 00"),
		"bytes behind":       frameOf(t, "01000000", "19 02000000 0300 00"),
		"too many entries":   frameOf(t, "01000000", "11 0f000000 0300 2900000000000000 01 ffffffff"),
		"list form":          frameOf(t, "01000000", "11 0f000000 0300 2900000000000000 09 00000000"),
		"settings without =": frameOf(t, "01000000", "10 10000000 0300 0000000000000000 02000000 6d65"),
		"clock out of range": unhex(t, "00000000 10000000 ffffffffffffffff"),
		"number not a number": frameOf(t, "01000000",
			"12 30000000 0300 c4913a5d 00 0000c07f 01 00004040 00000000"+strings.Repeat("00", 28)),
	} {
		if b, err := ReadBatch(bytes.NewReader(frame)); err == nil || errors.Is(err, io.EOF) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %+v, %v; want a one-line error", name, b, err)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings("me=2\npeers_total=3\nclasses.count=2\nclasses.0.deadline_ns=2500000000\n" +
		"classes.1.repeat=idempotency_key\nclasses.1.group=cell\nclasses.1.fifo_by_key=true\n" +
		"contracts.count=1\ncontracts.0.never_over=35.0\ndomain.class_writes=false,true\n" +
		"registry_mode=ask\nreport.fields=\nrules.look_back_ns=1000\nunheard.of=some_thing\n")
	if err != nil {
		t.Fatal(err)
	}
	if s.InstanceIndex != 2 || s.Instances != 3 || !s.PollEndpoints || !s.RetryBudget ||
		len(s.Classes) != 2 ||
		len(s.Plans) != 1 ||
		s.LoadFields != nil {
		t.Errorf("got %+v", s)
	}
	if c := s.Classes[1]; c.Idempotency != scheduler.IdempotentByKey || c.DedupScope != scheduler.DedupCell ||
		!c.OrderedByKey ||
		!c.Writes {
		t.Errorf("class 1 is %+v", c)
	}
	if s.Classes[0].Deadline != 2500*time.Millisecond || s.Plans[0].Limit != 35 {
		t.Errorf("got %+v", s)
	}
	for _, bad := range []string{"me=x", "me=1.5", "classes.count=-1", "contracts.count=99999",
		"limits.cancel=maybe",
		"registry_mode=sometimes", "round_ns=-5", "round_ns=nan", "no equals sign"} {
		if _, err := ParseSettings(bad + "\n"); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	if _, err := ParseSettings(""); err != nil {
		t.Errorf("no settings: %v", err)
	}
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add(unhex(f, "00000000 10000000 "+pageClock))
	f.Add(frameOf(f, "01000000", "15 06000000 0500 192b6f0e"))
	f.Add(frameOf(f, "01000000", "11 0f000000 0300 2900000000000000 01 ffffffff"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		b, err := DecodeBatch(frame)
		if err == nil && len(frame) < batchHeaderSize+recordHeaderSize*len(b.Records) {
			t.Errorf("%d records out of %d bytes", len(b.Records), len(frame))
		}
	})
}
