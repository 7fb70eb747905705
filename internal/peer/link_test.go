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

// linkPair returns the running links of instances 0 and 1, and the messages that instance 1 accepts. They run
// until the test ends.
func linkPair(t *testing.T) (sender, receiver *Link, received chan scheduler.PeerMessage) {
	t.Helper()
	peers := map[uint32]netip.AddrPort{}
	sender = listen(t, 0, peers)
	receiver = listen(t, 1, peers)
	peers[0], peers[1] = sender.Addr(), receiver.Addr()
	received = make(chan scheduler.PeerMessage, 8)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = sender.Run(ctx, func(scheduler.PeerMessage) {}) })
	running.Go(func() {
		_ = receiver.Run(ctx, func(message scheduler.PeerMessage) { received <- message })
	})
	t.Cleanup(func() { cancel(); running.Wait() })
	return sender, receiver, received
}

func listen(t *testing.T, instance uint32, peers map[uint32]netip.AddrPort) *Link {
	t.Helper()
	link, err := Listen("127.0.0.1:0", instance, peers, nil)
	if err != nil {
		t.Fatal(err)
	}
	return link
}

// sendInvalidDatagrams sends datagrams that a link must reject.
func sendInvalidDatagrams(t *testing.T, addr netip.AddrPort) {
	t.Helper()
	conn, err := net.Dial("udp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	unknownSender, _ := Encode(7, []byte("x"))
	changed, _ := Encode(0, []byte("abc"))
	changed[9] ^= 1
	tooLong := bytes.Repeat([]byte("LPP1"), 400)
	for _, datagram := range [][]byte{{}, []byte("garbage"), unknownSender, changed, tooLong} {
		if _, err := conn.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
}

// Valid messages are delivered. Malformed or changed datagrams and messages of unknown senders are counted
// and not delivered.
func TestLink_DeliversMessagesAndRejectsInvalidDatagrams(t *testing.T) {
	sender, receiver, received := linkPair(t)
	sendInvalidDatagrams(t, receiver.Addr())
	if err := sender.Send(scheduler.AllPeers, []byte("hello")); err != nil {
		t.Fatal(err)
	}
	select {
	case message := <-received:
		if message.From != 0 || string(message.Body) != "hello" {
			t.Errorf("got %+v, want \"hello\" from instance 0", message)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no message arrived within 5 s")
	}
	if rejected := receiver.Rejected.Load(); rejected < 4 || len(received) > 0 {
		t.Errorf("got %d datagrams rejected and %d invalid ones delivered, want at least 4 and 0",
			rejected, len(received))
	}
}

func TestLink_DoesNotSendOversizedMessages(t *testing.T) {
	sender, _, _ := linkPair(t)
	if err := sender.Send(1, make([]byte, MaxBody+1)); err == nil {
		t.Error("no error for an oversized message")
	}
}
