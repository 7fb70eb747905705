package proto

// Limits are the limits on what a connection accepts from the peer and queues for it.
type Limits struct {
	MaxHeader  int // bytes of one header
	MaxPayload int // bytes of one payload
	MaxStreams int // requests in flight
	MaxBacklog int // bytes queued for writing
}

// DefaultLimits are sufficient for object reads and writes of a few MiB.
var DefaultLimits = Limits{MaxHeader: 4 << 10, MaxPayload: 8 << 20, MaxStreams: 1024, MaxBacklog: 32 << 20}

// LimitsFor allows a backlog of a few payloads and their headers.
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
