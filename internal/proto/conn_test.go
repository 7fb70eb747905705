package proto

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"
)

func TestConn_AnswersManyStreamsInAnyOrder(t *testing.T) {
	const requests = 500
	client, _ := connect(t, Config{}, answerLastFirst(requests))
	for stream := range uint64(requests) {
		err := errors.Join(client.OpenStream(stream), client.Send(TypeRequest, stream, Request{}, nil))
		if err != nil {
			t.Fatal(err)
		}
	}
	answers := 0
	err := client.Run(context.Background(), func(frame Frame) error {
		if string(frame.Payload) != fmt.Sprint(frame.Stream) || !client.CloseStream(frame.Stream) {
			return fmt.Errorf("stream %d: got payload %q, want the number of an open stream", frame.Stream,
				frame.Payload)
		}
		if answers++; answers == requests {
			client.CloseGracefully("done")
		}
		return nil
	})
	if err != nil || answers != requests {
		t.Errorf("got %d answers and error %v, want one answer to each request and no error", answers, err)
	}
}

// answerLastFirst returns a handler that collects a number of requests and answers them in reverse order. The
// payload of an answer is its stream.
func answerLastFirst(requests int) func(*Conn, Frame) error {
	var mu sync.Mutex
	var streams []uint64
	return func(conn *Conn, frame Frame) error {
		mu.Lock()
		defer mu.Unlock()
		streams = append(streams, frame.Stream)
		if len(streams) < requests {
			return nil
		}
		for i := len(streams) - 1; i >= 0; i-- {
			payload := []byte(fmt.Sprint(streams[i]))
			if err := conn.Send(TypeAnswer, streams[i], Answer{Code: OK}, payload); err != nil {
				return err
			}
		}
		return nil
	}
}

func TestConn_EndsAfterSilenceNotCountingIdleTime(t *testing.T) {
	cfg := Config{IdleTimeout: time.Minute, SilenceTimeout: 1200 * time.Millisecond}
	client, _ := connect(t, cfg, ignoreServerFrame) // never answers
	go func() {
		time.Sleep(1500 * time.Millisecond) // idle for longer than SilenceTimeout
		client.OpenStream(1)
		client.Send(TypeRequest, 1, Request{}, nil)
	}()
	started := time.Now()
	err := client.Run(context.Background(), ignoreFrame)
	if !errors.Is(err, ErrSilent) {
		t.Fatalf("ended with %v, want ErrSilent", err)
	}
	if elapsed := time.Since(started); elapsed < 2500*time.Millisecond {
		t.Errorf("ended after %v: the idle time before the request was counted", elapsed)
	}
}

func TestConn_ClosesGracefullyWhenIdle(t *testing.T) {
	client, ended := connect(t, Config{IdleTimeout: 100 * time.Millisecond}, ignoreServerFrame)
	if err := client.Run(context.Background(), ignoreFrame); err != nil {
		t.Errorf("client: got %v, want no error", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("server: got %v, want no error", err)
	}
}

func TestConn_EndsIfThePeerDoesNotRead(t *testing.T) {
	block := make(chan struct{})
	limits := Limits{MaxHeader: 4096, MaxPayload: 1 << 20, MaxStreams: 4, MaxBacklog: 4 << 20}
	client, _ := connect(t, Config{Limits: limits}, func(*Conn, Frame) error { <-block; return nil })
	defer close(block)
	go client.Run(context.Background(), ignoreFrame)
	var err error
	for stream := uint64(0); stream < 1000 && err == nil; stream++ {
		err = client.Send(TypeRequest, stream, Request{}, make([]byte, 1<<20))
	}
	if !errors.Is(err, ErrBacklogFull) {
		t.Errorf("got %v, want ErrBacklogFull", err)
	}
}

func TestConn_BoundsStreamsInFlight(t *testing.T) {
	limits := Limits{MaxHeader: 4096, MaxPayload: 1, MaxStreams: 2, MaxBacklog: 1 << 20}
	client, _ := connect(t, Config{Limits: limits}, ignoreServerFrame)
	err := errors.Join(client.OpenStream(1), client.OpenStream(2))
	if err != nil || !errors.Is(client.OpenStream(2), ErrStreamInUse) ||
		!errors.Is(client.OpenStream(3), ErrTooManyStreams) {
		t.Errorf("streams 1 and 2: got %v, want no error; then got %v and %v, want ErrStreamInUse and "+
			"ErrTooManyStreams", err, client.OpenStream(2), client.OpenStream(3))
	}
	if client.CloseStream(1); client.OpenStream(3) != nil {
		t.Error("a closed stream still counts as in flight")
	}
}
