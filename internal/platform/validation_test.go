package platform

import (
	"strings"
	"testing"
)

// invalidRequest is a request and the expected status of its answer.
type invalidRequest struct {
	text   string
	status int
}

// invalidRequests returns requests that differ from a valid one in one respect, which is the key of the map.
func invalidRequests(valid string) map[string]invalidRequest {
	return map[string]invalidRequest{
		"invalid bytes":      {"\x00\x01\x02\r\n\r\n", 400},
		"unknown class":      {strings.Replace(valid, "Class: read", "Class: none", 1), 400},
		"unknown plan":       {strings.Replace(valid, "gold", "tin", 1), 400},
		"budget not decimal": {strings.Replace(valid, "1.500", "soon", 1), 400},
		"budget NaN":         {strings.Replace(valid, "1.500", "NaN", 1), 400},
		"budget infinite":    {strings.Replace(valid, "1.500", "Inf", 1), 400},
		"budget negative":    {strings.Replace(valid, "1.500", "-1", 1), 400},
		"budget zero":        {strings.Replace(valid, "1.500", "0.0", 1), 400},
		"budget hexadecimal": {strings.Replace(valid, "1.500", "0x1p3", 1), 400},
		"no id":              {strings.Replace(valid, "X-Call-Id: a1\r\n", "", 1), 400},
		"two ids": {strings.Replace(valid, "X-Call-Id: a1\r\n",
			"X-Call-Id: a1\r\nX-Call-Id: a2\r\n", 1), 400},
		"extent too short":        {strings.Replace(valid, "7f3a9c21e0b4d655", "7f", 1), 400},
		"extent twice":            {strings.Replace(valid, "d655 ", "d655&extent=7f3a9c21e0b4d655 ", 1), 400},
		"units zero":              {strings.Replace(valid, "units=2", "units=0", 1), 400},
		"units too many":          {strings.Replace(valid, "units=2", "units=7", 1), 400},
		"shard out of range":      {strings.Replace(valid, "shard=0", "shard=2", 1), 400},
		"hosts too many":          {strings.Replace(valid, "hosts=1", "hosts=99", 1), 400},
		"units twice":             {strings.Replace(valid, "units=2", "units=2,units=2", 1), 400},
		"no volume":               {strings.Replace(valid, "volume=00000003b4d60021,", "", 1), 400},
		"keyed class without key": {requestText("PUT", "write", "a1", 0, "x"), 400},
		"POST":                    {strings.Replace(valid, "GET", "POST", 1), 405},
		"GET with a body": {strings.Replace(valid, "\r\n\r\n", "\r\nContent-Length: 5\r\n\r\nhello", 1),
			400},
		"body too long": {strings.Replace(payText("a1", ""), "Length: 0",
			"Length: 60000000", 1), 413},
		// Guards against writing the first part of a body as the whole.
		"body longer than stated": {strings.Replace(payText("a1", "hello world"), "Length: 11",
			"Length: 5", 1), 400},
		"long body longer than stated": {strings.Replace(payText("a1", strings.Repeat("x", 60_000)),
			"Length: 60000", "Length: 30000", 1), 400},
		"body one byte longer than stated": {strings.Replace(payText("a1", "hello"), "Length: 5",
			"Length: 4", 1), 400},
		// Guards against a write that is forwarded and served without its body.
		"body with a stated length of 0": {payText("a1", "") + "hello", 400},
		"body without a length": {strings.Replace(payText("a1", ""), "Content-Length: 0\r\n", "", 1) +
			strings.Repeat("x", 60_000), 400},
		"GET with a body without a length": {valid + "hello", 400},
		"request smuggling": {strings.Replace(payText("a1", ""), "Length: 0",
			"Length: 4\r\nTransfer-Encoding: chunked", 1) + "0\r\n\r\n" + valid, 400},
		"head too long": {"GET /api HTTP/1.1\r\n" +
			strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 300), 431},
	}
}

// An invalid request is answered with an error at once and ends its connection, and no part of it reaches a
// disk server.
func TestValidation_RefusesInvalidRequests(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	valid := readText("a1")
	for name, test := range invalidRequests(valid) {
		client := fixture.dial()
		client.send(test.text)
		status, header, _ := client.readAnswer()
		if status != test.status || header.Get("Connection") != "close" {
			t.Errorf("%s: got %d %v, want %d and Connection: close", name, status, header, test.status)
		}
		if !client.isClosed() {
			t.Errorf("%s: got a byte after the answer, want the connection closed", name)
		}
	}
	if n := len(diskServer.received()); n != 0 {
		t.Errorf("got %d invalid requests at the disk server, want 0; the first: %+v", n,
			diskServer.received()[0].head)
	}
	client := fixture.dial()
	client.send(valid)
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Errorf("valid request afterwards: got status %d, want 200", status)
	}
}
