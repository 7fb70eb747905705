package http1

// Limits bound what is read, in bytes.
type Limits struct {
	MaxHead int // of a head (start line and header fields), its last empty line included
	MaxBody int // of a body
}

// Bounds that are the same for all connections.
const (
	maxHeaderFields     = 64   // of one head
	maxInterimResponses = 8    // ahead of a final response
	maxChunkLine        = 256  // bytes of a chunk's size line
	initialBufferSize   = 1024 // bytes
)
