package peer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"landingpaddle/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Messages reach the other end; garbage, strangers and changed bytes are counted and go no further.
func TestMessagesAndGarbage(t *testing.T) {
	peers := map[uint32]netip.AddrPort{}
	a, err := Listen("127.0.0.1:0", 0, peers, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Listen("127.0.0.1:0", 1, peers, nil)
	if err != nil {
		t.Fatal(err)
	}
	peers[0], peers[1] = a.Addr(), b.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan scheduler.PeerMessage, 8)
	var wg sync.WaitGroup
	wg.Go(func() { _ = a.Run(ctx, func(scheduler.PeerMessage) {}) })
	wg.Go(func() { _ = b.Run(ctx, func(p scheduler.PeerMessage) { got <- p }) })
	defer wg.Wait()
	defer cancel()
	out, err := net.Dial("udp4", b.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	stranger, _ := Encode(7, []byte("x"))
	changed, _ := Encode(0, []byte("abc"))
	changed[9] ^= 1
	for _, junk := range [][]byte{{}, []byte("garbage"), stranger, changed, bytes.Repeat([]byte("LPP1"),
		400)} {
		if _, err := out.Write(junk); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Send(scheduler.AllPeers, []byte("hello")); err != nil {
		t.Fatal(err)
	}
	select {
	case p := <-got:
		if p.From != 0 || string(p.Body) != "hello" {
			t.Errorf("got %+v", p)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("nothing came")
	}
	if n := b.Rejected.Load(); n < 4 || len(got) > 0 {
		t.Errorf("%d bad ones counted, %d let through", n, len(got))
	}
	if err := a.Send(1, make([]byte, MaxBody+1)); err == nil {
		t.Error("an oversized message is sent")
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := Encode(3, []byte("body"))
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		from, body, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(from, body)
		if err != nil || !bytes.Equal(again, data) {
			t.Fatalf("%x reads back as %x, %v", data, again, err)
		}
	})
}
