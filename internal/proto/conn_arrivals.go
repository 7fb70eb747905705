package proto

import (
	"time"

	"landingpaddle/internal/arrival"
)

// arrivalRecorder reads from a connection and records when the data arrived.
type arrivalRecorder struct{ conn *Conn }

func (r arrivalRecorder) Read(buffer []byte) (int, error) {
	count, err := r.conn.netConn.Read(buffer)
	r.conn.arrivals.Record(count)
	return count, err
}

// ReceivedAt returns when the last byte arrived of the frame that was passed to the handler of Run last; the
// zero time if the connection does not tell. Only the handler may call it.
func (c *Conn) ReceivedAt() time.Time { return c.arrivals.TimeOf(c.reader.Buffered()) }

// HasUnhandled reports whether a frame that has arrived may not have been passed to the handler of Run yet,
// or the handler may not have returned. It is false if the connection does not tell. How long ago the frame
// arrived is not known, as others may have arrived after it.
func (c *Conn) HasUnhandled() bool {
	conn, ok := c.netConn.(*arrival.Conn)
	return ok && conn.HasUnhandled(time.Time{})
}
