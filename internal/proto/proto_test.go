package proto

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"landingpaddle/extent"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func frameBytes(t testing.TB, typ Type, stream uint64, header any, payload []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := appendFrame(&b, typ, stream, header, payload, DefaultLimits); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// Any request and payload come out as they went in.
func TestFramesReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Request{Token: rapid.Uint64().Draw(t, "token"), Class: rapid.Uint16().Draw(t, "class"),
			Key: rapid.Uint64().Draw(t, "key"), Units: rapid.Uint32().Draw(t, "units"),
			Cell: rapid.Int32().Draw(t, "cell"), Write: rapid.Bool().Draw(t, "write"),
			Timeout: time.Duration(rapid.Int64().Draw(t, "wait")),
			Ranged:  rapid.Bool().Draw(t, "ranged"), Data: rapid.Uint64().Draw(t, "data")}
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			q.Members = append(q.Members, Member{Token: rapid.Uint64().Draw(t, "of"),
				Offset: rapid.Uint32().Draw(t, "at"), Try: rapid.Uint16().Draw(t, "try")})
		}
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		var b bytes.Buffer
		stream := rapid.Uint64().Draw(t, "stream")
		if err := appendFrame(&b, TypeRequest, stream, q, payload, DefaultLimits); err != nil {
			t.Fatal(err)
		}
		f, err := NewReader(&b, DefaultLimits).Next()
		if err != nil {
			t.Fatal(err)
		}
		var got Request
		if err := f.Decode(&got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, q) || f.Stream != stream || !bytes.Equal(f.Payload, payload) {
			t.Fatalf("got %+v, want %+v", got, q)
		}
	})
}

// The most members that an operation may have fit a header, with whatever numbers they carry.
func TestMostMembersFitAHeader(t *testing.T) {
	const most = 1<<64 - 1
	q := Request{Token: most, Class: 1<<16 - 1, Plan: 1<<16 - 1, Volume: most, Key: most, Units: 1<<32 - 1,
		Cell: 1<<31 - 1, Timeout: 1<<63 - 1, Try: 1<<16 - 1, VolumeInstances: 1<<16 - 1, Write: true,
		Offset: most,
		Length: 1<<32 - 1, Client: 1<<32 - 1, Ranged: true, Data: most, Piece: 1<<16 - 1}
	for range extent.MaxMembers {
		q.Members = append(q.Members, Member{Token: most, Volume: most, Key: most, Plan: 1<<16 - 1,
			Units: 1<<32 - 1, Offset: 1<<32 - 1, Length: 1<<32 - 1, Piece: 1<<16 - 1, Try: 1<<16 - 1,
			Client: 1<<32 - 1})
	}
	var b bytes.Buffer
	if err := appendFrame(&b, TypeRequest, 1, q, nil, DefaultLimits); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes of %d", b.Len()-prefixSize, DefaultLimits.Header)
}

// A frame that is cut anywhere, changed anywhere or over a limit is one clear error.
func TestBadFrames(t *testing.T) {
	good := frameBytes(t, TypeRequest, 7, Request{Token: 1, Units: 2}, []byte("payload"))
	for n := 1; n < len(good); n++ {
		_, err := NewReader(bytes.NewReader(good[:n]), DefaultLimits).Next()
		if !errors.Is(err, ErrTruncated) {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	for n := range good {
		bad := bytes.Clone(good)
		bad[n] ^= 0x40
		if _, err := NewReader(bytes.NewReader(bad), DefaultLimits).Next(); err == nil {
			t.Fatalf("byte %d changed and not noticed", n)
		}
	}
	for _, c := range []struct {
		lim  Limits
		want error
	}{{Limits{Header: 3, Payload: 100}, ErrHeader}, {Limits{Header: 100, Payload: 3}, ErrPayload}} {
		if _, err := NewReader(bytes.NewReader(good), c.lim).Next(); !errors.Is(err, c.want) {
			t.Errorf("got %v, want %v", err, c.want)
		}
	}
	if _, err := NewReader(bytes.NewReader(nil), DefaultLimits).Next(); !errors.Is(err, io.EOF) {
		t.Errorf("an end between frames: %v", err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(frameBytes(f, TypeRequest, 7, Request{Token: 1}, []byte("x")))
	f.Add(frameBytes(f, TypeAnswer, 7, Answer{Code: OK, Load: []float64{1}}, nil))
	f.Add(frameBytes(f, TypeHello, 0, Hello{Version: 1}, nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data), Limits{Header: 512, Payload: 1024})
		for {
			fr, err := r.Next()
			if err != nil {
				return
			}
			for _, v := range []any{&Request{}, &Answer{}, &Hello{}, &Goodbye{}, &ListVersion{}} {
				_ = fr.Decode(v) // must not panic
			}
		}
	})
}

// pair is both ends of a connection, served and run until the test ends.
func pair(t *testing.T, cfg Config, serve func(*Conn, Frame) error) (client *Conn, ended chan error) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 8)
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = Serve(ctx, ln, cfg, 4, func(ctx context.Context, c *Conn) {
			ended <- c.Run(ctx, func(f Frame) error { return serve(c, f) })
		})
	})
	client, err = Dial(ctx, ln.Addr().String(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); client.Close(nil); wg.Wait() })
	return client, ended
}

