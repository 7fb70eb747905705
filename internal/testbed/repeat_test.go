package testbed

import (
	"context"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// A repeat that comes while the first attempt is in progress is answered once that has taken effect. Where
// the first attempt's connection breaks before, it takes no effect, and the repeat is carried out: it must
// not have been answered as done by then.
func TestNode_AnswersARepeatOnlyOnceTheEffectIsThere(t *testing.T) {
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
			send := func(c *proto.Conn) {
				if err := c.OpenStream(1); err != nil {
					t.Fatal(err)
				}
				if err := c.Send(proto.TypeRequest, 1, write, nil); err != nil {
					t.Fatal(err)
				}
			}
			send(first)
			waitFor(t, node, KindStart, 1)
			write.Attempt = 1
			send(second)
			waitFor(t, node, KindArrive, 2)
			if breakFirst {
				first.Close(proto.ErrClosed)
			}
			select {
			case answer := <-answers:
				if answer.Code != proto.OK || countKind(node, KindEnd) != 1 {
					t.Errorf("answer %+v after %d effects, want 1", answer, countKind(node, KindEnd))
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the repeat has no answer")
			}
		})
	}
}

// startNode runs a node with one slow core and keyed writes, and returns what connects to it.
func startNode(t *testing.T) (*Node, func() (*proto.Conn, <-chan proto.Answer)) {
	d := smallDay(t, writeClass, "", "")
	d.Nodes.Model.Cores = 1
	group := NewDedupGroup()
	node, err := NewNode(NodeConfig{Model: d.Nodes.Model, Site: &d.Site, Registry: "127.0.0.1:1",
		Log: NewLog(), Meter: NewMeter(0),
		DedupGroups: func(scheduler.DedupScope) *DedupGroup { return group }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = node.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return node, func() (*proto.Conn, <-chan proto.Answer) {
		conn, err := proto.Dial(ctx, node.Addr().String(), proto.Config{})
		if err != nil {
			t.Fatal(err)
		}
		answers := make(chan proto.Answer, 4)
		wg.Go(func() {
			_ = conn.Run(ctx, func(f proto.Frame) error {
				var answer proto.Answer
				if f.Type == proto.TypeAnswer && f.Decode(&answer) == nil {
					answers <- answer
				}
				return nil
			})
		})
		return conn, answers
	}
}

func countKind(n *Node, kind Kind) (count int) {
	for _, e := range n.cfg.Log.Events() {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// waitFor waits until a node has logged so many events of a kind.
func waitFor(t *testing.T, n *Node, kind Kind, count int) {
	t.Helper()
	for by := time.Now().Add(5 * time.Second); countKind(n, kind) < count; time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("not %d events %s within 5 s", count, kind)
		}
	}
}
