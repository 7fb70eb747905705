package http1

import (
	"net/http"
	"strconv"
)

const lineEnd = "\r\n"

// AppendRequest appends a request with its body to buffer and returns the extended buffer. The header must
// not state the framing: Content-Length is added, except to a GET without a body.
func AppendRequest(buffer []byte, method, target string, header Header, body []byte) []byte {
	buffer = append(buffer, method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, target...)
	buffer = append(buffer, " "+version11+lineEnd...)
	buffer = appendHeader(buffer, header)
	if len(body) > 0 || method != http.MethodGet {
		buffer = appendContentLength(buffer, len(body))
	}
	buffer = append(buffer, lineEnd...)
	return append(buffer, body...)
}

// AppendResponse appends a response with its body to buffer and returns the extended buffer. The header must
// not state the framing: Content-Length is added.
func AppendResponse(buffer []byte, status int, reason string, header Header, body []byte) []byte {
	buffer = append(buffer, version11+" "...)
	buffer = strconv.AppendInt(buffer, int64(status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, reason...)
	buffer = append(buffer, lineEnd...)
	buffer = appendHeader(buffer, header)
	buffer = appendContentLength(buffer, len(body))
	buffer = append(buffer, lineEnd...)
	return append(buffer, body...)
}

func appendHeader(buffer []byte, header Header) []byte {
	for _, field := range header {
		buffer = append(buffer, field.Name...)
		buffer = append(buffer, ": "...)
		buffer = append(buffer, field.Value...)
		buffer = append(buffer, lineEnd...)
	}
	return buffer
}

func appendContentLength(buffer []byte, length int) []byte {
	buffer = append(buffer, "Content-Length: "...)
	buffer = strconv.AppendInt(buffer, int64(length), 10)
	return append(buffer, lineEnd...)
}
