package http1

import (
	"errors"
	"io"
)

// ReadBody reads a body of the length in bytes that its head stated. It returns an *Error without reading if
// length exceeds Limits.MaxBody.
func (r *Reader) ReadBody(length int64) ([]byte, error) {
	if length > int64(r.limits.MaxBody) {
		return nil, errBodyTooLong
	}
	body := make([]byte, length)
	count := copy(body, r.buffer[r.start:r.end])
	r.start += count
	if count == len(body) {
		return body, nil
	}
	if _, err := io.ReadFull(r.source, body[count:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	r.arrivals.Record(len(body) - count)
	return body, nil
}

// readToEnd reads a body that is terminated by the end of the connection.
func (r *Reader) readToEnd() ([]byte, error) {
	var body []byte
	for {
		body = append(body, r.buffer[r.start:r.end]...)
		r.start = r.end
		if len(body) > r.limits.MaxBody {
			return nil, errBodyTooLong
		}
		if err := r.fillToHeadLimit(); errors.Is(err, io.EOF) {
			return body, nil
		} else if err != nil {
			return nil, err
		}
	}
}
