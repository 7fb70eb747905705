// Package arrivaltest prepares tests that depend on times of arrival.
package arrivaltest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"landingpaddle/internal/arrival"
)

const (
	attempts = 100
	// unreadFor is how long each attempt leaves data unread.
	unreadFor = 20 * time.Millisecond
)

var errNotRecorded = errors.New("the kernel records no times of arrival")

// awaitRecording waits until the kernel records times of arrival, which it begins some milliseconds after the
// first socket of the machine asks for them. It records them at least until the returned listener is closed.
func awaitRecording() (io.Closer, error) {
	listener, err := arrival.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	for range attempts {
		recorded, err := isRecorded(listener)
		if err != nil {
			return nil, errors.Join(err, listener.Close())
		}
		if recorded {
			return listener, nil
		}
	}
	return nil, errors.Join(errNotRecorded, listener.Close())
}

// RunTests runs the tests of a package while the kernel records times of arrival, checks that they leave no
// goroutine behind, and exits.
func RunTests(m *testing.M) {
	recording, err := awaitRecording()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer recording.Close()
	goleak.VerifyTestMain(m)
}

// isRecorded reports whether data that is read late tells when it arrived.
func isRecorded(listener *arrival.Listener) (bool, error) {
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		return false, err
	}
	defer client.Close()
	conn, err := listener.Accept()
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if _, err := client.Write([]byte{0}); err != nil {
		return false, err
	}
	time.Sleep(unreadFor)
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return false, err
	}
	return time.Since(conn.(*arrival.Conn).LastArrival()) >= unreadFor/2, nil
}
