package http1

// Limits bounds the size of messages that are read, in bytes.
type Limits struct {
	MaxHead int // of a head: start line, header fields and the empty line at its end
	MaxBody int // of a body
}

// Limits that are the same for all connections.
const (
	maxHeaderFields     = 64   // of one head
	maxInterimResponses = 8    // before a final response
	maxChunkLine        = 256  // bytes of a chunk's size line and the line end after the chunk
	initialBufferSize   = 1024 // bytes
)
