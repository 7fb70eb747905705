package proto

// Limits bound what one connection accepts from the other side.
type Limits struct {
	Header  int // bytes of one header
	Payload int // bytes of one payload
	Streams int // requests in flight
	Backlog int // bytes waiting to be written
}

// DefaultLimits fit object reads and writes of a few MiB.
var DefaultLimits = Limits{Header: 4 << 10, Payload: 8 << 20, Streams: 1024, Backlog: 32 << 20}

// The backlog of LimitsFor holds some payloads and their headers.
const (
	backlogPayloads = 4
	backlogHeaders  = 1 << 20 // bytes
)

// LimitsFor returns limits for payloads of up to a number of bytes: a few of them may wait to be written.
func LimitsFor(payload, streams int) Limits {
	return Limits{
		Header:  DefaultLimits.Header,
		Payload: payload,
		Streams: streams,
		Backlog: backlogPayloads*payload + backlogHeaders,
	}
}
