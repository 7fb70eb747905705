package testbed

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// play plays a day and checks that every rule is kept; it returns the events.
func play(t *testing.T, d *Scenario) []Event {
	t.Helper()
	p, err := RunScenario(context.Background(), d, Options{Seed: 3, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range CheckInvariants(&d.Site, p.Events) {
		if !v.Holds {
			t.Errorf("%s: %s", v.Rule, v.FirstViolation)
		}
	}
	return p.Events
}

// An instance is killed with requests held: their clients go elsewhere and are served within their wait.
func TestAKilledInstancesClientsAreServedElsewhere(t *testing.T) {
	t.Parallel()
	d := smallDay(t, readClass, "",
		`(traffic (class read) (plan free) (rate 300) (volumes 4) (units 4 4) (writers 2))
		(at 1s (crash (instances 0)))`)
	d.Clients.Retries, d.Clients.FailOver, d.Clients.RetryDelay = 2, true, 20*time.Millisecond
	d.Nodes.Model.PerUnit = 4 * time.Millisecond
	lost, first, served := map[uint64]bool{}, map[uint64]int64{}, 0
	for _, e := range play(t, d) {
		switch e.Kind {
		case KindSent:
			if first[e.Token] == 0 {
				first[e.Token] = e.Time
			}
		case KindBroken:
			lost[e.Token] = true
		case KindAnswer:
			if lost[e.Token] && e.Code == proto.OK {
				if served++; e.Instance != 1 {
					t.Errorf("request %d was served by the killed instance", e.Token)
				}
				if took := time.Duration(e.Time - first[e.Token]); took > time.Second+transitTime {
					t.Errorf("request %d was served after %v", e.Token, took)
				}
			}
		}
	}
	if len(lost) == 0 || served < len(lost)*2/3 {
		t.Errorf("%d requests lost with the instance, %d served elsewhere", len(lost), served)
	}
}

// An instance stands still for a second and wakes with everything due: nothing is answered twice, nothing
// is sent for what it has given up, and it serves again.
func TestAStalledInstanceWakesWithEverythingDue(t *testing.T) {
	t.Parallel()
	d := smallDay(t, readClass+writeClass, "(order-pause 50ms)", reads+
		`(traffic (class write) (plan free) (rate 80) (volumes 2) (units 1 4) (keys 10) (writers 2))
		 (at 800ms (stall (instances 0) (for 1s)))`)
	var woke int64
	after := 0
	for _, e := range play(t, d) {
		if e.Kind == KindInstanceStalled {
			woke = e.Time + e.Wait
		}
		served := e.Kind == KindAnswer && e.Instance == 0 && e.Code == proto.OK
		if served && woke > 0 && e.Time > woke+int64(time.Second/2) {
			after++
		}
	}
	if after == 0 {
		t.Error("the instance serves nothing after it woke")
	}
}

// The clocks of the nodes are ahead by half a minute: nodes that come back are still held for cold, and for
// no longer than they are.
func TestNodeClocksAhead(t *testing.T) {
	t.Parallel()
	d := smallDay(t, readClass,
		`(cold-share 0.1) (cold-units 60) (ramp 1s) (fall-window 500ms) (fall-multiple 2)`,
		`(traffic (class read) (plan free) (rate 300) (volumes 4) (units 1 4) (writers 2))
		 (at 500ms (kill-node (nodes 1) (back 200ms)))`)
	d.Nodes.ClockAhead = 30 * time.Second
	var back int64
	cold, warm := 0, 0
	for _, e := range play(t, d) {
		switch {
		case e.Kind == KindNodeStarted && e.Node == 1 && e.StartedAt != 0:
			back = e.Time
		case e.Kind == KindArrive && e.Node == 1 && back > 0 && e.Time < back+int64(time.Second/2):
			cold += e.Units
		case e.Kind == KindArrive && e.Node == 1 && back > 0 && e.Time > back+int64(1700*time.Millisecond):
			warm += e.Units
		}
	}
	if cold > 120 || warm < 20 {
		t.Errorf("%d units in the first half second, %d when warm", cold, warm)
	}
}

// Each operation at a node is either replied to or called off: what is neither would look to the audit as
// if it were out for ever.
func TestEveryOperationIsRepliedToOrCalledOff(t *testing.T) {
	t.Parallel()
	d := smallDay(t, readClass, "",
		`(traffic (class read) (plan free) (rate 800) (volumes 4) (units 1 4) (writers 2))
		(at 400ms (reset (nodes 0 1 2))) (at 800ms (reset (nodes 0 1 2))) (at 1200ms (reset (nodes 0 1 2)))
		(at 1500ms (corrupt (nodes 0 1))) (at 1600ms (lose-answers (nodes 2) (share 0.5) (for 500ms)))
		(at 2200ms (kill-node (nodes 0) (back 100ms)))`)
	checker := newInvariantChecker(&d.Site, play(t, d))
	for _, s := range checker.requests.sent {
		for _, at := range s.attempts {
			if at.repliedAt == 0 && at.cancelledAt == 0 {
				t.Errorf("request %d at node %d: neither replied nor called off", at.arrive.Token,
					at.arrive.Node)
			}
		}
	}
}

// The answer of an operation whose connection broke a moment before is nobody's: its node logs it as called
// off.
func TestAnAnswerToABrokenConnectionIsLoggedAsCalledOff(t *testing.T) {
	d := smallDay(t, readClass, "", reads)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = proto.Serve(ctx, ln, proto.Config{}, 1, func(context.Context, *proto.Conn) {}) })
	defer wg.Wait()
	defer cancel()
	conn, err := proto.Dial(ctx, ln.Addr().String(), proto.Config{})
	if err != nil {
		t.Fatal(err)
	}
	node, err := NewNode(NodeConfig{Site: &d.Site, Log: NewLog(), Meter: NewMeter(0)})
	if err != nil {
		t.Fatal(err)
	}
	defer node.listener.Close()
	process := &nodeProcess{node: node, conns: map[*proto.Conn]map[uint64]*operation{conn: {}}}
	conn.Close(proto.ErrClosed)
	o := &operation{conn: conn, stream: 1, members: []member{{}}, cancel: func() {}}
	process.answer(o, KindEnd, proto.OK)
	events := node.cfg.Log.Events()
	if last := events[len(events)-1]; last.Kind != KindCancelArrived {
		t.Errorf("logged %+v", events)
	}
}
