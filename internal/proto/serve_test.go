package proto

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

// An error on one connection ends that connection with its cause, and no other connection.
func TestServe_EndsOnlyTheBadConnection(t *testing.T) {
	cfg := Config{HandshakeTimeout: 300 * time.Millisecond}
	addr, ended := startServer(t, cfg, 8, func(conn *Conn, frame Frame) error {
		return conn.Send(TypeAnswer, frame.Stream, Answer{Code: OK}, nil)
	})
	good := dial(t, addr, Config{})
	for _, test := range []struct {
		name string
		sent []byte
		want error
	}{
		{"garbage", []byte(strings.Repeat("garbage ", 10)), ErrUnknownType},
		{"truncated", frameBytes(t, TypeRequest, 1, Request{}, []byte("abc"))[:30], ErrTruncated},
	} {
		t.Run(test.name, func(t *testing.T) {
			bad := dial(t, addr, Config{})
			bad.netConn.Write(test.sent)
			bad.netConn.(interface{ CloseWrite() error }).CloseWrite()
			if err := <-ended; !errors.Is(err, test.want) {
				t.Error("the connection did not end with its cause, but with:", err)
			}
		})
	}
	silent, err := net.Dial("tcp4", addr) // never sends a Hello
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	answered := errors.New("answered")
	if err := good.Send(TypeRequest, 1, Request{}, nil); err != nil {
		t.Fatal(err)
	}
	err = good.Run(context.Background(), func(Frame) error { return answered })
	if !errors.Is(err, answered) {
		t.Errorf("the good connection: got %v, want an answer to its request", err)
	}
}
