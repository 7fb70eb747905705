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

// caller is a client's connection.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (fixture *gatewayFixture) dial() *testClient {
	fixture.t.Helper()
	conn, err := net.Dial("tcp4", fixture.address)
	if err != nil {
		fixture.t.Fatal(err)
	}
	return newTestClient(fixture.t, conn)
}

func newTestClient(t *testing.T, conn net.Conn) *testClient {
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

func (client *testClient) send(text string) {
	client.t.Helper()
	if _, err := io.WriteString(client.conn, text); err != nil {
		client.t.Fatal(err)
	}
}

// answer reads one answer with the standard library's reader, which is not ours.
func (client *testClient) readAnswer() (int, http.Header, string) {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		client.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		client.t.Fatal(err)
	}
	if response.Close { // the reader takes the field away
		response.Header.Set("Connection", "close")
	}
	return response.StatusCode, response.Header, string(body)
}

func (client *testClient) isClosed() bool {
	_, err := client.reader.ReadByte()
	return err != nil
}

// end checks that a connection ends in order: nothing more comes, and it is not reset.
func (client *testClient) expectGracefulClose() {
	client.t.Helper()
	if b, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
		client.t.Errorf("the connection goes on with %q, %v; want its end in order", b, err)
	}
}

// ask is a request as clients send it; more are further header lines.
func requestText(method, class, id string, shard int, body string, more ...string) string {
	b := method + " /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id +
		"\r\nX-Call-Class: " + class + "\r\nX-Storage-Class: gold\r\nX-Budget: 1.500\r\n" +
		fmt.Sprintf("X-Extent: volume=00000003b4d60021,units=2,shard=%d,hosts=1\r\n", shard)
	for _, m := range more {
		b += m + "\r\n"
	}
	if method == "PUT" {
		b += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return b + "\r\n" + body
}
