package proto

// Limits bounds the frames that a connection accepts from the peer, its requests in flight and the bytes that
// it queues for the peer.
type Limits struct {
	MaxHeader  int // bytes of one header
	MaxPayload int // bytes of one payload
	MaxStreams int // requests in flight
	MaxBacklog int // bytes queued for writing
}

// DefaultLimits are sufficient for object reads and writes of a few MiB.
var DefaultLimits = Limits{MaxHeader: 4 << 10, MaxPayload: 8 << 20, MaxStreams: 1024, MaxBacklog: 32 << 20}

// The backlog that LimitsFor allows: a few payloads and their headers.
const (
	backlogPayloads = 4
	backlogHeaders  = 1 << 20 // bytes
)

// LimitsFor returns limits for payloads of up to the given number of bytes and for a number of streams in
// flight. A few payloads may be queued for writing.
func LimitsFor(payload, streams int) Limits {
	return Limits{
		MaxHeader:  DefaultLimits.MaxHeader,
		MaxPayload: payload,
		MaxStreams: streams,
		MaxBacklog: backlogPayloads*payload + backlogHeaders,
	}
}
