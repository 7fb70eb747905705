package testbed

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// A duplicate that arrives while the first attempt is in progress is answered after that attempt has taken
// effect. If the first attempt's connection breaks before, the attempt takes no effect and the duplicate is
// executed: it must not be answered as done before that.
func TestNode_AnswersDuplicateOnlyAfterTheEffect(t *testing.T) {
	for name, breakFirst := range map[string]bool{
		"the first attempt ends": false,
		"its connection breaks":  true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node, dial := startNode(t)
			first, _ := dial()
			second, answers := dial()
			write := proto.Request{Token: 1, Class: 0, Volume: 1, Units: 40, Timeout: time.Second,
				Write: true}
			sendRequest(t, first, write)
			waitForEvents(t, node, KindStart, 1)
			write.Attempt = 1
			sendRequest(t, second, write)
			waitForEvents(t, node, KindArrive, 2)
			if breakFirst {
				first.Close(proto.ErrClosed)
			}
			select {
			case answer := <-answers:
				if answer.Code != proto.OK || countEvents(node, KindEnd) != 1 {
					t.Errorf("got answer %+v after %d effects, want OK after 1", answer,
						countEvents(node, KindEnd))
				}
			case <-time.After(5 * time.Second):
				t.Fatal("no answer to the duplicate within 5 s")
			}
		})
	}
}

// Each operation at a node is either replied to or cancelled; the invariant checker would treat one that is
// neither as in progress until the end of the log.
func TestNode_RepliesToOrCancelsEveryOperation(t *testing.T) {
	t.Parallel()
	scenario := smallScenario(t, readClass, "",
		`(traffic (class read) (plan free) (rate 800) (volumes 4) (units 1 4) (writers 2))
		(at 400ms (reset (nodes 0 1 2))) (at 800ms (reset (nodes 0 1 2))) (at 1200ms (reset (nodes 0 1 2)))
		(at 1500ms (corrupt (nodes 0 1))) (at 1600ms (lose-answers (nodes 2) (share 0.5) (for 500ms)))
		(at 2200ms (kill-node (nodes 0) (back 100ms)))`)
	checker := newInvariantChecker(&scenario.Site, runKeepingRules(t, scenario))
	for _, request := range checker.requests.sent {
		for _, attempt := range request.attempts {
			if attempt.repliedAt == 0 && attempt.cancelledAt == 0 {
				t.Errorf("request %d at node %d: neither replied to nor cancelled", attempt.arrive.Token,
					attempt.arrive.Node)
			}
		}
	}
}

// An operation may end after its connection, so that its answer cannot be sent: the node logs the operation
// as cancelled.
func TestNode_LogsAnAnswerToABrokenConnectionAsCancelled(t *testing.T) {
	scenario := smallScenario(t, readClass, "", readTraffic)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() {
		_ = proto.Serve(ctx, listener, proto.Config{}, 1, func(context.Context, *proto.Conn) {})
	})
	defer serving.Wait()
	defer cancel()
	conn, err := proto.Dial(ctx, listener.Addr().String(), proto.Config{})
	if err != nil {
		t.Fatal(err)
	}
	node, err := NewNode(NodeConfig{Site: &scenario.Site, Log: NewLog(), Meter: NewMeter(0)})
	if err != nil {
		t.Fatal(err)
	}
	defer node.listener.Close()
	process := &nodeProcess{node: node, conns: map[*proto.Conn]map[uint64]*operation{conn: {}}}
	conn.Close(proto.ErrClosed)
	op := &operation{conn: conn, stream: 1, members: []member{{}}, cancel: func() {}}
	process.answer(op, KindEnd, proto.OK)
	events := node.cfg.Log.Events()
	if last := events[len(events)-1]; last.Kind != KindCancelArrived {
		t.Errorf("got events %+v, want a cancellation last", events)
	}
}

// startNode runs a node with one slow core for writes with idempotency keys. It returns the node and a
// function that opens a connection to it and returns the answers received on it.
func startNode(t *testing.T) (*Node, func() (*proto.Conn, <-chan proto.Answer)) {
	t.Helper()
	scenario := smallScenario(t, writeClass, "", "")
	scenario.Nodes.Model.Cores = 1
	group := NewDedupGroup()
	node, err := NewNode(NodeConfig{
		Model:       scenario.Nodes.Model,
		Site:        &scenario.Site,
		Registry:    "127.0.0.1:1", // not reachable: the connections don't depend on the registry
		Log:         NewLog(),
		Meter:       NewMeter(0),
		DedupGroups: func(scheduler.DedupScope) *DedupGroup { return group },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = node.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return node, func() (*proto.Conn, <-chan proto.Answer) {
		conn, err := proto.Dial(ctx, node.Addr().String(), proto.Config{})
		if err != nil {
			t.Fatal(err)
		}
		answers := make(chan proto.Answer, 4)
		running.Go(func() { forwardAnswers(ctx, conn, answers) })
		return conn, answers
	}
}

// forwardAnswers sends the answers received on a connection to a channel until the connection ends.
func forwardAnswers(ctx context.Context, conn *proto.Conn, answers chan<- proto.Answer) {
	_ = conn.Run(ctx, func(frame proto.Frame) error {
		var answer proto.Answer
		if frame.Type == proto.TypeAnswer && frame.Decode(&answer) == nil {
			answers <- answer
		}
		return nil
	})
}

// sendRequest sends the first request on a connection.
func sendRequest(t *testing.T, conn *proto.Conn, request proto.Request) {
	t.Helper()
	if err := conn.OpenStream(1); err != nil {
		t.Fatal(err)
	}
	if err := conn.Send(proto.TypeRequest, 1, request, nil); err != nil {
		t.Fatal(err)
	}
}

func countEvents(node *Node, kind Kind) (count int) {
	for _, event := range node.cfg.Log.Events() {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// waitForEvents waits until a node has logged count events of a kind.
func waitForEvents(t *testing.T, node *Node, kind Kind, count int) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for countEvents(node, kind) < count {
		if time.Now().After(deadline) {
			t.Fatalf("fewer than %d events %s within 5 s", count, kind)
		}
		time.Sleep(time.Millisecond)
	}
}
