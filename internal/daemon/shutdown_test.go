package daemon

import (
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// A graceful shutdown answers all open calls and rejects new ones; then Run returns nil.
func TestInstance_AnswersOpenCallsBeforeStopping(t *testing.T) {
	env := newTestEnvironment(t)
	env.addNode(0, func(conn *proto.Conn, frame proto.Frame, request proto.Request) error {
		if frame.Type == proto.TypeRequest {
			time.AfterFunc(200*time.Millisecond, func() {
				conn.CloseStream(frame.Stream)
				_ = conn.Send(proto.TypeAnswer, frame.Stream, proto.Answer{Code: proto.OK}, nil)
			})
		}
		return nil
	})
	instance := env.start(nil)
	env.awaitLog("node listed")
	client := env.connectClient()
	for range 5 {
		client.sendRequest(nil)
	}
	for instance.Stats.Attempts.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	instance.Stop()
	env.awaitLog("instance stopping")
	if answer := client.call(nil); answer.Reason != ReasonStopping || answer.RetryAfter <= 0 {
		t.Errorf("got %+v for a new request; want reason stopping and a RetryAfter", answer)
	}
	select {
	case err := <-env.ended:
		if err != nil {
			t.Errorf("got error %v from Run; want nil", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return within 5s")
	}
	for stream := uint64(1); stream <= 5; stream++ {
		if answer := client.awaitAnswer(stream); answer.Code != proto.OK {
			t.Errorf("open request %d: got %+v; want OK", stream, answer)
		}
	}
	<-client.ended
	client.expectOneAnswerEach()
}

// A kill takes effect immediately: connections close, open calls get no answer, no goroutine is left.
func TestInstance_KillEndsAtOnce(t *testing.T) {
	env := newTestEnvironment(t)
	env.addNode(0, ignoreRequest)
	instance := env.start(nil)
	env.awaitLog("node listed")
	client := env.connectClient()
	client.sendRequest(nil)
	for instance.Stats.Attempts.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	env.cancel()
	<-env.ended
	<-client.ended
	if took := time.Since(start); took > 2*time.Second || len(client.answersTo(1)) != 0 {
		t.Errorf("got end after %v with answers %v; want at most 2s and none", took, client.answersTo(1))
	}
}

// A call that was admitted before Stop is answered even if it is submitted only at the end of the shutdown
// timeout, before or after the loop starts to fail the open calls.
func TestEventLoop_AnswersCallsSubmittedAfterShutdownTimeout(t *testing.T) {
	for _, submittedFirst := range []bool{true, false} {
		drivers := &stubDrivers{}
		eventLoop := NewEventLoop(EventLoopConfig{Settings: scheduler.Settings{Instances: 1,
			Classes: []scheduler.Class{{LatencyObjective: time.Second, Deadline: time.Second}},
			Plans:   []scheduler.Plan{{Weight: 1}}}})
		l := newLoop(eventLoop, Drivers{Upstream: drivers, Endpoints: drivers})
		l.now = eventLoop.Now()
		if reason := eventLoop.Admit(1); reason != "" {
			t.Fatal("call not admitted:", reason)
		}
		eventLoop.Stop()
		call := &Call{
			Responder:  drivers,
			ReceivedAt: l.now,
			Timeout:    time.Second,
			Request:    scheduler.Request{Units: 1, VolumeInstances: 1},
		}
		var wg sync.WaitGroup
		if submittedFirst {
			eventLoop.Submit(call)
		} else {
			wg.Go(func() {
				time.Sleep(maxSubmitDelay / 10)
				eventLoop.Submit(call)
			})
		}
		l.failOpenCalls()
		wg.Wait()
		if len(drivers.answers) != 1 || drivers.answers[0].Reason != ReasonStopping ||
			eventLoop.openCalls.Load() != 0 {
			t.Errorf("submitted first %v: got answers %+v, %d open; want one with reason stopping, 0 open",
				submittedFirst, drivers.answers, eventLoop.openCalls.Load())
		}
		if reason := eventLoop.Admit(1); reason != ReasonStopping {
			t.Errorf("after Stop: got reason %q; want stopping", reason)
		}
	}
}

// A graceful shutdown answers all calls of a merged operation that is in flight at the stop.
func TestInstance_AnswersMergedCallsBeforeStopping(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		time.AfterFunc(300*time.Millisecond, func() { _ = disk.execute(conn, frame, request, nil) })
		return true
	}
	var ids []uint64
	for i := range uint64(12) {
		ids = append(ids, env.sendRead(volume, i*1000, 1000, nil))
	}
	for env.instance.Stats.Merged.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	env.instance.Stop()
	env.awaitLog("instance stopping")
	if err := <-env.ended; err != nil {
		t.Error("got an error from Run; want nil:", err)
	}
	<-env.defaultClient.ended
	env.awaitLog("all.admitted=14 all.served=14") // 12 reads, and one request to each node at the start
	env.awaitLog("all.saved=11")
	for i, id := range ids {
		env.expectRead(id, volume, uint64(i)*1000, 1000)
	}
	env.defaultClient.expectOneAnswerEach()
}
