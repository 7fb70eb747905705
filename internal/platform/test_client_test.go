package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	testClientTimeout = 10 * time.Second
	healthRequest     = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
)

// testClient is a client's connection.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (f *gatewayFixture) dial() *testClient {
	f.t.Helper()
	return dialTestClient(f.t, f.address)
}

func dialTestClient(t *testing.T, address string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	return newTestClient(t, conn)
}

func newTestClient(t *testing.T, conn net.Conn) *testClient {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testClientTimeout))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// readAnswer reads one answer with the standard library's reader, to be independent of package http1.
func (c *testClient) readAnswer() (status int, header http.Header, body string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if response.Close { // http.ReadResponse removes the field
		response.Header.Set("Connection", "close")
	}
	return response.StatusCode, response.Header, string(content)
}

// isClosed reports whether the connection has ended, by a close or a reset, before another byte arrives.
func (c *testClient) isClosed() bool {
	_, err := c.reader.ReadByte()
	return err != nil
}

// expectGracefulClose checks that no more bytes arrive and that the connection is closed without a reset.
func (c *testClient) expectGracefulClose() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("got byte %q, error %v; want the connection closed without a reset", b, err)
	}
}

// requestText returns a request as clients send it, with additional header lines.
func requestText(method, class, id string, shard int, body string, headerLines ...string) string {
	text := method + " /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id +
		"\r\nX-Call-Class: " + class + "\r\nX-Storage-Class: gold\r\nX-Budget: 1.500\r\n" +
		fmt.Sprintf("X-Extent: volume=00000003b4d60021,units=2,shard=%d,hosts=1\r\n", shard)
	for _, line := range headerLines {
		text += line + "\r\n"
	}
	if method == "PUT" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// readText returns a request of the class read, which is idempotent.
func readText(id string) string { return requestText("GET", "read", id, 0, "") }

// payText returns a request of the class pay, which is not idempotent.
func payText(id, body string) string { return requestText("PUT", "pay", id, 0, body) }
