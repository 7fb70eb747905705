package http1

import (
	"strconv"
	"strings"
)

// readChunks reads a chunked body. Chunk extensions and trailers are discarded.
func (r *Reader) readChunks() ([]byte, error) {
	var body []byte
	for {
		budget := maxChunkLine // for the size line and the line end after the chunk
		size, err := r.readChunkSize(&budget)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			return body, r.skipTrailers()
		}
		if size+int64(len(body)) > int64(r.limits.MaxBody) {
			return nil, errBodyTooLong
		}
		chunk, err := r.ReadBody(size)
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
		if err := r.expectChunkEnd(&budget); err != nil {
			return nil, err
		}
	}
}

// readChunkSize reads the line that states the size of the next chunk, and returns the size in bytes. Size 0
// ends the body.
func (r *Reader) readChunkSize(budget *int) (int64, error) {
	line, err := r.readLine(budget)
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 32)
	if err != nil {
		return 0, malformed("a chunk's size is no number")
	}
	return int64(size), nil
}

// expectChunkEnd reads the line end after a chunk.
func (r *Reader) expectChunkEnd(budget *int) error {
	line, err := r.readLine(budget)
	if err != nil {
		return err
	}
	if line != "" {
		return malformed("a chunk is longer than its size")
	}
	return nil
}

func (r *Reader) skipTrailers() error {
	budget := r.limits.MaxHead
	_, err := r.readHeader(&budget)
	return err
}
