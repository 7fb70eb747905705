package platform

import (
	"strings"
	"testing"
)

// invalidRequest is a request and the status that answers it.
type invalidRequest struct {
	text   string
	status int
}

// invalidRequests are requests that differ from a valid one in one respect, by what is wrong with them.
func invalidRequests(good string) map[string]invalidRequest {
	return map[string]invalidRequest{
		"noise":               {"\x00\x01\x02\r\n\r\n", 400},
		"unknown class":       {strings.Replace(good, "Class: read", "Class: none", 1), 400},
		"unknown plan":        {strings.Replace(good, "gold", "tin", 1), 400},
		"budget no number":    {strings.Replace(good, "1.500", "soon", 1), 400},
		"budget not a number": {strings.Replace(good, "1.500", "NaN", 1), 400},
		"budget endless":      {strings.Replace(good, "1.500", "Inf", 1), 400},
		"budget negative":     {strings.Replace(good, "1.500", "-1", 1), 400},
		"budget nought":       {strings.Replace(good, "1.500", "0.0", 1), 400},
		"budget hex":          {strings.Replace(good, "1.500", "0x1p3", 1), 400},
		"no id":               {strings.Replace(good, "X-Call-Id: a1\r\n", "", 1), 400},
		"two ids": {strings.Replace(good, "X-Call-Id: a1\r\n",
			"X-Call-Id: a1\r\nX-Call-Id: a2\r\n", 1), 400},
		"extent short":      {strings.Replace(good, "7f3a9c21e0b4d655", "7f", 1), 400},
		"extent twice":      {strings.Replace(good, "d655 ", "d655&extent=7f3a9c21e0b4d655 ", 1), 400},
		"units none":        {strings.Replace(good, "units=2", "units=0", 1), 400},
		"units too many":    {strings.Replace(good, "units=2", "units=7", 1), 400},
		"shard not there":   {strings.Replace(good, "shard=0", "shard=2", 1), 400},
		"hosts too many":    {strings.Replace(good, "hosts=1", "hosts=99", 1), 400},
		"volume twice":      {strings.Replace(good, "units=2", "units=2,units=2", 1), 400},
		"no volume":         {strings.Replace(good, "volume=00000003b4d60021,", "", 1), 400},
		"keyed without key": {requestText("PUT", "write", "a1", 0, "x"), 400},
		"POST":              {strings.Replace(good, "GET", "POST", 1), 405},
		"GET with a body": {strings.Replace(good, "\r\n\r\n", "\r\nContent-Length: 5\r\n\r\nhello", 1),
			400},
		"body too long": {strings.Replace(payText("a1", ""), "Length: 0",
			"Length: 60000000", 1), 413},
		"hidden request": {strings.Replace(payText("a1", ""), "Length: 0",
			"Length: 4\r\nTransfer-Encoding: chunked", 1) + "0\r\n\r\n" + good, 400},
		"head without end": {"GET /api HTTP/1.1\r\n" +
			strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 300), 431},
	}
}

// A request that cannot be understood is answered with an error at once and ends its connection, and
// nothing of it reaches a disk server.
func TestValidation_RefusesInvalidRequests(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	good := readText("a1")
	for name, test := range invalidRequests(good) {
		client := fixture.dial()
		client.send(test.text)
		status, header, _ := client.readAnswer()
		if status != test.status || header.Get("Connection") != "close" {
			t.Errorf("%s: %d %v; want %d and a close", name, status, header, test.status)
		}
		if !client.isClosed() {
			t.Errorf("%s: the connection goes on", name)
		}
	}
	if n := len(diskServer.received()); n != 0 {
		t.Errorf("%d of them reached a disk server: %+v", n, diskServer.received()[0].head)
	}
	client := fixture.dial()
	client.send(good)
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Errorf("a good client afterwards: %d", status)
	}
}
