package wire

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"landingpaddle/scheduler"
)

func TestReply_MayBeEmpty(t *testing.T) {
	if got := NewReply().Bytes(); !bytes.Equal(got, unhex(t, "04000000")) {
		t.Fatalf("empty reply: got %x, want 04000000", got)
	}
}

func TestReply_EncodesDocumentedActions(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(fmt.Sprintf("%T", test.action), func(t *testing.T) {
			reply := NewReply()
			if err := reply.Add(3, test.action); err != nil {
				t.Fatal(err)
			}
			if got := reply.Bytes()[replyHeaderSize:]; !bytes.Equal(got, unhex(t, test.want)) {
				t.Errorf("got %x, want %s", got, test.want)
			}
		})
	}
	reply := NewReply()
	reply.AddFault(3, "index out of range")
	want := "59 16000000 0300 1200 696e646578206f7574206f662072616e6765"
	if got := reply.Bytes()[replyHeaderSize:]; !bytes.Equal(got, unhex(t, want)) {
		t.Errorf("fault: got %x, want the bytes of the documentation", got)
	}
}
