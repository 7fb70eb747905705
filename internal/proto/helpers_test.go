package proto

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// frameBytes returns an encoded frame.
func frameBytes(t testing.TB, frameType Type, stream uint64, header any, payload []byte) []byte {
	t.Helper()
	var buffer bytes.Buffer
	if err := appendFrame(&buffer, frameType, stream, header, payload, DefaultLimits); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// startServer serves a free port of the loopback interface until the test ends. handle receives the frames of
// all connections; ended receives the result of each connection.
func startServer(
	t *testing.T, cfg Config, maxConns int, handle func(*Conn, Frame) error,
) (addr string, ended chan error) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 8)
	var serving sync.WaitGroup
	serving.Go(func() {
		_ = Serve(ctx, listener, cfg, maxConns, func(ctx context.Context, conn *Conn) {
			ended <- conn.Run(ctx, func(frame Frame) error { return handle(conn, frame) })
		})
	})
	t.Cleanup(func() { cancel(); serving.Wait() })
	return listener.Addr().String(), ended
}

// dial returns a connection to a server.
func dial(t *testing.T, addr string, cfg Config) *Conn {
	t.Helper()
	conn, err := Dial(context.Background(), addr, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(nil) })
	return conn
}

// connect returns the client's end of a connection to a dedicated server. ended receives the server's result.
func connect(t *testing.T, cfg Config, handle func(*Conn, Frame) error) (client *Conn, ended chan error) {
	t.Helper()
	addr, ended := startServer(t, cfg, 4, handle)
	return dial(t, addr, cfg), ended
}

func ignoreFrame(Frame) error { return nil }

func ignoreServerFrame(*Conn, Frame) error { return nil }
