package daemon

import (
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// A graceful shutdown answers all open calls, rejects new ones, and ends.
func TestInstance_AnswersOpenCallsBeforeStopping(t *testing.T) {
	r := newTestEnvironment(t)
	r.node(0, func(c *proto.Conn, f proto.Frame, q proto.Request) error {
		if f.Type == proto.TypeRequest {
			time.AfterFunc(200*time.Millisecond, func() {
				c.CloseStream(f.Stream)
				_ = c.Send(proto.TypeAnswer, f.Stream, proto.Answer{Code: proto.OK}, nil)
			})
		}
		return nil
	})
	inst := r.start(nil)
	r.logged("node listed")
	c := r.client()
	for range 5 {
		c.ask(nil)
	}
	for inst.Stats.Attempts.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	inst.Stop()
	r.logged("instance stopping")
	if a := c.wait(c.ask(nil)); a.Reason != ReasonStopping || a.RetryAfter <= 0 {
		t.Errorf("a new request got %+v", a)
	}
	select {
	case err := <-r.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("does not end")
	}
	for s := uint64(1); s <= 5; s++ {
		if a := c.wait(s); a.Code != proto.OK {
			t.Errorf("held request %d got %+v", s, a)
		}
	}
	<-c.ended
	c.once()
}

// A kill ends at once: connections close, open calls get no answer, no goroutine stays.
func TestInstance_KillEndsAtOnce(t *testing.T) {
	r := newTestEnvironment(t)
	r.node(0, ignoreRequest)
	inst := r.start(nil)
	r.logged("node listed")
	c := r.client()
	c.ask(nil)
	for inst.Stats.Attempts.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	r.cancel()
	<-r.ended
	<-c.ended
	if took := time.Since(start); took > 2*time.Second || len(c.all(1)) != 0 {
		t.Errorf("ended after %v with %v", took, c.all(1))
	}
}

// A call that was admitted before the stop and is submitted only when the shutdown timeout is over is
// answered all the same, in either order of the two.
func TestEventLoop_AnswersCallsSubmittedAfterShutdownTimeout(t *testing.T) {
	for _, first := range []bool{true, false} {
		edges := &stubDrivers{}
		c := NewEventLoop(EventLoopConfig{Settings: scheduler.Settings{Instances: 1,
			Classes: []scheduler.Class{{LatencyObjective: time.Second, Deadline: time.Second}},
			Plans:   []scheduler.Plan{{Weight: 1}}}})
		l := newLoop(c, Drivers{Upstream: edges, Endpoints: edges})
		l.now = c.Now()
		if why := c.Admit(1); why != "" {
			t.Fatal(why)
		}
		c.Stop()
		call := &Call{
			Responder:  edges,
			ReceivedAt: l.now,
			Wait:       time.Second,
			Request:    scheduler.Request{Units: 1, VolumeInstances: 1},
		}
		var wg sync.WaitGroup
		if first {
			c.Submit(call)
		} else {
			wg.Go(func() {
				time.Sleep(maxHandOver / 10)
				c.Submit(call)
			})
		}
		l.failOpenCalls()
		wg.Wait()
		if len(edges.got) != 1 || edges.got[0].Reason != ReasonStopping || c.openCalls.Load() != 0 {
			t.Errorf("taken first %v: answers %+v, %d open", first, edges.got, c.openCalls.Load())
		}
		if why := c.Admit(1); why != ReasonStopping {
			t.Errorf("after the stop: %q", why)
		}
	}
}

// A graceful shutdown with merged operations in flight and other calls waiting answers all of them.
func TestInstance_AnswersMergedCallsBeforeStopping(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		time.AfterFunc(300*time.Millisecond, func() { _ = d.do(c, f, q, nil) })
		return true
	}
	var ids []uint64
	for i := range uint64(12) {
		ids = append(ids, x.read(v, i*1000, 1000, nil))
	}
	for x.inst.Stats.Merged.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	x.inst.Stop()
	x.logged("instance stopping")
	if err := <-x.ended; err != nil {
		t.Error(err)
	}
	<-x.c.ended
	x.logged("all.admitted=14 all.served=14")
	x.logged("all.saved=11")
	for i, id := range ids {
		x.got(id, v, uint64(i)*1000, 1000)
	}
	x.c.once()
}
