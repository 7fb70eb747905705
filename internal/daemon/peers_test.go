package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/internal/peer"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Invalid datagrams are discarded, valid ones reach the scheduler, and the instance continues to serve.
func TestInstance_DropsInvalidPeerMessages(t *testing.T) {
	env := newTestEnvironment(t)
	env.addNode(0, echo)
	peers := map[uint32]netip.AddrPort{}
	other, err := peer.Listen("127.0.0.1:0", 1, peers, nil)
	if err != nil {
		t.Fatal(err)
	}
	peers[1] = other.Addr()
	var received atomic.Int64
	instance := env.start(func(cfg *Config) {
		cfg.Instances, cfg.PeerListen, cfg.Peers = 2, "127.0.0.1:0", peers
		cfg.Hooks.Decider = func(_ scheduler.Settings, original Decider) Decider {
			return peerCountingDecider{original,
				&received}
		}
	})
	env.awaitLog("node listed")
	conn, err := net.Dial("udp4", instance.PeerAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	valid, _ := peer.Encode(1, []byte("from a peer"))
	for i := range 200 {
		fmt.Fprintf(conn, "garbage %d", i)
	}
	if _, err := conn.Write(valid); err != nil {
		t.Fatal(err)
	}
	client := env.connectClient()
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("got %+v; want OK", answer)
	}
	for range 200 {
		if received.Load() == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if received.Load() != 1 {
		t.Errorf("got %d messages at the scheduler; want 1", received.Load())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// As ctx has ended, Run only closes the other instance's socket.
	_ = other.Run(ctx, func(scheduler.PeerMessage) {})
}

// New rejects a configuration with peers if the site allows no messages between instances.
func TestNew_RejectsPeersWhereNotAllowed(t *testing.T) {
	site := changedSite()
	_, err := New(Config{Site: site, Listener: newTestEnvironment(t).listen(), PeerListen: "127.0.0.1:0"})
	if err == nil || !strings.Contains(fmt.Sprint(err), "peers") {
		t.Errorf("got error %v; want one that names peers", err)
	}
}
