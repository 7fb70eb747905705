package http1

import (
	"bytes"
	"testing"
)

func BenchmarkReader_Request(b *testing.B) {
	source := []byte("PUT /api?extent=01 HTTP/1.1\r\n" + requestFields + "Content-Length: 3\r\n\r\nabc")
	b.ReportAllocs()
	for b.Loop() {
		reader := NewReader(bytes.NewReader(source), testLimits)
		request, err := reader.ReadRequest()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := reader.ReadBody(request.Length); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReader_Response(b *testing.B) {
	for _, message := range []struct{ name, source string }{
		{"length stated", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	} {
		b.Run(message.name, func(b *testing.B) {
			source := []byte(message.source)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := NewReader(bytes.NewReader(source), testLimits).ReadResponse(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkAppendResponse(b *testing.B) {
	buffer := make([]byte, 0, 1024)
	header := Header{{Name: "Connection", Value: "close"}}
	b.ReportAllocs()
	for b.Loop() {
		buffer = AppendResponse(buffer[:0], 200, "OK", header, []byte("body"))
	}
}