func TestManyInFlightAnsweredInAnyOrder(t *testing.T) {
	const n = 500
	var mu sync.Mutex
	var held []uint64
	client, _ := pair(t, Config{}, func(c *Conn, f Frame) error {
		mu.Lock()
		defer mu.Unlock()
		held = append(held, f.Stream)
		if len(held) == n {
			for i := len(held) - 1; i >= 0; i-- { // the last first
				if err := c.Send(TypeAnswer, held[i], Answer{Code: OK},
					[]byte(fmt.Sprint(held[i]))); err != nil {
					return err
				}
			}
		}
		return nil
	})
	for i := range n {
		if err := errors.Join(client.OpenStream(uint64(i)), client.Send(TypeRequest, uint64(i), Request{},
			nil)); err != nil {
			t.Fatal(err)
		}
	}
	got := 0
	err := client.Run(context.Background(), func(f Frame) error {
		if string(f.Payload) != fmt.Sprint(f.Stream) || !client.CloseStream(f.Stream) {
			return fmt.Errorf("stream %d got %q", f.Stream, f.Payload)
		}
		if got++; got == n {
			client.CloseGracefully("done")
		}
		return nil
	})
	if err != nil || got != n {
		t.Errorf("%d answers, %v", got, err)
	}
}

// What one connection does wrong ends that one, with its cause, and no other.
func TestABadConnectionEndsAlone(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 8)
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = Serve(ctx, ln, Config{Handshake: 300 * time.Millisecond}, 8, func(ctx context.Context, c *Conn) {
			ended <- c.Run(ctx, func(f Frame) error {
				return c.Send(TypeAnswer, f.Stream, Answer{Code: OK},
					nil)
			})
		})
	})
	defer wg.Wait()
	defer cancel()
	good, err := Dial(ctx, ln.Addr().String(), Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer good.Close(nil)
	for _, c := range []struct {
		name string
		send []byte
		want error
	}{
		{"garbage", []byte(strings.Repeat("garbage ", 10)), ErrType},
		{"cut", frameBytes(t, TypeRequest, 1, Request{}, []byte("abc"))[:30], ErrTruncated},
	} {
		bad, err := Dial(ctx, ln.Addr().String(), Config{})
		if err != nil {
			t.Fatal(err)
		}
		bad.netConn.Write(c.send)
		bad.netConn.(*net.TCPConn).CloseWrite()
		if err := <-ended; !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		bad.Close(nil)
	}
	nc, err := net.Dial("tcp4", ln.Addr().String()) // greets never
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	answered := errors.New("answered")
	if err := good.Send(TypeRequest, 1, Request{}, nil); err != nil {
		t.Fatal(err)
	}
	if err := good.Run(ctx, func(f Frame) error { return answered }); !errors.Is(err, answered) {
		t.Errorf("the good connection: %v", err)
	}
}

func TestSilenceWithRequestsOutEndsAConnectionIdlenessDoesNotCount(t *testing.T) {
	cfg := Config{Idle: time.Minute, Silence: 1200 * time.Millisecond}
	client, _ := pair(t, cfg, func(*Conn, Frame) error { return nil }) // never answers
	go func() {
		time.Sleep(1500 * time.Millisecond) // idle for longer than Silence
		client.OpenStream(1)
		client.Send(TypeRequest, 1, Request{}, nil)
	}()
	start := time.Now()
	err := client.Run(context.Background(), func(Frame) error { return nil })
	if !errors.Is(err, ErrSilent) {
		t.Fatalf("ended by %v", err)
	}
	if took := time.Since(start); took < 2500*time.Millisecond {
		t.Errorf("ended after %v: the idle time before the request was counted", took)
	}
}

func TestIdleConnectionsCloseInOrder(t *testing.T) {
	client, ended := pair(t, Config{Idle: 100 * time.Millisecond}, func(*Conn, Frame) error { return nil })
	if err := client.Run(context.Background(), func(Frame) error { return nil }); err != nil {
		t.Errorf("client: %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("server: %v", err)
	}
}

func TestAReaderThatDoesNotReadEndsTheConnection(t *testing.T) {
	block := make(chan struct{})
	client, _ := pair(t, Config{Limits: Limits{Header: 4096, Payload: 1 << 20, Streams: 4, Backlog: 4 << 20}},
		func(*Conn, Frame) error { <-block; return nil })
	defer close(block)
	go client.Run(context.Background(), func(Frame) error { return nil })
	var err error
	for i := 0; i < 1000 && err == nil; i++ {
		err = client.Send(TypeRequest, uint64(i), Request{}, make([]byte, 1<<20))
	}
	if !errors.Is(err, ErrBacklog) {
		t.Errorf("got %v", err)
	}
}

func TestStreamsAreBounded(t *testing.T) {
	client, _ := pair(t, Config{Limits: Limits{Header: 4096, Payload: 1, Streams: 2, Backlog: 1 << 20}},
		func(*Conn, Frame) error { return nil })
	err := errors.Join(client.OpenStream(1), client.OpenStream(2))
	if err != nil || !errors.Is(client.OpenStream(2), ErrStreamInUse) ||
		!errors.Is(client.OpenStream(3), ErrTooManyStreams) {
		t.Errorf("%v, then %v and %v", err, client.OpenStream(2), client.OpenStream(3))
	}
	if client.CloseStream(1); client.OpenStream(3) != nil {
		t.Error("a stream that ended still counts")
	}
}

func BenchmarkRoundTrip(b *testing.B) {
	for _, size := range []int{0, 64 << 10} {
		b.Run(fmt.Sprintf("payload=%d", size), func(b *testing.B) {
			payload := make([]byte, size)
			q := Request{Token: 1 << 40, Volume: 1 << 33, Key: 1 << 50, Units: 4, Timeout: time.Second}
			var buf bytes.Buffer
			r := NewReader(&buf, DefaultLimits)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				buf.Reset()
				if err := appendFrame(&buf, TypeRequest, 1, &q, payload, DefaultLimits); err != nil {
					b.Fatal(err)
				}
				f, err := r.Next()
				if err != nil {
					b.Fatal(err)
				}
				var got Request
				if err := f.Decode(&got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
